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

// modelChecker applies random commands to two replicas and to a simple model of the
// guarantees of Apply, and compares them after each command.
type modelChecker struct {
	t         *rapid.T
	replicas  []*State
	index     uint64
	nowMs     int64
	sent      []*shardpb.Command
	calls     map[string]*callModel
	callOrder []string            // keys of calls in the order they were first seen
	history   map[string][]string // program and epoch: committed model calls
	charged   map[string]uint64   // customer and period start: tokens
}

// callModel is the model's record of one call.
type callModel struct {
	key        *shardpb.CallKey
	begin      *shardpb.Begin
	epoch      uint64
	attempt    uint64
	repeatable bool
	final      *shardpb.BeginResult // first final outcome that was seen
	dispatched bool                 // an attempt was dispatched and may have run
	reserved   uint64
	period     string // key in modelChecker.charged
}

func newModelChecker(t *rapid.T) *modelChecker {
	m := &modelChecker{
		t:        t,
		replicas: []*State{New(NewMemoryBodies()), New(NewMemoryBodies())},
		nowMs:    1_000_000_000,
		calls:    make(map[string]*callModel),
		history:  make(map[string][]string),
		charged:  make(map[string]uint64),
	}
	for _, customer := range []string{"a", "b"} {
		c := testContract(customer)
		c.Budget.Tokens = 3_000
		c.MaxConcurrentCalls = 3
		c.MaxTurns = 6
		m.send(contractCommand(c, 0, "create"))
	}
	return m
}

func contractCommand(c *shardpb.Contract, expected uint64, id string) *shardpb.Command {
	op := &shardpb.ApplyContract{Contract: c, ExpectedVersion: expected, ChangeId: id}
	return &shardpb.Command{Op: &shardpb.Command_ApplyContract{ApplyContract: op}}
}

// send applies a command to both replicas, compares the results and checks them
// against the model.
func (m *modelChecker) send(cmd *shardpb.Command) {
	cmd = proto.CloneOf(cmd)
	cmd.NowMs = m.nowMs
	m.sent = append(m.sent, cmd)
	data, err := proto.Marshal(cmd)
	assert.NilError(m.t, err)
	m.index++
	result := m.replicas[0].Apply(m.index, data).(*shardpb.Result)
	other := m.replicas[1].Apply(m.index, data).(*shardpb.Result)
	assert.Assert(m.t, proto.Equal(result, other), "%v\n%v", result, other)
	m.observe(cmd, result)
	m.checkBudgets(cmd, result)
}

// restart replaces the second replica by one restored from a snapshot of either
// replica.
func (m *modelChecker) restart() {
	from := rapid.IntRange(0, 1).Draw(m.t, "from")
	var buf bytes.Buffer
	assert.NilError(m.t, m.replicas[from].Snapshot(&buf))
	m.replicas[1] = New(NewMemoryBodies())
	assert.NilError(m.t, m.replicas[1].Restore(&buf))
}

// checkSnapshots checks that both replicas write the same snapshot and store no
// body that is not in use.
func (m *modelChecker) checkSnapshots() {
	var a, b bytes.Buffer
	assert.NilError(m.t, m.replicas[0].Snapshot(&a))
	assert.NilError(m.t, m.replicas[1].Snapshot(&b))
	assert.Assert(m.t, bytes.Equal(a.Bytes(), b.Bytes()), "snapshots differ")
	for _, replica := range m.replicas {
		assert.Equal(m.t, len(replica.bodies.(*MemoryBodies).bodies), len(replica.bodyIDs()))
	}
}

func (m *modelChecker) observe(cmd *shardpb.Command, result *shardpb.Result) {
	if result.GetRefusal() != nil {
		return
	}
	switch op := cmd.GetOp().(type) {
	case *shardpb.Command_Begin:
		m.observeBegin(op.Begin, result.GetBegin())
	case *shardpb.Command_Dispatch:
		m.observeDispatch(op.Dispatch)
	case *shardpb.Command_Commit:
		m.observeCommit(op.Commit, result.GetCommit())
	case *shardpb.Command_Fail:
		m.observeFail(op.Fail, result.GetFail())
	}
}

