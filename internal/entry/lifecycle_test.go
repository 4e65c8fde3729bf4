package entry

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestCallMachineAcceptsEveryTriggerOfItsSteps checks that the state machine accepts every
// trigger that the step of a state may return. A refused trigger sends the caller an
// internal error, possibly after the call's actual answer.
func TestCallMachineAcceptsEveryTriggerOfItsSteps(t *testing.T) {
	runTriggers := []callTrigger{triggerAnswered, triggerFollow, triggerRetry, triggerReload, triggerGiveUp, triggerAbandon, triggerDelivered}
	triggersByState := map[callState][]callTrigger{
		stateBegin:    {triggerNew, triggerSend, triggerFollow, triggerDelivered},
		stateDispatch: {triggerSend, triggerRetry, triggerGiveUp, triggerReload, triggerDelivered},
		stateRun:      append([]callTrigger{triggerSend}, runTriggers...),
		stateAttach:   runTriggers,
		stateCommit:   {triggerReload, triggerDelivered},
		stateFail:     {triggerDelivered},
		stateAbandon:  {triggerDelivered},
	}
	for state, triggers := range triggersByState {
		for _, trigger := range triggers {
			machine := newMachineAt(t, state)
			assert.NilError(t, machine.Fire(trigger), "%s in state %s", trigger, state)
		}
	}
}

// triggersTo lists the triggers that lead from the initial state to each other state.
var triggersTo = map[callState][]callTrigger{
	stateBegin:    nil,
	stateDispatch: {triggerNew},
	stateRun:      {triggerSend},
	stateAttach:   {triggerFollow},
	stateCommit:   {triggerSend, triggerAnswered},
	stateFail:     {triggerSend, triggerGiveUp},
	stateAbandon:  {triggerSend, triggerAbandon},
}

func newMachineAt(t *testing.T, state callState) interface{ Fire(any, ...any) error } {
	t.Helper()
	machine := newCallMachine()
	for _, trigger := range triggersTo[state] {
		assert.NilError(t, machine.Fire(trigger))
	}
	assert.Equal(t, machine.MustState(), any(state))
	return machine
}
