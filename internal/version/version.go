// Package version names the build.
package version

import "runtime/debug"

// number is the release; builds from a checkout add their revision.
const number = "0.1.0-dev"

const revisionLength = 12

// String returns the version of the running program.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return number
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return number + "+" + setting.Value[:min(len(setting.Value), revisionLength)]
		}
	}
	return number
}
