package processtest

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/backendtest"
	"ibistray.example/ibistray/internal/ctl"
	"ibistray.example/ibistray/internal/load"
	"ibistray.example/ibistray/internal/localcluster"
	"ibistray.example/ibistray/proto/shardpb"
)

const (
	customer    = "wharf-office"
	customerKey = "ik_wharf-office_example0example0example0"
	model       = "berth-plan"
	// testTimeout ends a test that waits for a state which is never reached. No
	// result of a test depends on how long the test takes.
	testTimeout = 100 * time.Second
	// maxParallelSystems limits the number of systems that run concurrently.
	maxParallelSystems = 6
)

// systemSlots has one element for each running system.
var systemSlots = make(chan struct{}, maxParallelSystems)

// contract holds the fields of a contract in which the tests differ.
type contract struct {
	Tokens      int
	Concurrency int
	ProgramIdle string
	Priority    int
}

func defaultContract() contract {
	return contract{Tokens: 50_000_000, Concurrency: 500, ProgramIdle: "1h", Priority: 5}
}

// document returns the contract as a YAML document, as operators write it.
func (c contract) document() []byte {
	return fmt.Appendf(nil, `customer: %s
priority: %d
home_region: mx-gulf
budget:
  tokens: %d
engine_share: 100%%
max_concurrent_calls: %d
max_turns: 1000
max_program_tokens: 250000
program_idle: %s
max_held_tokens: 1000000
models: [%s]
services:
  - name: berths
    operations:
      - name: book
        repeatable: false
keys:
  - key: %s
`, customer, c.Priority, c.Tokens, c.Concurrency, c.ProgramIdle, model, customerKey)
}

// system is a running cluster with a contract for one customer.
type system struct {
	*localcluster.Cluster
	t   *testing.T
	ctx context.Context // ends with the test, or after testTimeout
}

// startSystem starts a cluster, applies the contract and waits until all entries know all
// servers. The test runs in parallel with others, and the cluster is stopped at its end.
func startSystem(t *testing.T, terms contract, options localcluster.Options) *system {
	t.Helper()
	t.Parallel()
	systemSlots <- struct{}{}
	t.Cleanup(func() { <-systemSlots })
	return launchSystem(t, terms, options)
}

// launchSystem is like startSystem, for tests that do not run in parallel.
func launchSystem(t *testing.T, terms contract, options localcluster.Options) *system {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	options.BinDir = binDir
	options.DataDir = t.TempDir()
	options.Models = model
	options.Services = "berths"
	cluster, err := localcluster.New(options)
	assert.NilError(t, err)
	t.Cleanup(func() {
		if t.Failed() {
			const lines = 8
			cluster.PrintWarnings(os.Stderr, lines)
		}
		cluster.Close()
	})
	assert.NilError(t, cluster.Start(ctx))
	s := &system{Cluster: cluster, t: t, ctx: ctx}
	file := filepath.Join(options.DataDir, "contract.yaml")
	assert.NilError(t, os.WriteFile(file, terms.document(), 0o600))
	_, err = s.ApplyContract(ctx, file)
	assert.NilError(t, err)
	s.waitForServers(s.EntryURLs()...)
	return s
}

// waitForServers waits until each of the entries knows all backend servers.
func (s *system) waitForServers(urls ...string) {
	s.t.Helper()
	for _, url := range urls {
		s.waitFor("all servers at "+url, func() bool {
			members, err := s.admin(url).Servers(s.ctx)
			return err == nil && len(members.Members) == len(s.Servers())
		})
	}
}

// waitFor waits until the condition holds, or fails the test after testTimeout. what
// names the condition in the error.
func (s *system) waitFor(what string, condition func() bool) {
	s.t.Helper()
	assert.NilError(s.t, s.Probe.WaitFor(s.ctx, what, condition))
}

// client returns a client that sends its calls to the entries in turn and resends a call
// while its outcome is unclear.
func (s *system) client(urls ...string) *load.Client {
	return s.newClient(load.ClientConfig{BaseURLs: urls})
}

// newClient returns a client with the customer's key. It is closed at the end of the
// test.
func (s *system) newClient(config load.ClientConfig) *load.Client {
	s.t.Helper()
	config.Key = customerKey
	client, err := load.NewClient(config)
	assert.NilError(s.t, err)
	s.t.Cleanup(client.Close)
	return client
}

// admin returns a client for the operator API of the given entries.
func (s *system) admin(urls ...string) *ctl.Client {
	s.t.Helper()
	key, err := ctl.ReadKey(s.KeyFile())
	assert.NilError(s.t, err)
	client, err := ctl.NewClient(urls, key)
	assert.NilError(s.t, err)
	return client
}

