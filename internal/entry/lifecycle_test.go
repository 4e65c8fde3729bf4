package entry

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestLifecycleTakesEveryTriggerOfItsSteps checks that the state machine takes
// what each step of a call may return. A trigger that it refuses would give the
// caller a second, wrong ending.
func TestLifecycleTakesEveryTriggerOfItsSteps(t *testing.T) {
	run := []callTrigger{triggerAnswered, triggerFollow, triggerRetry, triggerReload, triggerGiveUp, triggerAbandon, triggerDelivered}
	steps := map[callState][]callTrigger{
		stateBegin:    {triggerNew, triggerSend, triggerFollow, triggerDelivered},
		stateDispatch: {triggerSend, triggerRetry, triggerGiveUp, triggerReload, triggerDelivered},
		stateRun:      append([]callTrigger{triggerSend}, run...),
		stateAttach:   run,
		stateCommit:   {triggerReload, triggerDelivered},
		stateFail:     {triggerDelivered},
		stateAbandon:  {triggerDelivered},
	}
	for state, triggers := range steps {
		for _, trigger := range triggers {
			machine := machineAt(t, state)
			assert.NilError(t, machine.Fire(trigger), "%s in state %s", trigger, state)
		}
	}
}

// pathTo are the triggers that lead from the first state to another one.
var pathTo = map[callState][]callTrigger{
	stateBegin:    nil,
	stateDispatch: {triggerNew},
	stateRun:      {triggerSend},
	stateAttach:   {triggerFollow},
	stateCommit:   {triggerSend, triggerAnswered},
	stateFail:     {triggerSend, triggerGiveUp},
	stateAbandon:  {triggerSend, triggerAbandon},
}

func machineAt(t *testing.T, state callState) interface{ Fire(any, ...any) error } {
	t.Helper()
	machine := newCallMachine()
	for _, trigger := range pathTo[state] {
		assert.NilError(t, machine.Fire(trigger))
	}
	assert.Equal(t, machine.MustState(), any(state))
	return machine
}
