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

// enginesWithRelays returns options for n fast engines, with a relay in front of every
// sidecar and control process.
func enginesWithRelays(n int) localcluster.Options {
	options := fastEngines(n)
	options.UseRelays = true
	return options
}

// runPrograms runs programs concurrently and checks each answer.
func (s *system) runPrograms(programs, turns int, afterTurn func(program, turn int)) {
	s.t.Helper()
	errs := make([]error, programs)
	var wg sync.WaitGroup
	for i := range programs {
		checker := &answerChecker{afterTurn: func(turn int) { afterTurn(i, turn) }}
		wg.Go(func() { errs[i] = s.runProgram(fmt.Sprintf("convoy-%d", i), turns, 24, checker, s.EntryURLs()...) })
	}
	wg.Wait()
	for _, err := range errs {
		assert.NilError(s.t, err)
	}
}

// TestSilentConnections drops all bytes on the open connections to sidecars and control
// processes, in one direction or both, while new connections work. The connections stay
// open, so nobody gets an error. Every caller must get its complete answer, and no call may
// be recorded twice.
func TestSilentConnections(t *testing.T) {
	s := startSystem(t, defaultContract(), enginesWithRelays(2))
	s.runPrograms(4, 8, func(program, turn int) {
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

// TestPartitionOfAControlProcess drops everything that is sent to one control process
// after the other, and in a second round its responses as well. The other processes must take
// over, so that programs continue during each partition.
func TestPartitionOfAControlProcess(t *testing.T) {
	s := startSystem(t, defaultContract(), enginesWithRelays(2))
	directions := []backendtest.Direction{backendtest.ToTarget, backendtest.BothDirections}
	s.runPrograms(3, 2*len(directions)*len(s.Nodes), func(program, turn int) {
		if program != 0 {
			return
		}
		round := (turn - 1) / 2
		node := s.Nodes[round%len(s.Nodes)]
		if turn%2 == 1 {
			node.Relay.Partition(directions[round/len(s.Nodes)])
			return
		}
		node.Relay.Partition(0)
	})
	s.waitIdle()
}

// TestResponsesOfControlProcessesLost drops the responses of all control processes, while they
// receive every request, until the caller has resent its call. Resends must find what was
// recorded without a response: the call takes effect once, and programs that run afterwards
// get complete answers in order.
func TestResponsesOfControlProcessesLost(t *testing.T) {
	s := startSystem(t, defaultContract(), enginesWithRelays(2))
	call := booking("plan", "convoy-7")
	retried := make(chan struct{}, 1)
	client := s.newClient(load.ClientConfig{BaseURLs: s.EntryURLs(), OnRetry: func(load.Retry) {
		select {
		case retried <- struct{}{}:
		default:
		}
	}})
	s.partitionNodes(backendtest.ToClient)
	outcome := make(chan serviceOutcome, 1)
	go func() {
		answer, err := client.CallService(s.ctx, call)
		outcome <- serviceOutcome{answer, err}
	}()
	<-retried
	s.partitionNodes(0)
	assert.NilError(t, (<-outcome).err)
	assert.Equal(t, s.effectCount(call), 1)
	s.runPrograms(2, 3, func(int, int) {})
	s.waitIdle()
}

// partitionNodes drops all bytes of a direction at every control process. Direction 0
// ends the partition.
func (s *system) partitionNodes(d backendtest.Direction) {
	for _, node := range s.Nodes {
		node.Relay.Partition(d)
	}
}

// TestPartitionOfASidecar partitions the sidecar of the service and that of an engine
// while calls run on them. Calls that may be repeated must get complete answers. The
// running booking must take effect once, and the caller must get its answer or an unknown
// outcome.
func TestPartitionOfASidecar(t *testing.T) {
	options := enginesWithRelays(2)
	options.ServiceArgs = slowService.ServiceArgs
	s := startSystem(t, defaultContract(), options)
	call := booking("plan", "convoy-7")
	first := s.startBooking(s.Nodes[0].URL(), call)
	s.Service.Relay.Partition(backendtest.ToClient)
	s.Engines[0].Relay.Partition(backendtest.BothDirections)
	s.runPrograms(4, 3, func(int, int) {})
	s.Service.Relay.Partition(0)
	s.Engines[0].Relay.Partition(0)
	<-first
	answer, err := s.client(s.Nodes[1].URL()).CallService(s.ctx, call)
	if err != nil {
		assertOutcomeUnknown(t, err)
	} else {
		assert.Assert(t, len(answer.Body) > 0)
	}
	assert.Equal(t, s.effectCount(call), 1)
	s.waitIdle()
}
