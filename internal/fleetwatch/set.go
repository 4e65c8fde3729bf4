// Package fleetwatch keeps one stream of updates from each state host: what one
// host did not hear another one tells.
package fleetwatch

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"ibistray.example/ibistray/internal/loop"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/fleetpb"
)

const (
	// KeepAliveInterval is the longest pause between two updates of a stream.
	KeepAliveInterval = 400 * time.Millisecond
	// SilenceTimeout is the pause after which a stream counts as broken.
	SilenceTimeout = 1500 * time.Millisecond

	reconnectPause  = 200 * time.Millisecond
	refreshInterval = 500 * time.Millisecond
)

// Options are the settings of a Set.
type Options struct {
	Pool *transport.Pool
	Log  hclog.Logger
	// Addresses returns the state hosts to watch; they may change.
	Addresses func() []string
	// NewRequest returns the opening of a stream.
	NewRequest func() *fleetpb.WatchRequest
	// OnUpdate is called with each update, from one goroutine for each host.
	OnUpdate func(address string, update *fleetpb.Update)
}

// Watcher holds the streams of one process.
type Watcher struct {
	opts Options

	mu      sync.Mutex
	streams map[string]context.CancelFunc
	heard   map[string]time.Time // latest update by address
	work    sync.WaitGroup
}

// NewWatcher returns a set without streams.
func NewWatcher(opts Options) *Watcher {
	return &Watcher{
		opts:    opts,
		streams: make(map[string]context.CancelFunc),
		heard:   make(map[string]time.Time),
	}
}

// Run keeps the streams open until the context ends.
func (s *Watcher) Run(ctx context.Context) {
	loop.Every(ctx, refreshInterval, s.refresh)
	s.work.Wait()
}

// refresh opens streams to hosts that were added and ends those to hosts that are
// gone.
func (s *Watcher) refresh(ctx context.Context) {
	wanted := make(map[string]bool)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, address := range s.opts.Addresses() {
		wanted[address] = true
		if s.streams[address] != nil {
			continue
		}
		streamCtx, cancel := context.WithCancel(ctx)
		s.streams[address] = cancel
		s.work.Go(func() { s.keep(streamCtx, address) })
	}
	for address, cancel := range s.streams {
		if !wanted[address] {
			cancel()
			delete(s.streams, address)
			delete(s.heard, address)
		}
	}
}

// keep opens a stream anew whenever it breaks.
func (s *Watcher) keep(ctx context.Context, address string) {
	connected := false
	for ctx.Err() == nil {
		heard, err := s.watch(ctx, address)
		if ctx.Err() != nil {
			return
		}
		if heard || !connected {
			s.opts.Log.Info("state host is out of reach", "address", address, "error", err)
		}
		connected = true
		s.opts.Pool.Reset(address)
		if !loop.Sleep(ctx, reconnectPause) {
			return
		}
	}
}

// watch takes the updates of one stream until it breaks or falls silent. It
// reports whether there was an update.
func (s *Watcher) watch(ctx context.Context, address string) (bool, error) {
	heard := false
	// The stream has no end of its own, so it is opened without a deadline.
	stream, err := s.opts.Pool.Open(ctx, address, transport.MethodFleetWatch)
	if err != nil {
		return false, err
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { stream.Close() })
	defer stop()
	if err := stream.Send(s.opts.NewRequest()); err != nil {
		return false, err
	}
	// A closed stream still delivers what the peer sends, so the context is asked too.
	for ctx.Err() == nil {
		if err := stream.SetDeadline(time.Now().Add(SilenceTimeout)); err != nil {
			return heard, errors.Join(transport.ErrBroken, err)
		}
		update := new(fleetpb.Update)
		if err := stream.Recv(update); err != nil {
			return heard, err
		}
		if !heard {
			s.opts.Log.Info("state host is watched", "address", address)
		}
		heard = true
		s.record(ctx, address)
		s.opts.OnUpdate(address, update)
	}
	return heard, ctx.Err()
}

func (s *Watcher) record(ctx context.Context, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() == nil {
		s.heard[address] = time.Now()
	}
}

// LastUpdates returns when each watched host was heard last.
func (s *Watcher) LastUpdates() map[string]time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.heard)
}
