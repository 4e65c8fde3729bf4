package ledger

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"ibistray.example/ibistray/proto/ledgerpb"
)

const startMs = 1_700_000_000_000

func apply(t assert.TestingT, s *State, nowMs int64, cmd *ledgerpb.Command) Result {
	cmd.NowMs = nowMs
	data, err := proto.Marshal(cmd)
	assert.NilError(t, err)
	return s.Apply(1, data).(Result)
}

func begin(call, program, previous string, maxTokens, budget uint64) *ledgerpb.Command {
	return &ledgerpb.Command{Kind: &ledgerpb.Command_Begin{Begin: &ledgerpb.Begin{
		CallId: call, Program: program, Previous: previous, MaxTokens: maxTokens, TokenBudget: budget, Limited: true,
	}}}
}

func storeTurn(call, program, previous, input, output string, tokens uint64) *ledgerpb.Command {
	return &ledgerpb.Command{Kind: &ledgerpb.Command_Finish{Finish: &ledgerpb.Finish{
		CallId: call, Program: program, Previous: previous, Tokens: tokens, Keep: true,
		Input: []byte(input), Output: []byte(output), RetentionMs: 60_000,
	}}}
}

func settleCall(call, program string, tokens uint64) *ledgerpb.Command {
	return &ledgerpb.Command{Kind: &ledgerpb.Command_Finish{Finish: &ledgerpb.Finish{CallId: call, Program: program, Tokens: tokens}}}
}

func TestOpenTurnsReserveTheirMaximumTokens(t *testing.T) {
	s := New()
	assert.Equal(t, apply(t, s, startMs, begin("a", "p", "", 60, 100)).Outcome, ledgerpb.Outcome_OUTCOME_OK)
	assert.Equal(t, apply(t, s, startMs, begin("b", "p", "", 60, 100)).Outcome, ledgerpb.Outcome_OUTCOME_BUDGET_SPENT)
	apply(t, s, startMs, settleCall("a", "p", 30))
	assert.Equal(t, apply(t, s, startMs, begin("b", "p", "", 60, 100)).Outcome, ledgerpb.Outcome_OUTCOME_OK)
	assert.Equal(t, apply(t, s, startMs, begin("c", "p", "", 11, 100)).Outcome, ledgerpb.Outcome_OUTCOME_BUDGET_SPENT)
	assert.Equal(t, apply(t, s, startMs, begin("d", "p", "", 10, 100)).Outcome, ledgerpb.Outcome_OUTCOME_OK)
}

func TestBeginAndFinishAreIdempotent(t *testing.T) {
	s := New()
	for range 3 {
		assert.Equal(t, apply(t, s, startMs, begin("a", "p", "", 60, 100)).Outcome, ledgerpb.Outcome_OUTCOME_OK)
	}
	for range 3 {
		apply(t, s, startMs, settleCall("a", "p", 50))
	}
	// A delayed copy of the begin does not reserve again.
	assert.Equal(t, apply(t, s, startMs, begin("a", "p", "", 60, 100)).Outcome, ledgerpb.Outcome_OUTCOME_OK)
	assert.Equal(t, apply(t, s, startMs, begin("b", "p", "", 50, 100)).Outcome, ledgerpb.Outcome_OUTCOME_OK)
}

// TestBeginAfterFinishReservesNothing applies the commands of a turn in reverse
// order. This happens when a turn is abandoned while its Begin is still in flight.
func TestBeginAfterFinishReservesNothing(t *testing.T) {
	s := New()
	assert.Equal(t, apply(t, s, startMs, begin("a", "p", "", 40, 100)).Outcome, ledgerpb.Outcome_OUTCOME_OK)
	apply(t, s, startMs, settleCall("abandoned", "p", 0))
	assert.Equal(t, apply(t, s, startMs, begin("abandoned", "p", "", 60, 100)).Outcome, ledgerpb.Outcome_OUTCOME_OK)
	assert.Equal(t, apply(t, s, startMs, begin("b", "p", "", 60, 100)).Outcome, ledgerpb.Outcome_OUTCOME_OK)
	assert.Equal(t, apply(t, s, startMs, begin("c", "p", "", 1, 100)).Outcome, ledgerpb.Outcome_OUTCOME_BUDGET_SPENT)
}

