package ledger

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/proto/ledgerpb"
)

// recordOutput records events with the numbers from..to as their IDs, of which each names the call.
func recordOutput(call string, sequence uint32, from, to int) *ledgerpb.Command {
	record := &ledgerpb.RecordOutput{CallId: call, Sequence: sequence, First: uint32(from - 1), RetentionMs: streamRetention.Milliseconds()}
	for n := from; n <= to; n++ {
		record.Events = append(record.Events, &ledgerpb.OutputEvent{Id: fmt.Append(nil, n), Data: []byte(call), HasData: true})
	}
	return &ledgerpb.Command{Kind: &ledgerpb.Command_RecordOutput{RecordOutput: record}}
}

// resumeAfter resumes a stream whose client holds the events up to the given one.
func resumeAfter(call, resumes string, last int) *ledgerpb.Command {
	cmd := resumeStream(call, resumes)
	cmd.GetOpenStream().LastEventId = fmt.Append(nil, last)
	cmd.GetOpenStream().RetentionMs = streamRetention.Milliseconds()
	return cmd
}

// outputOf returns the calls that recorded the events of a result, in order.
func outputOf(r Result) string {
	var calls []string
	for _, ev := range r.Output() {
		calls = append(calls, string(ev.Data))
	}
	return strings.Join(calls, "")
}

// TestOutputOfAResumedStream has a stream that is resumed by b and then by c. What its first call
// records after that is not what the client holds. Each client names the call that began it.
func TestOutputOfAResumedStream(t *testing.T) {
	s := New()
	const ok, refused = ledgerpb.Outcome_OUTCOME_OK, ledgerpb.Outcome_OUTCOME_UNKNOWN_STREAM
	run := func(cmd *ledgerpb.Command) Result {
		t.Helper()
		s = restartFromSnapshot(t, s)
		return apply(t, s, startMs, cmd)
	}
	assert.Equal(t, run(recordOutput("a", 1, 1, 2)).Outcome, refused, "no version is recorded")
	run(openStream("a", "v1", 0))
	assert.Equal(t, run(recordOutput("a", 1, 1, 2)).Outcome, ok)
	assert.Equal(t, run(recordOutput("a", 2, 3, 5)).Outcome, ok)
	assert.Equal(t, run(recordOutput("a", 1, 1, 2)).Outcome, ok, "a late copy")
	assert.Equal(t, run(recordOutput("a", 3, 7, 7)).Outcome, refused, "event 6 is missing")

	assert.Equal(t, outputOf(run(resumeAfter("b", "a", 4))), "aaaa")
	assert.Equal(t, run(recordOutput("a", 3, 6, 7)).Outcome, refused, "b runs the stream")
	assert.Equal(t, run(recordOutput("b", 1, 5, 6)).Outcome, ok)
	assert.Equal(t, outputOf(run(resumeAfter("b", "a", 4))), "aaaa", "a late copy")
	assert.Equal(t, outputOf(run(resumeAfter("c", "a", 9))), "aaaabb", "the client holds more")
	assert.Equal(t, run(recordOutput("c", 1, 5, 7)).Outcome, ok, "events replace later ones")
	assert.Equal(t, outputOf(run(resumeAfter("d", "c", 7))), "aaaaccc")
	assert.Equal(t, outputOf(run(resumeStream("e", "a"))), "", "a call whose turn is not kept")
}

// TestOutputIsFoundByContentIfItIsOneStream has clients that do not name the stream they resume.
func TestOutputIsFoundByContentIfItIsOneStream(t *testing.T) {
	s := New()
	withContent := func(cmd *ledgerpb.Command) *ledgerpb.Command {
		cmd.GetOpenStream().Content, cmd.GetOpenStream().Resumed = 7, cmd.GetOpenStream().Version == ""
		return cmd
	}
	apply(t, s, startMs, withContent(openStream("a", "v1", 0)))
	apply(t, s, startMs, recordOutput("a", 1, 1, 3))
	assert.Equal(t, outputOf(apply(t, s, startMs, withContent(resumeAfter("b", "", 3)))), "aaa")
	assert.Equal(t, outputOf(apply(t, s, startMs, withContent(resumeAfter("c", "", 2)))), "aa")

	apply(t, s, startMs, withContent(openStream("again", "v1", 0)))
	apply(t, s, startMs, recordOutput("again", 1, 1, 3))
	result := apply(t, s, startMs, withContent(resumeAfter("d", "", 3)))
	assert.Equal(t, result.StreamVersion(), "v1")
	assert.Equal(t, outputOf(result), "", "it is not known which stream the client holds events of")
	assert.Equal(t, apply(t, s, startMs, recordOutput("d", 1, 1, 4)).Outcome, ledgerpb.Outcome_OUTCOME_OK)
	assert.Equal(t, outputOf(apply(t, s, startMs, resumeAfter("e", "d", 4))), "dddd")
}

// TestOutputsAreBounded has streams whose outputs are too large, alone and together, and that end.
func TestOutputsAreBounded(t *testing.T) {
	s := New()
	record := func(call string, bytes int) ledgerpb.Outcome {
		apply(t, s, startMs, openStream(call, "v1", 0))
		cmd := recordOutput(call, 1, 1, 1)
		cmd.GetRecordOutput().Events[0].Data = make([]byte, bytes)
		outcome := apply(t, s, startMs, cmd).Outcome
		assert.Assert(t, s.Stats().Outputs <= maxOutputsBytes)
		return outcome
	}
	assert.Equal(t, record("too large", maxOutputBytes), ledgerpb.Outcome_OUTCOME_UNKNOWN_STREAM)
	const size = maxOutputBytes / 2
	for i := range 4 * maxOutputsBytes / size {
		assert.Equal(t, record(fmt.Sprint("call ", i), size), ledgerpb.Outcome_OUTCOME_OK)
	}
	assert.Assert(t, s.Stats().Outputs >= keptOutputsBytes-size)
	held := s.Stats().Outputs
	s = restartFromSnapshot(t, s)
	assert.Equal(t, s.Stats().Outputs, held)

	later := startMs + (streamRetention + retentionMargin + expiryInterval).Milliseconds() + 1
	apply(t, s, later, openStream("later", "v1", 0))
	assert.Equal(t, s.Stats().Outputs, int64(0))
}

// TestResultIsNotChangedByLaterCommands reads the output of a result while its stream goes on.
func TestResultIsNotChangedByLaterCommands(t *testing.T) {
	s := New()
	apply(t, s, startMs, openStream("a", "v1", 0))
	apply(t, s, startMs, recordOutput("a", 1, 1, 6))
	result := apply(t, s, startMs, resumeAfter("b", "a", 6))
	apply(t, s, startMs, recordOutput("b", 1, 7, 8))
	apply(t, s, startMs, resumeAfter("c", "a", 2))
	apply(t, s, startMs, recordOutput("c", 1, 3, 8))
	assert.Equal(t, outputOf(result), "aaaaaa")
}
