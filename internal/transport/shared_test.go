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

// sharedLink serves a shared method.
func sharedLink(f func(context.Context, *rpcpb.Announcement) (*rpcpb.Announcement, error)) *link {
	l := newLink()
	l.server.Handle(echoMethod, SharedUnary(f))
	return l
}

func (l *link) ask(ctx context.Context, text string) (string, error) {
	resp := new(rpcpb.Announcement)
	err := l.pool.CallShared(ctx, "peer", echoMethod, &rpcpb.Announcement{Server: text}, resp)
	return resp.Server, err
}

func sharedCallsAreAnsweredEachOnItsOwn(t *testing.T) {
	l := sharedLink(echo)
	defer l.close()
	var work sync.WaitGroup
	for i := range 200 {
		work.Go(func() {
			text := fmt.Sprint(i)
			got, err := l.ask(t.Context(), text)
			assert.Check(t, err)
			assert.Check(t, got == text)
		})
	}
	work.Wait()
	_, err := l.ask(t.Context(), "refuse")
	assert.Equal(t, CodeOf(err), rpcpb.Code_CODE_NOT_LEADER)
	_, err = l.ask(t.Context(), "break")
	assert.Equal(t, CodeOf(err), rpcpb.Code_CODE_INTERNAL)
	got, err := l.ask(t.Context(), "after")
	assert.NilError(t, err)
	assert.Equal(t, got, "after")
	l.mu.Lock()
	defer l.mu.Unlock()
	assert.Equal(t, l.dials, 1)
}

func slowSharedCallHoldsUpNoOther(t *testing.T) {
	release := make(chan struct{})
	l := sharedLink(func(_ context.Context, req *rpcpb.Announcement) (*rpcpb.Announcement, error) {
		if req.Server == "slow" {
			<-release
		}
		return req, nil
	})
	defer l.close()
	slow := make(chan error, 1)
	go func() {
		_, err := l.ask(t.Context(), "slow")
		slow <- err
	}()
	_, err := l.ask(t.Context(), "fast")
	assert.NilError(t, err)
	close(release)
	assert.NilError(t, <-slow)
}

func sharedCallEndsWithItsContext(t *testing.T) {
	arrived, ended := make(chan struct{}), make(chan struct{})
	l := sharedLink(func(ctx context.Context, req *rpcpb.Announcement) (*rpcpb.Announcement, error) {
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
	_, err := l.ask(ctx, "hang")
	assert.ErrorIs(t, err, ErrBroken)
	assert.ErrorIs(t, err, context.Canceled)
	_, err = l.ask(t.Context(), "after")
	assert.NilError(t, err)
	l.close()
	<-ended // the server's side ends with the stream
}

func brokenSharedStreamEndsItsCallsAndIsReplaced(t *testing.T) {
	arrived := make(chan struct{}, 10)
	l := sharedLink(func(ctx context.Context, req *rpcpb.Announcement) (*rpcpb.Announcement, error) {
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
			_, err := l.ask(t.Context(), "hang")
			results <- err
		}()
	}
	for range cap(results) {
		<-arrived
	}
	l.pool.CloseSession("peer")
	for range cap(results) {
		assert.ErrorIs(t, <-results, ErrBroken)
	}
	_, err := l.ask(t.Context(), "after")
	assert.NilError(t, err)
}

func undecodableSharedCallIsRefusedAlone(t *testing.T) {
	l := sharedLink(echo)
	defer l.close()
	_, err := l.ask(t.Context(), "\xff")
	assert.ErrorContains(t, err, "UTF-8")
	bad := &rpcpb.Call{Request: []byte{0xff}}
	shared, err := l.pool.sharedStream(t.Context(), "peer", echoMethod)
	assert.NilError(t, err)
	reply := make(chan *rpcpb.Reply, 1)
	assert.NilError(t, shared.register(bad, reply))
	shared.queue.add(bad)
	assert.Equal(t, CodeOf(decodeReply(<-reply, nil)), rpcpb.Code_CODE_INVALID)
	_, err = l.ask(t.Context(), "after")
	assert.NilError(t, err)
}

func idleSharedStreamIsClosed(t *testing.T) {
	l := sharedLink(echo)
	defer l.close()
	_, err := l.ask(t.Context(), "first")
	assert.NilError(t, err)
	time.Sleep(sessionIdleLimit + 3*sessionSweepPeriod) // the stream first, then its session
	l.pool.mu.RLock()
	streams, sessions := len(l.pool.shared), len(l.pool.sessions)
	l.pool.mu.RUnlock()
	assert.Equal(t, streams, 0)
	assert.Equal(t, sessions, 0)
	_, err = l.ask(t.Context(), "after")
	assert.NilError(t, err)
	assert.Equal(t, l.dials, 2)
}

func TestSendQueueJoinsWhatWaits(t *testing.T) {
	q := newSendQueue[*rpcpb.Call]()
	for range 3 {
		q.add(&rpcpb.Call{Request: []byte("small")})
	}
	assert.Equal(t, len(q.take()), 3)
	for range 3 {
		q.add(&rpcpb.Call{Request: bytes.Repeat([]byte("x"), maxSharedBytes*2/3)})
	}
	for range 3 {
		assert.Equal(t, len(q.take()), 1)
	}
	q.close()
	q.add(&rpcpb.Call{})
	assert.Assert(t, q.take() == nil)
}
