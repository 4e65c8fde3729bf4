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

// slowEngines returns options for n engines that take several seconds for a long answer,
// and for a slow service.
func slowEngines(n int) localcluster.Options {
	return localcluster.Options{
		Engines:     n,
		EngineArgs:  []string{"--decode-rate", "35", "--prefill-rate", "40000"},
		ServiceArgs: slowService.ServiceArgs,
	}
}

// longAnswerTokens is the length of an answer that takes six to eleven seconds on a slow
// engine, longer than a stopping process waits for anything but running calls.
const longAnswerTokens = 400

// modelOutcome is the outcome of a model call that runs in the background.
type modelOutcome struct {
	answer *load.Answer
	err    error
}

// startLongCall sends a model call with a long answer in the background and returns once
// an engine runs it. The second result is that engine.
func (s *system) startLongCall(url, program string) (<-chan modelOutcome, *localcluster.Server) {
	s.t.Helper()
	client := s.client(url)
	outcome := make(chan modelOutcome, 1)
	go func() {
		answer, err := client.CallModel(s.ctx, load.ModelCall{
			Header:    load.Header{Program: program, CallID: program + "-1"},
			Model:     model,
			Messages:  []load.Message{{Role: "user", Content: program}},
			MaxTokens: longAnswerTokens,
		})
		outcome <- modelOutcome{answer, err}
	}()
	var engine *localcluster.Server
	s.waitFor("a running call", func() bool {
		engine = s.busyEngine()
		return engine != nil
	})
	return outcome, engine
}

// assertUninterrupted checks that a call was answered without a resend, and that the
// engine ran the given number of requests in total and cancelled none.
func (s *system) assertUninterrupted(outcome modelOutcome, engine *localcluster.Server, requests int64) {
	s.t.Helper()
	assert.NilError(s.t, outcome.err)
	assert.Equal(s.t, outcome.answer.Requests, 1)
	stats, err := s.Probe.Stats(s.ctx, engine)
	assert.NilError(s.t, err)
	assert.Equal(s.t, stats.Requests, requests)
	assert.Equal(s.t, stats.Cancelled, int64(0))
}

// waitExit waits until a process that got SIGTERM has exited by itself without an error.
func (s *system) waitExit(p *localcluster.Process) {
	s.t.Helper()
	assert.NilError(s.t, p.WaitExit(time.After(testTimeout)))
}

// TestSIGTERMInterruptsNoCall sends SIGTERM to an entry and control process, then to the
// sidecars of an engine and of the service, each while calls run through it.
func TestSIGTERMInterruptsNoCall(t *testing.T) {
	s := startSystem(t, defaultContract(), slowEngines(1))
	call := booking("plan", "convoy-7")
	outcome, engine := s.startLongCall(s.Nodes[0].URL(), "entry")
	booked := s.startBooking(s.Nodes[0].URL(), call)
	s.Nodes[0].Terminate()
	s.assertUninterrupted(<-outcome, engine, 1)
	assert.NilError(t, (<-booked).err)
	s.waitExit(&s.Nodes[0].Process)

	call = booking("plan", "convoy-8")
	outcome, engine = s.startLongCall(s.Nodes[1].URL(), "sidecar")
	booked = s.startBooking(s.Nodes[1].URL(), call)
	engine.Sidecar.Terminate()
	s.Service.Sidecar.Terminate()
	s.assertUninterrupted(<-outcome, engine, 2)
	assert.NilError(t, (<-booked).err)
	s.waitExit(&engine.Sidecar)
	s.waitExit(&s.Service.Sidecar)
	assert.Equal(t, s.effectCount(call), 1)
}

// TestPlannedStop announces a stop of the server that runs a call. Once the stop is in
// force, the server must get no new calls, and the running call must finish. After the
// stop is lifted, the server must get calls again.
func TestPlannedStop(t *testing.T) {
	s := startSystem(t, defaultContract(), slowEngines(2))
	outcome, stopped := s.startLongCall(s.Nodes[0].URL(), "running")
	s.announceStop(stopped.Name, "stop-1")
	requestsBefore := s.requestCount(stopped)
	s.runShortPrograms("during")
	assert.Equal(t, s.requestCount(stopped), requestsBefore)
	s.assertUninterrupted(<-outcome, stopped, requestsBefore)

	other := s.Engines[0]
	if other == stopped {
		other = s.Engines[1]
	}
	output, err := s.RunCtl(s.ctx, "stop", "lift", stopped.Name)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(output, "in force"), output)
	s.announceStop(other.Name, "stop-2")
	requestsAtStop := s.requestCount(other)
	s.runShortPrograms("after")
	assert.Equal(t, s.requestCount(other), requestsAtStop)
	assert.Assert(t, s.requestCount(stopped) > requestsBefore)
}

// announceStop announces a stop of a server and waits until it is in force everywhere.
func (s *system) announceStop(server, id string) {
	s.t.Helper()
	s.waitFor("the stop of "+server+" to be in force", func() bool {
		output, err := s.RunCtl(s.ctx, "stop", "announce", "--change-id", id, server)
		return err == nil && strings.Contains(output, "in force everywhere")
	})
}

// requestCount returns the number of requests that an engine has run.
func (s *system) requestCount(engine *localcluster.Server) int64 {
	s.t.Helper()
	stats, err := s.Probe.Stats(s.ctx, engine)
	assert.NilError(s.t, err)
	return stats.Requests
}

// runShortPrograms runs a program with short answers through each entry.
func (s *system) runShortPrograms(name string) {
	s.t.Helper()
	for i, url := range s.EntryURLs() {
		assert.NilError(s.t, s.runProgram(fmt.Sprintf("%s-%d", name, i), 3, 8, &answerChecker{}, url))
	}
}
