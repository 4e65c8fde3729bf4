// Package watchset decides which state hosts a process watches for routes and backend
// servers.
//
// It answers many entries beside many state hosts: a stream from each entry to each host
// costs keep-alives, and after a change updates, that grow with their product. Hosts without
// contact to a quorum do not learn of changes, and hosts fail while changes are made, so an
// entry needs several that have such contact, and others at once when one of them fails.
package watchset

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

// Host is a known state host as one process sees it.
type Host struct {
	Address string
	// Serving is set if the host is watched and has lately sent an update that reported
	// contact to a quorum.
	Serving bool
	// Watched is set if the host is watched, since WatchedFor.
	Watched    bool
	WatchedFor time.Duration
	// Tried is set if the host was watched before, and LastTried ago for the last time.
	Tried     bool
	LastTried time.Duration
}

// TrialPeriod is how long a host is watched before another one takes its place, if it does
// not serve. It covers a connection whose first SYN is lost.
const TrialPeriod = 1500 * time.Millisecond

// Choose returns the addresses of the hosts that the process named viewer watches, sorted:
//   - wanted hosts that serve, if there are as many;
//   - otherwise all that serve, and as many others on trial as are missing and one more;
//   - all hosts if none serves.
//
// Among equal hosts each viewer prefers others, so that all hosts get a part of the watchers.
func Choose(viewer string, hosts []Host, wanted int) []string {
	return choose(hosts, wanted, func(address string) uint64 {
		h := fnv.New64a()
		_, _ = h.Write([]byte(viewer + " " + address))
		return h.Sum64()
	})
}

func choose(hosts []Host, wanted int, rank func(address string) uint64) []string {
	var serving, others []Host
	for _, h := range hosts {
		if h.Serving {
			serving = append(serving, h)
		} else {
			others = append(others, h)
		}
	}
	slices.SortFunc(serving, func(a, b Host) int { return cmp.Compare(rank(a.Address), rank(b.Address)) })
	if len(serving) >= wanted {
		return addresses(serving[:wanted])
	}
	if len(serving) == 0 {
		return addresses(hosts)
	}
	slices.SortFunc(others, func(a, b Host) int { return compareTrials(a, b, rank) })
	trials := min(len(others), wanted-len(serving)+1)
	return addresses(append(serving, others[:trials]...))
}

// compareTrials orders the hosts that do not serve: those whose trial goes on, those that
// were never watched, then those whose last trial is longest ago.
func compareTrials(a, b Host, rank func(string) uint64) int {
	return cmp.Or(
		compareBool(a.onTrial(), b.onTrial()),
		compareBool(a.isNew(), b.isNew()),
		cmp.Compare(b.sinceTrial(), a.sinceTrial()),
		cmp.Compare(rank(a.Address), rank(b.Address)),
	)
}

func (h Host) onTrial() bool { return h.Watched && h.WatchedFor < TrialPeriod }

// sinceTrial returns the time since the latest trial, 0 for a host that is still watched.
func (h Host) sinceTrial() time.Duration {
	if h.Watched {
		return 0
	}
	return h.LastTried
}

func (h Host) isNew() bool { return !h.Watched && !h.Tried }

// compareBool orders true before false.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

func addresses(hosts []Host) []string {
	list := make([]string, len(hosts))
	for i, h := range hosts {
		list[i] = h.Address
	}
	slices.Sort(list)
	return list
}
