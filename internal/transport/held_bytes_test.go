package transport

import (
	"context"
	"errors"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/proto/rpcpb"
)

// TestStandingStreamKeepsNoCallsOfCallersThatGaveUp has a peer that reads nothing while a caller
// tries again and again.
func TestStandingStreamKeepsNoCallsOfCallersThatGaveUp(t *testing.T) {
	near, far := net.Pipe()
	s := newSharedStream(newStream(near))
	defer far.Close()
	defer near.Close()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 50 {
		err := s.call(ctx, make([]byte, 1<<10), new(rpcpb.Announcement))
		assert.Assert(t, errors.Is(err, context.Canceled))
	}
	s.queue.mu.Lock()
	defer s.queue.mu.Unlock()
	assert.Equal(t, len(s.queue.items), 0)
}

func TestStreamKeepsNoLargeBuffer(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	defer near.Close()
	sender, receiver := newStream(near), newStream(far)
	for _, size := range []int{maxFrameBufBytes / 2, MaxMessageBytes / 2, 8} {
		sent := make(chan error, 1)
		go func() { sent <- sender.Send(&rpcpb.Call{Request: make([]byte, size)}) }()
		got := new(rpcpb.Call)
		assert.NilError(t, receiver.Recv(got))
		assert.NilError(t, <-sent)
		assert.Equal(t, len(got.Request), size)
		assert.Assert(t, cap(sender.buf) <= maxFrameBufBytes, "%d bytes are kept", cap(sender.buf))
	}
}
