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

// fastEngines returns options for n engines that answer a short call in a few hundredths
// of a second.
func fastEngines(n int) localcluster.Options {
	return localcluster.Options{
		Engines:    n,
		EngineArgs: []string{"--decode-rate", "400", "--prefill-rate", "40000"},
	}
}

// TestControlProcessesKilledInTurn kills and restarts each entry and control process once
// while a program runs. The program's history must stay complete and in order, and the
// budget must be charged exactly what the answers used.
func TestControlProcessesKilledInTurn(t *testing.T) {
	s := startSystem(t, defaultContract(), fastEngines(2))
	checker := &answerChecker{afterTurn: func(turn int) {
		const turnsPerNode = 4
		node := s.Nodes[(turn/turnsPerNode)%len(s.Nodes)]
		switch {
		case turn < turnsPerNode:
		case turn%turnsPerNode == 0:
			node.Kill()
		case turn%turnsPerNode == 2:
			assert.NilError(t, node.Start())
		}
	}}
	const turns = 16
	assert.NilError(t, s.runProgram("convoy", turns, 24, checker, s.EntryURLs()...))
	s.waitIdle()
	assert.Equal(t, s.budget().GetUsed(), checker.tokens)
}

// TestMoreControlProcessesThanReplicas starts five control processes. All of them have a
// replica of the configuration group, but only three have one of a shard. An announced
// stop must come into force, and the system must survive the loss of two processes, one
// after the other.
func TestMoreControlProcessesThanReplicas(t *testing.T) {
	options := fastEngines(1)
	options.Nodes = 5
	s := startSystem(t, defaultContract(), options)
	_, err := s.RunCtl(s.ctx, "stop", "announce", "--scope", "failure-domain", "fd-nowhere")
	assert.NilError(t, err)
	checker := &answerChecker{afterTurn: func(turn int) {
		switch turn {
		case 2:
			s.Nodes[0].Kill()
		case 4:
			assert.NilError(t, s.Nodes[0].Start())
			s.waitAllVoters()
		case 5:
			s.Nodes[3].Kill()
		}
	}}
	assert.NilError(t, s.runProgram("convoy", 7, 24, checker, s.EntryURLs()...))
	s.waitIdle()
	assert.Equal(t, s.budget().GetUsed(), checker.tokens)
}

// TestLostDisk kills a control process and deletes its data. After the restart it must not
// vote under its old replica IDs, because it has lost votes and entries that it had
// acknowledged: its peers refuse it, and it joins each group under a new ID. Right after
// that, a second process loses its disk. Acknowledged data must survive both losses.
func TestLostDisk(t *testing.T) {
	s := startSystem(t, defaultContract(), fastEngines(1))
	first, second := s.Nodes[2], s.Nodes[1]
	checker := &answerChecker{afterTurn: func(turn int) {
		switch turn {
		case 3:
			s.killAndDeleteData(first)
			assert.NilError(t, first.Start())
			s.waitFor("the refusal of the lost replica", func() bool {
				return first.LogContains("replica was seen on another disk")
			})
		case 5:
			s.waitAllVoters()
			s.killAndDeleteData(second)
		case 7:
			assert.NilError(t, second.Start())
		}
	}}
	assert.NilError(t, s.runProgram("convoy", 9, 24, checker, s.EntryURLs()...))
	s.waitAllVoters()
	s.waitIdle()
	assert.Equal(t, s.budget().GetUsed(), checker.tokens)
}

// killAndDeleteData kills a process and deletes its data, as the loss of a disk does.
func (s *system) killAndDeleteData(node *localcluster.Node) {
	node.Kill()
	assert.NilError(s.t, os.RemoveAll(node.Dir))
}

