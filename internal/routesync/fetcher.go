package routesync

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"ibistray.example/ibistray/internal/loop"
	"ibistray.example/ibistray/proto/fleetpb"
)

const (
	// fetchTimeout limits one fetch. Another host is asked then.
	fetchTimeout = 500 * time.Millisecond
	// minRetryDelay is the pause after the first failure of a host. It doubles with each
	// further one up to maxRetryDelay.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = time.Second
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

	mu      sync.Mutex
	sources []source // hosts with versions that are not in force, in the order of arrival
}

// source is a host with the newest version that it announced.
type source struct {
	address  string
	version  uint64
	failures int // fetches that failed since the announcement
}

// better reports whether s is to be asked before other: hosts that failed come last, since
// they may be out of reach while others offer an older version than theirs.
func (s source) better(other source) bool {
	return cmp.Or(cmp.Compare(other.failures, s.failures), cmp.Compare(s.version, other.version)) > 0
}

// NewFetcher returns a fetcher that fetches nothing until Run is called.
func NewFetcher(opts Options) *Fetcher {
	return &Fetcher{opts: opts, wake: loop.NewWaker()}
}

// Announce records that the host at address offers a version.
func (f *Fetcher) Announce(address string, version uint64) {
	f.mu.Lock()
	f.sources = slices.DeleteFunc(f.sources, func(s source) bool { return s.address == address })
	f.sources = append(f.sources, source{address: address, version: version})
	f.mu.Unlock()
	f.wake.Wake()
}

// Run fetches announced documents until ctx ends.
func (f *Fetcher) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
		}
		for next, ok := f.next(); ok; next, ok = f.next() {
			if f.fetch(ctx, next) {
				continue
			}
			if !loop.Sleep(ctx, min(minRetryDelay<<min(next.failures, 10), maxRetryDelay)) {
				return
			}
		}
	}
}

// next returns the host to ask. ok is false if all announced versions are in force.
func (f *Fetcher) next() (next source, ok bool) {
	inForce := f.opts.InForce()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sources = slices.DeleteFunc(f.sources, func(s source) bool { return s.version <= inForce })
	for _, s := range f.sources {
		if !ok || s.better(next) {
			next, ok = s, true
		}
	}
	return next, ok
}

// fetch fetches a document, puts it in force and reports whether it is.
func (f *Fetcher) fetch(ctx context.Context, from source) bool {
	fetchCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	routes, err := f.opts.Fetch(fetchCtx, from.address, from.version)
	if err == nil && routes.Version >= from.version {
		f.opts.Apply(from.address, routes)
	}
	if f.opts.InForce() >= from.version {
		return true
	}
	if ctx.Err() == nil {
		f.opts.Logger.Warn("routes not fetched", "from", from.address, "version", from.version, "received", routes.GetVersion(), "error", err)
	}
	f.countFailure(from)
	return false
}

// countFailure counts a failed fetch, unless the host has announced another version since.
func (f *Fetcher) countFailure(s source) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if i := slices.Index(f.sources, s); i >= 0 {
		f.sources[i].failures++
	}
}
