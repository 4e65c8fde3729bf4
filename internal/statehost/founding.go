package statehost

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"ibistray.example/ibistray/internal/fleetwatch"
	"ibistray.example/ibistray/internal/loop"
	"ibistray.example/ibistray/internal/policy/founding"
	"ibistray.example/ibistray/internal/replica"
	"ibistray.example/ibistray/proto/fleetpb"
	"ibistray.example/ibistray/proto/raftpb"
)

// foundingInterval is the interval at which a host without stored replicas decides what to do, unless a
// report makes it decide earlier.
const foundingInterval = 100 * time.Millisecond

// systemStart collects what other processes say of the first start of the system, for hosts that have no
// replicas yet. It keeps no reports after stopCollecting. It is safe for concurrent use.
type systemStart struct {
	wake loop.Waker

	mu      sync.Mutex
	reports map[string]founding.Report // by process, the latest; nil after stopCollecting
	// ageAtStart is an upper bound of the system's age when this process was started, from the report of
	// a witness; nil: none.
	ageAtStart *time.Duration
}

func newSystemStart() *systemStart {
	return &systemStart{wake: loop.NewWaker(), reports: make(map[string]founding.Report)}
}

// addHost records the latest report of another state host. start may be nil.
func (s *systemStart) addHost(address string, leaderKnown bool, start *fleetpb.SystemStart) {
	report := newReport(start)
	report.Address, report.LeaderKnown, report.InitialMember = address, leaderKnown, start.GetInitialMember()
	s.add("host "+address, report)
}

// addViewer records what the request of a viewer says of the first start.
func (s *systemStart) addViewer(viewer string, start *fleetpb.SystemStart) {
	s.add("viewer "+viewer, newReport(start))
}

func newReport(start *fleetpb.SystemStart) founding.Report {
	return founding.Report{
		Witness: start.GetAgeMs() > 0,
		Age:     time.Duration(start.GetAgeMs()) * time.Millisecond,
		Seeds:   start.GetSeeds(),
	}
}

func (s *systemStart) add(process string, report founding.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if age := report.Age; report.Witness && (s.ageAtStart == nil || age < *s.ageAtStart) {
		s.ageAtStart = &age
	}
	if s.reports == nil {
		return
	}
	s.reports[process] = report
	s.wake.Wake()
}

// stopCollecting drops the reports and all later ones. It is called once no decision depends on them.
// ageAtStart stays current.
func (s *systemStart) stopCollecting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports = nil
}

func (s *systemStart) list() []founding.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.reports))
}

// describeSystemStart returns what this host says of the first start of the system, nil if nothing.
func (h *Host) describeSystemStart() *fleetpb.SystemStart {
	var start *fleetpb.SystemStart
	if age, known := h.systemAge(); known {
		start = fleetwatch.NewSystemStart(age, h.initialSeeds)
	}
	if !h.isInitialMember() {
		return start
	}
	if start == nil {
		start = &fleetpb.SystemStart{Seeds: h.initialSeeds}
	}
	start.InitialMember = true
	return start
}

// systemAge returns an upper bound of the time since the first start of the system. A host that was
// started later knows one from a witness.
func (h *Host) systemAge() (age time.Duration, known bool) {
	if h.cfg.ProcessAge == nil {
		return 0, false
	}
	age = h.cfg.ProcessAge()
	if h.cfg.Bootstrap {
		return age, true
	}
	h.systemStart.mu.Lock()
	defer h.systemStart.mu.Unlock()
	if h.systemStart.ageAtStart == nil {
		return 0, false
	}
	return age + *h.systemStart.ageAtStart, true
}

// isInitialMember reports whether this host is an initial member of all groups and has not taken part in
// any.
func (h *Host) isInitialMember() bool {
	for group := range h.stateMachines() {
		if !h.replicas.IsInitialMember(group) {
			return false
		}
	}
	return true
}

// foundingInput returns the input of the decision on groups without stored replicas.
func (h *Host) foundingInput() founding.Input {
	return founding.Input{
		Address: h.cfg.Address,
		Seeds:   h.initialSeeds,
		Running: h.cfg.ProcessAge(),
		Reports: h.systemStart.list(),
	}
}

// mayBegin reports whether this host may become an initial member of groups without stored replicas if
// others vouch for it.
func (h *Host) mayBegin() bool {
	return !h.cfg.Bootstrap && h.cfg.ProcessAge != nil && founding.Decide(h.foundingInput()) != founding.Join
}

// addPendingGroups adds the groups without stored replicas once it is decided how. It returns then, or
// when ctx ends.
func (h *Host) addPendingGroups(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	loop.EveryOrWoken(ctx, foundingInterval, h.systemStart.wake, func(context.Context) {
		decision := founding.Decide(h.foundingInput())
		if decision == founding.Wait {
			return
		}
		defer cancel()
		h.systemStart.stopCollecting()
		h.log.Info("no replicas are stored", "groups", h.pendingGroups, "decision", decision.String())
		for _, group := range h.pendingGroups {
			if err := h.addPendingGroup(group, decision); err != nil && !errors.Is(err, replica.ErrStopped) {
				h.replicas.Fail(err)
				return
			}
		}
	})
}

func (h *Host) addPendingGroup(group uint64, decision founding.Decision) error {
	state := h.stateMachines()[group]
	if decision == founding.Begin {
		return h.replicas.AddConfirmedGroup(group, seedMembers(h.initialSeeds), state)
	}
	return h.replicas.AddGroup(group, nil, state)
}

// seedMembers returns the members of new groups. Replica IDs are assigned in the order of the
// addresses.
func seedMembers(seeds []string) []*raftpb.Member {
	members := make([]*raftpb.Member, len(seeds))
	for i, address := range seeds {
		members[i] = &raftpb.Member{Id: uint64(i + 1), Address: address}
	}
	return members
}
