package gateway

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/account"
	"ibistray.example/ibistray/internal/routing"
)

// TestRequestThatWaitedUsesTheRoutesInForce guards against a request that waits for the
// confirmation of its key while its route moves to another service or is dropped: it kept the old
// route, whose service the new routes lack, and its connection was closed without a response.
func TestRequestThatWaitedUsesTheRoutesInForce(t *testing.T) {
	server := newBackend(t, "a", respondOK)
	for name, c := range map[string]struct {
		change func(*fixture)
		status int
	}{
		"moved":   {func(f *fixture) { f.useService(t, "t", server) }, http.StatusOK},
		"dropped": {func(f *fixture) { f.view.routes.Store(&routing.Document{Version: 2}) }, http.StatusNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, server)
			leader := f.withAccounts(t, newTestAccount("customer", "secret", account.Limit{}))
			leader.set(func(l *fakeAccountLeader) { l.version = 2 })
			time.AfterFunc(viewTimeout/4, func() {
				c.change(f)
				f.setAccounts(t, 2, newTestAccount("customer", "new", account.Limit{}))
			})
			got := f.send(t, http.MethodGet, "/safe/x", "", "Id", "1", "Key", "new")
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, c.status)
		})
	}
}
