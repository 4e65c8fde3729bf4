// Package version reports the version of the program.
package version

import "runtime/debug"

const release = "0.1.0-dev"

const revisionLength = 12 // characters

// String returns the release, followed by the VCS revision if the build recorded one.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return release
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return release + "+" + setting.Value[:min(len(setting.Value), revisionLength)]
		}
	}
	return release
}
