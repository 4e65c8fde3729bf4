package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"ibistray.example/ibistray/internal/clock"
	"ibistray.example/ibistray/internal/fleet"
	"ibistray.example/ibistray/internal/leaderclient"
	"ibistray.example/ibistray/internal/telemetry"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/fleetpb"
)

const (
	// permitLifetime is how long a permit is valid after the entry asked for it. It is
	// measured on a clock that counts suspension.
	permitLifetime = 500 * time.Millisecond
	// permitTimeout limits a request for permits if another server takes the request without
	// one, and longPermitTimeout if none does: it covers most of an election.
	permitTimeout     = 100 * time.Millisecond
	longPermitTimeout = 400 * time.Millisecond
	// unreachableDelay is the time for which no permits are asked for after no leader
	// responded.
	unreachableDelay = 200 * time.Millisecond
	// prefetchPeriod is the period whose permits are asked for at once, by the latest use.
	prefetchPeriod = 100 * time.Millisecond
	// maxPermitCandidates limits the servers in one request for permits.
	maxPermitCandidates = 16
)

// Outcomes of requests for permits, a label of metrics.
const (
	permitsGranted     = "granted"
	permitsDenied      = "denied"
	permitsUnavailable = "unavailable"
)

// permitClient asks the state hosts for permits to send requests to servers with a limit.
// It is safe for concurrent use.
type permitClient struct {
	entry   string
	metrics *telemetry.Metrics
	call    func(ctx context.Context, req *fleetpb.PermitRequest) (*fleetpb.PermitResponse, error)
	now     func() time.Duration
	// onNotice receives the limits that the state hosts know.
	onNotice func(fleet.Notice)

	mu       sync.Mutex
	byServer map[serverStart]*permitState
}

// permitState is what an entry knows about the permits of one server.
type permitState struct {
	deniedUntil time.Duration
	share       float64 // requests a second that the entry can expect
	spare       int     // permits in hand
	askedAt     time.Duration
	returned    int // permits that expired unused
	used        rateCounter
}

// newPermitClient returns a client that finds the leader of the state hosts at addresses.
func newPermitClient(entry string, pool *transport.Pool, addresses func() []string, metrics *telemetry.Metrics, onNotice func(fleet.Notice)) *permitClient {
	client := leaderclient.NewWithOptions(pool, leaderclient.Options{
		Addresses:      addresses,
		AttemptTimeout: longPermitTimeout,
		OnRetry:        func(reason string) { metrics.Retries.WithLabelValues(reason).Inc() },
		SharedStream:   true,
	})
	leader := new(leaderclient.LeaderCache)
	return &permitClient{
		entry:   entry,
		metrics: metrics,
		call: func(ctx context.Context, req *fleetpb.PermitRequest) (*fleetpb.PermitResponse, error) {
			resp := new(fleetpb.PermitResponse)
			return resp, client.Call(ctx, leader, transport.MethodPermits, 0, req, resp)
		},
		now:      clock.SinceBoot,
		onNotice: onNotice,
		byServer: make(map[serverStart]*permitState),
	}
}

// state returns the state of a server and adds it if necessary. The caller holds the mutex.
func (p *permitClient) state(server *fleet.Instance) *permitState {
	start := startOf(server)
	if p.byServer[start] == nil {
		p.byServer[start] = new(permitState)
	}
	return p.byServer[start]
}

// denied reports whether a server has a limit and permits for it were denied a moment ago.
func (p *permitClient) denied(server *fleet.Instance) bool {
	if !server.Limited() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(server)
	return s.spareAt(p.now()) == 0 && p.now() < s.deniedUntil
}

// outlook returns the time until permits may be asked for again for one of the servers that
// have a limit, and the requests a second that the entry can expect from all of them, 0 if
// that is unknown.
func (p *permitClient) outlook(servers []*fleet.Instance) (wait time.Duration, share float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wait = unreachableDelay
	for _, server := range servers {
		if !server.Limited() {
			continue
		}
		s := p.state(server)
		wait = min(wait, max(0, s.deniedUntil-p.now()))
		share += s.share
	}
	return wait, share
}

// spareAt drops the permits in hand that have expired and returns the number of the others.
func (s *permitState) spareAt(now time.Duration) int {
	if s.spare > 0 && now-s.askedAt > permitLifetime {
		s.returned += s.spare
		s.spare = 0
	}
	return s.spare
}

