package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"ibistray.example/ibistray/internal/blackboard"
	"ibistray.example/ibistray/internal/configlease"
	"ibistray.example/ibistray/internal/policy/place"
	"ibistray.example/ibistray/internal/telemetry"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/rpcpb"
)

const (
	membersInterval = 500 * time.Millisecond
	membersTimeout  = time.Second
	// maxServersPerCapability is the maximum number of backend servers that an entry
	// knows of each model or service. It keeps the cost of an entry independent of the
	// total number of servers.
	maxServersPerCapability = 64
)

// member is the state of one backend server as known to an entry. Times are as
// returned by membership.now.
type member struct {
	announcement     *rpcpb.Announcement
	expires          time.Duration   // end of the announcement's lease
	inFlight         *place.InFlight // calls of this entry on the server
	inFlightAtReport int64           // calls of this entry when the announcement arrived
	loadMeasuredAt   time.Duration   // when the announced load was measured
}

// serverSnapshot is an immutable snapshot of the backend servers.
type serverSnapshot struct {
	members map[string]*member     // by server ID
	views   map[string]*place.View // by capability, see modelCapability and serviceCapability
}

// modelCapability and serviceCapability name what a server offers: a model or a service.
// The names are part of the fingerprints of quarantined requests.
func modelCapability(model string) string     { return "model " + model }
func serviceCapability(service string) string { return "service " + service }

// membership keeps the snapshot of the backend servers and the configuration up to date.
type membership struct {
	pool         *transport.Pool
	control      []string // addresses of the control processes
	viewer       string   // name of this entry
	metrics      *telemetry.Metrics
	start        time.Time
	snapshot     *blackboard.Cell[*serverSnapshot]
	configHolder *configlease.Holder

	// Used by the refresh loop only.
	controlIndex     int    // index in control of the process in use
	directoryID      string // directory instance of the last response
	directoryVersion uint64 // version of that directory
}

func newMembership(pool *transport.Pool, control []string, viewer string, metrics *telemetry.Metrics) *membership {
	empty := &serverSnapshot{members: map[string]*member{}, views: map[string]*place.View{}}
	return &membership{
		pool:         pool,
		control:      control,
		viewer:       viewer,
		metrics:      metrics,
		start:        time.Now(),
		snapshot:     blackboard.NewCell(empty),
		configHolder: configlease.NewHolder(),
		controlIndex: rand.IntN(len(control)),
	}
}

// now returns the time since the start of the process, the time scale of the snapshots.
func (m *membership) now() time.Duration {
	return time.Since(m.start)
}

// refresh fetches the changes from the control process in use. It switches to the next
// one if that process does not respond or does not renew the configuration lease.
func (m *membership) refresh(ctx context.Context) {
	for range m.control {
		sent := time.Now()
		resp, err := m.fetchChanges(ctx, m.control[m.controlIndex])
		if err == nil {
			m.apply(resp)
			m.configHolder.Renew(resp.Configuration, sent)
		}
		if err == nil && resp.Configuration.GetFresh() {
			m.metrics.LeaseRemaining.Set(m.configHolder.Remaining(time.Now()).Seconds())
			return
		}
		m.metrics.Retries.WithLabelValues("directory_unreachable").Inc()
		m.controlIndex = (m.controlIndex + 1) % len(m.control)
	}
}

func (m *membership) fetchChanges(ctx context.Context, address string) (*rpcpb.MembersResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, membersTimeout)
	defer cancel()
	req := &rpcpb.MembersRequest{
		Directory:    m.directoryID,
		SinceVersion: m.directoryVersion,
		Viewer:       m.viewer,
		Limit:        maxServersPerCapability,

		ConfigurationVersion: m.configHolder.View().Version(),
	}
	resp := new(rpcpb.MembersResponse)
	if err := m.pool.Call(ctx, address, transport.MethodDirectoryMembers, req, resp); err != nil {
		return nil, err
	}
	return resp, nil
}

