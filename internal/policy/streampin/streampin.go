// Package streampin decides which software versions of a service may run a stream.
//
// It answers releases under failures: servers of several versions serve side by side while
// servers and entries crash, so that many streams break and are resumed at once. The output
// of two versions does not fit together. An entry that is cut off or stands still meanwhile
// knows the versions of earlier starts of the servers.
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
	// ErrOutdatedView means that servers may have restarted at another version unnoticed.
	ErrOutdatedView = errors.New("streampin: the versions of the servers may have changed")
)

// Stream is what is known about a stream that is sent to a server.
type Stream struct {
	HasOutput   bool   // the client holds events of it
	Assigned    bool   // Version is known
	Version     string // that runs the stream, or that began it
	NeedsRecord bool   // it runs only if its version is recorded, so that it can be resumed
}

// View is what is known about the servers of the service.
type View struct {
	Serving []string // versions that have usable servers
	Current bool     // a change of a server's version would be known by now
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

// Decide returns the versions that may run a stream. A stream with output goes on at its
// version or fails at once with ErrUnknownVersion or ErrVersionNotServed. That a single version
// serves does not tell which one began the stream: servers of another one may have left, or be
// missing from the view of an entry that has just started. With a view that is not current,
// a stream whose version matters fails with ErrOutdatedView.
func Decide(s Stream, v View) (Constraint, error) {
	switch {
	case !v.Current && (s.HasOutput || s.NeedsRecord):
		return Constraint{}, ErrOutdatedView
	case !s.HasOutput && !s.Assigned:
		return Constraint{}, nil
	case !s.HasOutput:
		return Constraint{Strength: Preferred, Version: s.Version}, nil
	case s.Assigned && slices.Contains(v.Serving, s.Version):
		return Constraint{Strength: Required, Version: s.Version}, nil
	case s.Assigned:
		return Constraint{}, ErrVersionNotServed
	}
	return Constraint{}, ErrUnknownVersion
}
