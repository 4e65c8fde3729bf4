package ledger

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/proto/ledgerpb"
)

const streamRetention = 5 * time.Second

func openStream(call, version string, revision uint32) *ledgerpb.Command {
	return &ledgerpb.Command{Kind: &ledgerpb.Command_OpenStream{OpenStream: &ledgerpb.OpenStream{
		CallId: call, Version: version, Revision: revision, RetentionMs: streamRetention.Milliseconds(),
	}}}
}

func resumeStream(call, resumes string) *ledgerpb.Command {
	return &ledgerpb.Command{Kind: &ledgerpb.Command_OpenStream{OpenStream: &ledgerpb.OpenStream{CallId: call, Resumes: resumes}}}
}

func TestResumedStreamHasVersionOfItsFirstCall(t *testing.T) {
	s := New()
	first := begin("a", "p", "", 10, 100)
	first.GetBegin().Stream = openStream("a", "v1", 0).GetOpenStream()
	assert.Equal(t, apply(t, s, startMs, first).Outcome, ledgerpb.Outcome_OUTCOME_OK)
	s = restartFromSnapshot(t, s)

	again := begin("b", "p", "", 10, 100)
	again.GetBegin().Stream = resumeStream("b", "a").GetOpenStream()
	result := apply(t, s, startMs, again)
	assert.Equal(t, result.Outcome, ledgerpb.Outcome_OUTCOME_OK)
	assert.Equal(t, result.StreamVersion(), "v1")
	assert.Equal(t, apply(t, s, startMs, resumeStream("c", "a")).StreamVersion(), "v1")
}

func TestUnknownStreamReservesNothing(t *testing.T) {
	s := New()
	unknown := begin("b", "p", "", 100, 100)
	unknown.GetBegin().Stream = resumeStream("b", "a").GetOpenStream()
	assert.Equal(t, apply(t, s, startMs, unknown).Outcome, ledgerpb.Outcome_OUTCOME_UNKNOWN_STREAM)
	assert.Equal(t, apply(t, s, startMs, resumeStream("b", "a")).Outcome, ledgerpb.Outcome_OUTCOME_UNKNOWN_STREAM)
	assert.Equal(t, apply(t, s, startMs, begin("c", "p", "", 100, 100)).Outcome, ledgerpb.Outcome_OUTCOME_OK)
}

// TestDelayedRecordDoesNotReplaceLaterVersion has a stream that moved to another version
// before its first event, and a delayed copy of its first record.
func TestDelayedRecordDoesNotReplaceLaterVersion(t *testing.T) {
	s := New()
	for _, cmd := range []*ledgerpb.Command{openStream("a", "v1", 0), openStream("a", "v2", 1), openStream("a", "v1", 0)} {
		assert.Equal(t, apply(t, s, startMs, cmd).Outcome, ledgerpb.Outcome_OUTCOME_OK)
		s = restartFromSnapshot(t, s)
	}
	assert.Equal(t, apply(t, s, startMs, resumeStream("b", "a")).StreamVersion(), "v2")
}

func TestStreamExpiresAfterItsRetention(t *testing.T) {
	s := New()
	apply(t, s, startMs, openStream("a", "v1", 0))
	last := startMs + (streamRetention + retentionMargin).Milliseconds()
	assert.Equal(t, apply(t, s, last, resumeStream("b", "a")).StreamVersion(), "v1")
	assert.Equal(t, s.Stats().Streams, 2, "the stream and its resumption")
	later := last + max(retentionMargin, expiryInterval).Milliseconds() + 1
	assert.Equal(t, apply(t, s, later, resumeStream("b", "a")).Outcome, ledgerpb.Outcome_OUTCOME_UNKNOWN_STREAM)
	assert.Equal(t, s.Stats().Streams, 0)
}

// TestStreamIsFoundByItsResumptionAndByItsContent has a client that resumes a stream twice and
// names the first call, its own resumption or nothing.
func TestStreamIsFoundByItsResumptionAndByItsContent(t *testing.T) {
	s := New()
	withContent := func(cmd *ledgerpb.Command, content uint64) *ledgerpb.Command {
		cmd.GetOpenStream().Content, cmd.GetOpenStream().Resumed = content, cmd.GetOpenStream().Version == ""
		return cmd
	}
	apply(t, s, startMs, withContent(openStream("a", "v1", 0), 7))
	apply(t, s, startMs, withContent(openStream("b", "v2", 0), 8))
	for id, cmd := range map[string]*ledgerpb.Command{"c": resumeStream("c", "a"), "d": resumeStream("d", ""), "e": resumeStream("e", "")} {
		assert.Equal(t, apply(t, s, startMs, withContent(cmd, 7)).StreamVersion(), "v1")
		s = restartFromSnapshot(t, s)
		assert.Equal(t, apply(t, s, startMs, resumeStream("again "+id, id)).StreamVersion(), "v1")
	}
	assert.Equal(t, apply(t, s, startMs, withContent(resumeStream("f", ""), 9)).Outcome, ledgerpb.Outcome_OUTCOME_UNKNOWN_STREAM)

	apply(t, s, startMs, withContent(openStream("g", "v2", 0), 7))
	assert.Equal(t, apply(t, s, startMs, withContent(resumeStream("h", ""), 7)).Outcome, ledgerpb.Outcome_OUTCOME_UNKNOWN_STREAM, "two versions ran this content")
}

// BenchmarkStreamMemory reports the heap that a recorded stream takes.
func BenchmarkStreamMemory(b *testing.B) {
	const streams = 100_000
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		s := New()
		for i := range streams {
			apply(b, s, startMs, openStream(fmt.Sprintf("%016x", i), "v1", 0))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/streams, "B/stream")
		runtime.KeepAlive(s)
	}
}
