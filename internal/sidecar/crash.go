package sidecar

import (
	"bytes"
	"context"
	"crypto/rand"
	"sync"
	"time"

	"ibistray.example/ibistray/proto/configpb"
)

const crashReportTimeout = 5 * time.Second

// crashWatch knows which attempts run on the engine together. When the engine
// dies each of them is a suspect, and their deaths are one report. It is safe
// for concurrent use.
type crashWatch struct {
	send reportFunc

	mu      sync.Mutex
	current *crashGroup
}

// reportFunc records the death of the engine while requests ran, and returns the
// fingerprint of the request that is quarantined for it, or nil.
type reportFunc func(fingerprints [][]byte) (quarantined []byte)

// crashGroup is the attempts of one life of the engine. Its members stay in it
// until the death is on record, so the first report names all of them.
type crashGroup struct {
	watch   *crashWatch
	members map[*attempt]struct{}
	done    chan struct{} // not nil once a report was begun; closed when it is on record

	quarantined []byte // set before done is closed
}

func newCrashWatch(send reportFunc) *crashWatch {
	return &crashWatch{send: send}
}

// join adds an attempt that is about to be sent to the engine.
func (w *crashWatch) join(a *attempt) *crashGroup {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.current == nil || w.current.done != nil {
		w.current = &crashGroup{watch: w, members: make(map[*attempt]struct{})}
	}
	w.current.members[a] = struct{}{}
	return w.current
}

func (g *crashGroup) leave(a *attempt) {
	g.watch.mu.Lock()
	defer g.watch.mu.Unlock()
	delete(g.members, a)
}

func (g *crashGroup) size() int {
	g.watch.mu.Lock()
	defer g.watch.mu.Unlock()
	return len(g.members)
}

// report returns when the death of the engine is on record, or the attempt to
// record it has failed. Only the first caller of a group reports. It reports
// whether the request is quarantined now.
func (g *crashGroup) report(fingerprint []byte) bool {
	g.watch.mu.Lock()
	if done := g.done; done != nil {
		g.watch.mu.Unlock()
		<-done
		return bytes.Equal(g.quarantined, fingerprint)
	}
	g.done = make(chan struct{})
	fingerprints := make([][]byte, 0, len(g.members))
	for a := range g.members {
		fingerprints = append(fingerprints, a.request.Fingerprint)
	}
	g.watch.mu.Unlock()
	g.quarantined = g.watch.send(fingerprints)
	close(g.done)
	return bytes.Equal(g.quarantined, fingerprint)
}

// reportCrash implements reportFunc.
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

// clearSuspect records that a suspect ran to its end.
func (s *Sidecar) clearSuspect(a *attempt) {
	s.changeConfiguration(&configpb.Command{Op: &configpb.Command_ClearSuspects{ClearSuspects: &configpb.ClearSuspects{
		Fingerprints: [][]byte{a.request.Fingerprint},
	}}})
}

// changeConfiguration proposes a change and returns the records that it changed.
func (s *Sidecar) changeConfiguration(cmd *configpb.Command) []*configpb.Record {
	ctx, cancel := context.WithTimeout(context.Background(), crashReportTimeout)
	defer cancel()
	cmd.ChangeId = s.cfg.Server + "-" + rand.Text()
	result, err := s.config.Propose(ctx, cmd)
	if err != nil {
		s.log.Error("configuration not changed", "change", cmd.ChangeId, "error", err)
		return nil
	}
	if result.Refusal != nil {
		s.log.Error("configuration change refused", "change", cmd.ChangeId, "reason", result.Refusal.Reason.String(), "detail", result.Refusal.Detail)
	}
	return result.Records
}
