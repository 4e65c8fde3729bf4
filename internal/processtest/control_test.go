package processtest

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/ctl"
	"ibistray.example/ibistray/internal/localcluster"
	"ibistray.example/ibistray/proto/rpcpb"
)

// fastEngines answer a short call in a few hundredths of a second.
func fastEngines(n int) localcluster.Options {
	return localcluster.Options{
		Engines:    n,
		EngineArgs: []string{"--decode-rate", "400", "--prefill-rate", "40000"},
	}
}

// TestControlProcessesKilledInTurn kills each entry and control process once
// during a conversation and starts it again. The history stays whole and in
// order, and the budget is charged what the answers used.
func TestControlProcessesKilledInTurn(t *testing.T) {
	s := startSystem(t, defaultContract(), fastEngines(2))
	talk := &conversation{step: func(turn int) {
		const every = 4
		node := s.Nodes[(turn/every)%len(s.Nodes)]
		switch {
		case turn < every:
		case turn%every == 0:
			node.Kill()
		case turn%every == 2:
			assert.NilError(t, node.Start())
		}
	}}
	const turns = 16
	assert.NilError(t, s.converse("convoy", turns, 24, talk, s.EntryURLs()...))
	s.waitIdle()
	assert.Equal(t, s.budget().GetUsed(), talk.usage)
}

// TestMoreControlProcessesThanReplicas starts five control processes: each holds
// the configuration group, a shard three of them. A stop is in force everywhere,
// and any two may be killed one after the other.
func TestMoreControlProcessesThanReplicas(t *testing.T) {
	options := fastEngines(1)
	options.Nodes = 5
	s := startSystem(t, defaultContract(), options)
	_, err := s.RunCtl(s.ctx, "stop", "announce", "--scope", "failure-domain", "fd-nowhere")
	assert.NilError(t, err)
	talk := &conversation{step: func(turn int) {
		switch turn {
		case 2:
			s.Nodes[0].Kill()
		case 4:
			assert.NilError(t, s.Nodes[0].Start())
			s.waitRepaired()
		case 5:
			s.Nodes[3].Kill()
		}
	}}
	assert.NilError(t, s.converse("convoy", 7, 24, talk, s.EntryURLs()...))
	s.waitIdle()
	assert.Equal(t, s.budget().GetUsed(), talk.usage)
}

// TestLostDisk deletes the data of a control process while it is down. Started
// again it does not vote as its former self: its peers refuse it, and it takes
// a new place in each group. Right after that repair a second process is lost
// with its disk. What was acknowledged is there throughout.
func TestLostDisk(t *testing.T) {
	s := startSystem(t, defaultContract(), fastEngines(1))
	first, second := s.Nodes[2], s.Nodes[1]
	talk := &conversation{step: func(turn int) {
		switch turn {
		case 3:
			s.loseDisk(first)
			assert.NilError(t, first.Start())
			s.wait("the refusal of the lost replica", func() bool {
				return first.LogContains("replica was seen on another disk")
			})
		case 5:
			s.waitRepaired()
			s.loseDisk(second)
		case 7:
			assert.NilError(t, second.Start())
		}
	}}
	assert.NilError(t, s.converse("convoy", 9, 24, talk, s.EntryURLs()...))
	s.waitRepaired()
	s.waitIdle()
	assert.Equal(t, s.budget().GetUsed(), talk.usage)
}

func (s *system) loseDisk(node *localcluster.Node) {
	node.Kill()
	assert.NilError(s.t, os.RemoveAll(node.Dir))
}

// waitRepaired waits until each replica of each control process is a voter of
// its group again.
func (s *system) waitRepaired() {
	s.t.Helper()
	s.wait("all replicas to be voters", func() bool {
		report, err := s.admin(s.EntryURLs()...).Replicas(s.ctx)
		if err != nil || len(report.Processes) != len(s.Nodes) {
			return false
		}
		for _, process := range report.Processes {
			if slices.ContainsFunc(process.Replicas, func(r *rpcpb.ReplicaStatus) bool { return !isVoter(r) }) {
				return false
			}
		}
		return true
	})
}

func isVoter(r *rpcpb.ReplicaStatus) bool {
	return !r.Waits && slices.ContainsFunc(r.Members, func(m *rpcpb.ReplicaMember) bool {
		return m.Id == r.ReplicaId && !m.Learner
	})
}

