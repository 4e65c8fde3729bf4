package sidecar

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"ibistray.example/ibistray/internal/panics"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/rpcpb"
)

const (
	probeTimeout    = time.Second
	announceTimeout = time.Second
)

// probe refuses waiting calls that can no longer end in time, checks the health of the
// backend server and reads the load of an engine.
func (s *Sidecar) probe(ctx context.Context) {
	s.slots.refuseLateNow()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if err := s.backend.Health(ctx); err != nil {
		if s.healthy.Swap(false) {
			s.log.Warn("backend server does not respond", "error", err)
		}
		return
	}
	if s.cfg.Kind == rpcpb.ServerKind_SERVER_KIND_ENGINE {
		s.probeLoad(ctx)
	}
	if !s.healthy.Swap(true) {
		s.log.Info("backend server responds")
	}
}

// probeLoad reads the load report of the engine and adjusts the slots to it.
func (s *Sidecar) probeLoad(ctx context.Context) {
	load, err := s.backend.Load(ctx)
	if err != nil {
		s.log.Debug("load report not read", "error", err)
		return
	}
	s.slots.update(s.slotLimit(load.BatchLimit), s.cacheShare(load.CacheCapacityTokens))
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

// slotLimit returns how many attempts may run at once: no more than the engine batches,
// so that the others wait in the queue of the sidecar, which orders them by its policy.
// A batch limit of 0 means that the engine states none.
func (s *Sidecar) slotLimit(batchLimit uint32) int {
	if batchLimit == 0 {
		return s.cfg.MaxRunning
	}
	return min(s.cfg.MaxRunning, int(batchLimit))
}

// cacheShare returns the share of the engine's cache, from 0 to 1, that the prefixes of
// programs occupy. Other contents of the cache do not count: the engine evicts them by
// itself when it needs space.
func (s *Sidecar) cacheShare(capacityTokens uint64) float64 {
	if capacityTokens == 0 {
		return 0
	}
	return float64(s.holds.heldTokens()) / float64(capacityTokens)
}

// announce sends the announcement of this server to all control processes concurrently,
// so that an unresponsive one does not delay the others. The responses renew the
// configuration lease.
func (s *Sidecar) announce(ctx context.Context) {
	msg := s.announcement()
	var accepted atomic.Bool
	var calls sync.WaitGroup
	for _, address := range s.cfg.Control {
		call := func() {
			sent := time.Now()
			resp := new(rpcpb.AnnounceResponse)
			if err := s.announceTo(ctx, address, msg, resp); err != nil {
				s.log.Debug("announcement failed", "control", address, "error", err)
				return
			}
			accepted.Store(true)
			s.leaseHolder.Renew(resp.Configuration, sent)
		}
		calls.Go(func() { _ = panics.Contain(s.log, "announcement", call) })
	}
	calls.Wait()
	if !accepted.Load() {
		s.metrics.AnnounceErrors.Inc()
	}
	s.metrics.LeaseRemaining.Set(s.leaseHolder.Remaining(time.Now()).Seconds())
	s.applyPlannedStop()
}

func (s *Sidecar) announceTo(ctx context.Context, address string, msg *rpcpb.Announcement, resp *rpcpb.AnnounceResponse) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	return s.pool.Call(ctx, address, transport.MethodDirectoryAnnounce, msg, resp)
}

// applyPlannedStop makes the sidecar leave if a planned stop covers this server, and
// return to service after the stop is lifted, unless the process itself is stopping.
func (s *Sidecar) applyPlannedStop() {
	if s.stopping.Load() {
		return
	}
	if s.leaseHolder.View().PlannedStop(s.cfg.Server, s.cfg.Host, s.cfg.FailureDomain) != nil {
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
		Sequence:      s.announceSequence.Add(1),
		Load:          s.currentLoad(),
		LeaseMs:       announceLease.Milliseconds(),

		ConfigurationVersion: s.leaseHolder.View().Version(),
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

// currentLoad returns the latest load report of the backend server with the attempts that
// run and wait in this sidecar.
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
