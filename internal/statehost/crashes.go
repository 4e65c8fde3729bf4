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
	// crashRetention is how long a report is told to watchers that come new.
	crashRetention = 2 * time.Minute
	maxCrashes     = 4096
)

// crashLog holds what entries reported of requests that crash servers. It is soft
// state: entries report to every state host. It is safe for concurrent use.
type crashLog struct {
	mu       sync.Mutex
	revision uint64
	reports  []crashEntry // oldest first
	changed  chan struct{}
}

type crashEntry struct {
	crash    *fleetpb.Crash
	at       time.Time
	revision uint64
}

func newCrashLog() *crashLog {
	return &crashLog{changed: make(chan struct{})}
}

func (l *crashLog) add(crashes []*fleetpb.Crash, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, crash := range crashes {
		l.revision++
		at := now.Add(-time.Duration(crash.AgeMs) * time.Millisecond)
		l.reports = append(l.reports, crashEntry{crash: crash, at: at, revision: l.revision})
	}
	first := max(0, len(l.reports)-maxCrashes)
	for first < len(l.reports) && now.Sub(l.reports[first].at) > crashRetention {
		first++
	}
	l.reports = l.reports[first:]
	close(l.changed)
	l.changed = make(chan struct{})
}

// since returns the reports after a revision, the present revision and a channel that
// is closed at the next report.
func (l *crashLog) since(revision uint64, now time.Time) ([]*fleetpb.Crash, uint64, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []*fleetpb.Crash
	for _, r := range l.reports {
		if r.revision > revision && now.Sub(r.at) <= crashRetention {
			list = append(list, &fleetpb.Crash{
				Fingerprint: r.crash.Fingerprint,
				Server:      r.crash.Server,
				Cleared:     r.crash.Cleared,
				AgeMs:       max(0, now.Sub(r.at).Milliseconds()),
			})
		}
	}
	return list, l.revision, l.changed
}

// takeCrashes takes the report of an entry.
func (h *Host) takeCrashes(_ context.Context, req *fleetpb.CrashReport) (*rpcpb.Empty, error) {
	for _, crash := range req.Crashes {
		h.log.Info("crash reported", "server", crash.Server, "cleared", crash.Cleared, "fingerprint", hex.EncodeToString(crash.Fingerprint[:min(4, len(crash.Fingerprint))]))
	}
	h.crashes.add(req.Crashes, time.Now())
	return &rpcpb.Empty{}, nil
}
