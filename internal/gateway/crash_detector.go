package gateway

import (
	"context"
	"encoding/hex"
	"fmt"
	"strconv"
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
	// crashConfirmationWindow is how long an interrupted response waits for evidence that its
	// server crashed. A crashed server restarts and sends heartbeats within seconds.
	crashConfirmationWindow = 20 * time.Second
	// maxPendingResponses is the maximum number of interrupted responses that wait for evidence.
	maxPendingResponses = 4096
	reportTimeout       = time.Second
	// maxRememberedBytes limits the bodies of requests whose success is remembered before any
	// response was interrupted, since the digest of a long one takes time.
	maxRememberedBytes = 16 << 10
)

// crashDetector finds requests that crash the servers that run them. An interrupted
// response is counted as a crash if the server restarts or refuses connections within
// crashConfirmationWindow. Crashes are shared with other entries through the state
// hosts. It is safe for concurrent use.
type crashDetector struct {
	log        hclog.Logger
	onCrash    func(*fleetpb.Crash)
	hasCrashes atomic.Bool // crashes is not empty: requests must be checked
	hasPending atomic.Bool // pending is not empty

	mu      sync.Mutex
	pending []interruptedResponse
	crashes *quarantine.CrashCounter
}

// interruptedResponse is a response whose connection was lost before its end.
type interruptedResponse struct {
	fingerprint   quarantine.Fingerprint
	instance      string // instanceKey of the server
	serverID      string
	startedAt     time.Time // when the request was sent
	interruptedAt time.Time
}

func newCrashDetector(log hclog.Logger, onCrash func(*fleetpb.Crash)) *crashDetector {
	return &crashDetector{log: log, onCrash: onCrash, crashes: quarantine.NewCrashCounter()}
}

// instanceKey identifies one run of a server process.
func instanceKey(i *fleet.Instance) string {
	return fmt.Sprintf("%s/%d/%s", i.ID, i.StartUnixMs, i.Address)
}

// recordInterrupted records a response whose connection was lost before its end. The request
// was sent at startedAt.
func (d *crashDetector) recordInterrupted(fingerprint quarantine.Fingerprint, server *fleet.Instance, startedAt, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.pending) < maxPendingResponses {
		d.hasPending.Store(true)
		d.pending = append(d.pending, interruptedResponse{fingerprint: fingerprint, instance: instanceKey(server), serverID: server.ID, startedAt: startedAt, interruptedAt: now})
	}
}

// recordUnreachable records that a server accepts no connections, which confirms the
// crashes of its interrupted responses.
func (d *crashDetector) recordUnreachable(server *fleet.Instance, now time.Time) {
	instance := instanceKey(server)
	d.resolve(now, func(p interruptedResponse) bool { return p.instance == instance })
}

// updateServers receives the current servers. An interrupted response counts as a crash if
// its instance is not among them any more, because a later start has replaced it. A server
// that has left remains among them for longer than crashConfirmationWindow.
func (d *crashDetector) updateServers(servers []*fleet.Instance, now time.Time) {
	d.mu.Lock()
	relevant := len(d.pending) > 0 || !d.crashes.Empty()
	d.mu.Unlock()
	if !relevant {
		return
	}
	current := make(map[string]bool, len(servers))
	for _, i := range servers {
		current[instanceKey(i)] = true
	}
	d.resolve(now, func(p interruptedResponse) bool { return !current[p.instance] })
}

// resolve counts the pending responses whose server crashed and drops those that are
// older than crashConfirmationWindow.
func (d *crashDetector) resolve(now time.Time, crashed func(interruptedResponse) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var pending []interruptedResponse
	for _, p := range d.pending {
		switch {
		case crashed(p):
			d.recordCrash(p)
		case now.Sub(p.interruptedAt) < crashConfirmationWindow:
			pending = append(pending, p)
		}
	}
	d.pending = pending
	d.hasPending.Store(len(pending) > 0)
	d.crashes.Expire(now)
	d.hasCrashes.Store(!d.crashes.Empty())
}

