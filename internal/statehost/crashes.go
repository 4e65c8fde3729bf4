package statehost

import (
	"context"
	"encoding/hex"
	"sync"
	"time"

	"ibistray.example/ibistray/proto/fleetpb"
	"ibistray.example/ibistray/proto/rpcpb"
)

const (
	// crashRetentionPeriod is the age up to which reports are sent to watchers.
	crashRetentionPeriod = 2 * time.Minute
	maxCrashReports      = 4096
)

// crashLog holds the recent reports of entries about requests that crash backend
// servers. It is kept in memory only, because entries report to every state host. It is
// safe for concurrent use.
type crashLog struct {
	mu       sync.Mutex
	revision uint64
	reports  []crashRecord // oldest first
	changed  chan struct{} // closed and replaced when reports are added
}

// crashRecord is a report with the time of the reported event.
type crashRecord struct {
	crash      *fleetpb.Crash
	occurredAt time.Time
	revision   uint64
}

func newCrashLog() *crashLog {
	return &crashLog{changed: make(chan struct{})}
}

// add appends the reports of an entry and drops reports that are expired or exceed
// maxCrashReports.
func (l *crashLog) add(crashes []*fleetpb.Crash, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, crash := range crashes {
		l.revision++
		at := now.Add(-time.Duration(crash.AgeMs) * time.Millisecond)
		l.reports = append(l.reports, crashRecord{crash: crash, occurredAt: at, revision: l.revision})
	}
	first := max(0, len(l.reports)-maxCrashReports)
	for first < len(l.reports) && now.Sub(l.reports[first].occurredAt) > crashRetentionPeriod {
		first++
	}
	l.reports = l.reports[first:]
	close(l.changed)
	l.changed = make(chan struct{})
}

// since returns the unexpired reports after a revision, the current revision and a
// channel that is closed at the next report.
func (l *crashLog) since(revision uint64, now time.Time) ([]*fleetpb.Crash, uint64, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []*fleetpb.Crash
	for _, r := range l.reports {
		if r.revision > revision && now.Sub(r.occurredAt) <= crashRetentionPeriod {
			list = append(list, &fleetpb.Crash{
				Fingerprint: r.crash.Fingerprint,
				Server:      r.crash.Server,
				Cleared:     r.crash.Cleared,
				AgeMs:       max(0, now.Sub(r.occurredAt).Milliseconds()),
			})
		}
	}
	return list, l.revision, l.changed
}

// handleCrashReport records the crash reports of an entry.
func (h *Host) handleCrashReport(_ context.Context, req *fleetpb.CrashReport) (*rpcpb.Empty, error) {
	for _, crash := range req.Crashes {
		h.log.Info("crash reported", "server", crash.Server, "cleared", crash.Cleared, "fingerprint", hex.EncodeToString(crash.Fingerprint[:min(4, len(crash.Fingerprint))]))
	}
	h.crashes.add(req.Crashes, time.Now())
	return &rpcpb.Empty{}, nil
}
