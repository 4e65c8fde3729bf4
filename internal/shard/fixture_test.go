package shard

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/proto/shardpb"
)

const (
	testCustomer = "volcan"
	testModel    = "quote-70b"
	testPeriodMs = 60_000
	testIdleMs   = 30_000
)

// fixture applies typed commands to a state at increasing log indexes.
type fixture struct {
	t     testing.TB
	state *State
	index uint64
	nowMs int64
}

func newFixture(t testing.TB) *fixture {
	f := &fixture{t: t, state: New(NewMemoryBodies()), nowMs: 1_000_000_000}
	f.applyContract(testContract(testCustomer), 0, "create")
	return f
}

func testContract(customer string) *shardpb.Contract {
	return &shardpb.Contract{
		Customer:            customer,
		Priority:            5,
		Budget:              &shardpb.Budget{Tokens: 10_000, PeriodMs: testPeriodMs},
		EngineSharePermille: 500,
		MaxConcurrentCalls:  8,
		MaxTurns:            20,
		MaxProgramTokens:    5_000,
		ProgramIdleMs:       testIdleMs,
		MaxHeldTokens:       1_000,
		Models:              []string{testModel},
		Services: []*shardpb.Service{{Name: "tickets", Operations: []*shardpb.Operation{
			{Name: "create"},
			{Name: "lookup", Repeatable: true},
		}}},
		KeyHashes:  [][]byte{testKey(customer)},
		HomeRegion: "veracruz",
	}
}

func testKey(customer string) []byte {
	sum := sha256.Sum256([]byte("key of " + customer))
	return sum[:]
}

// apply applies a command at the fixture's time and the next log index.
func (f *fixture) apply(cmd *shardpb.Command) *shardpb.Result {
	f.t.Helper()
	cmd.NowMs = f.nowMs
	data, err := proto.Marshal(cmd)
	assert.NilError(f.t, err)
	f.index++
	return f.state.Apply(f.index, data).(*shardpb.Result)
}

func (f *fixture) applyContract(c *shardpb.Contract, expected uint64, changeID string) *shardpb.Result {
	f.t.Helper()
	op := &shardpb.ApplyContract{Contract: c, ExpectedVersion: expected, ChangeId: changeID}
	return f.apply(&shardpb.Command{Op: &shardpb.Command_ApplyContract{ApplyContract: op}})
}

// changeContract applies an edit to the test customer's contract and expects
// success.
func (f *fixture) changeContract(id string, edit func(*shardpb.Contract)) {
	f.t.Helper()
	c := proto.CloneOf(f.state.Contract(testCustomer))
	edit(c)
	result := f.applyContract(c, c.GetVersion(), id)
	assert.Assert(f.t, result.GetRefusal() == nil, "%v", result.GetRefusal())
}

func (f *fixture) begin(op *shardpb.Begin) *shardpb.Result {
	f.t.Helper()
	return f.apply(&shardpb.Command{Op: &shardpb.Command_Begin{Begin: op}})
}

func (f *fixture) dispatch(op *shardpb.Dispatch) *shardpb.Result {
	f.t.Helper()
	return f.apply(&shardpb.Command{Op: &shardpb.Command_Dispatch{Dispatch: op}})
}

func (f *fixture) commit(op *shardpb.Commit) *shardpb.Result {
	f.t.Helper()
	return f.apply(&shardpb.Command{Op: &shardpb.Command_Commit{Commit: op}})
}

func (f *fixture) fail(op *shardpb.Fail) *shardpb.Result {
	f.t.Helper()
	return f.apply(&shardpb.Command{Op: &shardpb.Command_Fail{Fail: op}})
}

func (f *fixture) endProgram(program string) *shardpb.Result {
	f.t.Helper()
	op := &shardpb.EndProgram{Customer: testCustomer, Program: program, KeyHash: testKey(testCustomer)}
	return f.apply(&shardpb.Command{Op: &shardpb.Command_EndProgram{EndProgram: op}})
}

