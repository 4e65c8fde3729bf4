package shard

import (
	"bytes"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"ibistray.example/ibistray/proto/shardpb"
)

// world applies random commands to two replicas and to a simple model of what
// was promised, and compares them after each command.
type world struct {
	t        *rapid.T
	replicas []*State
	index    uint64
	nowMs    int64
	sent     []*shardpb.Command
	calls    map[string]*modelOfCall
	order    []string            // keys of calls in the order they were first seen
	history  map[string][]string // program and epoch: committed model calls
	charged  map[string]uint64   // customer and period start: tokens
}

// modelOfCall is what the model knows of one call.
type modelOfCall struct {
	key        *shardpb.CallKey
	begin      *shardpb.Begin
	epoch      uint64
	attempt    uint64
	repeatable bool
	final      *shardpb.BeginResult // first final outcome that was seen
	dispatched bool                 // an attempt is on record that was not proven not run
	reserved   uint64
	period     string
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t:        t,
		replicas: []*State{New(NewMemoryBodies()), New(NewMemoryBodies())},
		nowMs:    1_000_000_000,
		calls:    make(map[string]*modelOfCall),
		history:  make(map[string][]string),
		charged:  make(map[string]uint64),
	}
	for _, customer := range []string{"a", "b"} {
		c := testContract(customer)
		c.Budget.Tokens = 3_000
		c.MaxConcurrentCalls = 3
		c.MaxTurns = 6
		w.send(contractCommand(c, 0, "create"))
	}
	return w
}

func contractCommand(c *shardpb.Contract, expected uint64, id string) *shardpb.Command {
	op := &shardpb.ApplyContract{Contract: c, ExpectedVersion: expected, ChangeId: id}
	return &shardpb.Command{Op: &shardpb.Command_ApplyContract{ApplyContract: op}}
}

// send applies a command to both replicas and checks what must always hold.
func (w *world) send(cmd *shardpb.Command) {
	cmd = proto.CloneOf(cmd)
	cmd.NowMs = w.nowMs
	w.sent = append(w.sent, cmd)
	data, err := proto.Marshal(cmd)
	assert.NilError(w.t, err)
	w.index++
	result := w.replicas[0].Apply(w.index, data).(*shardpb.Result)
	other := w.replicas[1].Apply(w.index, data).(*shardpb.Result)
	assert.Assert(w.t, proto.Equal(result, other), "%v\n%v", result, other)
	w.observe(cmd, result)
	w.checkBudgets(cmd, result)
}

// restart replaces the second replica by one restored from a snapshot of either.
func (w *world) restart() {
	from := rapid.IntRange(0, 1).Draw(w.t, "from")
	var buf bytes.Buffer
	assert.NilError(w.t, w.replicas[from].Snapshot(&buf))
	w.replicas[1] = New(NewMemoryBodies())
	assert.NilError(w.t, w.replicas[1].Restore(&buf))
}

func (w *world) checkSnapshots() {
	var a, b bytes.Buffer
	assert.NilError(w.t, w.replicas[0].Snapshot(&a))
	assert.NilError(w.t, w.replicas[1].Snapshot(&b))
	assert.Assert(w.t, bytes.Equal(a.Bytes(), b.Bytes()), "snapshots differ")
	for _, replica := range w.replicas {
		assert.Equal(w.t, len(replica.bodies.(*MemoryBodies).bodies), len(replica.bodyIDs()))
	}
}

func (w *world) observe(cmd *shardpb.Command, result *shardpb.Result) {
	if result.GetRefusal() != nil {
		return
	}
	switch op := cmd.GetOp().(type) {
	case *shardpb.Command_Begin:
		w.observeBegin(op.Begin, result.GetBegin())
	case *shardpb.Command_Dispatch:
		w.observeDispatch(op.Dispatch)
	case *shardpb.Command_Commit:
		w.observeCommit(op.Commit, result.GetCommit())
	case *shardpb.Command_Fail:
		w.observeFail(op.Fail, result.GetFail())
	}
}

