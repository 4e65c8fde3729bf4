// Package streampin decides which software versions of a service may run a stream.
//
// It answers releases under failures: servers of several versions serve side by side while
// servers and entries crash, so that many streams break and are resumed at once. The output
// of two versions does not fit together.
package streampin

import (
	"errors"
	"slices"
)

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
}

// Constraint restricts the servers of a stream by version. The zero value allows all.
type Constraint struct {
	Strength Strength
	Version  string // empty if Unrestricted
}

// Strength says how a Constraint binds.
type Strength uint8

// Strengths of a constraint.
const (
	Unrestricted Strength = iota // any version may run the stream
	Preferred                    // other versions may run it, at the price of another record
	Required                     // other versions may not run it
)

// Allows reports whether a server of the given version may run the stream.
func (c Constraint) Allows(version string) bool {
	return c.Strength != Required || c.Version == version
}

// Prefers reports whether a server of the given version is as good as any for the stream.
func (c Constraint) Prefers(version string) bool {
	return c.Strength == Unrestricted || c.Version == version
}

// Decide returns the versions that may run a stream. serving are the versions of the
// service that have usable servers. A stream with output goes on at its version or fails at
// once with ErrUnknownVersion or ErrVersionNotServed. That a single version serves does not
// tell which one began the stream: servers of another one may have left, or be missing from
// the view of an entry that has just started.
func Decide(s Stream, serving []string) (Constraint, error) {
	switch {
	case !s.HasOutput && !s.Assigned:
		return Constraint{}, nil
	case !s.HasOutput:
		return Constraint{Strength: Preferred, Version: s.Version}, nil
	case s.Assigned && slices.Contains(serving, s.Version):
		return Constraint{Strength: Required, Version: s.Version}, nil
	case s.Assigned:
		return Constraint{}, ErrVersionNotServed
	}
	return Constraint{}, ErrUnknownVersion
}
