package statehost

import (
	"context"
	"fmt"
	"sync"
	"time"

	"ibistray.example/ibistray/internal/clock"
	"ibistray.example/ibistray/internal/fleet"
	"ibistray.example/ibistray/internal/peer"
	"ibistray.example/ibistray/internal/policy/ratelimit"
	"ibistray.example/ibistray/proto/fleetpb"
	"ibistray.example/ibistray/proto/rpcpb"
)

// permitAllocator gives out the permits to send requests to servers with a limit, while
// this host leads the configuration group. It is safe for concurrent use.
type permitAllocator struct {
	mu        sync.Mutex
	term      uint64 // of the leadership in which permits were given out
	allocator *ratelimit.Allocator
}

func newPermitAllocator() *permitAllocator {
	return &permitAllocator{allocator: ratelimit.NewAllocator()}
}

// forTerm returns the allocator of a leadership. A new leadership begins without permits,
// since another leader may have given out the latest ones. The caller holds the mutex.
func (p *permitAllocator) forTerm(term uint64) *ratelimit.Allocator {
	if p.term != term {
		p.term, p.allocator = term, ratelimit.NewAllocator()
	}
	return p.allocator
}

// prune drops the state of servers that nobody asks for.
func (p *permitAllocator) prune(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.allocator.Prune(now)
}

// handlePermits gives an entry permits for the first candidate that has any. Only the leader
// of the configuration group can respond: its lease ensures that no other host gives out
// permits at the same time.
func (h *Host) handlePermits(ctx context.Context, req *fleetpb.PermitRequest) (*fleetpb.PermitResponse, error) {
	if err := h.replicas.ReadBarrier(ctx, ConfigGroup); err != nil {
		return nil, peer.RPCError(h.replicas, ConfigGroup, err)
	}
	status, err := h.replicas.Status(ctx, ConfigGroup)
	if err != nil {
		return nil, peer.RPCError(h.replicas, ConfigGroup, err)
	}
	limits := make([]*fleet.Limit, len(req.Candidates))
	for i, candidate := range req.Candidates {
		limits[i] = h.limitOf(candidate.Notice, req.Entry)
	}
	h.permits.mu.Lock()
	defer h.permits.mu.Unlock()
	return h.allocate(h.permits.forTerm(status.Term), req, limits), nil
}

// limitOf stores the limit that an entry knows and returns the one that is in force.
func (h *Host) limitOf(msg *fleetpb.Notice, entry string) *fleet.Limit {
	notice := fleet.NoticeFromProto(msg, entry)
	server, _ := h.servers.Note(notice, time.Now())
	if server == nil {
		// This host has not heard of the server yet.
		return notice.Limit
	}
	return server.Limit
}

// allocate gives out permits for the first candidate that has any.
func (h *Host) allocate(allocator *ratelimit.Allocator, req *fleetpb.PermitRequest, limits []*fleet.Limit) *fleetpb.PermitResponse {
	resp := new(fleetpb.PermitResponse)
	now := clock.SinceBoot()
	for i, candidate := range req.Candidates {
		state := &fleetpb.CandidateState{Limit: fleet.LimitToProto(limits[i])}
		resp.States = append(resp.States, state)
		if limits[i] == nil || !limits[i].Named {
			resp.Granted, resp.Permits = uint32(i), 1
			break
		}
		result := allocator.Ask(now, serverKey(candidate.Notice), ratelimit.Ask{
			Entry:      req.Entry,
			NewProgram: req.NewProgram,
			Rate:       limits[i].RequestsPerSecond,
			Wanted:     int(candidate.Wanted),
			Returned:   int(candidate.Returned),
		})
		state.RetryMs, state.SharePerSecond = result.Retry.Milliseconds(), result.Share
		if result.Permits > 0 {
			h.metrics.permits.WithLabelValues("granted").Add(float64(result.Permits))
			resp.Granted, resp.Permits = uint32(i), uint32(result.Permits)
			break
		}
		h.metrics.permits.WithLabelValues("denied").Inc()
	}
	return resp
}

// serverKey identifies one start of a server.
func serverKey(n *fleetpb.Notice) string {
	return fmt.Sprintf("%s %s %d", n.GetServer(), n.GetAddress(), n.GetBornMs())
}

// handleNotices stores what backend servers said about themselves to an entry.
func (h *Host) handleNotices(_ context.Context, req *fleetpb.NoticeReport) (*rpcpb.Empty, error) {
	for _, msg := range req.Notices {
		notice := fleet.NoticeFromProto(msg, req.Source)
		if _, changed := h.servers.Note(notice, time.Now()); changed {
			h.log.Info("backend server said", "server", notice.ID, "address", notice.Address, "born", notice.StartUnixMs, "leaving", notice.Leaving,
				"limited", msg.Limit.GetNamed(), "requests_per_second", msg.Limit.GetRequestsPerSecond(), "source", req.Source)
		}
	}
	return &rpcpb.Empty{}, nil
}
