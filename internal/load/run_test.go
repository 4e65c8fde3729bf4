package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/backendtest"
)

// historyChecker is an Observer that checks that each answer is the one that the
// fake engine gives for the program's history.
type historyChecker struct {
	mu      sync.Mutex
	answers int
}

func (c *historyChecker) OnModelAnswer(_ Header, history []Message, maxTokens int, answer *Answer) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers++
	messages := make([]backendtest.Message, len(history))
	for i, m := range history {
		messages[i] = backendtest.Message(m)
	}
	if answer.Text != backendtest.Answer(messages, maxTokens) {
		return errors.New("the answer belongs to another history")
	}
	return nil
}

func (c *historyChecker) OnServiceAnswer(ServiceCall, *ServiceAnswer) error { return nil }

func testConfig(baseURL string) Config {
	return Config{
		BaseURLs:  []string{baseURL},
		Customers: []Customer{{Key: "ik_a_s"}, {Key: "ik_b_s", Kinds: []Kind{KindBerthPlan}}},
		Models:    map[Kind]string{KindQuote: "quotes"},
		Rate:      200,
		Duration:  200 * time.Millisecond,
		Seed:      7,
		RunID:     "run",
	}
}

func TestRunFinishesEveryProgramDespiteFailedRequests(t *testing.T) {
	f := startFakeSystem(t)
	f.injectFaults(faultTruncated, faultNone, faultError, faultRefused, faultTruncated)
	check := &historyChecker{}
	config := testConfig(f.url)
	config.Observer = check
	report, err := Run(context.Background(), config)
	assert.NilError(t, err)
	programs := schedule(config)
	assert.Equal(t, report.All.Programs, int64(len(programs)))
	assert.Equal(t, report.All.Failed+report.All.Skipped, int64(0))
	assert.Equal(t, len(report.Failures), 0)
	assert.Equal(t, report.Retries["control_unavailable"], int64(1))
	assert.Equal(t, report.Retries["stopping"], int64(1))
	assert.Equal(t, report.Retries[reasonIncomplete], int64(2))
	assert.Equal(t, report.All.Requests, report.All.Calls+4)
	assert.Assert(t, report.All.Latency.P50 > 0)
	for _, s := range programs {
		assert.Assert(t, f.ended[s.name], "program %s was not ended", s.name)
	}
	for call, n := range f.bookings {
		assert.Equal(t, n, 1, "booking %s", call)
	}
}

func TestLatencyCountsFromTheScheduledStart(t *testing.T) {
	f := startFakeSystem(t)
	f.injectFaults(faultSilent)
	config := testConfig(f.url)
	config.Duration = time.Nanosecond
	config.IdleTimeout = 100 * time.Millisecond
	report, err := Run(context.Background(), config)
	assert.NilError(t, err)
	assert.Equal(t, report.All.Programs, int64(1))
	assert.Assert(t, report.All.Latency.Max >= 100)
}

func TestFailedProgramIsReportedWithItsReason(t *testing.T) {
	f := startFakeSystem(t)
	f.injectFaults(faultFinal)
	config := testConfig(f.url)
	config.Duration = time.Nanosecond
	report, err := Run(context.Background(), config)
	assert.NilError(t, err)
	assert.Equal(t, report.All.Failed, int64(1))
	assert.Equal(t, report.Failures["budget_exhausted"], int64(1))
}

func TestScheduleAndStepsAreDeterministic(t *testing.T) {
	config := testConfig("http://127.0.0.1:1")
	config.Duration = 10 * time.Second
	assert.Assert(t, slices.Equal(schedule(config), schedule(config)))
	for _, kind := range Kinds() {
		for seed := range uint64(20) {
			a := GenerateSteps(kind, "p", rand.New(rand.NewPCG(seed, 0)))
			b := GenerateSteps(kind, "p", rand.New(rand.NewPCG(seed, 0)))
			assert.DeepEqual(t, a, b)
		}
	}
}

func TestGeneratedStepsHaveTheLengthsOfTheirKind(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 0))
		quote := countModelCalls(GenerateSteps(KindQuote, "p", random))
		assert.Assert(t, quote >= minQuoteTurns && quote <= maxQuoteTurns)
		shipping := countModelCalls(GenerateSteps(KindShipping, "p", random))
		assert.Assert(t, shipping >= minShippingTurns && shipping <= maxShippingTurns)
	}
	bookings := 0
	for _, step := range GenerateSteps(KindBerthPlan, "p", rand.New(rand.NewPCG(1, 0))) {
		if step.Operation == OperationBook {
			bookings++
		}
	}
	assert.Equal(t, bookings, 1)
}

// countModelCalls returns the number of model calls among the steps.
func countModelCalls(steps []Step) int {
	n := 0
	for _, step := range steps {
		if step.Message != "" {
			n++
		}
	}
	return n
}

func TestWastedTokensAreHistoryNotFoundInTheCache(t *testing.T) {
	p := &Program{}
	for _, cached := range []int64{0, 12, 3} {
		answer := &Answer{Usage: Usage{PromptTokens: 10, CompletionTokens: 2}}
		answer.Usage.Details.CachedTokens = cached
		p.recordAnswer(answer)
	}
	assert.Equal(t, p.outcome.WastedTokens, int64(9))
	assert.Equal(t, p.outcome.PromptTokens, int64(30))
}

func TestInvalidConfigIsRejected(t *testing.T) {
	for i, change := range []func(*Config){
		func(c *Config) { c.Customers = nil },
		func(c *Config) { c.Rate = 0 },
		func(c *Config) { c.Duration = -1 },
		func(c *Config) { c.PauseScale = -1 },
		func(c *Config) { c.RunID = "" },
		func(c *Config) { c.Models = map[Kind]string{"other": "m"} },
		func(c *Config) { c.BaseURLs = nil },
	} {
		config := testConfig("http://127.0.0.1:1")
		change(&config)
		_, err := Run(context.Background(), config)
		assert.Assert(t, err != nil, "change %d", i)
	}
}

func TestReportAsTextAndJSON(t *testing.T) {
	b := newReportBuilder()
	b.add(KindQuote, 20*time.Millisecond, Outcome{Calls: 6, Requests: 7, PromptTokens: 100, WastedTokens: 25})
	b.addRetry(Retry{Err: fmt.Errorf("wrapped: %w", ErrIdle)})
	b.addSkipped(KindShipping)
	report := b.build(Config{Rate: 5, Duration: time.Second})
	var text bytes.Buffer
	assert.NilError(t, report.WriteText(&text))
	assert.Assert(t, bytes.Contains(text.Bytes(), []byte("25.00%")), text.String())
	data, err := json.Marshal(report)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Contains(data, []byte(`"p50":20`)), string(data))
}
