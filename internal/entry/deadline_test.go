package entry

import (
	"context"
	"crypto/sha256"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/leaderclient"
	"ibistray.example/ibistray/internal/shard"
	"ibistray.example/ibistray/internal/shardclient"
	"ibistray.example/ibistray/internal/telemetry"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/rpcpb"
	"ibistray.example/ibistray/proto/shardpb"
)

const (
	deadlineCustomer = "volcan"
	deadlineCall     = 5 * time.Second
)

// slowShard is a control process whose shard is slow, and the sidecar of one server.
type slowShard struct {
	t     *testing.T
	state *shard.State

	// hold is called before a command is applied, and holdResult before its result is sent.
	hold, holdResult func(cmd *shardpb.Command)
	// run returns the event that ends an attempt.
	run func(req *rpcpb.RunRequest) *rpcpb.RunEvent

	mu    sync.Mutex
	index uint64
	runs  int // attempts that the server ran
}

func newSlowShard(t *testing.T) *slowShard {
	s := &slowShard{
		t: t, state: shard.New(shard.NewMemoryBodies()),
		hold: func(*shardpb.Command) {}, holdResult: func(*shardpb.Command) {}, run: answerRun,
	}
	key := sha256.Sum256([]byte("key"))
	result := s.apply(&shardpb.Command{Op: &shardpb.Command_ApplyContract{ApplyContract: &shardpb.ApplyContract{
		ChangeId: "create",
		Contract: &shardpb.Contract{
			Customer: deadlineCustomer, Priority: 5, EngineSharePermille: 1000,
			Budget:             &shardpb.Budget{Tokens: 10_000, PeriodMs: time.Hour.Milliseconds()},
			MaxConcurrentCalls: 8, MaxTurns: 20, MaxProgramTokens: 5_000, MaxHeldTokens: 1_000,
			ProgramIdleMs: time.Hour.Milliseconds(),
			Services:      []*shardpb.Service{{Name: "tickets", Operations: []*shardpb.Operation{{Name: "create"}}}},
			KeyHashes:     [][]byte{key[:]}, HomeRegion: "gt-central",
		},
	}}})
	assert.Assert(t, result.GetRefusal() == nil, "%v", result.GetRefusal())
	return s
}

func (s *slowShard) apply(cmd *shardpb.Command) *shardpb.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	cmd.NowMs = time.Now().UnixMilli()
	data, err := proto.Marshal(cmd)
	assert.Check(s.t, err)
	s.index++
	return s.state.Apply(s.index, data).(*shardpb.Result)
}

func (s *slowShard) propose(_ context.Context, req *rpcpb.ShardRequest) (*rpcpb.ShardResponse, error) {
	s.hold(req.Command)
	result := s.apply(req.Command)
	s.holdResult(req.Command)
	return &rpcpb.ShardResponse{Result: result}, nil
}

func (s *slowShard) serveRun(_ context.Context, stream *transport.Stream) error {
	req := new(rpcpb.RunRequest)
	if err := stream.Recv(req); err != nil {
		return err
	}
	event := s.run(req)
	if event.GetEnd() != nil {
		s.mu.Lock()
		s.runs++
		s.mu.Unlock()
	}
	if err := stream.Send(event); err != nil {
		return err
	}
	return stream.Recv(new(rpcpb.Empty))
}

// dial returns a function that connects to the process.
func (s *slowShard) dial() transport.DialFunc {
	server := transport.NewServer(hclog.NewNullLogger())
	server.Handle(transport.MethodShardPropose, transport.Unary(s.propose))
	server.Handle(transport.MethodRun, s.serveRun)
	s.t.Cleanup(server.Close)
	return func(string) (net.Conn, error) {
		local, remote := net.Pipe()
		go server.ServeConn(remote)
		return local, nil
	}
}

func answerRun(req *rpcpb.RunRequest) *rpcpb.RunEvent {
	body := []byte(`{"ticket":1}`)
	digest := sha256.Sum256(body)
	return &rpcpb.RunEvent{Event: &rpcpb.RunEvent_End{End: &rpcpb.RunEnd{
		Answer: &shardpb.Answer{Body: body, Digest: digest[:]},
		Length: uint64(len(body)),
		Echo:   &rpcpb.CallEcho{Call: req.Key.Call, Attempt: req.Attempt},
	}}}
}

func refuseRun(*rpcpb.RunRequest) *rpcpb.RunEvent {
	return &rpcpb.RunEvent{Event: &rpcpb.RunEvent_Refused{Refused: &rpcpb.RunRefused{
		Reason: rpcpb.RunRefusal_RUN_REFUSAL_FULL, NotRun: true, RetryAfterMs: 100,
	}}}
}

// callOutput records how a call ended.
type callOutput struct {
	answer  *finalAnswer
	failure *Failure
}

