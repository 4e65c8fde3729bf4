package ledger

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"ibistray.example/ibistray/proto/ledgerpb"
)

// of returns a command as one of an account.
func of(account string, cmd *ledgerpb.Command) *ledgerpb.Command {
	switch kind := cmd.Kind.(type) {
	case *ledgerpb.Command_Begin:
		kind.Begin.Account = account
	case *ledgerpb.Command_Finish:
		kind.Finish.Account = account
	case *ledgerpb.Command_OpenStream:
		kind.OpenStream.Account = account
	}
	return cmd
}

// TestRecordsBelongToAnAccount has account a store a turn, reserve tokens and open a stream.
func TestRecordsBelongToAnAccount(t *testing.T) {
	cases := map[string]struct {
		command *ledgerpb.Command
		own     ledgerpb.Outcome
		other   ledgerpb.Outcome // for another account
	}{
		"turn continued":   {begin("2", "q", "1", 1, 10), ledgerpb.Outcome_OUTCOME_OK, ledgerpb.Outcome_OUTCOME_UNKNOWN_TURN},
		"turn kept":        {storeTurn("2", "q", "1", "in2", "out2", 1), ledgerpb.Outcome_OUTCOME_OK, ledgerpb.Outcome_OUTCOME_UNKNOWN_TURN},
		"stream resumed":   {resumeStream("2", "s"), ledgerpb.Outcome_OUTCOME_OK, ledgerpb.Outcome_OUTCOME_UNKNOWN_STREAM},
		"budget of an ID":  {begin("2", "p", "", 60, 100), ledgerpb.Outcome_OUTCOME_BUDGET_SPENT, ledgerpb.Outcome_OUTCOME_OK},
		"call ID reserved": {begin("open", "p", "", 101, 100), ledgerpb.Outcome_OUTCOME_OK, ledgerpb.Outcome_OUTCOME_BUDGET_SPENT},
	}
	for name, c := range cases {
		for _, other := range []string{"b", ""} {
			t.Run(fmt.Sprintf("%s, other account %q", name, other), func(t *testing.T) {
				s := New()
				apply(t, s, startMs, of("a", storeTurn("1", "q", "", "in1", "out1", 1)))
				apply(t, s, startMs, of("a", begin("open", "p", "", 60, 100)))
				apply(t, s, startMs, of("a", openStream("s", "v1", 0)))
				for _, state := range []*State{s, restartFromSnapshot(t, s)} {
					assert.Equal(t, apply(t, state, startMs, of(other, c.command)).Outcome, c.other)
					assert.Equal(t, apply(t, state, startMs, of("a", c.command)).Outcome, c.own)
				}
			})
		}
	}
}

// TestSnapshotKeepsAccountsOfChains restores chains of two accounts that use the same IDs,
// with a turn that is kept for its successors only.
func TestSnapshotKeepsAccountsOfChains(t *testing.T) {
	s := New()
	for _, account := range []string{"", "a", "b"} {
		apply(t, s, startMs, of(account, storeTurn("1", "p", "", account+" in1", "", 1)))
		apply(t, s, startMs, of(account, storeTurn("2", "p", "1", account+" in2", "", 1)))
		delete(s.turns, key{account, "1"})
	}
	restored := restartFromSnapshot(t, s)
	for _, account := range []string{"", "a", "b"} {
		turns := apply(t, restored, startMs, of(account, begin("3", "p", "2", 1, 10))).PreviousTurns()
		assert.Equal(t, len(turns), 2)
		assert.Equal(t, string(turns[0].Input), account+" in1")
		assert.Equal(t, string(turns[1].Input), account+" in2")
	}
}

// TestAccountsAreIndependent applies random commands of some accounts, which draw from the
// same few IDs, to one state, with restarts from snapshots, and those of each account to a
// state of its own. The results must agree.
func TestAccountsAreIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		accounts := []string{"", "a", "b"}
		shared := New()
		alone := map[string]*State{"": New(), "a": New(), "b": New()}
		now := int64(startMs)
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			now += rapid.Int64Range(0, 20_000).Draw(t, "pause")
			account := rapid.SampledFrom(accounts).Draw(t, "account")
			cmd := of(account, drawCommand(t))
			restart := rapid.Bool().Draw(t, "restart")
			for name, state := range alone {
				if restart {
					state = restartFromSnapshot(t, state)
					alone[name] = state
				}
				apply(t, state, now, &ledgerpb.Command{}) // records expire at the same time stamps
			}
			if restart {
				shared = restartFromSnapshot(t, shared)
			}
			got, want := apply(t, shared, now, cmd), apply(t, alone[account], now, cmd)
			assert.Equal(t, got.Outcome, want.Outcome)
			assert.Equal(t, got.StreamVersion(), want.StreamVersion())
			assert.Equal(t, fmt.Sprint(got.PreviousTurns()), fmt.Sprint(want.PreviousTurns()))
		}
	})
}

// drawCommand returns a random command whose IDs are few.
func drawCommand(t *rapid.T) *ledgerpb.Command {
	ids := rapid.SampledFrom([]string{"1", "2", "3", "4"})
	call, program := ids.Draw(t, "call"), ids.Draw(t, "program")
	previous := rapid.SampledFrom([]string{"", "1", "2", "3"}).Draw(t, "previous")
	text := rapid.StringN(0, 4, -1).Draw(t, "text")
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		cmd := begin(call, program, previous, 30, 100)
		cmd.GetBegin().Stream = rapid.SampledFrom([]*ledgerpb.OpenStream{nil, openStream(call, "v1", 0).GetOpenStream(), resumeStream(call, "1").GetOpenStream()}).Draw(t, "stream")
		return cmd
	case 1:
		return storeTurn(call, program, previous, text, text, 10)
	case 2:
		return settleCall(call, program, 10)
	case 3:
		return openStream(call, text, uint32(len(text)))
	}
	return resumeStream(call, ids.Draw(t, "resumes"))
}