// apply publishes a snapshot with the changes of a response. Servers that are missing
// from a new directory stay in the snapshot until their lease expires.
func (m *membership) apply(resp *rpcpb.MembersResponse) {
	now := m.now()
	m.snapshot.Update(func(old *serverSnapshot) *serverSnapshot {
		next := make(map[string]*member, len(old.members)+len(resp.Members))
		for id, known := range old.members {
			if known.expires > now {
				next[id] = known
			}
		}
		for _, id := range resp.Gone {
			delete(next, id)
		}
		for _, a := range resp.Members {
			next[a.Server] = updatedMember(next[a.Server], a, now)
		}
		return buildSnapshot(old, next)
	})
	m.directoryID = resp.Directory
	m.directoryVersion = resp.Version
	m.updateServerMetrics()
}

// updatedMember returns the member with a new announcement. It returns known unchanged
// if the announcement is older than the known one of the same incarnation.
func updatedMember(known *member, a *rpcpb.Announcement, now time.Duration) *member {
	if known != nil && known.announcement.Incarnation == a.Incarnation && known.announcement.Sequence > a.Sequence {
		return known
	}
	inFlight := new(place.InFlight)
	if known != nil {
		inFlight = known.inFlight
	}
	age := time.Duration(a.GetLoad().GetAgeMs()) * time.Millisecond
	return &member{
		announcement:     a,
		expires:          now + time.Duration(a.LeaseMs)*time.Millisecond,
		inFlight:         inFlight,
		inFlightAtReport: inFlight.Calls(),
		loadMeasuredAt:   now - age,
	}
}

// buildSnapshot returns the snapshot of a set of members. It derives the views from the
// old ones, so that subsets change only where a server joined or left.
func buildSnapshot(old *serverSnapshot, members map[string]*member) *serverSnapshot {
	byCapability := make(map[string][]place.Server)
	for _, m := range members {
		for _, model := range m.announcement.Models {
			byCapability[modelCapability(model)] = append(byCapability[modelCapability(model)], m.placeServer())
		}
		for _, service := range m.announcement.Services {
			byCapability[serviceCapability(service)] = append(byCapability[serviceCapability(service)], m.placeServer())
		}
	}
	next := &serverSnapshot{members: members, views: make(map[string]*place.View, len(byCapability))}
	for capability, list := range byCapability {
		if view := old.views[capability]; view != nil {
			next.views[capability] = view.WithServers(list)
			continue
		}
		next.views[capability] = place.NewView(place.DefaultParams(), list)
	}
	return next
}

func (m *member) placeServer() place.Server {
	a := m.announcement
	load := a.GetLoad()
	return place.Server{
		ID:            a.Server,
		FailureDomain: a.FailureDomain,
		State:         placeState(a.State),
		ExpiresAt:     m.expires,
		Load: place.Load{
			Running:                int64(load.GetRunning()),
			Waiting:                int64(load.GetWaiting()),
			BatchLimit:             int64(load.GetBatchLimit()),
			CacheUsedTokens:        int64(load.GetCacheUsedTokens()),
			CacheCapacityTokens:    int64(load.GetCacheCapacityTokens()),
			TokensPerSecond:        float64(load.GetTokensPerSecond()),
			PrefillTokensPerSecond: float64(load.GetPrefillTokensPerSecond()),
			MeasuredAt:             m.loadMeasuredAt,
		},
		InFlight:         m.inFlight,
		InFlightAtReport: m.inFlightAtReport,
	}
}

func placeState(s rpcpb.ServerState) place.State {
	switch s {
	case rpcpb.ServerState_SERVER_STATE_READY:
		return place.StateReady
	case rpcpb.ServerState_SERVER_STATE_LEAVING:
		return place.StateLeaving
	default:
		return place.StateDown
	}
}

// updateServerMetrics sets the number of known servers in each state.
func (m *membership) updateServerMetrics() {
	counts := map[rpcpb.ServerState]int{
		rpcpb.ServerState_SERVER_STATE_READY:   0,
		rpcpb.ServerState_SERVER_STATE_LEAVING: 0,
		rpcpb.ServerState_SERVER_STATE_DOWN:    0,
	}
	for _, known := range m.snapshot.Load().members {
		counts[known.announcement.State]++
	}
	for state, n := range counts {
		m.metrics.Servers.WithLabelValues(stateName(state)).Set(float64(n))
	}
}

func stateName(s rpcpb.ServerState) string {
	switch s {
	case rpcpb.ServerState_SERVER_STATE_READY:
		return "ready"
	case rpcpb.ServerState_SERVER_STATE_LEAVING:
		return "leaving"
	default:
		return "down"
	}
}
