package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestContentThatCrashesThreeServersIsQuarantined(t *testing.T) {
	c := NewCrashCounter()
	f := ComputeFingerprint("POST /x", nil, []byte("body"))
	now := time.Unix(1_700_000_000, 0)
	assert.Assert(t, c.Record(f, "a", now))
	assert.Assert(t, !c.Record(f, "a", now), "the same incarnation counts once")
	c.Record(f, "b", now.Add(time.Second))
	assert.Assert(t, !c.Quarantined(f, now.Add(2*time.Second)))
	c.Record(f, "c", now.Add(2*time.Second))
	assert.Assert(t, c.Quarantined(f, now.Add(3*time.Second)))
	assert.Assert(t, !c.Quarantined(ComputeFingerprint("POST /x", nil, []byte("other")), now))
	assert.Assert(t, !c.Quarantined(f, now.Add(crashRetentionPeriod)), "the first crash has expired")
}

func TestAnsweredContentIsCleared(t *testing.T) {
	c := NewCrashCounter()
	f := ComputeFingerprint("GET /x", nil, nil)
	now := time.Unix(1_700_000_000, 0)
	for i := range 3 {
		c.Record(f, fmt.Sprint("incarnation ", i), now)
	}
	c.Clear(f, now.Add(time.Second))
	assert.Assert(t, !c.Quarantined(f, now.Add(time.Second)))
	// A crash before the answer that is reported after it does not count.
	assert.Assert(t, !c.Record(f, "late", now))
}

func TestCrashesExpire(t *testing.T) {
	c := NewCrashCounter()
	now := time.Unix(1_700_000_000, 0)
	for i := range 2 * maxFingerprints {
		c.Record(ComputeFingerprint("GET /x", nil, fmt.Append(nil, i)), "a", now)
	}
	assert.Equal(t, len(c.records), maxFingerprints)
	c.Expire(now.Add(crashRetentionPeriod))
	assert.Assert(t, c.Empty())
}

// TestCrashKnownAfterAnAnswerDoesNotCount has crashes and answers that become known in another
// order than they happened.
func TestCrashKnownAfterAnAnswerDoesNotCount(t *testing.T) {
	c := NewCrashCounter()
	f := ComputeFingerprint("GET /x", nil, nil)
	now := time.Unix(1_700_000_000, 0)
	assert.Assert(t, !c.Answered(f, now), "no crash counts")
	assert.Assert(t, c.AnsweredAt(f).Equal(now))
	assert.Assert(t, c.Clear(f, now))
	assert.Assert(t, !c.Clear(f, now), "it is known")
	assert.Assert(t, !c.Record(f, "before", now.Add(-time.Second)))
	assert.Assert(t, c.Record(f, "after", now.Add(time.Second)))
	assert.Assert(t, c.Clear(f, now.Add(time.Millisecond)))
	assert.Assert(t, c.Answered(f, now.Add(2*time.Second)), "an answer before a crash does not clear it")
}

func TestAnswersAreKnownForALimitedTime(t *testing.T) {
	c := NewCrashCounter()
	now := time.Unix(1_700_000_000, 0)
	f := ComputeFingerprint("GET /x", nil, nil)
	c.Answered(f, now)
	c.Answered(ComputeFingerprint("GET /y", nil, nil), now.Add(answerRetentionPeriod-1))
	assert.Assert(t, !c.AnsweredAt(f).IsZero())
	for i := range 3 * maxFingerprints {
		c.Answered(ComputeFingerprint("GET /x", nil, fmt.Append(nil, i)), now)
	}
	assert.Assert(t, c.AnsweredAt(f).IsZero())
	assert.Assert(t, len(c.answered)+len(c.previous) <= 2*maxFingerprints)
}
