package gateway

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/proto/fleetpb"
)

// TestReportOfUnknownServiceHidesNoServer guards against a report of another writer at the address
// of a backend server, with a later start and a service that no route names: the server was taken
// for replaced.
func TestReportOfUnknownServiceHidesNoServer(t *testing.T) {
	server := newBackend(t, "a", respondOK)
	f := newFixture(t, server)
	foreign := instanceOf(server)
	foreign.Id, foreign.Service, foreign.BornMs = "other", "unknown", 1<<40
	f.view.apply("test", &fleetpb.Update{Instances: []*fleetpb.Instance{foreign}})
	assert.Equal(t, f.send(t, http.MethodGet, "/safe/x", "", "Id", "1").status, http.StatusOK)

	// Once routes name the service, the later start is the server at the address.
	f.useService(t, "unknown", newBackend(t, "b", respondOK))
	assert.Equal(t, len(f.view.usableServers("s")), 0)
}
