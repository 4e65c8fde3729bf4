package transport

import (
	"errors"
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/proto/rpcpb"
)

// TestCutStreamNeverEnds cuts a message and the status that ends an RPC at each byte: only the
// whole status is the end.
func TestCutStreamNeverEnds(t *testing.T) {
	message, err := appendFrame(nil, frameMessage, &rpcpb.Announcement{Server: "s1"})
	assert.NilError(t, err)
	frames, err := appendFrame(message, frameStatus, &rpcpb.Status{Detail: "done"})
	assert.NilError(t, err)
	for at := range len(frames) + 1 {
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			if _, err := far.Write(frames[:at]); err != nil {
				t.Error(err)
			}
		}()
		stream := newStream(near)
		got := new(rpcpb.Announcement)
		err := stream.Recv(got)
		assert.Equal(t, err == nil, at >= len(message), "cut at %d of %d: %v", at, len(frames), err)
		if err == nil {
			assert.Equal(t, got.Server, "s1")
			err = stream.Recv(got)
			assert.Equal(t, errors.Is(err, io.EOF), at == len(frames), "cut at %d of %d: %v", at, len(frames), err)
		}
		assert.Assert(t, at == len(frames) || errors.Is(err, ErrInterrupted), "cut at %d of %d: %v", at, len(frames), err)
		near.Close()
	}
}
