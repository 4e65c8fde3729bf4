package sidecar

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/rpcpb"
)

const (
	probeTimeout    = time.Second
	announceTimeout = time.Second
)

// probe asks the backend server for its health and load.
func (s *Sidecar) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if err := s.backend.Health(ctx); err != nil {
		if s.healthy.Swap(false) {
			s.log.Warn("backend server does not answer", "error", err)
		}
		return
	}
	if s.cfg.Kind == rpcpb.ServerKind_SERVER_KIND_ENGINE {
		s.probeLoad(ctx)
	}
	if !s.healthy.Swap(true) {
		s.log.Info("backend server answers")
	}
}

func (s *Sidecar) probeLoad(ctx context.Context) {
	load, err := s.backend.Load(ctx)
	if err != nil {
		s.log.Debug("no load report", "error", err)
		return
	}
	s.slots.observe(s.slotLimit(load.BatchLimit), s.memoryUse(load.CacheCapacityTokens))
	s.load.Store(&rpcpb.Load{
		Running:                load.Running,
		Waiting:                load.Waiting,
		BatchLimit:             load.BatchLimit,
		CacheUsedTokens:        load.CacheUsedTokens,
		CacheCapacityTokens:    load.CacheCapacityTokens,
		AgeMs:                  load.AgeMS,
		TokensPerSecond:        load.TokensPerSecond,
		PrefillTokensPerSecond: load.PrefillTokensPerSecond,
	})
}

// slotLimit returns how many attempts may run together: as many as the engine
// batches, so that the order of the others is decided here.
func (s *Sidecar) slotLimit(batch uint32) int {
	if batch == 0 {
		return s.cfg.MaxRunning
	}
	return min(s.cfg.MaxRunning, int(batch))
}

// memoryUse returns the share of the engine's cache that programs hold. What the
// engine keeps beyond that it gives up by itself.
func (s *Sidecar) memoryUse(capacity uint64) float64 {
	if capacity == 0 {
		return 0
	}
	return float64(s.holds.heldTokens()) / float64(capacity)
}

// announce tells each control process what this server offers, all at the same
// time: one that is silent does not delay the others.
func (s *Sidecar) announce(ctx context.Context) {
	msg := s.announcement()
	var accepted atomic.Bool
	var exchanges sync.WaitGroup
	for _, address := range s.cfg.Control {
		exchanges.Go(func() {
			sent := time.Now()
			resp := new(rpcpb.AnnounceResponse)
			if err := s.tell(ctx, address, msg, resp); err != nil {
				s.log.Debug("announcement failed", "control", address, "error", err)
				return
			}
			accepted.Store(true)
			s.holder.Renew(resp.Configuration, sent)
		})
	}
	exchanges.Wait()
	if !accepted.Load() {
		s.metrics.AnnounceErrors.Inc()
	}
	s.metrics.LeaseRemaining.Set(s.holder.Remaining(time.Now()).Seconds())
	s.followStops()
}

func (s *Sidecar) tell(ctx context.Context, address string, msg *rpcpb.Announcement, resp *rpcpb.AnnounceResponse) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	return s.pool.Call(ctx, address, transport.MethodDirectoryAnnounce, msg, resp)
}

// followStops leaves when a planned stop names this server, and returns when it
// was lifted, unless the process itself is stopping.
func (s *Sidecar) followStops() {
	if s.stopping.Load() {
		return
	}
	if s.holder.View().PlannedStop(s.cfg.Server, s.cfg.Host, s.cfg.FailureDomain) != nil {
		s.lifecycle.fire(triggerLeave)
		return
	}
	s.lifecycle.fire(triggerReturn)
}

func (s *Sidecar) announcement() *rpcpb.Announcement {
	return &rpcpb.Announcement{
		Server:        s.cfg.Server,
		Sidecar:       s.cfg.Address,
		Incarnation:   s.incarnation,
		Region:        s.cfg.Region,
		FailureDomain: s.cfg.FailureDomain,
		Kind:          s.cfg.Kind,
		Models:        s.cfg.Models,
		Services:      s.cfg.Services,
		State:         s.serverState(),
		Sequence:      s.sequence.Add(1),
		Load:          s.currentLoad(),
		LeaseMs:       announceLease.Milliseconds(),

		ConfigurationVersion: s.holder.View().Version(),
	}
}

func (s *Sidecar) serverState() rpcpb.ServerState {
	switch {
	case s.lifecycle.state() != stateReady:
		return rpcpb.ServerState_SERVER_STATE_LEAVING
	case !s.healthy.Load():
		return rpcpb.ServerState_SERVER_STATE_DOWN
	default:
		return rpcpb.ServerState_SERVER_STATE_READY
	}
}

func (s *Sidecar) currentLoad() *rpcpb.Load {
	load := s.load.Load()
	if load == nil {
		load = &rpcpb.Load{BatchLimit: uint32(s.cfg.MaxRunning)}
	}
	running, waiting := s.slots.counts()
	s.metrics.WaitingCalls.Set(float64(waiting))
	return &rpcpb.Load{
		Running:                uint32(running),
		Waiting:                uint32(waiting) + load.Waiting,
		BatchLimit:             load.BatchLimit,
		CacheUsedTokens:        load.CacheUsedTokens,
		CacheCapacityTokens:    load.CacheCapacityTokens,
		AgeMs:                  min(load.AgeMs, uint32(announceLease/time.Millisecond)),
		TokensPerSecond:        load.TokensPerSecond,
		PrefillTokensPerSecond: load.PrefillTokensPerSecond,
	}
}
