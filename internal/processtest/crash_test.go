package processtest

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/load"
)

// maxDeaths is the most engines that one request through one entry may crash.
const maxDeaths = 2

// TestRequestThatCrashesServers sends a request that crashes each engine which
// runs it, among innocent ones. At most maxDeaths engines die, the others'
// programs finish, and the request runs nowhere when it comes back under a new
// call ID through another entry.
func TestRequestThatCrashesServers(t *testing.T) {
	options := fastEngines(4)
	options.EngineArgs = append(options.EngineArgs, "--crash-marker", "poison")
	s := startSystem(t, defaultContract(), options)
	innocent := make(chan error, 4)
	for i := range cap(innocent) {
		go func() {
			innocent <- s.converse(fmt.Sprintf("innocent-%d", i), 6, 96, &conversation{}, s.Nodes[1].URL(), s.Nodes[2].URL())
		}()
	}
	s.wait("an innocent call", func() bool { return s.engineRunning() != nil })
	assert.Assert(t, s.poison("first", s.Nodes[0].URL()) != nil)
	for range cap(innocent) {
		assert.NilError(t, <-innocent)
	}
	deaths := s.deadEngines()
	assert.Assert(t, deaths > 0 && deaths <= maxDeaths, "%d engines died", deaths)
	for i, base := range s.EntryURLs() {
		var refused *load.CallError
		err := s.poison(fmt.Sprintf("again-%d", i), base)
		assert.Assert(t, errors.As(err, &refused), "%v", err)
		assert.Equal(t, refused.Reason, "quarantined")
	}
	assert.Equal(t, s.deadEngines(), deaths)
}

func (s *system) poison(program, base string) error {
	_, err := s.client(base).CallModel(s.ctx, load.ModelCall{
		Header:    load.Header{Program: program, CallID: program + "-1"},
		Model:     model,
		Messages:  []load.Message{{Role: "user", Content: "a poison message"}},
		MaxTokens: 16,
	})
	return err
}

func (s *system) deadEngines() int {
	dead := 0
	for _, engine := range s.Engines {
		if !engine.Backend.Running() {
			dead++
		}
	}
	return dead
}