func (o *callOutput) writeText([]byte)       {}
func (o *callOutput) finish(a *finalAnswer)  { o.answer = a }
func (o *callOutput) fail(f *Failure)        { o.failure = f }
func isBegin(cmd *shardpb.Command) bool      { return cmd.GetBegin() != nil }
func isDispatch(cmd *shardpb.Command) bool   { return cmd.GetDispatch() != nil }
func isCommit(cmd *shardpb.Command) bool     { return cmd.GetCommit() != nil }
func passedBy(d time.Duration) time.Duration { return deadlineCall + d }

// call runs one call that must not be repeated and returns how it ended.
func (s *slowShard) call() *callOutput {
	dial := s.dial()
	pool := transport.NewPool(dial)
	defer pool.Close()
	leaders := leaderclient.New(pool, []string{"control"}, func(string) {})
	e := New(Config{Control: []string{"control"}}, hclog.NewNullLogger(), telemetry.NewMetrics(), pool, shardclient.New(leaders, 1), nil)
	e.members.apply(&rpcpb.MembersResponse{Members: []*rpcpb.Announcement{{
		Server: "tickets-1", Sidecar: "sidecar", Incarnation: "1", LeaseMs: time.Hour.Milliseconds(),
		State: rpcpb.ServerState_SERVER_STATE_READY, Services: []string{"tickets"},
	}}})
	key := sha256.Sum256([]byte("key"))
	body := []byte(`{}`)
	out := new(callOutput)
	e.serveCall(s.t.Context(), &Request{
		Key:         &shardpb.CallKey{Customer: deadlineCustomer, Program: "plan", Call: "ticket-1"},
		KeyHash:     key[:],
		Kind:        shardpb.CallKind_CALL_KIND_SERVICE,
		Service:     "tickets",
		Operation:   "create",
		Body:        body,
		Fingerprint: fingerprint("service", string(body)),
		Timeout:     deadlineCall,
		Deadline:    time.Now().Add(deadlineCall),
	}, out)
	return out
}

// delayOnce sleeps once, at the first command that matches.
func delayOnce(matches func(*shardpb.Command) bool, until time.Duration) func(*shardpb.Command) {
	start := time.Now()
	var once sync.Once
	return func(cmd *shardpb.Command) {
		if matches(cmd) {
			once.Do(func() { time.Sleep(time.Until(start.Add(until))) })
		}
	}
}

// TestNotRunIsProvenWhenTheDeadlinePassesInTheShard has a shard that is slow just when the
// call's deadline passes. A call that was never sent to a server must be reported as not run,
// and must never run later.
func TestNotRunIsProvenWhenTheDeadlinePassesInTheShard(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name    string
		prepare func(*slowShard)
	}{
		{"begin is applied late", func(s *slowShard) { s.hold = delayOnce(isBegin, passedBy(time.Second)) }},
		{"result of begin is late", func(s *slowShard) { s.holdResult = delayOnce(isBegin, passedBy(time.Second)) }},
		{"dispatch after a refusal is applied late", func(s *slowShard) {
			s.run = refuseRun
			s.hold = delayOnce(isDispatch, passedBy(time.Second))
		}},
		{"result of a dispatch after a refusal is late", func(s *slowShard) {
			s.run = refuseRun
			s.holdResult = delayOnce(isDispatch, passedBy(time.Second))
		}},
		{"dispatch takes longer than one try, until the deadline", func(s *slowShard) {
			s.run = refuseRun
			s.holdResult = delayOnce(isDispatch, passedBy(-100*time.Millisecond))
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s := newSlowShard(t)
			test.prepare(s)
			out := s.call()
			assert.Assert(t, out.failure != nil)
			assert.Check(t, out.failure.NotRun, "%v, not run: %v", out.failure, out.failure.NotRun)
			assert.Check(t, s.runs == 0, "%d runs", s.runs)
		})
	}
}

// TestAnswerIsDeliveredWhenTheDeadlinePassesDuringItsCommit has an answer that is ready
// before the deadline and whose commit ends after it.
func TestAnswerIsDeliveredWhenTheDeadlinePassesDuringItsCommit(t *testing.T) {
	t.Parallel()
	s := newSlowShard(t)
	s.hold = delayOnce(isCommit, passedBy(time.Second))
	out := s.call()
	assert.Check(t, out.failure == nil, "%v", out.failure)
	assert.Check(t, out.answer != nil)
	assert.Check(t, s.runs == 1, "%d runs", s.runs)
}

// TestCallEndsWhenItsShardStaysSilent has a shard that never responds. The call must end, and
// must not claim that it was not run.
func TestCallEndsWhenItsShardStaysSilent(t *testing.T) {
	t.Parallel()
	s := newSlowShard(t)
	silent := make(chan struct{})
	s.hold = func(*shardpb.Command) { <-silent }
	out := s.call()
	close(silent)
	assert.Assert(t, out.failure != nil)
	assert.Check(t, !out.failure.NotRun)
}
