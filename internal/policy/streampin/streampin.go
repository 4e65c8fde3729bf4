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
	"strings"
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
	Withdrawn   bool   // the service that began it is none of its route any more
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

// Record returns how a service and the software version of its servers are recorded for a stream.
func Record(service, version string) string { return service + "/" + version }

// Locate returns the service and the version of a record, if it is one of the services to which the
// stream's route sends requests now. It answers changes of the weights of a route while many
// streams run and entries fail: the share of new requests that a service gets says nothing about
// where a resumed stream began. found is false for a service that has left the route, and if the
// names of two services fit the record.
func Locate(record string, services []string) (service, version string, found bool) {
	for _, candidate := range services {
		rest, fits := strings.CutPrefix(record, Record(candidate, ""))
		if !fits {
			continue
		}
		if found {
			return "", "", false
		}
		service, version, found = candidate, rest, true
	}
	return service, version, found
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
	case s.Assigned && !s.Withdrawn && slices.Contains(v.Serving, s.Version):
		return Constraint{Strength: Required, Version: s.Version}, nil
	case s.Assigned:
		return Constraint{}, ErrVersionNotServed
	}
	return Constraint{}, ErrUnknownVersion
}
