// Package streampin decides which software versions of a service may run a stream.
//
// It answers releases under failures: servers of several versions serve side by side while
// servers and entries crash, so that many streams break and are resumed at once. The output
// of two versions does not fit together.
package streampin

import "errors"

// Reasons why a stream cannot run at any serving version.
var (
	// ErrUnknownVersion means that the version that began the stream is not known.
	ErrUnknownVersion = errors.New("streampin: the version that began the stream is not known")
	// ErrVersionNotServed means that no server of the version that began the stream serves.
	ErrVersionNotServed = errors.New("streampin: no server of the version that began the stream serves")
)

// Stream is what is known about a stream that is sent to a server.
type Stream struct {
	HasOutput bool   // the client holds events of it
	Assigned  bool   // Version is known
	Version   string // that runs the stream, or that began it
	Named     bool   // the client names the request that began it
}

// Constraint restricts the servers of a stream by version.
type Constraint struct {
	Required  bool // other versions may not run the stream
	Preferred bool // other versions may run it, at the price of another record
	Version   string
}

// Allows reports whether a server of the given version may run the stream.
func (c Constraint) Allows(version string) bool {
	return !c.Required || c.Version == version
}

// Decide returns the versions that may run a stream. serving are the versions of the
// service that have usable servers. A stream with output goes on at its version or fails at
// once with ErrUnknownVersion or ErrVersionNotServed. The client of a stream may not name
// the request that began it; such a stream goes on only where a single version serves.
func Decide(s Stream, serving []string) (Constraint, error) {
	switch {
	case !s.HasOutput && !s.Assigned:
		return Constraint{}, nil
	case !s.HasOutput:
		return Constraint{Preferred: true, Version: s.Version}, nil
	case s.Assigned:
		return require(s.Version, serving)
	case !s.Named && len(serving) == 1:
		return Constraint{Required: true, Version: serving[0]}, nil
	}
	return Constraint{}, ErrUnknownVersion
}

func require(version string, serving []string) (Constraint, error) {
	for _, v := range serving {
		if v == version {
			return Constraint{Required: true, Version: version}, nil
		}
	}
	return Constraint{}, ErrVersionNotServed
}
