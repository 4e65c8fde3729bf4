package sidecar

import (
	"bytes"
	"context"
	"crypto/rand"
	"sync"
	"time"

	"ibistray.example/ibistray/proto/configpb"
)

const configChangeTimeout = 5 * time.Second

// crashTracker tracks which attempts run on the backend server at the same time. If the
// server crashes, each of them is a suspect, and one report names them all. It is safe
// for concurrent use.
type crashTracker struct {
	sendReport reportFunc

	mu      sync.Mutex
	current *crashGroup // nil before the first attempt
}

// reportFunc reports a crash of the server with the fingerprints of the requests that
// were running. It returns the fingerprint of the request that is quarantined as a
// result, or nil.
type reportFunc func(fingerprints [][]byte) (quarantined []byte)

// crashGroup is the set of attempts that run on the server between two of its crashes. An
// attempt stays a member until its failure has been reported, so that the report of a
// crash names all attempts that the crash ended.
type crashGroup struct {
	tracker    *crashTracker
	members    map[*attempt]struct{}
	reportDone chan struct{} // nil until a report begins; closed when it has ended

	quarantined []byte // set before reportDone is closed
}

func newCrashTracker(sendReport reportFunc) *crashTracker {
	return &crashTracker{sendReport: sendReport}
}

// add adds an attempt that is about to be sent to the server to the current group. It
// begins a new group if a crash of the current one is being or has been reported.
func (t *crashTracker) add(a *attempt) *crashGroup {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current == nil || t.current.reportDone != nil {
		t.current = &crashGroup{tracker: t, members: make(map[*attempt]struct{})}
	}
	t.current.members[a] = struct{}{}
	return t.current
}

func (g *crashGroup) remove(a *attempt) {
	g.tracker.mu.Lock()
	defer g.tracker.mu.Unlock()
	delete(g.members, a)
}

func (g *crashGroup) size() int {
	g.tracker.mu.Lock()
	defer g.tracker.mu.Unlock()
	return len(g.members)
}

// report reports a crash of the server and returns when the crash is recorded or the
// report has failed. Only the first caller of a group sends the report; the others wait
// for it. The result tells whether the request with the fingerprint is quarantined now.
func (g *crashGroup) report(fingerprint []byte) bool {
	g.tracker.mu.Lock()
	if done := g.reportDone; done != nil {
		g.tracker.mu.Unlock()
		<-done
		return bytes.Equal(g.quarantined, fingerprint)
	}
	g.reportDone = make(chan struct{})
	fingerprints := make([][]byte, 0, len(g.members))
	for a := range g.members {
		fingerprints = append(fingerprints, a.request.Fingerprint)
	}
	g.tracker.mu.Unlock()
	g.quarantined = g.tracker.sendReport(fingerprints)
	close(g.reportDone)
	return bytes.Equal(g.quarantined, fingerprint)
}

// reportCrash records a crash in the configuration. It is a reportFunc.
func (s *Sidecar) reportCrash(fingerprints [][]byte) []byte {
	records := s.changeConfiguration(&configpb.Command{Op: &configpb.Command_ReportCrash{ReportCrash: &configpb.ReportCrash{
		Server:       s.cfg.Server,
		Fingerprints: fingerprints,
	}}})
	for _, record := range records {
		if q := record.GetQuarantine(); q != nil {
			return q.Fingerprint
		}
	}
	return nil
}

// clearSuspect records that a suspect ran to its end without a crash.
func (s *Sidecar) clearSuspect(a *attempt) {
	s.changeConfiguration(&configpb.Command{Op: &configpb.Command_ClearSuspects{ClearSuspects: &configpb.ClearSuspects{
		Fingerprints: [][]byte{a.request.Fingerprint},
	}}})
}

// changeConfiguration proposes a change and returns the records that it changed, or nil if
// the change failed. Failures and refusals are logged.
func (s *Sidecar) changeConfiguration(cmd *configpb.Command) []*configpb.Record {
	ctx, cancel := context.WithTimeout(context.Background(), configChangeTimeout)
	defer cancel()
	cmd.ChangeId = s.cfg.Server + "-" + rand.Text()
	result, err := s.configClient.Propose(ctx, cmd)
	if err != nil {
		s.log.Error("configuration not changed", "change", cmd.ChangeId, "error", err)
		return nil
	}
	if result.Refusal != nil {
		s.log.Error("configuration change refused", "change", cmd.ChangeId, "reason", result.Refusal.Reason.String(), "detail", result.Refusal.Detail)
	}
	return result.Records
}
