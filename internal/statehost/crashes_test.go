package statehost

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/proto/fleetpb"
)

func TestCrashLogReturnsEachReportOnce(t *testing.T) {
	l := newCrashLog()
	now := time.Unix(1_700_000_000, 0)
	_, revision, changed := l.since(0, now)
	l.add([]*fleetpb.Crash{{Fingerprint: []byte("f"), Server: "a", AgeMs: 500}}, now)
	select {
	case <-changed:
	default:
		t.Fatal("a report did not notify the watchers")
	}
	list, revision, _ := l.since(revision, now.Add(time.Second))
	assert.Equal(t, len(list), 1)
	assert.Equal(t, list[0].AgeMs, int64(1500))
	list, _, _ = l.since(revision, now.Add(time.Second))
	assert.Equal(t, len(list), 0)
}

func TestCrashLogDropsExpiredAndExcessReports(t *testing.T) {
	l := newCrashLog()
	now := time.Unix(1_700_000_000, 0)
	for range 2 * maxCrashReports {
		l.add([]*fleetpb.Crash{{Fingerprint: []byte("f")}}, now)
	}
	assert.Equal(t, len(l.reports), maxCrashReports)
	list, _, _ := l.since(0, now.Add(crashRetentionPeriod+time.Second))
	assert.Equal(t, len(list), 0)
	l.add([]*fleetpb.Crash{{Fingerprint: []byte("g")}}, now.Add(crashRetentionPeriod+time.Second))
	assert.Equal(t, len(l.reports), 1)
}
