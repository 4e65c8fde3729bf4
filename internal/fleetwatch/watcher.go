// Package fleetwatch watches the updates of every state host, so that an update
// which one host missed arrives from another one.
package fleetwatch

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"ibistray.example/ibistray/internal/clock"
	"ibistray.example/ibistray/internal/loop"
	"ibistray.example/ibistray/internal/panics"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/fleetpb"
)

const (
	// KeepAliveInterval is the longest pause between two updates on a healthy stream.
	KeepAliveInterval = 400 * time.Millisecond
	// SilenceTimeout is the time without an update after which a stream counts as lost.
	SilenceTimeout = 1500 * time.Millisecond

	// reconnectDelay is the pause before a broken stream is opened again, and
	// longOutageDelay the pause once the host has been out of reach for longOutage: a
	// restart takes less, and a host that is gone for good must cost little.
	reconnectDelay  = 50 * time.Millisecond
	longOutage      = 10 * time.Second
	longOutageDelay = time.Second
	refreshInterval = 500 * time.Millisecond
)

// Options configures a Watcher.
type Options struct {
	Pool   *transport.Pool
	Logger hclog.Logger
	// Addresses returns the addresses of the state hosts to watch. It is called at every
	// refresh, so the list may change.
	Addresses func() []string
	// NewRequest returns the request that opens a stream.
	NewRequest func() *fleetpb.WatchRequest
	// OnUpdate is called with each update, from a separate goroutine for each host.
	OnUpdate func(address string, update *fleetpb.Update)
}

// errOutdated ends a stream whose next update may have waited here while this process stood
// still, so that it shows an earlier state.
var errOutdated = errors.New("fleetwatch: the next update may be outdated")

// Watcher holds one stream to each state host.
type Watcher struct {
	opts     Options
	bootTime func() time.Duration // clock.SinceBoot

	mu      sync.Mutex
	wake    loop.Waker
	streams map[string]context.CancelFunc // by address
	updated map[string]time.Time          // time of the latest update by address
	running sync.WaitGroup                // stream goroutines
}

// NewWatcher returns a watcher that opens no streams until Run is called.
func NewWatcher(opts Options) *Watcher {
	return &Watcher{
		opts:     opts,
		bootTime: clock.SinceBoot,
		wake:     loop.NewWaker(),
		streams:  make(map[string]context.CancelFunc),
		updated:  make(map[string]time.Time),
	}
}

// Run keeps the streams open until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	loop.EveryOrWoken(ctx, refreshInterval, w.wake, w.refresh)
	w.running.Wait()
}

// Refresh makes Run apply a change of the addresses at once.
func (w *Watcher) Refresh() { w.wake.Wake() }

// refresh opens streams to hosts that were added and closes those to hosts that were
// removed.
func (w *Watcher) refresh(ctx context.Context) {
	wanted := make(map[string]bool)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, address := range w.opts.Addresses() {
		wanted[address] = true
		if w.streams[address] != nil {
			continue
		}
		streamCtx, cancel := context.WithCancel(ctx)
		w.streams[address] = cancel
		w.running.Go(func() {
			panics.Restart(streamCtx, w.opts.Logger, "watch", func(ctx context.Context) { w.maintain(ctx, address) })
		})
	}
	for address, cancel := range w.streams {
		if !wanted[address] {
			cancel()
			delete(w.streams, address)
			delete(w.updated, address)
		}
	}
}

// maintain reopens the stream to a host whenever it breaks. It logs the first failure,
// and later ones only if there were updates in between.
func (w *Watcher) maintain(ctx context.Context, address string) {
	failedBefore := false
	lastContact := time.Now()
	for ctx.Err() == nil {
		received, err := w.watch(ctx, address)
		if ctx.Err() != nil {
			return
		}
		if received {
			lastContact = time.Now()
		}
		if received || !failedBefore {
			w.opts.Logger.Info("state host is out of reach", "address", address, "error", err)
		}
		failedBefore = true
		w.opts.Pool.CloseSession(address)
		if !loop.Sleep(ctx, pauseAfter(time.Since(lastContact))) {
			return
		}
	}
}

// pauseAfter returns the pause before the next attempt to reach a host after an outage.
func pauseAfter(outage time.Duration) time.Duration {
	if outage < longOutage {
		return reconnectDelay
	}
	return longOutageDelay
}

// watch receives the updates of one stream until the stream breaks or delivers none for
// SilenceTimeout. It reports whether there was an update. After a longer silence it returns
// errOutdated in place of an update: the updates that were sent meanwhile arrive one after the
// other, and only a new stream begins with the state of now.
func (w *Watcher) watch(ctx context.Context, address string) (bool, error) {
	received := false
	// The stream is unlimited in time, so it is opened without a deadline.
	stream, err := w.opts.Pool.Open(ctx, address, transport.MethodFleetWatch)
	if err != nil {
		return false, err
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() {
		// A closed stream still waits for the peer's next message.
		if err := stream.SetReadDeadline(time.Now()); err != nil {
			w.opts.Logger.Debug("wait for an update not ended", "address", address, "error", err)
		}
		stream.Close()
	})
	defer stop()
	if err := stream.Send(w.opts.NewRequest()); err != nil {
		return false, err
	}
	previous := w.bootTime()
	// A closed stream still delivers messages from the peer, so ctx is checked too.
	for ctx.Err() == nil {
		if err := stream.SetDeadline(time.Now().Add(SilenceTimeout)); err != nil {
			return received, errors.Join(transport.ErrInterrupted, err)
		}
		if ctx.Err() != nil {
			break // the end of ctx has set an earlier deadline
		}
		update := new(fleetpb.Update)
		if err := stream.Recv(update); err != nil {
			return received, err
		}
		now := w.bootTime()
		if now-previous > SilenceTimeout {
			return received, errOutdated
		}
		previous = now
		if !received {
			w.opts.Logger.Info("state host is watched", "address", address)
		}
		received = true
		w.recordUpdate(ctx, address)
		if err := panics.Contain(w.opts.Logger, "update", func() { w.opts.OnUpdate(address, update) }); err != nil {
			return received, err
		}
	}
	return received, ctx.Err()
}

// recordUpdate records the time of an update unless the host was removed meanwhile.
func (w *Watcher) recordUpdate(ctx context.Context, address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() == nil {
		w.updated[address] = time.Now()
	}
}

// LastUpdates returns the time of the latest update from each watched host, by address.
func (w *Watcher) LastUpdates() map[string]time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.updated)
}