// observeBegin checks that a call begins once, that its final outcome never
// changes, and that only a call that was proven not run begins again.
func (w *world) observeBegin(op *shardpb.Begin, result *shardpb.BeginResult) {
	id := callName(op.GetKey())
	known := w.calls[id]
	if known != nil && known.epoch == result.GetEpoch() {
		assert.Equal(w.t, string(known.begin.GetFingerprint()), string(op.GetFingerprint()))
		if !result.GetFirst() {
			w.checkFinal(known, result)
			return
		}
		w.checkBegunAgain(known, op, result)
	}
	assert.Assert(w.t, result.GetFirst())
	if known == nil {
		w.order = append(w.order, id)
	}
	w.calls[id] = &modelOfCall{
		key:        op.GetKey(),
		begin:      op,
		epoch:      result.GetEpoch(),
		attempt:    result.GetAttempt(),
		repeatable: result.GetRepeatable(),
		dispatched: result.GetState() == shardpb.CallState_CALL_STATE_DISPATCHED,
		reserved:   reservedOf(op, result),
		period:     w.period(op.GetKey().GetCustomer()),
	}
}

// checkBegunAgain checks that the call was proven not run: by a Fail, or by its
// deadline before any attempt was dispatched. Its attempts keep their numbers.
func (w *world) checkBegunAgain(known *modelOfCall, op *shardpb.Begin, result *shardpb.BeginResult) {
	if known.final != nil {
		assert.Equal(w.t, known.final.GetState(), shardpb.CallState_CALL_STATE_FAILED)
		assert.Assert(w.t, known.final.GetFailure().GetNotRun(), "a call that may have run began again")
	} else {
		assert.Assert(w.t, !known.dispatched && w.nowMs > known.begin.GetDeadlineMs(), "an open call began again")
	}
	attempt := known.attempt
	if result.GetState() == shardpb.CallState_CALL_STATE_DISPATCHED {
		attempt++
	}
	assert.Equal(w.t, result.GetAttempt(), attempt)
}

func reservedOf(op *shardpb.Begin, result *shardpb.BeginResult) uint64 {
	if op.GetKind() != shardpb.CallKind_CALL_KIND_MODEL {
		return 0
	}
	return result.GetHistoryTokens() + op.GetNewInputTokensMax() + op.GetMaxOutputTokens()
}

func (w *world) checkFinal(known *modelOfCall, result *shardpb.BeginResult) {
	isFinal := result.GetState() != shardpb.CallState_CALL_STATE_BEGUN &&
		result.GetState() != shardpb.CallState_CALL_STATE_DISPATCHED
	if known.final == nil {
		assert.Assert(w.t, !isFinal || w.nowMs > known.begin.GetDeadlineMs(), "a call became final by itself")
		return
	}
	assert.Equal(w.t, result.GetState(), known.final.GetState())
	assert.Assert(w.t, proto.Equal(result.GetAnswer(), known.final.GetAnswer()))
	assert.Assert(w.t, proto.Equal(result.GetFailure(), known.final.GetFailure()))
}

// observeDispatch checks that a non-repeatable call is dispatched again only
// with a fence of its newest attempt.
func (w *world) observeDispatch(op *shardpb.Dispatch) {
	known := w.calls[callName(op.GetKey())]
	assert.Equal(w.t, op.GetEpoch(), known.epoch)
	assert.Equal(w.t, op.GetAttempt(), known.attempt+1, "an attempt has two senders")
	assert.Assert(w.t, known.final == nil)
	isFenced := !known.dispatched || op.GetFencedAttempt() == known.attempt
	assert.Assert(w.t, known.repeatable || isFenced, "a non-repeatable call was dispatched twice")
	known.attempt++
	known.dispatched = true
}

