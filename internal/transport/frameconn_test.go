package transport

import (
	"bytes"
	"context"
	"net"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/proto/rpcpb"
)

// writeRecorder records the writes to a connection.
type writeRecorder struct {
	net.Conn
	writes [][]byte
}

func (c *writeRecorder) Write(p []byte) (int, error) {
	c.writes = append(c.writes, bytes.Clone(p))
	return len(p), nil
}

func TestHeaderAndBodyAreSentInOneWrite(t *testing.T) {
	recorder := new(writeRecorder)
	c := newFrameConn(recorder)
	data := []byte{0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 4}
	window := []byte{0, 1, 0, 0, 0, 0, 0, 1, 0, 0, 0, 4}
	empty := []byte{0, 0, 0, 4, 0, 0, 0, 1, 0, 0, 0, 0}
	for _, p := range [][]byte{data, []byte("body"), window, empty, data, window[:4]} {
		n, err := c.Write(p)
		assert.NilError(t, err)
		assert.Equal(t, n, len(p))
	}
	want := [][]byte{append(bytes.Clone(data), "body"...), window, empty, append(bytes.Clone(data), window[:4]...)}
	assert.DeepEqual(t, recorder.writes, want)
}

func TestFailedWriteOfBufferedHeaderIsReported(t *testing.T) {
	local, remote := net.Pipe()
	c := newFrameConn(local)
	_, err := c.Write([]byte{0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 4})
	assert.NilError(t, err)
	remote.Close()
	n, err := c.Write([]byte("body"))
	assert.ErrorContains(t, err, "closed pipe")
	assert.Equal(t, n, 0)
}

// messagesOfSeveralFramesArriveIntact echoes messages that span several yamux frames.
func messagesOfSeveralFramesArriveIntact(t *testing.T) {
	server := NewServer(hclog.NewNullLogger())
	defer server.Close()
	server.Handle("echo", Unary(func(_ context.Context, req *rpcpb.SnapshotChunk) (*rpcpb.SnapshotChunk, error) {
		return req, nil
	}))
	pool := NewPool(func(string) (net.Conn, error) {
		local, remote := net.Pipe()
		server.ServeConn(remote)
		return local, nil
	})
	defer pool.Close()
	for _, size := range []int{0, 1, 4 << 10, 300 << 10, 2 << 20} {
		req := &rpcpb.SnapshotChunk{Data: bytes.Repeat([]byte("x"), size)}
		resp := new(rpcpb.SnapshotChunk)
		assert.NilError(t, pool.Call(t.Context(), "peer", "echo", req, resp), "%d bytes", size)
		assert.Assert(t, bytes.Equal(req.Data, resp.Data), "%d bytes", size)
	}
}
