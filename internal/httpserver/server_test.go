package httpserver

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
	"gotest.tools/v3/assert"
)

// TestStopRightAfterStart guards against a daemon that ended with exit code 1, "engine is not running",
// when SIGTERM came right after its start.
func TestStopRightAfterStart(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := New(listener, Limits{BodyBytes: 1})
	server.Start()
	assert.NilError(t, server.Stop(t.Context()))
	<-server.ended
}

// TestPanicOfAHandlerEndsItsRequest guards against a daemon that ends since a request makes a handler
// panic. A response whose body has begun must not look complete.
func TestPanicOfAHandlerEndsItsRequest(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := New(listener, Limits{BodyBytes: 1})
	server.GET("/at-once", func(context.Context, *app.RequestContext) { panic("boom") })
	server.GET("/streaming", func(_ context.Context, rc *app.RequestContext) {
		writer := sse.NewWriter(rc)
		assert.Check(t, writer.WriteEvent("", "", []byte("data")))
		panic("boom")
	})
	server.Start()
	for range 2 {
		resp, err := http.Get("http://" + listener.Addr().String() + "/at-once")
		assert.NilError(t, err)
		resp.Body.Close()
		assert.Equal(t, resp.StatusCode, http.StatusInternalServerError)
		resp, err = http.Get("http://" + listener.Addr().String() + "/streaming")
		assert.NilError(t, err)
		_, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		assert.Assert(t, err != nil, "the response looks complete")
	}
	assert.NilError(t, server.Stop(t.Context()))
}