// booking returns a service call that must not run more than once.
func booking(program, call string) load.ServiceCall {
	body := json.RawMessage(fmt.Sprintf(`{"barge":%q}`, call))
	header := load.Header{Program: program, CallID: call}
	return load.ServiceCall{Header: header, Service: "berths", Operation: "book", Body: body}
}

// effectCount returns how often a booking has taken effect.
func (s *system) effectCount(call load.ServiceCall) int {
	s.t.Helper()
	effects, err := s.Probe.Effects(s.ctx, s.Cluster)
	assert.NilError(s.t, err)
	count := 0
	for _, effect := range effects {
		if string(effect.Body) == string(call.Body) {
			count++
		}
	}
	return count
}

// sendOnce sends a call to one entry and does not resend it.
func (s *system) sendOnce(url string, call load.ServiceCall) (*load.ServiceAnswer, error) {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	client := s.newClient(load.ClientConfig{
		BaseURLs:    []string{url},
		IdleTimeout: testTimeout, // the entry decides when to give up
		OnRetry:     func(load.Retry) { cancel() },
	})
	return client.CallService(ctx, call)
}

// answerChecker checks that each answer of a program belongs to the program's history and
// was served at the right turn.
type answerChecker struct {
	afterTurn func(turn int) // called after each answer, before the next call; may be nil
	tokens    uint64         // prompt and completion tokens of all answers
}

// OnModelAnswer implements load.Observer.
func (c *answerChecker) OnModelAnswer(h load.Header, history []load.Message, maxTokens int, a *load.Answer) error {
	c.tokens += uint64(a.Usage.PromptTokens + a.Usage.CompletionTokens)
	if a.Turn != uint64(h.Sequence) {
		return fmt.Errorf("call %s was served as turn %d", h.CallID, a.Turn)
	}
	messages := make([]backendtest.Message, len(history))
	for i, m := range history {
		messages[i] = backendtest.Message(m)
	}
	if a.Text != backendtest.Answer(messages, maxTokens) {
		return fmt.Errorf("the answer to call %s does not match the history of its program", h.CallID)
	}
	if c.afterTurn != nil {
		c.afterTurn(h.Sequence)
	}
	return nil
}

// OnServiceAnswer implements load.Observer.
func (c *answerChecker) OnServiceAnswer(load.ServiceCall, *load.ServiceAnswer) error { return nil }

// runProgram runs a program of model calls through the entries, checks its answers and
// ends it.
func (s *system) runProgram(name string, turns, tokens int, checker *answerChecker, urls ...string) error {
	const idleTimeout = 6 * time.Second
	program := &load.Program{
		Client:   s.newClient(load.ClientConfig{BaseURLs: urls, IdleTimeout: idleTimeout}),
		Name:     name,
		Model:    model,
		Observer: checker,
	}
	for i := range turns {
		program.Steps = append(program.Steps, load.Step{Message: fmt.Sprintf("%s, message %d", name, i+1), MaxTokens: tokens})
	}
	return program.Run(s.ctx).Err
}

// budget returns the state of the customer's budget.
func (s *system) budget() *shardpb.BudgetView {
	s.t.Helper()
	var budget *shardpb.BudgetView
	s.waitFor("the budget", func() bool {
		view, err := s.admin(s.EntryURLs()...).Customer(s.ctx, customer)
		if err != nil || len(view.Budgets) == 0 {
			return false
		}
		budget = view.Budgets[0].Budget
		return true
	})
	return budget
}

// waitIdle waits until no call is open and no part of the budget is reserved.
func (s *system) waitIdle() {
	s.t.Helper()
	s.waitFor("no open call and no reservation", func() bool {
		view, err := s.admin(s.EntryURLs()...).Customer(s.ctx, customer)
		if err != nil || len(view.Budgets) == 0 || view.Budgets[0].Budget.GetReserved() != 0 {
			return false
		}
		for _, p := range view.Programs {
			if p.OpenCall != "" {
				return false
			}
		}
		return true
	})
}

// waitCacheReleased waits until no engine has a cached prefix of a program whose name
// begins with the given text.
func (s *system) waitCacheReleased(prefix string) {
	s.t.Helper()
	s.waitFor("the release of cached prefixes", func() bool {
		for _, engine := range s.Engines {
			cached, err := s.Probe.CachedPrograms(s.ctx, engine)
			if err != nil {
				return false
			}
			for program := range cached {
				if strings.HasPrefix(program, customer+"/"+prefix) {
					return false
				}
			}
		}
		return true
	})
}

// busyEngine returns the first engine that runs a request, or nil if there is none.
func (s *system) busyEngine() *localcluster.Server {
	for _, engine := range s.Engines {
		stats, err := s.Probe.Stats(s.ctx, engine)
		if err == nil && stats.Running > 0 {
			return engine
		}
	}
	return nil
}
