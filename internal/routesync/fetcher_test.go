package routesync

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/proto/fleetpb"
)

// fakeHosts are state hosts that offer routes to one entry.
type fakeHosts struct {
	mu       sync.Mutex
	versions map[string]uint64        // in force at each host
	silent   map[string]bool          // does not respond
	fetched  map[string]int           // fetches by host
	inForce  atomic.Uint64            // at the entry
	delay    map[string]time.Duration // until a response
}

func newFakeHosts() *fakeHosts {
	return &fakeHosts{versions: make(map[string]uint64), silent: make(map[string]bool), fetched: make(map[string]int), delay: make(map[string]time.Duration)}
}

func (h *fakeHosts) fetch(ctx context.Context, address string, _ uint64) (*fleetpb.Routes, error) {
	h.mu.Lock()
	h.fetched[address]++
	version, silent, delay := h.versions[address], h.silent[address], h.delay[address]
	h.mu.Unlock()
	if silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(delay):
	}
	if version == 0 {
		return nil, errors.New("connection refused")
	}
	return &fleetpb.Routes{Version: version, Document: []byte("routes")}, nil
}

// run runs a fetcher for the hosts while f runs.
func (h *fakeHosts) run(t *testing.T, f func(*Fetcher)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fetcher := NewFetcher(Options{
			Logger: hclog.NewNullLogger(), Fetch: h.fetch, InForce: h.inForce.Load,
			Apply: func(_ string, routes *fleetpb.Routes) { h.inForce.Store(max(h.inForce.Load(), routes.Version)) },
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); fetcher.Run(ctx) }()
		f(fetcher)
		cancel()
		<-done
	})
}

// TestLargeDocumentIsFetchedOnce has four hosts that announce each version.
func TestLargeDocumentIsFetchedOnce(t *testing.T) {
	h := newFakeHosts()
	h.run(t, func(f *Fetcher) {
		for version := range uint64(5) {
			for _, address := range []string{"a", "b", "c", "d"} {
				h.mu.Lock()
				h.versions[address] = version + 1
				h.mu.Unlock()
				f.Announce(address, version+1)
			}
			time.Sleep(100 * time.Millisecond)
			assert.Equal(t, h.inForce.Load(), version+1)
		}
	})
	total := 0
	for _, n := range h.fetched {
		total += n
	}
	assert.Equal(t, total, 5)
}

// TestSilentHostDelaysRoutesByOneTimeout has hosts that announced the newest version and then
// fall silent, fail or lag, and another one with an older version.
func TestSilentHostDelaysRoutesByOneTimeout(t *testing.T) {
	tests := map[string]func(h *fakeHosts){
		"silent": func(h *fakeHosts) { h.silent["a"] = true },
		"down":   func(h *fakeHosts) { h.versions["a"] = 0 },
		"slow":   func(h *fakeHosts) { h.delay["a"] = hedgeDelay },
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			h := newFakeHosts()
			h.versions["a"], h.versions["b"] = 8, 7
			fault(h)
			h.run(t, func(f *Fetcher) {
				f.Announce("a", 8)
				f.Announce("b", 7)
				time.Sleep(hedgeDelay + minRetryDelay + time.Millisecond)
				assert.Assert(t, h.inForce.Load() >= 7, "version %d", h.inForce.Load())
				h.mu.Lock()
				h.versions["b"] = 8
				h.mu.Unlock()
				f.Announce("b", 8)
				time.Sleep(2 * (hedgeDelay + maxRetryDelay))
				assert.Equal(t, h.inForce.Load(), uint64(8))
			})
		})
	}
}

func TestPackRoundTrip(t *testing.T) {
	for _, document := range []string{"", "x", strings.Repeat(`{"name":"r"},`, 50_000)} {
		packed, err := Pack([]byte(document))
		assert.NilError(t, err)
		got, err := Unpack(packed)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, []byte(document)))
	}
}

func TestUnpackRefusesMalformedAndHugeDocuments(t *testing.T) {
	huge, err := Pack(make([]byte, 17<<20))
	assert.NilError(t, err)
	for name, packed := range map[string][]byte{"huge": huge, "garbage": []byte("garbage"), "truncated": huge[:len(huge)/2]} {
		_, err := Unpack(packed)
		assert.Check(t, errors.Is(err, ErrMalformed), fmt.Sprint(name, err))
	}
}

// TestSlowTransferComesIntoForce guards against a document that takes longer than the wait for
// another host: each host was given up before its response, again and again.
func TestSlowTransferComesIntoForce(t *testing.T) {
	for name, transfer := range map[string]time.Duration{"shortly after": 600 * time.Millisecond, "seconds": 8 * time.Second} {
		t.Run(name, func(t *testing.T) {
			h := newFakeHosts()
			for _, address := range []string{"a", "b", "c"} {
				h.versions[address], h.delay[address] = 8, transfer
			}
			h.run(t, func(f *Fetcher) {
				for _, address := range []string{"a", "b", "c"} {
					f.Announce(address, 8)
				}
				time.Sleep(transfer + time.Millisecond)
				assert.Equal(t, h.inForce.Load(), uint64(8))
			})
		})
	}
}

// TestNewerVersionIsFetchedBesideASilentFetch has a host that announces a newer version while
// the fetch of an older one from another host hangs.
func TestNewerVersionIsFetchedBesideASilentFetch(t *testing.T) {
	h := newFakeHosts()
	h.versions["a"], h.silent["a"] = 8, true
	h.run(t, func(f *Fetcher) {
		f.Announce("a", 8)
		time.Sleep(2 * hedgeDelay)
		h.mu.Lock()
		h.versions["b"] = 9
		h.mu.Unlock()
		f.Announce("b", 9)
		time.Sleep(time.Millisecond)
		assert.Equal(t, h.inForce.Load(), uint64(9))
	})
}

// TestCutDocumentIsMalformed cuts a packed document at each byte.
func TestCutDocumentIsMalformed(t *testing.T) {
	packed, err := Pack([]byte(strings.Repeat(`{"name":"r"},`, 300)))
	assert.NilError(t, err)
	for at := range packed {
		document, err := Unpack(packed[:at])
		assert.ErrorIs(t, err, ErrMalformed, "cut at %d of %d: %d bytes", at, len(packed), len(document))
	}
}