func TestPreviousTurnsAreReturnedOldestFirst(t *testing.T) {
	s := New()
	apply(t, s, startMs, storeTurn("a", "p", "", "in1", "out1\n", 1))
	apply(t, s, startMs, storeTurn("b", "p", "a", "in2", "out2\n", 1))
	apply(t, s, startMs, storeTurn("side", "q", "a", "in3", "out3\n", 1))
	result := apply(t, s, startMs, begin("c", "other program", "b", 1, 10))
	assert.Equal(t, result.Outcome, ledgerpb.Outcome_OUTCOME_OK)
	var body bytes.Buffer
	for _, turn := range result.PreviousTurns() {
		body.Write(turn.Input)
		body.Write(turn.Output)
	}
	assert.Equal(t, body.String(), "in1out1\nin2out2\n")
}

// TestServerOfPreviousTurnIsReturned also restores the state from a snapshot.
func TestServerOfPreviousTurnIsReturned(t *testing.T) {
	s := New()
	first := storeTurn("a", "p", "", "in", "out\n", 1)
	first.GetFinish().Server = "i-1"
	apply(t, s, startMs, first)
	assert.Equal(t, apply(t, s, startMs, begin("b", "p", "a", 1, 10)).PreviousServer(), "i-1")
	assert.Equal(t, apply(t, s, startMs, begin("c", "p", "", 1, 10)).PreviousServer(), "")
	var snapshot bytes.Buffer
	assert.NilError(t, s.Snapshot(&snapshot))
	restored := New()
	assert.NilError(t, restored.Restore(&snapshot))
	assert.Equal(t, apply(t, restored, startMs, begin("d", "p", "a", 1, 10)).PreviousServer(), "i-1")
	assert.Equal(t, restored.Stats(), s.Stats())
}

func TestBeginFromUnknownTurnReservesNothing(t *testing.T) {
	s := New()
	assert.Equal(t, apply(t, s, startMs, begin("c", "p", "unknown", 100, 100)).Outcome, ledgerpb.Outcome_OUTCOME_UNKNOWN_TURN)
	assert.Equal(t, apply(t, s, startMs, begin("d", "p", "", 100, 100)).Outcome, ledgerpb.Outcome_OUTCOME_OK)
}

func TestTurnIsRetainedAsLongAsItsSuccessors(t *testing.T) {
	s := New()
	apply(t, s, startMs, storeTurn("a", "p", "", "in1", "out1", 1))
	storedAt := int64(startMs) + 59_000
	apply(t, s, storedAt, storeTurn("b", "p", "a", "in2", "out2", 1))
	// Turn a is retained as long as b, although it would have expired on its own.
	beforeExpiry := storedAt + 59_000 + retentionMargin.Milliseconds()
	result := apply(t, s, beforeExpiry, begin("c", "p", "b", 1, 10))
	assert.Equal(t, result.Outcome, ledgerpb.Outcome_OUTCOME_OK)
	assert.Equal(t, len(result.PreviousTurns()), 2)
	afterExpiry := storedAt + 60_000 + 2*retentionMargin.Milliseconds()
	assert.Equal(t, apply(t, s, afterExpiry, begin("d", "p", "b", 1, 10)).Outcome, ledgerpb.Outcome_OUTCOME_UNKNOWN_TURN)
	assert.Equal(t, s.Stats().Turns, 0)
}

func TestClockStepBackDoesNotShortenRetention(t *testing.T) {
	s := New()
	apply(t, s, startMs+10_000, storeTurn("a", "p", "", "in", "out", 1))
	apply(t, s, startMs, storeTurn("b", "p", "", "in", "out", 1))
	beforeExpiry := int64(startMs) + 10_000 + 60_000 + retentionMargin.Milliseconds() - 1
	assert.Equal(t, apply(t, s, beforeExpiry, begin("c", "p", "b", 1, 10)).Outcome, ledgerpb.Outcome_OUTCOME_OK)
}