func (f *fixture) expire(limit uint32) *shardpb.ExpireResult {
	f.t.Helper()
	op := &shardpb.Expire{MaxPrograms: limit}
	return f.apply(&shardpb.Command{Op: &shardpb.Command_Expire{Expire: op}}).GetExpire()
}

func (f *fixture) renewHold(op *shardpb.RenewHold) *shardpb.Result {
	f.t.Helper()
	return f.apply(&shardpb.Command{Op: &shardpb.Command_RenewHold{RenewHold: op}})
}

func (f *fixture) snapshot() []byte {
	f.t.Helper()
	var buf bytes.Buffer
	assert.NilError(f.t, f.state.Snapshot(&buf))
	return buf.Bytes()
}

// restart replaces the state by one restored from its snapshot, and checks that
// the restored state writes the same snapshot.
func (f *fixture) restart() {
	f.t.Helper()
	data := f.snapshot()
	f.state = New(NewMemoryBodies())
	assert.NilError(f.t, f.state.Restore(bytes.NewReader(data)))
	assert.DeepEqual(f.t, f.snapshot(), data)
}

func testCall(program, call string) *shardpb.CallKey {
	return &shardpb.CallKey{Customer: testCustomer, Program: program, Call: call}
}

func testTarget(server string) *shardpb.Target {
	return &shardpb.Target{Server: server, Sidecar: "127.0.0.1:7001", Incarnation: "i1"}
}

// modelCall returns a Begin of a model call with a target and at most 100 input
// and 50 output tokens.
func modelCall(program, call string) *shardpb.Begin {
	body := []byte(fmt.Sprintf(`[{"role":"user","content":"%s/%s"}]`, program, call))
	sum := sha256.Sum256(body)
	return &shardpb.Begin{
		Key:               testCall(program, call),
		KeyHash:           testKey(testCustomer),
		Kind:              shardpb.CallKind_CALL_KIND_MODEL,
		Model:             testModel,
		Fingerprint:       sum[:],
		Body:              body,
		NewInputTokensMax: 100,
		MaxOutputTokens:   50,
		Target:            testTarget("engine-1"),
	}
}

// serviceCall returns a Begin of an operation of the tickets service with a target.
func serviceCall(program, call, operation string) *shardpb.Begin {
	op := modelCall(program, call)
	op.Kind = shardpb.CallKind_CALL_KIND_SERVICE
	op.Model = ""
	op.Service = "tickets"
	op.Operation = operation
	op.NewInputTokensMax = 0
	op.MaxOutputTokens = 0
	return op
}

func testAnswer(text string, prompt, completion uint64) *shardpb.Answer {
	sum := sha256.Sum256([]byte(text))
	return &shardpb.Answer{
		Body:   []byte(text),
		Usage:  &shardpb.Usage{PromptTokens: prompt, CompletionTokens: completion},
		Status: 200,
		Digest: sum[:],
	}
}

// finish commits an answer for the attempt that begun, the result of a Begin,
// describes.
func (f *fixture) finish(begun *shardpb.Result, key *shardpb.CallKey, answer *shardpb.Answer) *shardpb.Result {
	f.t.Helper()
	return f.commit(&shardpb.Commit{
		Key:     key,
		Epoch:   begun.GetBegin().GetEpoch(),
		Attempt: begun.GetBegin().GetAttempt(),
		Answer:  answer,
	})
}

func (f *fixture) mustBegin(op *shardpb.Begin) *shardpb.Result {
	f.t.Helper()
	result := f.begin(op)
	assert.Assert(f.t, result.GetRefusal() == nil, "%v", result.GetRefusal())
	return result
}

// exchange begins one model call and commits its answer of 40 prompt and 10
// completion tokens.
func (f *fixture) exchange(program, call string) {
	f.t.Helper()
	begun := f.mustBegin(modelCall(program, call))
	done := f.finish(begun, testCall(program, call), testAnswer("answer "+call, 40, 10))
	assert.Assert(f.t, done.GetCommit().GetFirst())
}

func assertRefused(t testing.TB, result *shardpb.Result, reason shardpb.Reason) {
	t.Helper()
	assert.Equal(t, result.GetRefusal().GetReason(), reason, "%v", result)
}