// recordCrash counts a crash and reports it if it is new. It does not count against a request
// that has been answered since it was sent. The caller holds the mutex.
func (d *crashDetector) recordCrash(p interruptedResponse) {
	if d.crashes.AnsweredAt(p.fingerprint).After(p.startedAt) || !d.crashes.Record(p.fingerprint, p.instance, p.startedAt) {
		return
	}
	d.log.Info("server crashed while running a request", "server", p.serverID, "fingerprint", hex.EncodeToString(p.fingerprint[:4]))
	d.onCrash(&fleetpb.Crash{Fingerprint: p.fingerprint[:], Server: p.instance, AgeMs: time.Since(p.startedAt).Milliseconds()})
}

// remembers reports whether the success of a request with a body of the given size is recorded.
func (d *crashDetector) remembers(bodyBytes int) bool {
	return bodyBytes <= maxRememberedBytes || d.hasPending.Load() || d.hasCrashes.Load()
}

// recordSuccess records that a request was answered. If crashes count against it, it clears
// them and reports that.
func (d *crashDetector) recordSuccess(fingerprint quarantine.Fingerprint, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.crashes.Answered(fingerprint, now) {
		d.clear(fingerprint, now, now)
	}
}

// clear discards the crashes of a request that was answered at a time, and reports that if it
// is new. The caller holds the mutex.
func (d *crashDetector) clear(fingerprint quarantine.Fingerprint, at, now time.Time) {
	if d.crashes.Clear(fingerprint, at) {
		d.onCrash(&fleetpb.Crash{Fingerprint: fingerprint[:], AgeMs: now.Sub(at).Milliseconds(), Cleared: true})
	}
}

// isQuarantined reports whether a request must not be sent to any server.
func (d *crashDetector) isQuarantined(fingerprint quarantine.Fingerprint, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.crashes.Quarantined(fingerprint, now)
}

// mergeReports adds the crash reports of other entries.
func (d *crashDetector) mergeReports(crashes []*fleetpb.Crash, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, crash := range crashes {
		if len(crash.Fingerprint) != len(quarantine.Fingerprint{}) {
			d.log.Warn("invalid crash report: fingerprint has the wrong length", "server", crash.Server, "bytes", len(crash.Fingerprint))
			continue
		}
		fingerprint := quarantine.Fingerprint(crash.Fingerprint)
		crashTime := now.Add(-time.Duration(crash.AgeMs) * time.Millisecond)
		if crash.Cleared {
			d.crashes.Clear(fingerprint, crashTime)
			continue
		}
		if answered := d.crashes.AnsweredAt(fingerprint); answered.After(crashTime) {
			d.clear(fingerprint, answered, now)
		}
		d.crashes.Record(fingerprint, crash.Server, crashTime)
	}
	d.hasCrashes.Store(!d.crashes.Empty())
}

// fingerprint returns the fingerprint of the account and the content of the request.
func (c *call) fingerprint() quarantine.Fingerprint {
	head := c.request.Method + " " + c.request.Host + " " + c.request.Target
	if c.account != nil {
		head = strconv.Quote(c.account.Name) + " " + head
	}
	return quarantine.ComputeFingerprint(head, []byte(c.meta.Subject), c.body)
}

// reportCrash sends a crash report to all state hosts. It does not block, because the
// caller may hold the lock of the view.
func (g *Gateway) reportCrash(crash *fleetpb.Crash) {
	g.goTask("crash report", func() {
		for _, address := range g.view.stateHosts() {
			g.goTask("crash report", func() { g.sendCrashReport(address, crash) })
		}
	})
}

// sendCrashReport sends a crash report to one state host.
func (g *Gateway) sendCrashReport(address string, crash *fleetpb.Crash) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	report := &fleetpb.CrashReport{Crashes: []*fleetpb.Crash{crash}}
	if err := g.pool.Call(ctx, address, transport.MethodCrashReport, report, new(rpcpb.Empty)); err != nil {
		g.log.Info("crash report not delivered", "state_host", address, "server", crash.Server, "error", err)
	}
}
