package gateway

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/routing"
	"ibistray.example/ibistray/proto/fleetpb"
)

const addedPath = "/added/x"

// withAddedRoute returns the routes in force of f as version 2, with one more route.
func (f *fixture) withAddedRoute(t *testing.T) *routing.Document {
	t.Helper()
	known := f.view.routes.Load()
	added := *known.Match("h", "/safe/x")
	added.Name, added.Prefix = "added", "/added/"
	doc := &routing.Document{Version: known.Version + 1, Routes: append([]*routing.Route{&added}, known.Routes...), Services: known.Services}
	assert.NilError(t, doc.Validate())
	return doc
}

// TestAddedRouteIsNotReportedAsMissing guards against a final refusal of a request whose route was
// added without the entry having it yet.
func TestAddedRouteIsNotReportedAsMissing(t *testing.T) {
	long := minPartitionDelay + time.Second
	cases := map[string]struct {
		arrange func(*fixture, *routing.Document)
		status  int
		reason  string
	}{
		"newest routes": {func(*fixture, *routing.Document) {}, http.StatusNotFound, reasonNoRoute},
		"no state host is heard": {func(f *fixture, _ *routing.Document) {
			f.setQuorumAge(long)
			f.view.lastUpdate.Add(-long.Nanoseconds())
		}, http.StatusServiceUnavailable, reasonRouteUnconfirmed},
		"the document is on its way": {func(f *fixture, doc *routing.Document) {
			f.view.routeAge.Announce(doc.Version, f.view.bootTime())
			time.AfterFunc(viewTimeout/4, func() { f.view.putInForce("state host", doc) })
		}, http.StatusOK, ""},
		"the document does not arrive": {func(f *fixture, doc *routing.Document) {
			f.view.routeAge.Announce(doc.Version, f.view.bootTime())
		}, http.StatusServiceUnavailable, reasonRouteUnconfirmed},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, newBackend(t, "a", respondOK))
			f.view.apply("state host", &fleetpb.Update{Quorum: true})
			c.arrange(f, f.withAddedRoute(t))
			got := f.send(t, http.MethodGet, addedPath, "", "Id", "1")
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, c.status)
			if c.reason != "" {
				assert.Equal(t, strings.TrimSpace(got.body), c.reason)
			}
			assert.Equal(t, got.close, c.status == http.StatusServiceUnavailable)
			assert.Equal(t, f.send(t, http.MethodGet, "/safe/x", "", "Id", "2").status, http.StatusOK, "a route that is there")
		})
	}
}

// TestRoutesThatMustBeReplacedAreNotObeyed guards against requests that run by routes which an
// acknowledged version has replaced, at an entry that knows of that version and lacks it.
func TestRoutesThatMustBeReplacedAreNotObeyed(t *testing.T) {
	server := newBackend(t, "a", respondOK)
	f := newFixture(t, server)
	doc := f.withAddedRoute(t)
	f.view.apply("state host", &fleetpb.Update{Quorum: true})
	f.view.routeAge.Announce(doc.Version, f.view.bootTime()-minPartitionDelay-time.Second)
	got := f.send(t, http.MethodGet, "/safe/x", "", "Id", "1")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, strings.TrimSpace(got.body), reasonOutdatedRoutes)
	assert.Assert(t, got.close && got.header.Get("Retry-After") != "")
	assert.Assert(t, !f.Ready())
	assert.Equal(t, len(server.executed()), 0)
	f.view.putInForce("state host", doc)
	assert.Equal(t, f.send(t, http.MethodGet, "/safe/x", "", "Id", "2").status, http.StatusOK)
}

// TestRoutesHaveTheVersionUnderWhichTheyAreHeld guards against an entry that refuses all requests,
// or ignores later versions, since it reads another version in a document than the state hosts did.
func TestRoutesHaveTheVersionUnderWhichTheyAreHeld(t *testing.T) {
	for name, inDocument := range map[string]uint64{"lower": 2, "higher": 9} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, newBackend(t, "a", respondOK))
			doc := f.withAddedRoute(t)
			f.view.decode = func([]byte) (*routing.Document, error) {
				decoded := *doc
				decoded.Version = inDocument
				return &decoded, nil
			}
			for _, version := range []uint64{5, 6} {
				f.view.apply("state host", &fleetpb.Update{Quorum: true, Routes: &fleetpb.Routes{Version: version, Document: []byte("{}")}})
				assert.Equal(t, f.view.routesVersion(), version)
				assert.Assert(t, !f.view.lacksRoutes())
			}
		})
	}
}
