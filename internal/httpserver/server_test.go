package httpserver

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// TestStopRightAfterStart guards against a daemon that ended with exit code 1, "engine is not running",
// when SIGTERM came right after its start.
func TestStopRightAfterStart(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := New(listener, 1)
	server.Start()
	assert.NilError(t, server.Stop(t.Context()))
	<-server.ended
}
