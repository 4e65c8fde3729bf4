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
	// membersLimit is the most backend servers of one model or service that an
	// entry knows, so that its cost does not grow with all servers.
	membersLimit = 64
)

// member is one backend server as an entry knows it.
type member struct {
	announcement *rpcpb.Announcement
	expires      time.Duration
	inFlight     *place.InFlight
	ownAtReport  int64
	reported     time.Duration
}

// servers is the entry's snapshot of the backend servers. It is immutable.
type servers struct {
	members map[string]*member     // by server ID
	offers  map[string]*place.View // by offer, see modelOffer and serviceOffer
}

func modelOffer(model string) string     { return "model " + model }
func serviceOffer(service string) string { return "service " + service }

// membership keeps the snapshot of the backend servers up to date.
type membership struct {
	pool    *transport.Pool
	control []string
	viewer  string
	metrics *telemetry.Metrics
	start   time.Time
	cell    *blackboard.Cell[*servers]
	holder  *configlease.Holder

	// Used by the refresh loop only.
	current   int // index in control
	directory string
	version   uint64
}

func newMembership(pool *transport.Pool, control []string, viewer string, metrics *telemetry.Metrics) *membership {
	empty := &servers{members: map[string]*member{}, offers: map[string]*place.View{}}
	return &membership{
		pool:    pool,
		control: control,
		viewer:  viewer,
		metrics: metrics,
		start:   time.Now(),
		cell:    blackboard.NewCell(empty),
		holder:  configlease.NewHolder(),
		current: rand.IntN(len(control)),
	}
}

// now is the time scale of the snapshots: since the start of the process.
func (m *membership) now() time.Duration {
	return time.Since(m.start)
}

// refresh reads the changes from one control process, from the next one if it
// does not answer.
func (m *membership) refresh(ctx context.Context) {
	for range m.control {
		sent := time.Now()
		resp, err := m.read(ctx, m.control[m.current])
		if err == nil {
			m.apply(resp)
			m.holder.Renew(resp.Configuration, sent)
		}
		if err == nil && resp.Configuration.GetFresh() {
			m.metrics.LeaseRemaining.Set(m.holder.Remaining(time.Now()).Seconds())
			return
		}
		m.metrics.Retries.WithLabelValues("directory_unreachable").Inc()
		m.current = (m.current + 1) % len(m.control)
	}
}

func (m *membership) read(ctx context.Context, address string) (*rpcpb.MembersResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, membersTimeout)
	defer cancel()
	req := &rpcpb.MembersRequest{
		Directory:    m.directory,
		SinceVersion: m.version,
		Viewer:       m.viewer,
		Limit:        membersLimit,

		ConfigurationVersion: m.holder.View().Version(),
	}
	resp := new(rpcpb.MembersResponse)
	if err := m.pool.Call(ctx, address, transport.MethodDirectoryMembers, req, resp); err != nil {
		return nil, err
	}
	return resp, nil
}

// apply publishes a new snapshot. Servers that another directory does not know
// yet stay until their lease runs out.
func (m *membership) apply(resp *rpcpb.MembersResponse) {
	now := m.now()
	m.cell.Update(func(old *servers) *servers {
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
			next[a.Server] = updated(next[a.Server], a, now)
		}
		return build(old, next)
	})
	m.directory = resp.Directory
	m.version = resp.Version
	m.count()
}

// updated returns the member after an announcement. An announcement that is
// older than the known one of the same incarnation changes nothing.
func updated(known *member, a *rpcpb.Announcement, now time.Duration) *member {
	if known != nil && known.announcement.Incarnation == a.Incarnation && known.announcement.Sequence > a.Sequence {
		return known
	}
	inFlight := new(place.InFlight)
	if known != nil {
		inFlight = known.inFlight
	}
	age := time.Duration(a.GetLoad().GetAgeMs()) * time.Millisecond
	return &member{
		announcement: a,
		expires:      now + time.Duration(a.LeaseMs)*time.Millisecond,
		inFlight:     inFlight,
		ownAtReport:  inFlight.Calls(),
		reported:     now - age,
	}
}

// build makes the snapshot of a set of members. Views whose servers stay the
// same keep their subsets.
func build(old *servers, members map[string]*member) *servers {
	byOffer := make(map[string][]place.Server)
	for _, m := range members {
		for _, model := range m.announcement.Models {
			byOffer[modelOffer(model)] = append(byOffer[modelOffer(model)], m.placeServer())
		}
		for _, service := range m.announcement.Services {
			byOffer[serviceOffer(service)] = append(byOffer[serviceOffer(service)], m.placeServer())
		}
	}
	next := &servers{members: members, offers: make(map[string]*place.View, len(byOffer))}
	for offer, list := range byOffer {
		if view := old.offers[offer]; view != nil {
			next.offers[offer] = view.WithServers(list)
			continue
		}
		next.offers[offer] = place.NewView(place.DefaultParams(), list)
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
			MeasuredAt:             m.reported,
		},
		InFlight:         m.inFlight,
		InFlightAtReport: m.ownAtReport,
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

func (m *membership) count() {
	counts := map[rpcpb.ServerState]int{
		rpcpb.ServerState_SERVER_STATE_READY:   0,
		rpcpb.ServerState_SERVER_STATE_LEAVING: 0,
		rpcpb.ServerState_SERVER_STATE_DOWN:    0,
	}
	for _, known := range m.cell.Load().members {
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
