package gateway

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/fleet"
	"ibistray.example/ibistray/internal/membudget"
	"ibistray.example/ibistray/internal/passthrough"
)

// TestExpiredAttemptDoesNotBeginItsResponse has an attempt whose time for the first output has
// expired, but whose connection is not closed yet when enough of the response has been read. The
// response was begun and then broken off when the connection closed.
func TestExpiredAttemptDoesNotBeginItsResponse(t *testing.T) {
	f := newFixture(t)
	w := httptest.NewRecorder()
	c := &call{
		g: f.Gateway, w: w, r: httptest.NewRequest(http.MethodGet, "/safe/", nil), memory: membudget.NewClaim(nil),
		route: f.view.routes.Load().Routes[0], deadline: time.Now().Add(time.Minute), server: &fleet.Instance{}, ignoreShutdown: func() bool { return true },
	}
	ctx, cancel := context.WithCancelCause(t.Context())
	c.stopSilenceTimers = c.startSilenceTimers(cancel)
	<-ctx.Done()
	assert.ErrorIs(t, context.Cause(ctx), errSilent)
	body := bytes.NewReader(make([]byte, 1<<20))
	err := c.forwardPlain(&passthrough.Exchange{Response: &http.Response{StatusCode: http.StatusOK, ContentLength: body.Size()}, Body: body})
	assert.ErrorIs(t, err, errSilent)
	assert.Assert(t, !c.responseStarted, "%d bytes were forwarded", w.Body.Len())
}