func TestDamagedCommandChangesNothing(t *testing.T) {
	s := New()
	apply(t, s, startMs, storeTurn("a", "p", "", "in", "out", 1))
	s.Apply(2, []byte("\xff\xff no command"))
	assert.Equal(t, s.Stats().Turns, 1)
}

func TestDamagedSnapshotLeavesStateUnchanged(t *testing.T) {
	s := New()
	apply(t, s, startMs, storeTurn("a", "p", "", "in", "out", 1))
	var snapshot bytes.Buffer
	assert.NilError(t, s.Snapshot(&snapshot))
	err := s.Restore(bytes.NewReader(snapshot.Bytes()[:snapshot.Len()-2]))
	assert.ErrorIs(t, err, ErrInvalidSnapshot)
	assert.Equal(t, s.Stats().Turns, 1)
}

// TestBudgetIsNeverExceeded runs random turns, some of which never end, with
// restarts from snapshots in between. The tokens used by settled turns plus the
// maximum of open turns must stay within the budget.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		budget := rapid.Uint64Range(1, 400).Draw(t, "budget")
		committed := uint64(0)
		open := make(map[string]uint64)
		now := int64(startMs)
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += rapid.Int64Range(-500, int64(20*time.Second/time.Millisecond)).Draw(t, "pause")
			call := fmt.Sprintf("call-%d", step)
			maxTokens := rapid.Uint64Range(0, 90).Draw(t, "max tokens")
			if apply(t, s, now, begin(call, "p", "", maxTokens, budget)).Outcome == ledgerpb.Outcome_OUTCOME_OK {
				open[call] = maxTokens
				committed += maxTokens // an open turn may use its maximum
			}
			for id, reserved := range open {
				if !rapid.Bool().Draw(t, "ends") {
					continue
				}
				tokens := rapid.Uint64Range(0, reserved).Draw(t, "tokens")
				apply(t, s, now, settleCall(id, "p", tokens))
				committed -= reserved - tokens
				delete(open, id)
			}
			if rapid.Bool().Draw(t, "restart") {
				s = restartFromSnapshot(t, s)
			}
			if committed > budget {
				t.Fatalf("%d tokens used or reserved, the budget is %d", committed, budget)
			}
		}
	})
}

func TestSnapshotKeepsChainsOfExpiredTurns(t *testing.T) {
	s := New()
	apply(t, s, startMs, storeTurn("a", "p", "", "in1", "out1", 1))
	apply(t, s, startMs, storeTurn("b", "p", "a", "in2", "out2", 1))
	delete(s.turns, key{id: "a"})
	restored := restartFromSnapshot(t, s)
	result := apply(t, restored, startMs, begin("c", "p", "b", 1, 10))
	assert.Equal(t, len(result.PreviousTurns()), 2)
	assert.Equal(t, apply(t, restored, startMs, begin("d", "p", "a", 1, 10)).Outcome, ledgerpb.Outcome_OUTCOME_UNKNOWN_TURN)
}

func restartFromSnapshot(t assert.TestingT, s *State) *State {
	var snapshot bytes.Buffer
	assert.NilError(t, s.Snapshot(&snapshot))
	state := New()
	assert.NilError(t, state.Restore(&snapshot))
	return state
}

// TestCapturedSnapshotIsNotChangedByLaterCommands writes a captured state while further commands
// are applied.
func TestCapturedSnapshotIsNotChangedByLaterCommands(t *testing.T) {
	s := New()
	turns := func(from, to int) {
		for i := from; i < to; i++ {
			call, previous := fmt.Sprint("call ", i), ""
			if i > 0 {
				previous = fmt.Sprint("call ", i-1)
			}
			apply(t, s, startMs, begin(call, "p", previous, 10, 100_000))
			apply(t, s, startMs, openStream(call, "v1", 0))
			apply(t, s, startMs, storeTurn(call, "p", previous, "in", "out", 5))
		}
	}
	turns(0, 50)
	var before, captured bytes.Buffer
	assert.NilError(t, s.Snapshot(&before))
	write := s.CaptureSnapshot()
	written := make(chan error, 1)
	go func() { written <- write(&captured) }()
	turns(50, 100)
	assert.NilError(t, <-written)
	assert.Assert(t, bytes.Equal(before.Bytes(), captured.Bytes()))
}
