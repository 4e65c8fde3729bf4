// Package routeage decides what an entry may do with routes that may not be the newest ones.
//
// It answers series of changes beside failures: versions follow each other within a fraction of a
// second while links, state hosts and entries fail, so that an entry may lack a version that was
// acknowledged, know of it without having its document, or not know whether there is one.
package routeage

import "time"

// State is what an entry knows about the age of its routes.
type State struct {
	// SinceUpdate is the time since the latest update of any state host.
	SinceUpdate time.Duration
	// SinceQuorum is the time since the latest update of a state host with contact to a quorum,
	// which knows every acknowledged version.
	SinceQuorum time.Duration
	// Behind is the time for which a newer version than the one in force has been known; 0: none is.
	Behind time.Duration
}

// Limits are the limits that a deployment sets.
type Limits struct {
	// Age is the time within which an acknowledged version must be in force.
	Age time.Duration
	// Silence is the time without an update after which no state host counts as heard.
	Silence time.Duration
}

// Verdict says what routes may be used for.
type Verdict uint8

// Verdicts.
const (
	// Current routes decide every request.
	Current Verdict = iota
	// Unconfirmed routes are obeyed, but do not show that a route is missing: it may have been
	// added.
	Unconfirmed
	// Outdated routes are not obeyed any more: a newer version must be in force by now.
	Outdated
)

// Decide returns what the routes of an entry may be used for. An entry that hears no state host at
// all obeys its routes: all of them may be down, and nothing changes then.
func Decide(s State, l Limits) Verdict {
	switch {
	case s.Behind > l.Age:
		return Outdated
	case s.SinceQuorum > l.Age && s.SinceUpdate < l.Silence:
		return Outdated
	case s.SinceQuorum > l.Age || s.Behind > 0:
		return Unconfirmed
	}
	return Current
}