func (w *world) observeCommit(op *shardpb.Commit, result *shardpb.CommitResult) {
	known := w.calls[callName(op.GetKey())]
	if !result.GetFirst() {
		assert.Assert(w.t, proto.Equal(result.GetAnswer(), known.final.GetAnswer()))
		return
	}
	assert.Assert(w.t, known.final == nil, "a final call was committed")
	assert.Equal(w.t, op.GetAttempt(), known.attempt)
	known.final = &shardpb.BeginResult{State: shardpb.CallState_CALL_STATE_FINISHED, Answer: op.GetAnswer()}
	w.charged[known.period] += min(tokensOf(op.GetAnswer().GetUsage()), known.reserved)
	if known.begin.GetKind() == shardpb.CallKind_CALL_KIND_MODEL {
		program := programName(known)
		w.history[program] = append(w.history[program], op.GetKey().GetCall())
	}
}

func (w *world) observeFail(op *shardpb.Fail, result *shardpb.FailResult) {
	known := w.calls[callName(op.GetKey())]
	if known.final != nil {
		assert.Equal(w.t, result.GetState(), known.final.GetState())
		return
	}
	assert.Equal(w.t, op.GetAttempt(), known.attempt)
	known.final = &shardpb.BeginResult{State: result.GetState(), Failure: result.GetFailure()}
	if known.dispatched && !op.GetFailure().GetNotRun() {
		assert.Assert(w.t, !result.GetFailure().GetNotRun())
	}
	if !known.repeatable && !result.GetFailure().GetNotRun() {
		assert.Equal(w.t, result.GetState(), shardpb.CallState_CALL_STATE_UNKNOWN)
	}
	w.charged[known.period] += min(tokensOf(op.GetUsage()), known.reserved)
}

// checkBudgets checks that used plus reserved is within the limit of the
// latest reservation and covers what the model saw as charged.
func (w *world) checkBudgets(cmd *shardpb.Command, result *shardpb.Result) {
	for _, customer := range []string{"a", "b"} {
		budget, err := w.replicas[0].Budget(customer)
		if err != nil {
			continue
		}
		taken := budget.GetUsed() + budget.GetReserved()
		begun := cmd.GetBegin().GetKey().GetCustomer() == customer && result.GetBegin().GetFirst()
		if begun {
			assert.Assert(w.t, taken <= budget.GetLimit(), "%d of %d tokens", taken, budget.GetLimit())
		}
		assert.Assert(w.t, taken <= 3_000)
		assert.Assert(w.t, w.charged[w.period(customer)] <= budget.GetUsed())
	}
}

func (w *world) period(customer string) string {
	budget, err := w.replicas[0].Budget(customer)
	assert.NilError(w.t, err)
	return fmt.Sprintf("%s@%d", customer, budget.GetPeriodStartMs())
}

// checkHistories checks order, completeness and that no exchange is of another
// program.
func (w *world) checkHistories() {
	for _, known := range w.calls {
		customer, program := known.key.GetCustomer(), known.key.GetProgram()
		view, err := w.replicas[1].History(customer, program, 0)
		if err != nil {
			continue
		}
		current, err := w.replicas[1].Program(customer, program)
		assert.NilError(w.t, err)
		if current.GetEpoch() != known.epoch {
			continue
		}
		var calls []string
		for _, item := range view.Items {
			calls = append(calls, item.GetCall())
			prefix := customer + "/" + program + "/" + item.GetCall()
			assert.Assert(w.t, bytes.HasPrefix(item.GetInput(), []byte(prefix)), "%s", item.GetInput())
			assert.Assert(w.t, bytes.HasPrefix(item.GetAnswer(), []byte(prefix)), "%s", item.GetAnswer())
		}
		assert.DeepEqual(w.t, calls, w.history[programName(known)])
		assert.DeepEqual(w.t, view.Digest, digestOf(view.Items))
	}
}

func callName(key *shardpb.CallKey) string {
	return key.GetCustomer() + "/" + key.GetProgram() + "/" + key.GetCall()
}

func programName(c *modelOfCall) string {
	return fmt.Sprintf("%s/%s@%d", c.key.GetCustomer(), c.key.GetProgram(), c.epoch)
}

// TestRandomCommands runs random sequences with resends in any order, restarts
// and moving time.
func TestRandomCommands(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt)
		for range rapid.IntRange(1, 120).Draw(rt, "steps") {
			w.step()
		}
		w.checkHistories()
		w.checkSnapshots()
	})
}
