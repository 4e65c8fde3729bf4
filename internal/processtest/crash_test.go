package processtest

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/load"
)

// maxCrashedEngines is the maximum number of engines that one request sent through one
// entry may crash.
const maxCrashedEngines = 2

// TestRequestThatCrashesEngines sends a request that crashes every engine that runs it,
// while other programs run. At most maxCrashedEngines engines may crash, the other programs
// must finish, and the request must not run again when it is sent under a new call ID,
// through any entry.
func TestRequestThatCrashesEngines(t *testing.T) {
	options := fastEngines(4)
	options.EngineArgs = append(options.EngineArgs, "--crash-marker", "poison")
	s := startSystem(t, defaultContract(), options)
	others := make(chan error, 4)
	for i := range cap(others) {
		go func() {
			others <- s.runProgram(fmt.Sprintf("innocent-%d", i), 6, 96, &answerChecker{}, s.Nodes[1].URL(), s.Nodes[2].URL())
		}()
	}
	s.waitFor("a running call of another program", func() bool { return s.busyEngine() != nil })
	assert.Assert(t, s.sendCrashingRequest("first", s.Nodes[0].URL()) != nil)
	for range cap(others) {
		assert.NilError(t, <-others)
	}
	crashed := s.crashedEngines()
	assert.Assert(t, crashed > 0 && crashed <= maxCrashedEngines, "%d engines crashed", crashed)
	for i, url := range s.EntryURLs() {
		var refused *load.CallError
		err := s.sendCrashingRequest(fmt.Sprintf("again-%d", i), url)
		assert.Assert(t, errors.As(err, &refused), "%v", err)
		assert.Equal(t, refused.Reason, "quarantined")
	}
	assert.Equal(t, s.crashedEngines(), crashed)
}

// sendCrashingRequest sends a model call with the crash marker.
func (s *system) sendCrashingRequest(program, url string) error {
	_, err := s.client(url).CallModel(s.ctx, load.ModelCall{
		Header:    load.Header{Program: program, CallID: program + "-1"},
		Model:     model,
		Messages:  []load.Message{{Role: "user", Content: "a poison message"}},
		MaxTokens: 16,
	})
	return err
}

func (s *system) crashedEngines() int {
	crashed := 0
	for _, engine := range s.Engines {
		if !engine.Backend.Running() {
			crashed++
		}
	}
	return crashed
}
