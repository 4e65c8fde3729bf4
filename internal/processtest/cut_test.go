package processtest

import (
	"fmt"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/backendtest"
	"ibistray.example/ibistray/internal/load"
	"ibistray.example/ibistray/internal/localcluster"
)

func relayedEngines(n int) localcluster.Options {
	options := fastEngines(n)
	options.UseRelays = true
	return options
}

// converseAll runs conversations side by side and checks each answer.
func (s *system) converseAll(n, turns int, step func(program, turn int)) {
	s.t.Helper()
	errs := make([]error, n)
	var wg sync.WaitGroup
	for i := range n {
		talk := &conversation{step: func(turn int) { step(i, turn) }}
		wg.Go(func() { errs[i] = s.converse(fmt.Sprintf("convoy-%d", i), turns, 24, talk, s.EntryURLs()...) })
	}
	wg.Wait()
	for _, err := range errs {
		assert.NilError(s.t, err)
	}
}

// TestSilentConnections makes the open connections to sidecars and control
// processes go silent for good, in one direction or both, while new ones work.
// Every caller gets its whole answer, and no call runs twice for the record.
func TestSilentConnections(t *testing.T) {
	s := startSystem(t, defaultContract(), relayedEngines(2))
	s.converseAll(4, 8, func(program, turn int) {
		if program != 0 {
			return
		}
		switch turn {
		case 1:
			s.Engines[0].Relay.DropOnOpenConnections(backendtest.BothDirections)
		case 2:
			s.Engines[1].Relay.DropOnOpenConnections(backendtest.ToClient)
		case 3:
			s.Nodes[0].Relay.DropOnOpenConnections(backendtest.BothDirections)
		case 4:
			s.Nodes[1].Relay.DropOnOpenConnections(backendtest.ToTarget)
		case 5:
			s.Nodes[2].Relay.DropOnOpenConnections(backendtest.ToClient)
		}
	})
	s.waitIdle()
}

// TestOneWayPartitionOfAControlProcess cuts off what is sent to one control
// process after the other, and the answers as well in the second round. The
// other processes take over, so the conversations go on during each cut.
func TestOneWayPartitionOfAControlProcess(t *testing.T) {
	s := startSystem(t, defaultContract(), relayedEngines(2))
	cuts := []backendtest.Direction{backendtest.ToTarget, backendtest.BothDirections}
	s.converseAll(3, 2*len(cuts)*len(s.Nodes), func(program, turn int) {
		if program != 0 {
			return
		}
		round := (turn - 1) / 2
		node := s.Nodes[round%len(s.Nodes)]
		if turn%2 == 1 {
			node.Relay.Partition(cuts[round/len(s.Nodes)])
			return
		}
		node.Relay.Partition(0)
	})
	s.waitIdle()
}

// TestAnswersOfControlProcessesCutOff cuts off the answers of all control
// processes, while they receive every request, until callers have asked again.
// What was recorded unseen is found by the resends: each answer is whole, and
// each call was served at its place.
func TestAnswersOfControlProcessesCutOff(t *testing.T) {
	s := startSystem(t, defaultContract(), relayedEngines(2))
	call := booking("plan", "convoy-7")
	retried := make(chan struct{}, 1)
	caller := s.caller(load.ClientConfig{BaseURLs: s.EntryURLs(), OnRetry: func(load.Retry) {
		select {
		case retried <- struct{}{}:
		default:
		}
	}})
	s.partitionNodes(backendtest.ToClient)
	outcome := make(chan sent, 1)
	go func() {
		answer, err := caller.CallService(s.ctx, call)
		outcome <- sent{answer, err}
	}()
	<-retried
	s.partitionNodes(0)
	assert.NilError(t, (<-outcome).err)
	assert.Equal(t, s.effectsOf(call), 1)
	s.converseAll(2, 3, func(int, int) {})
	s.waitIdle()
}

func (s *system) partitionNodes(d backendtest.Direction) {
	for _, node := range s.Nodes {
		node.Relay.Partition(d)
	}
}

// TestPartitionOfASidecar cuts one sidecar off while calls run on it. A call that
// may be repeated is answered whole; the booking that was running had its
// effect once, and the caller is told so or that its outcome is unknown.
func TestPartitionOfASidecar(t *testing.T) {
	options := relayedEngines(2)
	options.ServiceArgs = slowService.ServiceArgs
	s := startSystem(t, defaultContract(), options)
	call := booking("plan", "convoy-7")
	first := s.sendBooking(s.Nodes[0].URL(), call)
	s.Service.Relay.Partition(backendtest.ToClient)
	s.Engines[0].Relay.Partition(backendtest.BothDirections)
	s.converseAll(4, 3, func(int, int) {})
	s.Service.Relay.Partition(0)
	s.Engines[0].Relay.Partition(0)
	<-first
	answer, err := s.client(s.Nodes[1].URL()).CallService(s.ctx, call)
	if err != nil {
		assertUnknown(t, err)
	} else {
		assert.Assert(t, len(answer.Body) > 0)
	}
	assert.Equal(t, s.effectsOf(call), 1)
	s.waitIdle()
}
