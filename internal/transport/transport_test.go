package transport

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"os"
	"os/exec"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/proto/rpcpb"
)

const echoMethod = "test.echo"

// link connects a pool to a server over in-memory connections. With dropWrites set,
// writes to the first connection are lost without an error.
type link struct {
	server *Server
	pool   *Pool

	mu         sync.Mutex
	dropWrites bool
	dials      int
}

func newLink() *link {
	l := &link{server: NewServer(hclog.NewNullLogger())}
	l.pool = NewPool(func(string) (net.Conn, error) {
		client, server := net.Pipe()
		l.mu.Lock()
		l.dials++
		l.mu.Unlock()
		l.server.ServeConn(server)
		return &droppingConn{Conn: client, link: l, dial: l.dials}, nil
	})
	return l
}

func (l *link) close() {
	l.pool.Close()
	l.server.Close()
}

// droppingConn discards writes while its link has dropWrites set, if it is the first
// connection of the link.
type droppingConn struct {
	net.Conn
	link *link
	dial int // number of the dial that opened it, from 1
}

func (c *droppingConn) Write(p []byte) (int, error) {
	c.link.mu.Lock()
	drop := c.link.dropWrites && c.dial == 1
	c.link.mu.Unlock()
	if drop {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// echo returns its request. The server "refuse" gets a typed error and "break" an
// untyped one.
func echo(_ context.Context, req *rpcpb.Announcement) (*rpcpb.Announcement, error) {
	switch req.Server {
	case "refuse":
		notLeader := Errorf(rpcpb.Code_CODE_NOT_LEADER, "ask %s", "another")
		notLeader.Leader = "10.0.0.9:7001"
		return nil, notLeader
	case "break":
		return nil, errors.New("disk failed")
	}
	return req, nil
}

// bubbleEnvVar is set in the process that runs the bubble of TestRPCs.
const bubbleEnvVar = "IBISTRAY_TEST_RPCS_BUBBLE"

// TestRPCs runs all scenarios in one synctest bubble, because yamux keeps timers in a
// sync.Pool, and a timer must not be used in two bubbles. The bubble has a process of its own:
// streams that other tests have closed take timers from the pool when their time to close is over.
func TestRPCs(t *testing.T) {
	if os.Getenv(bubbleEnvVar) == "" {
		program, err := os.Executable()
		assert.NilError(t, err)
		cmd := exec.CommandContext(t.Context(), program, "-test.run=^TestRPCs$", "-test.v", "-test.count=1")
		cmd.Env = append(os.Environ(), bubbleEnvVar+"=1")
		out, err := cmd.CombinedOutput()
		assert.NilError(t, err, "%s", out)
		assert.Assert(t, bytes.Contains(out, []byte("--- PASS: TestRPCs")), "%s", out)
		return
	}
	scenarios := []struct {
		name string
		run  func(*testing.T)
	}{
		{"callReturnsResponsesAndTypedErrors", callReturnsResponsesAndTypedErrors},
		{"missedHeartbeatInterruptsCallAndNextCallReconnects", missedHeartbeatInterruptsCallAndNextCallReconnects},
		{"handlerContextEndsAtTheCallersDeadline", handlerContextEndsAtTheCallersDeadline},
		{"oversizedMessageIsRejectedBeforeSending", oversizedMessageIsRejectedBeforeSending},
		{"idleSessionIsClosed", idleSessionIsClosed},
		{"concurrentSharedCallsGetTheirOwnReplies", concurrentSharedCallsGetTheirOwnReplies},
		{"slowSharedCallDoesNotDelayOthers", slowSharedCallDoesNotDelayOthers},
		{"errorTextWithUnreadableBytesEndsOnlyItsCall", errorTextWithUnreadableBytesEndsOnlyItsCall},
		{"sharedCallReturnsWhenItsContextEnds", sharedCallReturnsWhenItsContextEnds},
		{"closedSharedStreamFailsItsCallsAndIsReopened", closedSharedStreamFailsItsCallsAndIsReopened},
		{"undecodableSharedCallFailsWithoutTheStream", undecodableSharedCallFailsWithoutTheStream},
		{"idleSharedStreamIsClosed", idleSharedStreamIsClosed},
		{"messagesOfSeveralFramesArriveIntact", messagesOfSeveralFramesArriveIntact},
	}
	synctest.Test(t, func(t *testing.T) {
		for _, s := range scenarios {
			t.Log(s.name)
			s.run(t)
			synctest.Wait()
		}
	})
}

func callReturnsResponsesAndTypedErrors(t *testing.T) {
	l := newLink()
	defer l.close()
	l.server.Handle(echoMethod, Unary(echo))
	resp := new(rpcpb.Announcement)
	assert.NilError(t, l.pool.Call(t.Context(), "a", echoMethod, &rpcpb.Announcement{Server: "s1"}, resp))
	assert.Equal(t, resp.Server, "s1")

	err := l.pool.Call(t.Context(), "a", echoMethod, &rpcpb.Announcement{Server: "refuse"}, resp)
	var reported *Error
	assert.Assert(t, errors.As(err, &reported))
	assert.Equal(t, reported.Code, rpcpb.Code_CODE_NOT_LEADER)
	assert.Equal(t, reported.Leader, "10.0.0.9:7001")

	err = l.pool.Call(t.Context(), "a", echoMethod, &rpcpb.Announcement{Server: "break"}, resp)
	assert.Equal(t, CodeOf(err), rpcpb.Code_CODE_INTERNAL)
	err = l.pool.Call(t.Context(), "a", "test.none", &rpcpb.Announcement{}, resp)
	assert.Equal(t, CodeOf(err), rpcpb.Code_CODE_UNKNOWN_METHOD)
	assert.Equal(t, l.dials, 1)
}

func missedHeartbeatInterruptsCallAndNextCallReconnects(t *testing.T) {
	l := newLink()
	defer l.close()
	l.server.Handle(echoMethod, Unary(echo))
	resp := new(rpcpb.Announcement)
	assert.NilError(t, l.pool.Call(t.Context(), "a", echoMethod, &rpcpb.Announcement{Server: "s1"}, resp))

	l.mu.Lock()
	l.dropWrites = true
	l.mu.Unlock()
	start := time.Now()
	err := l.pool.Call(t.Context(), "a", echoMethod, &rpcpb.Announcement{Server: "s2"}, resp)
	assert.Assert(t, errors.Is(err, ErrInterrupted) || errors.Is(err, ErrUnreachable), "%v", err)
	assert.Assert(t, time.Since(start) <= heartbeatInterval+2*heartbeatTimeout)

	assert.NilError(t, l.pool.Call(t.Context(), "a", echoMethod, &rpcpb.Announcement{Server: "s3"}, resp))
	assert.Equal(t, resp.Server, "s3")
	assert.Equal(t, l.dials, 2)
}

func handlerContextEndsAtTheCallersDeadline(t *testing.T) {
	l := newLink()
	defer l.close()
	ended := make(chan error, 1)
	l.server.Handle(echoMethod, Unary(func(ctx context.Context, _ *rpcpb.Announcement) (*rpcpb.Announcement, error) {
		<-ctx.Done()
		ended <- ctx.Err()
		return nil, ctx.Err()
	}))
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	err := l.pool.Call(ctx, "a", echoMethod, &rpcpb.Announcement{}, new(rpcpb.Announcement))
	assert.Assert(t, errors.Is(err, context.DeadlineExceeded) || errors.Is(err, ErrInterrupted), "%v", err)
	assert.ErrorIs(t, <-ended, context.DeadlineExceeded)
}

func oversizedMessageIsRejectedBeforeSending(t *testing.T) {
	l := newLink()
	defer l.close()
	l.server.Handle(echoMethod, Unary(echo))
	oversized := &rpcpb.RunRequest{Body: make([]byte, MaxMessageBytes+1)}
	err := l.pool.Call(t.Context(), "a", echoMethod, oversized, new(rpcpb.Announcement))
	assert.ErrorIs(t, err, ErrTooLarge)
}

func idleSessionIsClosed(t *testing.T) {
	l := newLink()
	defer l.close()
	l.server.Handle(echoMethod, Unary(echo))
	assert.NilError(t, l.pool.Call(t.Context(), "a", echoMethod, &rpcpb.Announcement{Server: "s1"}, new(rpcpb.Announcement)))
	time.Sleep(sessionIdleTimeout + 2*sessionSweepInterval)
	synctest.Wait()
	l.pool.mu.RLock()
	defer l.pool.mu.RUnlock()
	assert.Equal(t, len(l.pool.sessions), 0)
}

func FuzzReadFrame(f *testing.F) {
	frame, err := appendFrame(nil, frameMessage, &rpcpb.RunRequest{Attempt: 3, Body: []byte("x")})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(frame)
	f.Add([]byte{1, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{9, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		stream := &Stream{r: bufio.NewReaderSize(bytes.NewReader(data), streamReadBufferBytes)}
		kind, payload, release, err := stream.readFrame(MaxMessageBytes)
		if err != nil {
			return
		}
		release()
		if kind != frameMessage && kind != frameStatus {
			t.Fatalf("unknown kind %d was accepted", kind)
		}
		if len(payload)+frameHeaderBytes > len(data) {
			t.Fatalf("payload of %d bytes from an input of %d bytes", len(payload), len(data))
		}
	})
}
