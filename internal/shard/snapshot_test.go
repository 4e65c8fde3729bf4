package shard

import (
	"bytes"
	"fmt"
	"sync"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/proto/shardpb"
)

func TestDamagedSnapshotIsRejected(t *testing.T) {
	f := newFixture(t)
	f.exchange("p", "c1")
	f.mustBegin(modelCall("p", "c2"))
	data := f.snapshot()
	for i := range data {
		damaged := bytes.Clone(data)
		damaged[i] ^= 1
		assert.Assert(t, New(NewMemoryBodies()).Restore(bytes.NewReader(damaged)) != nil, "byte %d", i)
		err := New(NewMemoryBodies()).Restore(bytes.NewReader(data[:i]))
		assert.ErrorIs(t, err, ErrInvalidSnapshot, "length %d", i)
	}
}

func TestFailedRestoreKeepsTheState(t *testing.T) {
	f := newFixture(t)
	f.exchange("p", "c1")
	assert.Assert(t, f.state.Restore(bytes.NewReader(nil)) != nil)
	_, err := f.state.History(testCustomer, "p", 0)
	assert.NilError(t, err)
}

func TestLocalSnapshotNeedsItsBodies(t *testing.T) {
	f := newFixture(t)
	f.exchange("p", "c1")
	var local bytes.Buffer
	assert.NilError(t, f.state.SnapshotLocal(&local))
	same := New(f.state.bodies)
	assert.NilError(t, same.Restore(bytes.NewReader(local.Bytes())))
	view, err := same.History(testCustomer, "p", 0)
	assert.NilError(t, err)
	assert.Equal(t, len(view.Items), 1)
	assert.ErrorIs(t, New(NewMemoryBodies()).Restore(&local), ErrNoBody)
}

func TestRestoreNotifiesWatchers(t *testing.T) {
	f := newFixture(t)
	data := f.snapshot()
	changed := f.state.Watch(testCustomer, "p")
	assert.NilError(t, f.state.Restore(bytes.NewReader(data)))
	<-changed
}

func TestWatchIsClosedOnlyByAChangeOfItsProgram(t *testing.T) {
	f := newFixture(t)
	begun := f.mustBegin(modelCall("p", "c1"))
	changed := f.state.Watch(testCustomer, "p")
	f.exchange("q", "c1")
	select {
	case <-changed:
		t.Fatal("closed by a change of another program")
	default:
	}
	f.finish(begun, testCall("p", "c1"), testAnswer("a", 1, 1))
	<-changed
}

func TestWatchersAreLimited(t *testing.T) {
	f := newFixture(t)
	firstChannel := f.state.Watch(testCustomer, "first")
	for i := range maxWatchers {
		f.state.Watch(testCustomer, fmt.Sprint(i))
	}
	<-firstChannel
	assert.Equal(t, len(f.state.watchers), 1)
}

// TestReadsRunConcurrentlyWithApply lets the race detector find reads that do not
// hold the lock.
func TestReadsRunConcurrentlyWithApply(t *testing.T) {
	f := newFixture(t)
	f.changeContract("wide", func(c *shardpb.Contract) { c.MaxTurns, c.Budget.Tokens = 1000, 1<<30 })
	stop := make(chan struct{})
	var readers sync.WaitGroup
	for range 4 {
		readers.Go(func() { readUntilStopped(f.state, stop) })
	}
	for i := range 100 {
		f.exchange("p", fmt.Sprint("c", i))
	}
	close(stop)
	readers.Wait()
}

func readUntilStopped(state *State, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		_, _ = state.History(testCustomer, "p", 0)
		_, _ = state.Budget(testCustomer)
		_ = state.Programs(testCustomer)
		_ = state.Contracts()
		_ = state.Watch(testCustomer, "p")
	}
}

func TestInvalidCommandsChangeNothing(t *testing.T) {
	f := newFixture(t)
	f.mustBegin(modelCall("p", "c1"))
	before := f.snapshot()
	key := testCall("p", "c1")
	bad := []*shardpb.Command{
		{},
		{NowMs: -1, Op: &shardpb.Command_Expire{Expire: &shardpb.Expire{}}},
		{Op: &shardpb.Command_ApplyContract{ApplyContract: &shardpb.ApplyContract{ChangeId: "x"}}},
		{Op: &shardpb.Command_Begin{Begin: &shardpb.Begin{Key: key}}},
		{Op: &shardpb.Command_Dispatch{Dispatch: &shardpb.Dispatch{Key: key, Attempt: 1}}},
		{Op: &shardpb.Command_Commit{Commit: &shardpb.Commit{Key: key}}},
		{Op: &shardpb.Command_Commit{Commit: &shardpb.Commit{Key: key, Answer: &shardpb.Answer{Usage: &shardpb.Usage{PromptTokens: 1 << 63}}}}},
		{Op: &shardpb.Command_Fail{Fail: &shardpb.Fail{Key: key}}},
		{Op: &shardpb.Command_EndProgram{EndProgram: &shardpb.EndProgram{}}},
		{Op: &shardpb.Command_RenewHold{RenewHold: &shardpb.RenewHold{Program: "p", TtlMs: -1}}},
	}
	f.nowMs++
	for _, cmd := range bad {
		data, err := proto.Marshal(cmd)
		assert.NilError(t, err)
		assertRefused(t, f.state.Apply(99, data).(*shardpb.Result), shardpb.Reason_REASON_INVALID_COMMAND)
	}
	assertRefused(t, f.state.Apply(99, []byte{0xff}).(*shardpb.Result), shardpb.Reason_REASON_INVALID_COMMAND)
	assert.DeepEqual(t, f.snapshot(), before)
}

// FuzzApply checks that an invalid command changes nothing, and that any other
// command leaves a state whose snapshot can be restored.
func FuzzApply(f *testing.F) {
	seeds := []*shardpb.Command{
		{NowMs: 1, Op: &shardpb.Command_Begin{Begin: modelCall("p", "c2")}},
		{NowMs: 1, Op: &shardpb.Command_Commit{Commit: &shardpb.Commit{
			Key: testCall("p", "c1"), Epoch: 2, Attempt: 1, Answer: testAnswer("a", 1, 1),
		}}},
		{NowMs: 1, Op: &shardpb.Command_Fail{Fail: &shardpb.Fail{
			Key: testCall("p", "c1"), Epoch: 2, Attempt: 1, Failure: &shardpb.Failure{Reason: "r"},
		}}},
		contractCommand(testContract(testCustomer), 1, "x"),
		{NowMs: maxTimeMs, Op: &shardpb.Command_Expire{Expire: &shardpb.Expire{}}},
	}
	for _, cmd := range seeds {
		data, err := proto.Marshal(cmd)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		fx := newFixture(t)
		fx.mustBegin(modelCall("p", "c1"))
		before := fx.snapshot()
		result := fx.state.Apply(fx.index+1, data).(*shardpb.Result)
		if result.GetRefusal().GetReason() == shardpb.Reason_REASON_INVALID_COMMAND {
			assert.DeepEqual(t, fx.snapshot(), before)
		}
		fx.restart()
	})
}

// FuzzRestore checks that Restore does not panic on any input, and that a restored
// state can be written again.
func FuzzRestore(f *testing.F) {
	fx := newFixture(f)
	fx.exchange("p", "c1")
	f.Add(fx.snapshot())
	f.Fuzz(func(t *testing.T, data []byte) {
		state := New(NewMemoryBodies())
		if state.Restore(bytes.NewReader(data)) == nil {
			assert.NilError(t, state.Snapshot(new(bytes.Buffer)))
		}
	})
}
