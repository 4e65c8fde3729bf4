package processtest

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/load"
	"ibistray.example/ibistray/internal/localcluster"
)

// TestEngineMemoryOfInactivePrograms checks that engines release the cached prefixes of
// programs that have ended and of programs that have been idle for too long.
func TestEngineMemoryOfInactivePrograms(t *testing.T) {
	terms := defaultContract()
	terms.ProgramIdle = "2s"
	s := startSystem(t, terms, fastEngines(2))
	client := s.client(s.EntryURLs()...)
	for i := range 6 {
		_, err := client.CallModel(s.ctx, shortModelCall(fmt.Sprintf("abandoned-%d", i)))
		assert.NilError(t, err)
	}
	for i := range 3 {
		assert.NilError(t, s.runProgram(fmt.Sprintf("ended-%d", i), 2, 16, &answerChecker{}, s.EntryURLs()...))
	}
	s.waitCacheReleased("ended")
	s.waitCacheReleased("abandoned")
	_, err := client.CallModel(s.ctx, load.ModelCall{
		Header:    load.Header{Program: "abandoned-0", CallID: "late"},
		Model:     model,
		Messages:  []load.Message{{Role: "user", Content: "late"}},
		MaxTokens: 8,
	})
	var refused *load.CallError
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	assert.Equal(t, refused.Reason, "program_ended")
}

func shortModelCall(program string) load.ModelCall {
	return load.ModelCall{
		Header:    load.Header{Program: program, CallID: program + "-1"},
		Model:     model,
		Messages:  []load.Message{{Role: "user", Content: program}},
		MaxTokens: 16,
	}
}

// TestOverload sends several times as many bookings as the service can run before their
// deadline. A refused booking must not have run and must come with a retry-after hint or a
// passed deadline. Each of the others must have taken effect once. Afterwards the system
// must become idle.
func TestOverload(t *testing.T) {
	s := startSystem(t, defaultContract(), localcluster.Options{
		Engines:     1,
		ServiceArgs: []string{"--delay", "400ms"},
		SidecarArgs: []string{"--max-running", "2"},
	})
	const calls = 60
	outcomes := make([]serviceOutcome, calls)
	var wg sync.WaitGroup
	for i := range calls {
		wg.Go(func() {
			call := booking(fmt.Sprintf("plan-%d", i), fmt.Sprintf("barge-%d", i))
			call.Deadline = 8 * time.Second
			outcomes[i].answer, outcomes[i].err = s.sendOnce(s.EntryURLs()[i%len(s.EntryURLs())], call)
		})
	}
	wg.Wait()
	refused := 0
	for i, outcome := range outcomes {
		call := booking("", fmt.Sprintf("barge-%d", i))
		if outcome.err == nil {
			assert.Equal(t, s.effectCount(call), 1)
			continue
		}
		refused++
		var callErr *load.CallError
		assert.Assert(t, errors.As(outcome.err, &callErr), "%v", outcome.err)
		assert.Assert(t, callErr.NotRun, "%v", callErr)
		assert.Assert(t, callErr.RetryAfter > 0 || callErr.Reason == "deadline_exceeded", "%v", callErr)
		assert.Equal(t, s.effectCount(call), 0)
	}
	t.Logf("%d of %d calls were refused", refused, calls)
	assert.Assert(t, refused > 0 && refused < calls, "%d of the calls were refused", refused)
	s.waitIdle()
}

// TestBudgetOverAllEntries runs many programs that spend a small budget through all
// entries concurrently. The tokens that the engines ran must not exceed the budget, and
// the recorded use must equal them.
func TestBudgetOverAllEntries(t *testing.T) {
	terms := defaultContract()
	terms.Tokens = 3000
	s := startSystem(t, terms, fastEngines(2))
	const programs = 40
	errs := make([]error, programs)
	var wg sync.WaitGroup
	for i := range programs {
		wg.Go(func() {
			errs[i] = s.runProgram(fmt.Sprintf("convoy-%d", i), 4, 32, &answerChecker{}, s.EntryURLs()[i%len(s.EntryURLs())])
		})
	}
	wg.Wait()
	exhausted := 0
	for _, err := range errs {
		var callErr *load.CallError
		if errors.As(err, &callErr) && callErr.Reason == "budget_exhausted" {
			assert.Assert(t, callErr.NotRun)
			exhausted++
			continue
		}
		assert.NilError(t, err)
	}
	assert.Assert(t, exhausted > 0)
	s.waitIdle()
	budget := s.budget()
	spent := uint64(0)
	for _, engine := range s.Engines {
		stats, err := s.Probe.Stats(s.ctx, engine)
		assert.NilError(t, err)
		spent += uint64(stats.PromptTokens + stats.CompletionTokens)
	}
	assert.Assert(t, spent <= budget.GetLimit(), "the engines ran %d tokens of %d", spent, budget.GetLimit())
	assert.Equal(t, budget.GetUsed(), spent)
}
