package transport

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/proto/rpcpb"
)

// newSharedLink returns a link whose server serves echoMethod with f on shared
// streams.
func newSharedLink(f func(context.Context, *rpcpb.Announcement) (*rpcpb.Announcement, error)) *link {
	l := newLink()
	l.server.Handle(echoMethod, SharedUnary(f))
	return l
}

func (l *link) callShared(ctx context.Context, text string) (string, error) {
	resp := new(rpcpb.Announcement)
	err := l.pool.CallShared(ctx, "peer", echoMethod, &rpcpb.Announcement{Server: text}, resp)
	return resp.Server, err
}

func concurrentSharedCallsGetTheirOwnReplies(t *testing.T) {
	l := newSharedLink(echo)
	defer l.close()
	var callers sync.WaitGroup
	for i := range 200 {
		callers.Go(func() {
			text := fmt.Sprint(i)
			got, err := l.callShared(t.Context(), text)
			assert.Check(t, err)
			assert.Check(t, got == text)
		})
	}
	callers.Wait()
	_, err := l.callShared(t.Context(), "refuse")
	assert.Equal(t, CodeOf(err), rpcpb.Code_CODE_NOT_LEADER)
	_, err = l.callShared(t.Context(), "break")
	assert.Equal(t, CodeOf(err), rpcpb.Code_CODE_INTERNAL)
	got, err := l.callShared(t.Context(), "after")
	assert.NilError(t, err)
	assert.Equal(t, got, "after")
	l.mu.Lock()
	defer l.mu.Unlock()
	assert.Equal(t, l.dials, 1)
}

func slowSharedCallDoesNotDelayOthers(t *testing.T) {
	release := make(chan struct{})
	l := newSharedLink(func(_ context.Context, req *rpcpb.Announcement) (*rpcpb.Announcement, error) {
		if req.Server == "slow" {
			<-release
		}
		return req, nil
	})
	defer l.close()
	slow := make(chan error, 1)
	go func() {
		_, err := l.callShared(t.Context(), "slow")
		slow <- err
	}()
	_, err := l.callShared(t.Context(), "fast")
	assert.NilError(t, err)
	close(release)
	assert.NilError(t, <-slow)
}

func sharedCallReturnsWhenItsContextEnds(t *testing.T) {
	arrived, ended := make(chan struct{}), make(chan struct{})
	l := newSharedLink(func(ctx context.Context, req *rpcpb.Announcement) (*rpcpb.Announcement, error) {
		if req.Server == "hang" {
			close(arrived)
			<-ctx.Done()
			close(ended)
		}
		return req, nil
	})
	defer l.close()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	_, err := l.callShared(ctx, "hang")
	assert.ErrorIs(t, err, ErrInterrupted)
	assert.ErrorIs(t, err, context.Canceled)
	_, err = l.callShared(t.Context(), "after")
	assert.NilError(t, err)
	l.close()
	<-ended // the context of the handler ends with the stream
}

func closedSharedStreamFailsItsCallsAndIsReopened(t *testing.T) {
	arrived := make(chan struct{}, 10)
	l := newSharedLink(func(ctx context.Context, req *rpcpb.Announcement) (*rpcpb.Announcement, error) {
		if req.Server == "hang" {
			arrived <- struct{}{}
			<-ctx.Done()
		}
		return req, nil
	})
	defer l.close()
	results := make(chan error, 10)
	for range cap(results) {
		go func() {
			_, err := l.callShared(t.Context(), "hang")
			results <- err
		}()
	}
	for range cap(results) {
		<-arrived
	}
	l.pool.CloseSession("peer")
	for range cap(results) {
		assert.ErrorIs(t, <-results, ErrInterrupted)
	}
	_, err := l.callShared(t.Context(), "after")
	assert.NilError(t, err)
}

func undecodableSharedCallFailsWithoutTheStream(t *testing.T) {
	l := newSharedLink(echo)
	defer l.close()
	_, err := l.callShared(t.Context(), "\xff")
	assert.ErrorContains(t, err, "UTF-8")
	bad := &rpcpb.Call{Request: []byte{0xff}}
	shared, err := l.pool.sharedStream(t.Context(), "peer", echoMethod)
	assert.NilError(t, err)
	reply := make(chan *rpcpb.Reply, 1)
	assert.NilError(t, shared.register(bad, reply))
	shared.queue.add(bad)
	assert.Equal(t, CodeOf(decodeReply(<-reply, nil)), rpcpb.Code_CODE_INVALID)
	_, err = l.callShared(t.Context(), "after")
	assert.NilError(t, err)
}

func idleSharedStreamIsClosed(t *testing.T) {
	l := newSharedLink(echo)
	defer l.close()
	_, err := l.callShared(t.Context(), "first")
	assert.NilError(t, err)
	// The session is idle only once the shared stream on it is closed.
	time.Sleep(sessionIdleTimeout + 3*sessionSweepInterval)
	l.pool.mu.RLock()
	streams, sessions := len(l.pool.shared), len(l.pool.sessions)
	l.pool.mu.RUnlock()
	assert.Equal(t, streams, 0)
	assert.Equal(t, sessions, 0)
	_, err = l.callShared(t.Context(), "after")
	assert.NilError(t, err)
	assert.Equal(t, l.dials, 2)
}

func TestSendQueueBatchesUpToItsLimit(t *testing.T) {
	q := newSendQueue[*rpcpb.Call]()
	for range 3 {
		q.add(&rpcpb.Call{Request: []byte("small")})
	}
	assert.Equal(t, len(q.take()), 3)
	for range 3 {
		q.add(&rpcpb.Call{Request: bytes.Repeat([]byte("x"), maxBatchBytes*2/3)})
	}
	for range 3 {
		assert.Equal(t, len(q.take()), 1)
	}
	q.close()
	q.add(&rpcpb.Call{})
	assert.Assert(t, q.take() == nil)
}
