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

func begin(call, program, previous string, most, budget uint64) *ledgerpb.Command {
	return &ledgerpb.Command{Kind: &ledgerpb.Command_Begin{Begin: &ledgerpb.Begin{
		CallId: call, Program: program, Previous: previous, MaxTokens: most, TokenBudget: budget, Limited: true,
	}}}
}

func keep(call, program, previous, input, output string, tokens uint64) *ledgerpb.Command {
	return &ledgerpb.Command{Kind: &ledgerpb.Command_Finish{Finish: &ledgerpb.Finish{
		CallId: call, Program: program, Previous: previous, Tokens: tokens, Keep: true,
		Input: []byte(input), Output: []byte(output), RetentionMs: 60_000,
	}}}
}

func settle(call, program string, tokens uint64) *ledgerpb.Command {
	return &ledgerpb.Command{Kind: &ledgerpb.Command_Finish{Finish: &ledgerpb.Finish{CallId: call, Program: program, Tokens: tokens}}}
}

func TestBudgetCountsOpenTurnsAtTheirMost(t *testing.T) {
	s := New()
	assert.Equal(t, apply(t, s, startMs, begin("a", "p", "", 60, 100)).Outcome, ledgerpb.Outcome_OUTCOME_OK)
	assert.Equal(t, apply(t, s, startMs, begin("b", "p", "", 60, 100)).Outcome, ledgerpb.Outcome_OUTCOME_BUDGET_SPENT)
	apply(t, s, startMs, settle("a", "p", 30))
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
		apply(t, s, startMs, settle("a", "p", 50))
	}
	// A delayed copy of the begin does not reserve again.
	assert.Equal(t, apply(t, s, startMs, begin("a", "p", "", 60, 100)).Outcome, ledgerpb.Outcome_OUTCOME_OK)
	assert.Equal(t, apply(t, s, startMs, begin("b", "p", "", 50, 100)).Outcome, ledgerpb.Outcome_OUTCOME_OK)
}

// TestBeginAfterItsSettlementReservesNothing has a turn that was given up while its
// Begin was on the way.
func TestBeginAfterItsSettlementReservesNothing(t *testing.T) {
	s := New()
	assert.Equal(t, apply(t, s, startMs, begin("a", "p", "", 40, 100)).Outcome, ledgerpb.Outcome_OUTCOME_OK)
	apply(t, s, startMs, settle("given up", "p", 0))
	assert.Equal(t, apply(t, s, startMs, begin("given up", "p", "", 60, 100)).Outcome, ledgerpb.Outcome_OUTCOME_OK)
	assert.Equal(t, apply(t, s, startMs, begin("b", "p", "", 60, 100)).Outcome, ledgerpb.Outcome_OUTCOME_OK)
	assert.Equal(t, apply(t, s, startMs, begin("c", "p", "", 1, 100)).Outcome, ledgerpb.Outcome_OUTCOME_BUDGET_SPENT)
}

func TestChainIsRebuiltInOrder(t *testing.T) {
	s := New()
	apply(t, s, startMs, keep("a", "p", "", "in1", "out1\n", 1))
	apply(t, s, startMs, keep("b", "p", "a", "in2", "out2\n", 1))
	apply(t, s, startMs, keep("side", "q", "a", "in3", "out3\n", 1))
	result := apply(t, s, startMs, begin("c", "other program", "b", 1, 10))
	assert.Equal(t, result.Outcome, ledgerpb.Outcome_OUTCOME_OK)
	var body bytes.Buffer
	for _, turn := range result.PreviousTurns() {
		body.Write(turn.Input)
		body.Write(turn.Output)
	}
	assert.Equal(t, body.String(), "in1out1\nin2out2\n")
}

func TestUnknownTurnReservesNothing(t *testing.T) {
	s := New()
	assert.Equal(t, apply(t, s, startMs, begin("c", "p", "nowhere", 100, 100)).Outcome, ledgerpb.Outcome_OUTCOME_UNKNOWN_TURN)
	assert.Equal(t, apply(t, s, startMs, begin("d", "p", "", 100, 100)).Outcome, ledgerpb.Outcome_OUTCOME_OK)
}

