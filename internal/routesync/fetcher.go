package routesync

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"ibistray.example/ibistray/internal/loop"
	"ibistray.example/ibistray/internal/panics"
	"ibistray.example/ibistray/proto/fleetpb"
)

const (
	// hedgeDelay is the time after which a further host is asked while a fetch runs. That fetch
	// goes on: a large document takes longer on a slow link, and starting anew would not help.
	hedgeDelay = 500 * time.Millisecond
	// fetchTimeout limits one fetch from a host that sends nothing although its connection is
	// alive. It covers the largest document at 1 MB a second.
	fetchTimeout = 16 * time.Second
	// minRetryDelay is the pause after the first failure of a host. It doubles with each
	// further one up to maxRetryDelay.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = time.Second
	// idleDelay is the wait for the next announcement when there is nothing to fetch.
	idleDelay = time.Hour
)

// Options configures a Fetcher.
type Options struct {
	Logger hclog.Logger
	// Fetch returns the document of at least a version from the host at address.
	Fetch func(ctx context.Context, address string, version uint64) (*fleetpb.Routes, error)
	// InForce returns the version in force.
	InForce func() uint64
	// Apply puts a document in force.
	Apply func(address string, routes *fleetpb.Routes)
}

// Fetcher fetches the newest announced document until it is in force. It is safe for
// concurrent use.
type Fetcher struct {
	opts Options
	wake loop.Waker

	mu        sync.Mutex
	sources   []*source // hosts with versions that are not in force, in the order of arrival
	lastStart time.Time // of the latest fetch
}

// source is a host with the newest version that it announced.
type source struct {
	address  string
	version  uint64
	failures int                // fetches that failed since the announcement
	retryAt  time.Time          // earliest time of the next fetch
	cancel   context.CancelFunc // of the running fetch, nil: none runs
}

// better reports whether s is to be asked before other: hosts that failed come last, since
// they may be out of reach while others offer an older version than theirs.
func (s *source) better(other *source) bool {
	if s.failures != other.failures {
		return s.failures < other.failures
	}
	return s.version > other.version
}

// NewFetcher returns a fetcher that fetches nothing until Run is called.
func NewFetcher(opts Options) *Fetcher {
	return &Fetcher{opts: opts, wake: loop.NewWaker()}
}

// Announce records that the host at address offers a version.
func (f *Fetcher) Announce(address string, version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	defer f.wake.Wake()
	for _, s := range f.sources {
		if s.address == address {
			s.version, s.failures, s.retryAt = version, 0, time.Time{}
			return
		}
	}
	f.sources = append(f.sources, &source{address: address, version: version})
}

// Run fetches announced documents until ctx ends.
func (f *Fetcher) Run(ctx context.Context) {
	var fetches sync.WaitGroup
	defer fetches.Wait()
	for {
		timer := time.NewTimer(f.startDue(ctx, &fetches))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-f.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// startDue starts a fetch if one is due and returns the time until the next one may be.
func (f *Fetcher) startDue(ctx context.Context, fetches *sync.WaitGroup) time.Duration {
	inForce := f.opts.InForce()
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropReached(inForce)
	running, next := f.choose()
	if next == nil {
		return idleDelay
	}
	due := next.retryAt
	if running && due.Before(f.lastStart.Add(hedgeDelay)) {
		due = f.lastStart.Add(hedgeDelay)
	}
	if wait := due.Sub(now); wait > 0 {
		return wait
	}
	fetchCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	next.cancel, f.lastStart = cancel, now
	version := next.version
	fetches.Go(func() { f.fetch(fetchCtx, next, version) })
	return hedgeDelay
}

// dropReached removes the hosts whose versions are in force and ends their fetches. The caller
// holds the mutex.
func (f *Fetcher) dropReached(inForce uint64) {
	f.sources = slices.DeleteFunc(f.sources, func(s *source) bool {
		reached := s.version <= inForce
		if reached && s.cancel != nil {
			s.cancel()
		}
		return reached
	})
}

// choose returns the host to ask next, nil if there is none, and whether a fetch runs. The caller
// holds the mutex.
func (f *Fetcher) choose() (running bool, next *source) {
	for _, s := range f.sources {
		switch {
		case s.cancel != nil:
			running = true
		case next == nil || s.better(next):
			next = s
		}
	}
	return running, next
}

// fetchAndApply fetches a document and puts it in force if it has the version or a later one.
func (f *Fetcher) fetchAndApply(ctx context.Context, address string, version uint64) (routes *fleetpb.Routes, err error) {
	panicked := panics.Contain(f.opts.Logger, "routes", func() {
		routes, err = f.opts.Fetch(ctx, address, version)
		if err == nil && routes.Version >= version {
			f.opts.Apply(address, routes)
		}
	})
	return routes, errors.Join(err, panicked)
}

// fetch fetches a document and puts it in force. If that fails, the host is asked again later.
func (f *Fetcher) fetch(ctx context.Context, from *source, version uint64) {
	routes, err := f.fetchAndApply(ctx, from.address, version)
	reached := f.opts.InForce() >= version
	if !reached && ctx.Err() != context.Canceled {
		f.opts.Logger.Warn("routes not fetched", "from", from.address, "version", version, "received", routes.GetVersion(), "error", err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	defer f.wake.Wake()
	from.cancel()
	from.cancel = nil
	if !reached && from.version == version {
		from.retryAt = time.Now().Add(min(minRetryDelay<<min(from.failures, 10), maxRetryDelay))
		from.failures++
	}
}
