package statehost

import (
	"bytes"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/routesync"
	"ibistray.example/ibistray/proto/fleetpb"
)

// TestLargeRoutesAreFetchedNotPushed puts documents of several sizes in force. Watchers must
// receive a large one as its version only, and fetch it as it is.
func TestLargeRoutesAreFetchedNotPushed(t *testing.T) {
	h := &Host{config: newConfigState()}
	_, err := h.handleRoutesFetch(t.Context(), &fleetpb.Routes{Version: 1})
	assert.ErrorContains(t, err, "not in force")
	for version, size := range []int{100, routesync.MaxPushedBytes, routesync.MaxPushedBytes + 1, 4 << 20} {
		routes := &fleetpb.Routes{Version: uint64(version + 1), Document: bytes.Repeat([]byte("r"), size)}
		data, err := proto.Marshal(&fleetpb.ConfigCommand{Kind: &fleetpb.ConfigCommand_PutRoutes{PutRoutes: routes}})
		assert.NilError(t, err)
		assert.Assert(t, h.config.Apply(0, data) == nil)
		pushed := announcement(routes)
		assert.Equal(t, pushed.Version, routes.Version)
		assert.Equal(t, len(pushed.Document) > 0, size <= routesync.MaxPushedBytes)
		for range 2 {
			packed, err := h.handleRoutesFetch(t.Context(), &fleetpb.Routes{Version: routes.Version})
			assert.NilError(t, err)
			document, err := routesync.Unpack(packed.Document)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(document, routes.Document))
		}
		_, err = h.handleRoutesFetch(t.Context(), &fleetpb.Routes{Version: routes.Version + 1})
		assert.ErrorContains(t, err, "not in force")
	}
}

// TestLargeRoutesReachWatchersThatDoNotFetch guards against entries of an older build that take
// the announcement of a large document for an unreadable one and keep their routes for good.
func TestLargeRoutesReachWatchersThatDoNotFetch(t *testing.T) {
	large := func(version uint64) *fleetpb.Routes {
		return &fleetpb.Routes{Version: version, Document: bytes.Repeat([]byte("r"), routesync.MaxPushedBytes+1)}
	}
	start := time.Now()
	h := new(Host)
	old, other, present := watcher{host: h}, watcher{host: h}, watcher{host: h, fetchesRoutes: true}
	for _, w := range []*watcher{&old, &other, &present} {
		assert.Equal(t, len(w.nextRoutes(large(1), start).Document), 0)
		assert.Assert(t, w.nextRoutes(large(1), start.Add(pushDelay-1)) == nil)
	}
	// Further versions do not put the first document off.
	assert.Equal(t, len(old.nextRoutes(large(2), start.Add(pushDelay-1)).Document), 0)
	pushed := old.nextRoutes(large(3), start.Add(pushDelay))
	assert.Equal(t, pushed.GetVersion(), uint64(3))
	assert.Assert(t, len(pushed.GetDocument()) > 0)
	assert.Assert(t, old.nextRoutes(large(3), start.Add(time.Hour)) == nil)
	// Documents of this size follow each other after 2 ms.
	assert.Equal(t, len(other.nextRoutes(large(3), start.Add(pushDelay)).Document), 0)
	assert.Assert(t, other.nextRoutes(large(3), start.Add(pushDelay+time.Millisecond)) == nil)
	assert.Assert(t, len(other.nextRoutes(large(3), start.Add(pushDelay+2*time.Millisecond)).GetDocument()) > 0)
	assert.Assert(t, present.nextRoutes(large(1), start.Add(time.Hour)) == nil)
}