// waitAllVoters waits until every replica of every control process is a voter of its
// group.
func (s *system) waitAllVoters() {
	s.t.Helper()
	s.waitFor("all replicas to be voters", func() bool {
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

// TestPausedProcessAcknowledgesNoStaleChange pauses each entry and control process in
// turn, the leader included, for longer than its lease. A change that is sent to the
// paused process must not be acknowledged if another change was accepted meanwhile.
func TestPausedProcessAcknowledgesNoStaleChange(t *testing.T) {
	s := startSystem(t, defaultContract(), localcluster.Options{})
	version := uint64(1)
	for i, paused := range s.Nodes {
		others := s.urlsWithout(i)
		s.assertOneChangeWins(&version, fmt.Sprintf("before-%d", i), paused.URL(), others[0])
		assert.NilError(t, paused.Pause())
		stale := make(chan error, 1)
		expected := version
		go func() { stale <- s.applyChange(expected, fmt.Sprintf("stale-%d", i), paused.URL()) }()
		s.assertOneChangeWins(&version, fmt.Sprintf("during-%d", i), others...)
		assert.NilError(t, paused.Resume())
		var conflict *ctl.ConflictError
		err := <-stale
		assert.Assert(t, errors.As(err, &conflict), "a change of version %d: %v", expected, err)
		s.assertOneChangeWins(&version, fmt.Sprintf("after-%d", i), paused.URL(), others[0])
	}
}

// urlsWithout returns the URLs of all entries but entry i.
func (s *system) urlsWithout(i int) []string {
	urls := s.EntryURLs()
	return append(append([]string{}, urls[:i]...), urls[i+1:]...)
}

// applyChange applies a contract on top of a version. It resends the change with the same
// ID until there is a response, which is that of the first run.
func (s *system) applyChange(version uint64, id string, urls ...string) error {
	terms := defaultContract()
	terms.Concurrency += len(id) // each change differs from the one before
	admin := s.admin(urls...)
	var err error
	waited := s.Probe.WaitFor(s.ctx, "a response to change "+id, func() bool {
		_, err = admin.ApplyContract(s.ctx, customer, terms.document(), version, id)
		var apiErr *ctl.APIError
		unclear := errors.Is(err, ctl.ErrUnreachable) || errors.As(err, &apiErr) && apiErr.Status >= 500
		return !unclear
	})
	return errors.Join(waited, err)
}

// assertOneChangeWins sends a change of the contract on top of *version to each of the
// entries concurrently. Exactly one of them must succeed, and the others must get the
// winning contract as a conflict. It increments *version.
func (s *system) assertOneChangeWins(version *uint64, id string, urls ...string) {
	s.t.Helper()
	outcomes := make(chan error, len(urls))
	for i, url := range urls {
		go func() { outcomes <- s.applyChange(*version, fmt.Sprintf("%s-%d", id, i), url) }()
	}
	winners := 0
	winningContract := ""
	for range urls {
		err := <-outcomes
		var conflict *ctl.ConflictError
		switch {
		case err == nil:
			winners++
		case errors.As(err, &conflict):
			assert.Equal(s.t, conflict.Current.GetVersion(), *version+1)
			winningContract = conflict.Current.String()
		default:
			assert.NilError(s.t, err)
		}
	}
	assert.Equal(s.t, winners, 1, "concurrent changes %s, winning contract %q", id, winningContract)
	*version++
	view, err := s.admin(urls...).Customer(s.ctx, customer)
	assert.NilError(s.t, err)
	assert.Equal(s.t, view.Contracts[0].Version, *version)
}

// TestResentChangeReturnsFirstResult resends a change through another entry after a later
// change was accepted and the entry that responded first was killed. The resend must
// return the result of the first run and change nothing.
func TestResentChangeReturnsFirstResult(t *testing.T) {
	s := startSystem(t, defaultContract(), localcluster.Options{})
	first, err := s.admin(s.EntryURLs()...).ApplyContract(s.ctx, customer, defaultContract().document(), 1, "change-a")
	assert.NilError(t, err)
	version := first.Contract.Version
	s.assertOneChangeWins(&version, "later", s.Nodes[1].URL(), s.Nodes[2].URL())
	s.Nodes[0].Kill()
	s.waitFor("the resend", func() bool {
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