// observeBegin checks that a call is begun once, that its final outcome never
// changes, and that only a call that was proven not to have run is begun again.
func (m *modelChecker) observeBegin(op *shardpb.Begin, result *shardpb.BeginResult) {
	id := callName(op.GetKey())
	model := m.calls[id]
	if model != nil && model.epoch == result.GetEpoch() {
		assert.Equal(m.t, string(model.begin.GetFingerprint()), string(op.GetFingerprint()))
		if !result.GetFirst() {
			m.checkFinalOutcome(model, result)
			return
		}
		m.checkBegunAgain(model, op, result)
	}
	assert.Assert(m.t, result.GetFirst())
	if model == nil {
		m.callOrder = append(m.callOrder, id)
	}
	m.calls[id] = &callModel{
		key:        op.GetKey(),
		begin:      op,
		epoch:      result.GetEpoch(),
		attempt:    result.GetAttempt(),
		repeatable: result.GetRepeatable(),
		dispatched: result.GetState() == shardpb.CallState_CALL_STATE_DISPATCHED,
		reserved:   reservedOf(op, result),
		period:     m.period(op.GetKey().GetCustomer()),
	}
}

// checkBegunAgain checks that a call that is begun again was proven not to have run, by a
// Fail or because its deadline passed before any attempt was dispatched, and that
// its attempt numbers continue.
func (m *modelChecker) checkBegunAgain(model *callModel, op *shardpb.Begin, result *shardpb.BeginResult) {
	if model.final != nil {
		assert.Equal(m.t, model.final.GetState(), shardpb.CallState_CALL_STATE_FAILED)
		assert.Assert(m.t, model.final.GetFailure().GetNotRun(), "a call that may have run began again")
	} else {
		assert.Assert(m.t, !model.dispatched && m.nowMs > model.begin.GetDeadlineMs(), "an open call began again")
	}
	attempt := model.attempt
	if result.GetState() == shardpb.CallState_CALL_STATE_DISPATCHED {
		attempt++
	}
	assert.Equal(m.t, result.GetAttempt(), attempt)
}

func reservedOf(op *shardpb.Begin, result *shardpb.BeginResult) uint64 {
	if op.GetKind() != shardpb.CallKind_CALL_KIND_MODEL {
		return 0
	}
	return result.GetHistoryTokens() + op.GetNewInputTokensMax() + op.GetMaxOutputTokens()
}

func (m *modelChecker) checkFinalOutcome(model *callModel, result *shardpb.BeginResult) {
	isFinal := result.GetState() != shardpb.CallState_CALL_STATE_BEGUN &&
		result.GetState() != shardpb.CallState_CALL_STATE_DISPATCHED
	if model.final == nil {
		assert.Assert(m.t, !isFinal || m.nowMs > model.begin.GetDeadlineMs(), "a call became final by itself")
		return
	}
	assert.Equal(m.t, result.GetState(), model.final.GetState())
	assert.Assert(m.t, proto.Equal(result.GetAnswer(), model.final.GetAnswer()))
	assert.Assert(m.t, proto.Equal(result.GetFailure(), model.final.GetFailure()))
}

// observeDispatch checks that each attempt has one sender, and that a
// non-repeatable call is dispatched again only if its newest attempt is fenced.
func (m *modelChecker) observeDispatch(op *shardpb.Dispatch) {
	model := m.calls[callName(op.GetKey())]
	assert.Equal(m.t, op.GetEpoch(), model.epoch)
	assert.Equal(m.t, op.GetAttempt(), model.attempt+1, "an attempt has two senders")
	assert.Assert(m.t, model.final == nil)
	isFenced := !model.dispatched || op.GetFencedAttempt() == model.attempt
	assert.Assert(m.t, model.repeatable || isFenced, "a non-repeatable call was dispatched twice")
	model.attempt++
	model.dispatched = true
}

func (m *modelChecker) observeCommit(op *shardpb.Commit, result *shardpb.CommitResult) {
	model := m.calls[callName(op.GetKey())]
	if !result.GetFirst() {
		assert.Assert(m.t, proto.Equal(result.GetAnswer(), model.final.GetAnswer()))
		return
	}
	assert.Assert(m.t, model.final == nil, "a final call was committed")
	assert.Equal(m.t, op.GetAttempt(), model.attempt)
	model.final = &shardpb.BeginResult{State: shardpb.CallState_CALL_STATE_FINISHED, Answer: op.GetAnswer()}
	m.charged[model.period] += min(totalTokens(op.GetAnswer().GetUsage()), model.reserved)
	if model.begin.GetKind() == shardpb.CallKind_CALL_KIND_MODEL {
		program := programKey(model)
		m.history[program] = append(m.history[program], op.GetKey().GetCall())
	}
}

