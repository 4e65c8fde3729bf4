package sidecar

import (
	"github.com/hashicorp/go-hclog"
	"github.com/qmuntal/stateless"
)

// lifecycleState is the state of a sidecar. New attempts are accepted in stateReady only.
type lifecycleState string

const (
	stateReady   lifecycleState = "ready"
	stateLeaving lifecycleState = "leaving"
	stateDrained lifecycleState = "drained"
)

// lifecycleTrigger is an event that can change the state.
type lifecycleTrigger string

const (
	triggerLeave   lifecycleTrigger = "leave"   // SIGTERM or a planned stop
	triggerReturn  lifecycleTrigger = "return"  // the planned stop was lifted
	triggerDrained lifecycleTrigger = "drained" // nothing runs any more
)

// lifecycle is the state machine of a sidecar. It is safe for concurrent use.
type lifecycle struct {
	log     hclog.Logger
	machine *stateless.StateMachine
}

func newLifecycle(log hclog.Logger) *lifecycle {
	m := stateless.NewStateMachine(stateReady)
	m.Configure(stateReady).
		Permit(triggerLeave, stateLeaving).
		Ignore(triggerReturn)
	m.Configure(stateLeaving).
		Permit(triggerReturn, stateReady).
		Permit(triggerDrained, stateDrained).
		Ignore(triggerLeave)
	m.Configure(stateDrained).
		Ignore(triggerLeave).
		Ignore(triggerDrained).
		Ignore(triggerReturn)
	return &lifecycle{log: log, machine: m}
}

func (l *lifecycle) state() lifecycleState {
	return l.machine.MustState().(lifecycleState)
}

// fire applies a trigger. A transition that is not permitted is logged as an error.
func (l *lifecycle) fire(t lifecycleTrigger) {
	before := l.state()
	if err := l.machine.Fire(t); err != nil {
		l.log.Error("lifecycle transition refused", "state", before, "trigger", t, "error", err)
		return
	}
	if after := l.state(); after != before {
		l.log.Info("lifecycle changed", "from", before, "to", after)
	}
}
