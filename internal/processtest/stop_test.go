package processtest

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/load"
	"ibistray.example/ibistray/internal/localcluster"
)

// slowEngines take several seconds for a long answer.
func slowEngines(n int) localcluster.Options {
	return localcluster.Options{
		Engines:     n,
		EngineArgs:  []string{"--decode-rate", "35", "--prefill-rate", "40000"},
		ServiceArgs: slowService.ServiceArgs,
	}
}

// longTokens make an answer take six to eleven seconds on a slow engine, longer
// than a stopping process waits for anything but running calls.
const longTokens = 400

// modelSent is the outcome of a model call that runs in the background.
type modelSent struct {
	answer *load.Answer
	err    error
}

// sendLong sends a long model call and returns once an engine runs it.
func (s *system) sendLong(base, program string) (<-chan modelSent, *localcluster.Server) {
	s.t.Helper()
	client := s.client(base)
	outcome := make(chan modelSent, 1)
	go func() {
		answer, err := client.CallModel(s.ctx, load.ModelCall{
			Header:    load.Header{Program: program, CallID: program + "-1"},
			Model:     model,
			Messages:  []load.Message{{Role: "user", Content: program}},
			MaxTokens: longTokens,
		})
		outcome <- modelSent{answer, err}
	}()
	var engine *localcluster.Server
	s.wait("a running call", func() bool {
		engine = s.engineRunning()
		return engine != nil
	})
	return outcome, engine
}

// assertUncut checks that a call was answered at its first sending, and that the
// engine ran the given number of requests in all and cancelled none.
func (s *system) assertUncut(outcome modelSent, engine *localcluster.Server, requests int64) {
	s.t.Helper()
	assert.NilError(s.t, outcome.err)
	assert.Equal(s.t, outcome.answer.Requests, 1)
	stats, err := s.Probe.Stats(s.ctx, engine)
	assert.NilError(s.t, err)
	assert.Equal(s.t, stats.Requests, requests)
	assert.Equal(s.t, stats.Cancelled, int64(0))
}

// endsWell waits until a process that got SIGTERM has ended by itself.
func (s *system) endsWell(p *localcluster.Process) {
	s.t.Helper()
	assert.NilError(s.t, p.WaitExit(time.After(hangGuard)))
}

// TestSIGTERMCutsOffNoCall stops an entry and control process, then the sidecars
// and the service's, each with calls running through it.
func TestSIGTERMCutsOffNoCall(t *testing.T) {
	s := startSystem(t, defaultContract(), slowEngines(1))
	call := booking("plan", "convoy-7")
	outcome, engine := s.sendLong(s.Nodes[0].URL(), "entry")
	booked := s.sendBooking(s.Nodes[0].URL(), call)
	s.Nodes[0].Terminate()
	s.assertUncut(<-outcome, engine, 1)
	assert.NilError(t, (<-booked).err)
	s.endsWell(&s.Nodes[0].Process)

	call = booking("plan", "convoy-8")
	outcome, engine = s.sendLong(s.Nodes[1].URL(), "sidecar")
	booked = s.sendBooking(s.Nodes[1].URL(), call)
	engine.Sidecar.Terminate()
	s.Service.Sidecar.Terminate()
	s.assertUncut(<-outcome, engine, 2)
	assert.NilError(t, (<-booked).err)
	s.endsWell(&engine.Sidecar)
	s.endsWell(&s.Service.Sidecar)
	assert.Equal(t, s.effectsOf(call), 1)
}

// TestPlannedStop announces a stop of the server that runs a call. Once the stop
// is in force the server gets no new call and the running one finishes. After
// the stop is lifted it gets calls again.
func TestPlannedStop(t *testing.T) {
	s := startSystem(t, defaultContract(), slowEngines(2))
	outcome, leaving := s.sendLong(s.Nodes[0].URL(), "running")
	s.announce(leaving.Name, "stop-1")
	before := s.requests(leaving)
	s.shortCalls("during")
	assert.Equal(t, s.requests(leaving), before)
	s.assertUncut(<-outcome, leaving, before)

	other := s.Engines[0]
	if other == leaving {
		other = s.Engines[1]
	}
	text, err := s.RunCtl(s.ctx, "stop", "lift", leaving.Name)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(text, "in force"), text)
	s.announce(other.Name, "stop-2")
	stopped := s.requests(other)
	s.shortCalls("after")
	assert.Equal(t, s.requests(other), stopped)
	assert.Assert(t, s.requests(leaving) > before)
}

// announce announces a stop and waits until it is in force everywhere.
func (s *system) announce(server, id string) {
	s.t.Helper()
	s.wait("the stop of "+server+" in force", func() bool {
		text, err := s.RunCtl(s.ctx, "stop", "announce", "--change-id", id, server)
		return err == nil && strings.Contains(text, "in force everywhere")
	})
}

func (s *system) requests(engine *localcluster.Server) int64 {
	s.t.Helper()
	stats, err := s.Probe.Stats(s.ctx, engine)
	assert.NilError(s.t, err)
	return stats.Requests
}

// shortCalls makes calls of several programs through every entry.
func (s *system) shortCalls(name string) {
	s.t.Helper()
	for i, base := range s.EntryURLs() {
		assert.NilError(s.t, s.converse(fmt.Sprintf("%s-%d", name, i), 3, 8, &conversation{}, base))
	}
}
