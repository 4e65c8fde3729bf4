// Package founding decides whether a state host with an empty data directory may become an initial
// member of the groups, although it was not started as one.
//
// It answers seeds that are killed in the first moments of the first start of a system, before they
// have recorded it, and are started again as on any later start. Their data directories look like those
// of lost disks, so others have to tell them apart, in one of two ways.
//
// By time: no initial member takes part without all others before QuorumDelay has passed since its start.
// Until then, each of the others has recorded the disk of every one that takes part and refuses another
// disk. All hosts that are started with the system are started within StartSpread. So a data directory
// that is empty before Window has passed either never held a vote, or is refused.
//
// By number: a group takes a majority of its initial members to begin. If a majority, without this host,
// has not taken part since this process was started, no group has begun before.
package founding

import (
	"slices"
	"time"
)

const (
	// QuorumDelay is the time from the start of an initial member until a majority is enough for it.
	QuorumDelay = 2500 * time.Millisecond
	// StartSpread limits the time between the starts of two hosts when a system starts for the first
	// time.
	StartSpread = 500 * time.Millisecond
	// Window is the time after the start of a witness for which it can vouch.
	Window = QuorumDelay - StartSpread
)

// Report is what another process told this host.
type Report struct {
	Address string // of a state host between processes, "" for others
	// LeaderKnown says that the process knows a leader of a group.
	LeaderKnown bool
	// Witness says that the process knows an upper bound, Age, of the time since the first start of the
	// system when it made the report.
	Witness bool
	Age     time.Duration
	// InitialMember says that the process is an initial member of all groups and has not taken part in
	// any.
	InitialMember bool
	// Seeds are the seeds of a witness or an initial member.
	Seeds []string
}

// Input describes a host without stored replicas that was not started as an initial member.
type Input struct {
	Address string
	Seeds   []string // in its settings
	// Running is the time since the start of its process. All reports were made meanwhile.
	Running time.Duration
	Reports []Report // one from each process, the latest
}

// Decision is what such a host does.
type Decision uint8

// Decisions.
const (
	Wait  Decision = iota // for further reports
	Begin                 // become an initial member, which takes part once all others have confirmed it
	Join                  // wait to be added to the groups
)

// String returns the name of a decision in logs.
func (d Decision) String() string { return [...]string{"wait", "begin", "join"}[d] }

// Decide returns what a host does that finds no replicas in its data directory. It begins if it is
// certain that it has not voted, and joins if a group has a leader, or if no witness can be young enough
// any more and no other seed waits for a group to begin.
func Decide(in Input) Decision {
	if !slices.Contains(in.Seeds, in.Address) {
		return Join
	}
	young, differ := false, false
	waiting := make(map[string]bool)
	for _, r := range in.Reports {
		if r.LeaderKnown {
			return Join
		}
		differ = differ || (r.Witness || r.InitialMember) && !sameMembers(r.Seeds, in.Seeds)
		young = young || r.Witness && r.Age >= 0 && r.Age+in.Running < Window
		if r.InitialMember && r.Address != in.Address && slices.Contains(in.Seeds, r.Address) {
			waiting[r.Address] = true
		}
	}
	switch {
	case !differ && (young || len(waiting) > len(sortedSet(in.Seeds))/2):
		return Begin
	case in.Running >= Window && len(in.Reports) > 0 && len(waiting) == 0:
		return Join
	}
	return Wait
}

// sameMembers reports whether two lists have the same elements.
func sameMembers(a, b []string) bool { return slices.Equal(sortedSet(a), sortedSet(b)) }

func sortedSet(list []string) []string {
	return slices.Compact(slices.Sorted(slices.Values(list)))
}