// TestFrozenProcessAcknowledgesNothingStale freezes each entry and control process
// in turn for longer than its lease, the leader among them. A change that it took before it woke
// up must not be acknowledged against the one that was accepted meanwhile.
func TestFrozenProcessAcknowledgesNothingStale(t *testing.T) {
	s := startSystem(t, defaultContract(), localcluster.Options{})
	version := uint64(1)
	for i, frozen := range s.Nodes {
		others := s.without(i)
		s.race(&version, fmt.Sprintf("before-%d", i), frozen.URL(), others[0])
		assert.NilError(t, frozen.Pause())
		stale := make(chan error, 1)
		expected := version
		go func() { stale <- s.change(expected, fmt.Sprintf("stale-%d", i), frozen.URL()) }()
		s.race(&version, fmt.Sprintf("during-%d", i), others...)
		assert.NilError(t, frozen.Resume())
		var conflict *ctl.ConflictError
		err := <-stale
		assert.Assert(t, errors.As(err, &conflict), "a change of version %d: %v", expected, err)
		s.race(&version, fmt.Sprintf("after-%d", i), frozen.URL(), others[0])
	}
}

func (s *system) without(i int) []string {
	bases := s.EntryURLs()
	return append(append([]string{}, bases[:i]...), bases[i+1:]...)
}

// change applies a contract on top of a version. The ID of the change is sent
// again until there is an answer: the answer of the first run counts.
func (s *system) change(version uint64, id string, bases ...string) error {
	terms := defaultContract()
	terms.Concurrency += len(id) // each change differs from the one before
	admin := s.admin(bases...)
	var err error
	waited := s.Probe.WaitFor(s.ctx, "an answer to change "+id, func() bool {
		_, err = admin.ApplyContract(s.ctx, customer, terms.document(), version, id)
		var server *ctl.APIError
		unclear := errors.Is(err, ctl.ErrUnreachable) || errors.As(err, &server) && server.Status >= 500
		return !unclear
	})
	return errors.Join(waited, err)
}

// race lets two operators change the contract from the same version, each at
// its own entry. Exactly one of them wins.
func (s *system) race(version *uint64, id string, bases ...string) {
	s.t.Helper()
	outcomes := make(chan error, len(bases))
	for i, base := range bases {
		go func() { outcomes <- s.change(*version, fmt.Sprintf("%s-%d", id, i), base) }()
	}
	won := 0
	winner := ""
	for range bases {
		err := <-outcomes
		var conflict *ctl.ConflictError
		switch {
		case err == nil:
			won++
		case errors.As(err, &conflict):
			assert.Equal(s.t, conflict.Current.GetVersion(), *version+1)
			winner = conflict.Current.String()
		default:
			assert.NilError(s.t, err)
		}
	}
	assert.Equal(s.t, won, 1, "race %s, won by %q", id, winner)
	*version++
	view, err := s.admin(bases...).Customer(s.ctx, customer)
	assert.NilError(s.t, err)
	assert.Equal(s.t, view.Contracts[0].Version, *version)
}

// TestResendOfAChangeGivesTheFirstResult resends a change after its answer was
// lost, after later changes, through other entries and without its leader.
func TestResendOfAChangeGivesTheFirstResult(t *testing.T) {
	s := startSystem(t, defaultContract(), localcluster.Options{})
	first, err := s.admin(s.EntryURLs()...).ApplyContract(s.ctx, customer, defaultContract().document(), 1, "change-a")
	assert.NilError(t, err)
	version := first.Contract.Version
	s.race(&version, "later", s.Nodes[1].URL(), s.Nodes[2].URL())
	s.Nodes[0].Kill()
	s.wait("the resend", func() bool {
		again, err := s.admin(s.Nodes[1].URL()).ApplyContract(s.ctx, customer, defaultContract().document(), 1, "change-a")
		if err != nil {
			return false
		}
		assert.Equal(t, again.Contract.Version, first.Contract.Version)
		return true
	})
	view, err := s.admin(s.Nodes[2].URL()).Customer(s.ctx, customer)
	assert.NilError(t, err)
	assert.Equal(t, view.Contracts[0].Version, version)
}
