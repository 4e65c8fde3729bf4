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
	// hangGuard ends a test whose awaited state never comes. No verdict depends
	// on how long a test takes.
	hangGuard = 100 * time.Second
	// maxSystems bounds the systems that run side by side.
	maxSystems = 6
)

var systems = make(chan struct{}, maxSystems)

// contract is the part of a contract in which the tests differ.
type contract struct {
	Tokens      int
	Concurrency int
	Idle        string
	Priority    int
}

func defaultContract() contract {
	return contract{Tokens: 50_000_000, Concurrency: 500, Idle: "1h", Priority: 5}
}

// document returns the contract as operators write it.
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
`, customer, c.Priority, c.Tokens, c.Concurrency, c.Idle, model, customerKey)
}

// system is a running cluster with one contract.
type system struct {
	*localcluster.Cluster
	t   *testing.T
	ctx context.Context // ends with the test, and after hangGuard
}

// startSystem starts a cluster that ends with the test.
func startSystem(t *testing.T, terms contract, options localcluster.Options) *system {
	t.Helper()
	t.Parallel()
	systems <- struct{}{}
	t.Cleanup(func() { <-systems })
	ctx, cancel := context.WithTimeout(t.Context(), hangGuard)
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
	s.waitServers(s.EntryURLs()...)
	return s
}

// waitServers waits until entries know every backend server.
func (s *system) waitServers(bases ...string) {
	s.t.Helper()
	for _, base := range bases {
		s.wait("all servers at "+base, func() bool {
			members, err := s.admin(base).Servers(s.ctx)
			return err == nil && len(members.Members) == len(s.Servers())
		})
	}
}

// wait waits for a state of the system.
func (s *system) wait(what string, condition func() bool) {
	s.t.Helper()
	assert.NilError(s.t, s.Probe.WaitFor(s.ctx, what, condition))
}

// client returns a caller that sends its calls to the entries in turn and asks
// again while the outcome is unclear.
func (s *system) client(bases ...string) *load.Client {
	return s.caller(load.ClientConfig{BaseURLs: bases})
}

func (s *system) caller(config load.ClientConfig) *load.Client {
	s.t.Helper()
	config.Key = customerKey
	client, err := load.NewClient(config)
	assert.NilError(s.t, err)
	s.t.Cleanup(client.Close)
	return client
}

// admin returns an operator's client of the given entries.
func (s *system) admin(bases ...string) *ctl.Client {
	s.t.Helper()
	key, err := ctl.ReadKey(s.KeyFile())
	assert.NilError(s.t, err)
	client, err := ctl.NewClient(bases, key)
	assert.NilError(s.t, err)
	return client
}

// booking returns a call that may not be repeated.
func booking(program, call string) load.ServiceCall {
	body := json.RawMessage(fmt.Sprintf(`{"barge":%q}`, call))
	header := load.Header{Program: program, CallID: call}
	return load.ServiceCall{Header: header, Service: "berths", Operation: "book", Body: body}
}

// effectsOf returns how often a booking had its effect.
func (s *system) effectsOf(call load.ServiceCall) int {
	s.t.Helper()
	effects, err := s.Probe.Effects(s.ctx, s.Cluster)
	assert.NilError(s.t, err)
	n := 0
	for _, effect := range effects {
		if string(effect.Body) == string(call.Body) {
			n++
		}
	}
	return n
}

// once sends a call to one entry and does not ask again.
func (s *system) once(base string, call load.ServiceCall) (*load.ServiceAnswer, error) {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	client := s.caller(load.ClientConfig{
		BaseURLs:    []string{base},
		IdleTimeout: hangGuard, // the entry decides when to give up
		OnRetry:     func(load.Retry) { cancel() },
	})
	return client.CallService(ctx, call)
}

// conversation checks each answer of a program and its place in the history.
// step is called after each answer, between two calls of the program.
type conversation struct {
	step  func(turn int)
	usage uint64 // tokens of all answers
}

// OnModelAnswer implements load.Observer.
func (c *conversation) OnModelAnswer(h load.Header, history []load.Message, maxTokens int, a *load.Answer) error {
	c.usage += uint64(a.Usage.PromptTokens + a.Usage.CompletionTokens)
	if a.Turn != uint64(h.Sequence) {
		return fmt.Errorf("call %s was served as turn %d", h.CallID, a.Turn)
	}
	messages := make([]backendtest.Message, len(history))
	for i, m := range history {
		messages[i] = backendtest.Message(m)
	}
	if a.Text != backendtest.Answer(messages, maxTokens) {
		return fmt.Errorf("the answer of call %s belongs to another history", h.CallID)
	}
	if c.step != nil {
		c.step(h.Sequence)
	}
	return nil
}

// OnServiceAnswer implements load.Observer.
func (c *conversation) OnServiceAnswer(load.ServiceCall, *load.ServiceAnswer) error { return nil }

// converse runs a program of model calls through the entries and ends it.
func (s *system) converse(name string, turns, tokens int, c *conversation, bases ...string) error {
	const idle = 6 * time.Second
	program := &load.Program{
		Client:   s.caller(load.ClientConfig{BaseURLs: bases, IdleTimeout: idle}),
		Name:     name,
		Model:    model,
		Observer: c,
	}
	for i := range turns {
		program.Steps = append(program.Steps, load.Step{Message: fmt.Sprintf("%s, message %d", name, i+1), MaxTokens: tokens})
	}
	return program.Run(s.ctx).Err
}

// budget returns the customer's budget.
func (s *system) budget() *shardpb.BudgetView {
	s.t.Helper()
	var budget *shardpb.BudgetView
	s.wait("the budget", func() bool {
		view, err := s.admin(s.EntryURLs()...).Customer(s.ctx, customer)
		if err != nil || len(view.Budgets) == 0 {
			return false
		}
		budget = view.Budgets[0].Budget
		return true
	})
	return budget
}

// waitIdle waits until no call is open and nothing is reserved.
func (s *system) waitIdle() {
	s.t.Helper()
	s.wait("no open call and no reservation", func() bool {
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

// waitMemoryFree waits until no engine holds a prefix of a program whose name
// begins with the given text.
func (s *system) waitMemoryFree(prefix string) {
	s.t.Helper()
	s.wait("free engine memory", func() bool {
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

// engineRunning returns the engine that runs a request, nil when there is none.
func (s *system) engineRunning() *localcluster.Server {
	for _, engine := range s.Engines {
		stats, err := s.Probe.Stats(s.ctx, engine)
		if err == nil && stats.Running > 0 {
			return engine
		}
	}
	return nil
}