func (m *modelChecker) observeFail(op *shardpb.Fail, result *shardpb.FailResult) {
	model := m.calls[callName(op.GetKey())]
	if model.final != nil {
		assert.Equal(m.t, result.GetState(), model.final.GetState())
		return
	}
	assert.Equal(m.t, op.GetAttempt(), model.attempt)
	model.final = &shardpb.BeginResult{State: result.GetState(), Failure: result.GetFailure()}
	if model.dispatched && !op.GetFailure().GetNotRun() {
		assert.Assert(m.t, !result.GetFailure().GetNotRun())
	}
	if !model.repeatable && !result.GetFailure().GetNotRun() {
		assert.Equal(m.t, result.GetState(), shardpb.CallState_CALL_STATE_UNKNOWN)
	}
	m.charged[model.period] += min(totalTokens(op.GetUsage()), model.reserved)
}

// checkBudgets checks that used plus reserved tokens do not exceed the limit of
// the latest reservation, and that used tokens include all charges that the
// model recorded.
func (m *modelChecker) checkBudgets(cmd *shardpb.Command, result *shardpb.Result) {
	for _, customer := range []string{"a", "b"} {
		budget, err := m.replicas[0].Budget(customer)
		if err != nil {
			continue
		}
		taken := budget.GetUsed() + budget.GetReserved()
		begun := cmd.GetBegin().GetKey().GetCustomer() == customer && result.GetBegin().GetFirst()
		if begun {
			assert.Assert(m.t, taken <= budget.GetLimit(), "%d of %d tokens", taken, budget.GetLimit())
		}
		assert.Assert(m.t, taken <= 3_000)
		assert.Assert(m.t, m.charged[m.period(customer)] <= budget.GetUsed())
	}
}

// period returns the key of the customer's current budget period in charged.
func (m *modelChecker) period(customer string) string {
	budget, err := m.replicas[0].Budget(customer)
	assert.NilError(m.t, err)
	return fmt.Sprintf("%s@%d", customer, budget.GetPeriodStartMs())
}

// checkHistories checks that each program's history holds all its committed model
// calls in order, and no exchange of another program.
func (m *modelChecker) checkHistories() {
	for _, model := range m.calls {
		customer, program := model.key.GetCustomer(), model.key.GetProgram()
		view, err := m.replicas[1].History(customer, program, 0)
		if err != nil {
			continue
		}
		current, err := m.replicas[1].Program(customer, program)
		assert.NilError(m.t, err)
		if current.GetEpoch() != model.epoch {
			continue
		}
		var calls []string
		for _, item := range view.Items {
			calls = append(calls, item.GetCall())
			prefix := customer + "/" + program + "/" + item.GetCall()
			assert.Assert(m.t, bytes.HasPrefix(item.GetInput(), []byte(prefix)), "%s", item.GetInput())
			assert.Assert(m.t, bytes.HasPrefix(item.GetAnswer(), []byte(prefix)), "%s", item.GetAnswer())
		}
		assert.DeepEqual(m.t, calls, m.history[programKey(model)])
		assert.DeepEqual(m.t, view.Digest, digestOf(view.Items))
	}
}

func callName(key *shardpb.CallKey) string {
	return key.GetCustomer() + "/" + key.GetProgram() + "/" + key.GetCall()
}

func programKey(c *callModel) string {
	return fmt.Sprintf("%s/%s@%d", c.key.GetCustomer(), c.key.GetProgram(), c.epoch)
}

// TestRandomCommands runs random sequences of commands with resends in any order,
// restarts and changes of the time in both directions.
func TestRandomCommands(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newModelChecker(rt)
		for range rapid.IntRange(1, 120).Draw(rt, "steps") {
			m.applyRandomCommand()
		}
		m.checkHistories()
		m.checkSnapshots()
	})
}