func TestTurnOutlivesItsRetentionWithItsSuccessors(t *testing.T) {
	s := New()
	apply(t, s, startMs, keep("a", "p", "", "in1", "out1", 1))
	late := int64(startMs) + 59_000
	apply(t, s, late, keep("b", "p", "a", "in2", "out2", 1))
	// The chain of b is kept as long as b, although a alone would have expired.
	later := late + 59_000 + retentionMargin.Milliseconds()
	result := apply(t, s, later, begin("c", "p", "b", 1, 10))
	assert.Equal(t, result.Outcome, ledgerpb.Outcome_OUTCOME_OK)
	assert.Equal(t, len(result.PreviousTurns()), 2)
	gone := late + 60_000 + 2*retentionMargin.Milliseconds()
	assert.Equal(t, apply(t, s, gone, begin("d", "p", "b", 1, 10)).Outcome, ledgerpb.Outcome_OUTCOME_UNKNOWN_TURN)
	assert.Equal(t, s.Stats().Turns, 0)
}

func TestClockStepBackDoesNotMoveExpiryBack(t *testing.T) {
	s := New()
	apply(t, s, startMs+10_000, keep("a", "p", "", "in", "out", 1))
	apply(t, s, startMs, keep("b", "p", "", "in", "out", 1))
	at := int64(startMs) + 10_000 + 60_000 + retentionMargin.Milliseconds() - 1
	assert.Equal(t, apply(t, s, at, begin("c", "p", "b", 1, 10)).Outcome, ledgerpb.Outcome_OUTCOME_OK)
}

func TestDamagedCommandChangesNothing(t *testing.T) {
	s := New()
	apply(t, s, startMs, keep("a", "p", "", "in", "out", 1))
	s.Apply(2, []byte("\xff\xff no command"))
	assert.Equal(t, s.Stats().Turns, 1)
}

func TestDamagedSnapshotLeavesTheState(t *testing.T) {
	s := New()
	apply(t, s, startMs, keep("a", "p", "", "in", "out", 1))
	var snapshot bytes.Buffer
	assert.NilError(t, s.Snapshot(&snapshot))
	err := s.Restore(bytes.NewReader(snapshot.Bytes()[:snapshot.Len()-2]))
	assert.ErrorIs(t, err, ErrSnapshot)
	assert.Equal(t, s.Stats().Turns, 1)
}

// TestBudgetIsNeverExceeded plays random turns, some of which never end, across
// restarts from snapshots: what was handed out stays within each budget.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		budget := rapid.Uint64Range(1, 400).Draw(t, "budget")
		handed := uint64(0)
		open := make(map[string]uint64)
		now := int64(startMs)
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += rapid.Int64Range(-500, int64(20*time.Second/time.Millisecond)).Draw(t, "pause")
			call := fmt.Sprintf("call-%d", step)
			most := rapid.Uint64Range(0, 90).Draw(t, "most")
			if apply(t, s, now, begin(call, "p", "", most, budget)).Outcome == ledgerpb.Outcome_OUTCOME_OK {
				open[call] = most
				handed += most // until it is settled a turn may hand out its most
			}
			for id, reserved := range open {
				if !rapid.Bool().Draw(t, "ends") {
					continue
				}
				tokens := rapid.Uint64Range(0, reserved).Draw(t, "tokens")
				apply(t, s, now, settle(id, "p", tokens))
				handed -= reserved - tokens
				delete(open, id)
			}
			if rapid.Bool().Draw(t, "restart") {
				s = restored(t, s)
			}
			if handed > budget {
				t.Fatalf("handed out %d of %d tokens", handed, budget)
			}
		}
	})
}

func TestSnapshotKeepsChainsOfExpiredTurns(t *testing.T) {
	s := New()
	apply(t, s, startMs, keep("a", "p", "", "in1", "out1", 1))
	apply(t, s, startMs, keep("b", "p", "a", "in2", "out2", 1))
	delete(s.turns, "a")
	next := restored(t, s)
	result := apply(t, next, startMs, begin("c", "p", "b", 1, 10))
	assert.Equal(t, len(result.PreviousTurns()), 2)
	assert.Equal(t, apply(t, next, startMs, begin("d", "p", "a", 1, 10)).Outcome, ledgerpb.Outcome_OUTCOME_UNKNOWN_TURN)
}

func restored(t assert.TestingT, s *State) *State {
	var snapshot bytes.Buffer
	assert.NilError(t, s.Snapshot(&snapshot))
	next := New()
	assert.NilError(t, next.Restore(&snapshot))
	return next
}
