package gateway

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/routing"
	"ibistray.example/ibistray/proto/fleetpb"
)

// splitRoutes splits all routes between services by weight. All servers that the entry knows belong
// to the service that their ID names, at the version v1.
func (f *fixture) splitRoutes(t *testing.T, weights map[string]int, servers ...*backend) {
	t.Helper()
	old := f.view.routes.Load()
	split := &routing.Document{Version: old.Version + 1, Services: make(map[string]*routing.Service)}
	var backends []routing.Backend
	for service, weight := range weights {
		split.Services[service] = &routing.Service{Name: service}
		backends = append(backends, routing.Backend{Service: service, Weight: weight})
	}
	for _, r := range old.Routes {
		route := *r
		route.Backends = backends
		split.Routes = append(split.Routes, &route)
	}
	assert.NilError(t, split.Validate())
	f.view.routes.Store(split)
	update := &fleetpb.Update{}
	for _, server := range servers {
		instance := instanceOf(server)
		instance.Service, instance.Version, instance.Sequence, instance.BornMs = server.id, "v1", 2, 2
		update.Instances = append(update.Instances, instance)
	}
	f.view.apply("test", update)
}

// TestStreamIsResumedAtItsServiceOfASplitRoute guards against take-ups that were refused, since the
// weights of the route chose another service for them than for the attempt that began the stream:
// after a change of the weights, or by the ID of a request without a program.
func TestStreamIsResumedAtItsServiceOfASplitRoute(t *testing.T) {
	cases := map[string]map[string]int{
		"weights moved": {"left": 1, "right": 99999},
		"even split":    {"left": 1, "right": 1},
	}
	for name, weights := range cases {
		for _, path := range []string{"/stream/x", "/feed/x"} {
			t.Run(name+path, func(t *testing.T) {
				left, right := newBackend(t, "left", streamFrom), newBackend(t, "right", streamFrom)
				f := newFixture(t)
				f.splitRoutes(t, weights, left, right)
				f.ledger.streams["first"] = "left/v1"
				for i := range 8 {
					got := f.send(t, http.MethodPost, path, "in", "Id", fmt.Sprint("again ", i), "After", "3", "Resumes", "first", "Program", fmt.Sprint("p", i))
					assert.Equal(t, got.status, http.StatusOK, got.body)
					assert.Equal(t, got.body, eventText(4, 6))
				}
				assert.Equal(t, len(left.executed()), 8)
				assert.Equal(t, len(right.executed()), 0)
			})
		}
	}
}

// TestStreamIsNotResumedAtAServiceWithoutWeight has a canary that was taken back: the routes in force
// do not allow its service any more, although its servers are still there.
func TestStreamIsNotResumedAtAServiceWithoutWeight(t *testing.T) {
	canary, stable := newBackend(t, "canary", streamFrom), newBackend(t, "stable", streamFrom)
	f := newFixture(t)
	f.splitRoutes(t, map[string]int{"canary": 0, "stable": 1}, canary, stable)
	f.ledger.streams["first"] = "canary/v1"
	got := f.send(t, http.MethodPost, "/stream/x", "in", "Id", "again", "After", "3", "Resumes", "first", "Program", "p")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.body, reasonVersionGone+"\n")
	assert.Equal(t, len(canary.executed())+len(stable.executed()), 0)
}
