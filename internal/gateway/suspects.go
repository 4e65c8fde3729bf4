package gateway

import (
	"context"
	"encoding/hex"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"ibistray.example/ibistray/internal/fleet"
	"ibistray.example/ibistray/internal/policy/quarantine"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/fleetpb"
	"ibistray.example/ibistray/proto/rpcpb"
)

const (
	// suspicionTime is how long a broken answer waits for the sign that its server
	// crashed: a server that crashed is back, and reports, after some seconds.
	suspicionTime = 20 * time.Second
	// maxPending bounds the broken answers that wait.
	maxPending    = 4096
	reportTimeout = time.Second
)

// suspects finds requests that crash the servers that run them: an answer that breaks
// off makes its request a suspect, and the sign that the server crashed, a start anew or
// a refused connection, counts it. Counts are shared through the state hosts. It is
// safe for concurrent use.
type suspects struct {
	log    hclog.Logger
	report func(*fleetpb.Crash)
	known  atomic.Bool // some content is counted: requests are looked up

	mu      sync.Mutex
	pending []suspect
	crashes *quarantine.CrashCounter
}

type suspect struct {
	fingerprint quarantine.Fingerprint
	start       string // of the server
	id          string // of the server
	at          time.Time
}

func newSuspects(log hclog.Logger, report func(*fleetpb.Crash)) *suspects {
	return &suspects{log: log, report: report, crashes: quarantine.NewCrashCounter()}
}

// startOf names a start of a server.
func startOf(i *fleet.Instance) string {
	return fmt.Sprintf("%s/%d/%s", i.ID, i.StartUnixMs, i.Address)
}

// broke takes in an answer that broke off.
func (s *suspects) broke(f quarantine.Fingerprint, server *fleet.Instance, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) < maxPending {
		s.pending = append(s.pending, suspect{fingerprint: f, start: startOf(server), id: server.ID, at: now})
	}
}

// unreachable takes in that a server takes no connections.
func (s *suspects) unreachable(server *fleet.Instance, now time.Time) {
	start := startOf(server)
	s.settle(now, func(p suspect) bool { return p.start == start })
}

// started takes in the servers that are known: a start that another one has taken the
// place of has crashed.
func (s *suspects) started(servers []*fleet.Instance, now time.Time) {
	s.mu.Lock()
	waiting := len(s.pending) > 0 || !s.crashes.Empty()
	s.mu.Unlock()
	if !waiting {
		return
	}
	current := make(map[string]bool, len(servers))
	for _, i := range servers {
		current[startOf(i)] = true
	}
	s.settle(now, func(p suspect) bool { return !current[p.start] })
}

// settle counts the suspects whose server crashed and forgets old ones.
func (s *suspects) settle(now time.Time, crashed func(suspect) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var waiting []suspect
	for _, p := range s.pending {
		switch {
		case crashed(p):
			s.count(p)
		case now.Sub(p.at) < suspicionTime:
			waiting = append(waiting, p)
		}
	}
	s.pending = waiting
	s.crashes.Expire(now)
	s.known.Store(!s.crashes.Empty())
}

// count records a crash and reports it. The caller holds the mutex.
func (s *suspects) count(p suspect) {
	if !s.crashes.Record(p.fingerprint, p.start, p.at) {
		return
	}
	s.log.Info("server crashed under a request", "server", p.id, "fingerprint", hex.EncodeToString(p.fingerprint[:4]))
	s.report(&fleetpb.Crash{Fingerprint: p.fingerprint[:], Server: p.start, AgeMs: time.Since(p.at).Milliseconds()})
}

// answered takes in that a request was answered.
func (s *suspects) answered(f quarantine.Fingerprint, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.crashes.Contains(f) {
		return
	}
	s.crashes.Clear(f, now)
	s.report(&fleetpb.Crash{Fingerprint: f[:], Cleared: true})
}

// quarantined reports whether a request must not be sent.
func (s *suspects) quarantined(f quarantine.Fingerprint, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes.Quarantined(f, now)
}

// take takes in what other entries reported.
func (s *suspects) take(crashes []*fleetpb.Crash, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, crash := range crashes {
		if len(crash.Fingerprint) != len(quarantine.Fingerprint{}) {
			s.log.Warn("crash report not readable", "server", crash.Server, "bytes", len(crash.Fingerprint))
			continue
		}
		f := quarantine.Fingerprint(crash.Fingerprint)
		at := now.Add(-time.Duration(crash.AgeMs) * time.Millisecond)
		if crash.Cleared {
			s.crashes.Clear(f, at)
			continue
		}
		s.crashes.Record(f, crash.Server, at)
	}
	s.known.Store(!s.crashes.Empty())
}

// fingerprint identifies the content of a request.
func (c *call) fingerprint() quarantine.Fingerprint {
	return quarantine.ComputeFingerprint(c.request.Method+" "+c.request.Host+" "+c.request.Target, []byte(c.meta.Subject), c.body)
}

// reportCrash tells all state hosts of a crash. It does not wait: the caller may hold
// the locks of the view.
func (g *Gateway) reportCrash(crash *fleetpb.Crash) {
	g.running.Go(func() {
		for _, address := range g.view.stateHosts() {
			g.running.Go(func() { g.reportCrashTo(address, crash) })
		}
	})
}

func (g *Gateway) reportCrashTo(address string, crash *fleetpb.Crash) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	report := &fleetpb.CrashReport{Crashes: []*fleetpb.Crash{crash}}
	if err := g.pool.Call(ctx, address, transport.MethodCrashReport, report, new(rpcpb.Empty)); err != nil {
		g.log.Info("crash not reported", "state_host", address, "server", crash.Server, "error", err)
	}
}
