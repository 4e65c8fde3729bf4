package passthrough

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestLongestIdleConnectionsAreClosedFirst(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	p := NewPool(time.Second, func(error) {})
	target := Server{ID: "a", Address: strings.TrimPrefix(server.URL, "http://")}
	var conns []*conn
	for range 4 {
		c, err := p.dial(t.Context(), target.Address)
		assert.NilError(t, err)
		conns = append(conns, c)
	}
	for _, c := range conns[:3] {
		p.putIdle(target, c)
	}
	open, idle := p.Connections()
	assert.Equal(t, open, 4)
	assert.Equal(t, idle, 3)
	p.CloseIdle(2)
	open, idle = p.Connections()
	assert.Equal(t, open, 2)
	assert.Equal(t, idle, 1)
	assert.Assert(t, conns[0].closed.Load() && conns[1].closed.Load() && !conns[2].closed.Load())
	p.CloseIdle(9)
	open, idle = p.Connections()
	assert.Equal(t, open, 1)
	assert.Equal(t, idle, 0)
	conns[3].close()
}
