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

// TestEngineMemoryOfGonePrograms checks that no engine keeps the memory of
// programs that have ended, nor of those that never come back.
func TestEngineMemoryOfGonePrograms(t *testing.T) {
	terms := defaultContract()
	terms.Idle = "2s"
	s := startSystem(t, terms, fastEngines(2))
	client := s.client(s.EntryURLs()...)
	for i := range 6 {
		_, err := client.CallModel(s.ctx, shortCall(fmt.Sprintf("abandoned-%d", i)))
		assert.NilError(t, err)
	}
	for i := range 3 {
		assert.NilError(t, s.converse(fmt.Sprintf("ended-%d", i), 2, 16, &conversation{}, s.EntryURLs()...))
	}
	s.waitMemoryFree("ended")
	s.waitMemoryFree("abandoned")
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

func shortCall(program string) load.ModelCall {
	return load.ModelCall{
		Header:    load.Header{Program: program, CallID: program + "-1"},
		Model:     model,
		Messages:  []load.Message{{Role: "user", Content: program}},
		MaxTokens: 16,
	}
}

// TestOverload sends several times as many bookings as the service can run before
// their deadline. Those that are refused were not run, and say when to come
// back; each of the others had its effect once. Afterwards the system is idle.
func TestOverload(t *testing.T) {
	s := startSystem(t, defaultContract(), localcluster.Options{
		Engines:     1,
		ServiceArgs: []string{"--delay", "400ms"},
		SidecarArgs: []string{"--max-running", "2"},
	})
	const calls = 60
	outcomes := make([]sent, calls)
	var wg sync.WaitGroup
	for i := range calls {
		wg.Go(func() {
			call := booking(fmt.Sprintf("plan-%d", i), fmt.Sprintf("barge-%d", i))
			call.Deadline = 8 * time.Second
			outcomes[i].answer, outcomes[i].err = s.once(s.EntryURLs()[i%len(s.EntryURLs())], call)
		})
	}
	wg.Wait()
	refused := 0
	for i, outcome := range outcomes {
		call := booking("", fmt.Sprintf("barge-%d", i))
		if outcome.err == nil {
			assert.Equal(t, s.effectsOf(call), 1)
			continue
		}
		refused++
		var failure *load.CallError
		assert.Assert(t, errors.As(outcome.err, &failure), "%v", outcome.err)
		assert.Assert(t, failure.NotRun, "%v", failure)
		assert.Assert(t, failure.RetryAfter > 0 || failure.Reason == "deadline_exceeded", "%v", failure)
		assert.Equal(t, s.effectsOf(call), 0)
	}
	t.Logf("%d of %d calls were refused", refused, calls)
	assert.Assert(t, refused > 0 && refused < calls, "%d refused", refused)
	s.waitIdle()
}

// TestBudgetOverAllEntries lets many programs spend a small budget through all
// entries at once. Neither the record nor the engines show more than the budget.
func TestBudgetOverAllEntries(t *testing.T) {
	terms := defaultContract()
	terms.Tokens = 3000
	s := startSystem(t, terms, fastEngines(2))
	const programs = 40
	errs := make([]error, programs)
	var wg sync.WaitGroup
	for i := range programs {
		wg.Go(func() {
			errs[i] = s.converse(fmt.Sprintf("convoy-%d", i), 4, 32, &conversation{}, s.EntryURLs()[i%len(s.EntryURLs())])
		})
	}
	wg.Wait()
	exhausted := 0
	for _, err := range errs {
		var failure *load.CallError
		if errors.As(err, &failure) && failure.Reason == "budget_exhausted" {
			assert.Assert(t, failure.NotRun)
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
