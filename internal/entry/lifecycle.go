package entry

import "github.com/qmuntal/stateless"

// callState is a state of a call at an entry. Each state but stateDone is a step that
// returns the next trigger.
type callState string

const (
	stateBegin    callState = "begin"    // record the call, or read its existing record
	stateDispatch callState = "dispatch" // choose a server and record the attempt
	stateRun      callState = "run"      // send the attempt and stream its output
	stateAttach   callState = "attach"   // attach to an attempt that was sent before and stream its output
	stateCommit   callState = "commit"   // make the answer durable
	stateFail     callState = "fail"     // make the final failure durable
	stateAbandon  callState = "abandon"  // end this request and leave the call to a later request
	stateDone     callState = "done"     // the caller has its answer or final error
)

// callTrigger is the outcome of a step, which selects the next state.
type callTrigger string

const (
	triggerNew       callTrigger = "new"       // no attempt is recorded
	triggerSend      callTrigger = "send"      // an attempt is recorded and this entry may send it
	triggerFollow    callTrigger = "follow"    // an attempt may be running
	triggerRetry     callTrigger = "retry"     // the attempt ended without an answer; another one is allowed
	triggerReload    callTrigger = "reload"    // another process changed the record: read it again
	triggerAnswered  callTrigger = "answered"  // the backend server answered
	triggerGiveUp    callTrigger = "give_up"   // there will be no further attempt
	triggerAbandon   callTrigger = "abandon"   // the call goes on without this request
	triggerDelivered callTrigger = "delivered" // the caller has its answer or final error
)

// newCallMachine returns the state machine of a call.
func newCallMachine() *stateless.StateMachine {
	m := stateless.NewStateMachine(stateBegin)
	m.Configure(stateBegin).
		Permit(triggerNew, stateDispatch).
		Permit(triggerSend, stateRun).
		Permit(triggerFollow, stateAttach).
		Permit(triggerDelivered, stateDone)
	m.Configure(stateDispatch).
		Permit(triggerSend, stateRun).
		PermitReentry(triggerRetry).
		Permit(triggerGiveUp, stateFail).
		Permit(triggerReload, stateBegin).
		Permit(triggerDelivered, stateDone)
	m.Configure(stateRun).
		Permit(triggerAnswered, stateCommit).
		Permit(triggerFollow, stateAttach).
		Permit(triggerRetry, stateDispatch).
		Permit(triggerReload, stateBegin).
		Permit(triggerGiveUp, stateFail).
		Permit(triggerAbandon, stateAbandon).
		Permit(triggerDelivered, stateDone).
		PermitReentry(triggerSend)
	m.Configure(stateAttach).
		Permit(triggerAnswered, stateCommit).
		Permit(triggerRetry, stateDispatch).
		Permit(triggerReload, stateBegin).
		Permit(triggerGiveUp, stateFail).
		Permit(triggerAbandon, stateAbandon).
		Permit(triggerDelivered, stateDone).
		PermitReentry(triggerFollow)
	m.Configure(stateCommit).
		Permit(triggerDelivered, stateDone).
		Permit(triggerReload, stateBegin)
	m.Configure(stateAbandon).
		Permit(triggerDelivered, stateDone)
	m.Configure(stateFail).
		Permit(triggerDelivered, stateDone)
	return m
}