// wanted returns the number of permits to ask for.
func (s *permitState) wanted(now time.Duration) uint32 {
	return uint32(1 + s.used.perSecond(now)*prefetchPeriod.Seconds())
}

// permit allows one request to a server until it expires.
type permit struct {
	server  *fleet.Instance
	askedAt time.Duration
}

// expired reports whether the permit must not be used any more.
func (p *permitClient) expired(permit permit) bool {
	return p.now()-permit.askedAt > permitLifetime
}

// takeSpare returns a permit that is in hand for one of the servers, in order of preference.
func (p *permitClient) takeSpare(servers []*fleet.Instance) (permit, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for _, server := range servers {
		if s := p.state(server); s.spareAt(now) > 0 {
			s.spare--
			s.used.add(now)
			return permit{server: server, askedAt: s.askedAt}, true
		}
	}
	return permit{}, false
}

// obtain returns a permit for one of the servers, in order of preference. It returns false
// if none has any, or if no leader responds before ctx ends; the servers count as denied for
// a while then.
func (p *permitClient) obtain(ctx context.Context, servers []*fleet.Instance, newProgram bool) (permit, bool) {
	if permit, ok := p.takeSpare(servers); ok {
		return permit, true
	}
	servers = servers[:min(len(servers), maxPermitCandidates)]
	if len(servers) == 0 {
		return permit{}, false
	}
	askedAt := p.now()
	resp, err := p.call(ctx, p.request(servers, newProgram))
	if err != nil || len(resp.States) > len(servers) || resp.Permits > 0 && int(resp.Granted) >= len(servers) {
		if !errors.Is(ctx.Err(), context.Canceled) {
			p.recordUnavailable(servers)
		}
		return permit{}, false
	}
	return p.recordResponse(servers, resp, askedAt)
}

// request returns the request for permits for one of the servers.
func (p *permitClient) request(servers []*fleet.Instance, newProgram bool) *fleetpb.PermitRequest {
	req := &fleetpb.PermitRequest{Entry: p.entry, NewProgram: newProgram}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, server := range servers {
		s := p.state(server)
		notice := fleet.Notice{ID: server.ID, Address: server.Address, StartUnixMs: server.StartUnixMs, Limit: server.Limit}
		req.Candidates = append(req.Candidates, &fleetpb.PermitCandidate{
			Notice: fleet.NoticeToProto(notice), Wanted: s.wanted(p.now()), Returned: uint32(s.returned),
		})
		s.returned = 0
	}
	return req
}

// recordUnavailable makes the servers count as denied, since no leader responded.
func (p *permitClient) recordUnavailable(servers []*fleet.Instance) {
	p.metrics.Permits.WithLabelValues(permitsUnavailable).Inc()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, server := range servers {
		p.state(server).deniedUntil = p.now() + unreachableDelay
	}
}

// recordResponse stores the outcome of a request that was sent at askedAt.
func (p *permitClient) recordResponse(servers []*fleet.Instance, resp *fleetpb.PermitResponse, askedAt time.Duration) (permit, bool) {
	for i, state := range resp.States {
		p.onNotice(fleet.Notice{
			ID: servers[i].ID, Address: servers[i].Address, StartUnixMs: servers[i].StartUnixMs, Limit: fleet.LimitFromProto(state.Limit),
		})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for i, state := range resp.States {
		s := p.state(servers[i])
		s.share = state.SharePerSecond
		if state.RetryMs > 0 {
			s.deniedUntil = now + time.Duration(state.RetryMs)*time.Millisecond
		}
	}
	if resp.Permits == 0 {
		p.metrics.Permits.WithLabelValues(permitsDenied).Inc()
		return permit{}, false
	}
	p.metrics.Permits.WithLabelValues(permitsGranted).Inc()
	granted := servers[resp.Granted]
	s := p.state(granted)
	s.spareAt(now)
	s.spare, s.askedAt = s.spare+int(resp.Permits)-1, askedAt
	s.used.add(now)
	return permit{server: granted, askedAt: askedAt}, true
}

// prune removes the servers that are not known any more.
func (p *permitClient) prune(known map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for start := range p.byServer {
		if !known[start.id] {
			delete(p.byServer, start)
		}
	}
}
