package entry

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/go-hclog"

	"ibistray.example/ibistray/internal/loop"
	"ibistray.example/ibistray/internal/policy/place"
	"ibistray.example/ibistray/internal/policy/quarantine"
	"ibistray.example/ibistray/internal/telemetry"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/rpcpb"
	"ibistray.example/ibistray/proto/shardpb"
)

// call is a call running at this entry.
//
// Invariants: An attempt is sent at most once, by the entry whose Dispatch command
// (or Begin command with a target) was recorded first; all other requests only attach
// to it. fencedAttempt is set only to an attempt that is proven never to start.
type call struct {
	entry *Entry
	req   *Request
	out   output
	log   hclog.Logger
	start time.Duration // as returned by membership.now

	record          *shardpb.BeginResult
	attempt         uint64 // newest attempt that this entry knows of
	target          *shardpb.Target
	fencingToken    uint64   // fencing token of the attempt
	fencedAttempt   uint64   // newest attempt that is proven never to start
	sentAttempt     bool     // the latest request to the sidecar sent the attempt; false: it attached
	reloadedLate    bool     // the record was reloaded after the deadline
	reloadedAttempt uint64   // attempt for which the record was reloaded after a fencing refusal
	excludedServers []string // IDs of servers on which this call failed
	history         []byte   // JSON array of earlier messages, loaded when the sidecar needs it
	hasHistory      bool     // history is loaded

	delivered []byte // text that the caller has received
	answer    *shardpb.Answer
	stream    *transport.Stream // stream of the running attempt; closed after the answer is acknowledged

	contentFingerprint quarantine.Fingerprint // of the request with its history, for the quarantine
	suspected          bool                   // a backend server crashed while it ran this call
	noServerSince      time.Duration          // time since which no server is available; 0 if one is
	retries            int
	unknownRetries     int
	attachAttempts     int
	failure            *Failure
}

func (e *Entry) newCall(req *Request, out output) *call {
	return &call{
		entry: e,
		req:   req,
		out:   out,
		start: e.members.now(),
		log: e.log.With(
			telemetry.KeyCustomer, req.Key.Customer,
			telemetry.KeyProgram, req.Key.Program,
			telemetry.KeyCall, req.Key.Call,
			telemetry.KeyShard, e.shards.ShardOf(req.Key.Customer),
		),
	}
}

// run executes the steps of the call's state machine until the caller has its answer or
// its final error.
func (c *call) run(ctx context.Context) {
	handlers := map[callState]func(context.Context) callTrigger{
		stateBegin:    c.begin,
		stateDispatch: c.dispatch,
		stateRun:      func(ctx context.Context) callTrigger { return c.execute(ctx, false) },
		stateAttach:   c.attach,
		stateCommit:   c.commit,
		stateFail:     c.fail,
		stateAbandon:  c.abandon,
	}
	machine := newCallMachine()
	for {
		state := machine.MustState().(callState)
		if state == stateDone {
			return
		}
		if err := machine.Fire(handlers[state](ctx)); err != nil {
			c.log.Error("call state machine refused a trigger", "state", state, telemetry.KeyError, err)
			c.deliverFailure(&Failure{Status: statusInternal, Reason: reasonInternal, Message: err.Error()})
			return
		}
	}
}

// begin records the call in the shard, or finds the record of an earlier request with
// the same call ID.
func (c *call) begin(ctx context.Context) callTrigger {
	cmd := &shardpb.Command{Op: &shardpb.Command_Begin{Begin: &shardpb.Begin{
		Key:               c.req.Key,
		KeyHash:           c.req.KeyHash,
		Kind:              c.req.Kind,
		Model:             c.req.Model,
		Service:           c.req.Service,
		Operation:         c.req.Operation,
		Sequence:          c.req.Sequence,
		Fingerprint:       c.req.Fingerprint,
		Body:              c.req.Body,
		MaxOutputTokens:   c.req.MaxOutputTokens,
		NewInputTokensMax: c.req.MaxInputTokens,
		DeadlineMs:        c.req.Deadline.UnixMilli(),
		Target:            c.firstTarget(),
		ParentProgram:     c.req.ParentProgram,
	}}}
	result, err := c.propose(ctx, cmd, max(0, time.Until(c.req.Deadline)))
	if err != nil {
		return c.deliverFailure(c.controlFailure(err))
	}
	if result.Refusal != nil {
		return c.deliverFailure(refusalFailure(result.Refusal))
	}
	return c.resume(result.GetBegin())
}

// resume continues the call from the state that the shard has recorded.
func (c *call) resume(record *shardpb.BeginResult) callTrigger {
	c.record = record
	c.contentFingerprint = quarantine.ComputeFingerprint(c.capability(), record.HistoryDigest, c.req.BackendContent)
	c.attempt = record.Attempt
	c.target = record.Target
	c.fencingToken = record.Fence
	switch record.State {
	case shardpb.CallState_CALL_STATE_FINISHED:
		return c.deliverAnswer(record.Answer)
	case shardpb.CallState_CALL_STATE_FAILED, shardpb.CallState_CALL_STATE_UNKNOWN:
		return c.deliverFailure(recordedFailure(record.State, record.Failure))
	case shardpb.CallState_CALL_STATE_DISPATCHED:
		if record.First {
			return triggerSend
		}
		return triggerFollow
	default:
		c.fencedAttempt = record.Attempt // no attempt of a call in this state was dispatched
		return triggerNew
	}
}

// firstTarget chooses a server from what this entry remembers about the program, so that
// a single command records both the call and its first attempt. It returns nil, so that
// the call is recorded without an attempt, if no server is available or if the record
// is being reloaded.
func (c *call) firstTarget() *shardpb.Target {
	if c.record != nil {
		return nil
	}
	last := c.entry.prefixes.get(c.programName())
	target, err := c.chooseServer(place.Request{
		Program:      c.programName(),
		PromptTokens: last.tokens + int64(c.req.MaxInputTokens),
		CachedOn:     last.server,
		CachedTokens: last.tokens,
	})
	if err != nil {
		return nil
	}
	return target
}

func (c *call) programName() string {
	return c.req.Key.Customer + "/" + c.req.Key.Program
}

// capability names what a server must offer to run the call, see modelCapability.
func (c *call) capability() string {
	if c.req.Kind == shardpb.CallKind_CALL_KIND_SERVICE {
		return serviceCapability(c.req.Service)
	}
	return modelCapability(c.req.Model)
}

// chooseServer chooses the server for the next attempt. If all servers are excluded, it
// clears the exclusions and chooses among all.
func (c *call) chooseServer(req place.Request) (*shardpb.Target, error) {
	snapshot := c.entry.members.snapshot.Load()
	view := snapshot.views[c.capability()]
	if view == nil {
		return nil, place.ErrNoServers
	}
	req.Exclude = c.excludedServers
	decision, err := place.Choose(view, req, rand.Uint64(), c.entry.members.now())
	if errors.Is(err, place.ErrAllExcluded) {
		c.excludedServers = nil
		req.Exclude = nil
		decision, err = place.Choose(view, req, rand.Uint64(), c.entry.members.now())
	}
	if err != nil {
		return nil, err
	}
	announced := snapshot.members[decision.Server.ID].announcement
	return &shardpb.Target{
		Server:      announced.Server,
		Sidecar:     announced.Sidecar,
		Incarnation: announced.Incarnation,
	}, nil
}

// dispatch chooses a server and records the next attempt, which must happen before the
// attempt is sent.
func (c *call) dispatch(ctx context.Context) callTrigger {
	if c.isQuarantined() {
		return c.giveUp(quarantinedFailure())
	}
	target, err := c.chooseServer(c.placementRequest())
	if err != nil {
		return c.waitForServer(ctx, err)
	}
	cmd := &shardpb.Command{Op: &shardpb.Command_Dispatch{Dispatch: &shardpb.Dispatch{
		Key:           c.req.Key,
		Epoch:         c.record.Epoch,
		Attempt:       c.attempt + 1,
		Target:        target,
		FencedAttempt: c.fencedAttempt,
	}}}
	result, err := c.propose(ctx, cmd, 0)
	if err != nil {
		return c.deliverFailure(c.controlFailure(err))
	}
	if result.Refusal != nil {
		c.log.Debug("dispatch refused", "reason", result.Refusal.Reason.String())
		if result.Refusal.Reason == shardpb.Reason_REASON_DEADLINE_EXCEEDED {
			return c.giveUp(c.deadlineFailure())
		}
		return c.reload(ctx)
	}
	c.noServerSince = 0
	c.attempt++
	c.target = target
	c.fencingToken = result.GetDispatch().Fence
	return triggerSend
}

const (
	// noServerTimeout is how long a call waits for an available server before it
	// fails with a hint to retry later.
	noServerTimeout       = 5 * time.Second
	noServerRetryInterval = 250 * time.Millisecond
)

// waitForServer waits before the next choice of a server when none is available, or gives
// up after noServerTimeout.
func (c *call) waitForServer(ctx context.Context, err error) callTrigger {
	if c.noServerSince == 0 {
		c.noServerSince = c.entry.members.now()
	}
	if c.entry.members.now()-c.noServerSince >= noServerTimeout {
		return c.giveUp(c.noServerFailure(err))
	}
	c.entry.metrics.Retries.WithLabelValues("no_server").Inc()
	if !loop.Sleep(ctx, noServerRetryInterval) {
		return c.giveUp(c.deadlineFailure())
	}
	return triggerRetry
}

func (c *call) placementRequest() place.Request {
	req := place.Request{
		Program:      c.programName(),
		PromptTokens: int64(c.record.HistoryTokens + c.req.MaxInputTokens),
		Alone:        c.mustRunAlone(),
	}
	if last := c.record.LastTarget; last != nil && c.record.HistoryTokens > 0 {
		req.CachedOn = last.Server
		req.CachedTokens = int64(c.record.HistoryTokens)
	}
	return req
}

// mustRunAlone reports whether the call is suspected of crashing servers, according to
// this entry's own observation or to the configuration, which arrives with a delay.
func (c *call) mustRunAlone() bool {
	return c.suspected || c.entry.members.configHolder.View().Suspected(c.contentFingerprint[:])
}

// isQuarantined reports whether the request is quarantined, according to the
// configuration or to a recent refusal by a sidecar.
func (c *call) isQuarantined() bool {
	return c.entry.members.configHolder.View().Quarantined(c.contentFingerprint[:]) ||
		c.entry.quarantines.contains(c.contentFingerprint, time.Now())
}

func quarantinedFailure() *Failure {
	return &Failure{
		Status:  statusUnprocessable,
		Reason:  reasonQuarantined,
		Message: "backend servers died while this request ran; it is not run any more",
	}
}

// commit makes the answer durable, acknowledges it to the sidecar, and then delivers it
// to the caller, also when the deadline has passed meanwhile.
func (c *call) commit(ctx context.Context) callTrigger {
	defer c.closeStream()
	cmd := &shardpb.Command{Op: &shardpb.Command_Commit{Commit: &shardpb.Commit{
		Key:     c.req.Key,
		Epoch:   c.record.Epoch,
		Attempt: c.attempt,
		Answer:  c.answer,
	}}}
	result, err := c.propose(ctx, cmd, 0)
	if err != nil {
		return c.deliverFailure(c.controlFailure(err))
	}
	if result.Refusal != nil {
		c.log.Warn("commit refused", "reason", result.Refusal.Reason.String(), "detail", result.Refusal.Detail)
		return c.reload(ctx)
	}
	if c.stream != nil {
		_ = c.stream.Send(&rpcpb.Empty{})
	}
	return c.deliverAnswer(result.GetCommit().Answer)
}

// fail makes the final failure durable and delivers it to the caller. If the shard has
// recorded another outcome, for example an answer that the sidecar committed in the
// meantime, that record stays.
func (c *call) fail(ctx context.Context) callTrigger {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	cmd := &shardpb.Command{Op: &shardpb.Command_Fail{Fail: &shardpb.Fail{
		Key:     c.req.Key,
		Epoch:   c.record.Epoch,
		Attempt: c.attempt,
		Failure: &shardpb.Failure{
			Reason: c.failure.Reason,
			Detail: c.failure.Message,
			NotRun: c.failure.NotRun,
			Status: int32(c.failure.backendStatus),
		},
	}}}
	result, err := c.entry.shards.Propose(ctx, c.req.Key.Customer, cmd, 0)
	if err != nil || result.Refusal != nil {
		c.failure.NotRun = false
		return c.deliverFailure(c.failure)
	}
	recorded := result.GetFail()
	if recorded.State == shardpb.CallState_CALL_STATE_UNKNOWN {
		return c.deliverFailure(recordedFailure(recorded.State, recorded.Failure))
	}
	c.failure.NotRun = recorded.Failure.GetNotRun()
	return c.deliverFailure(c.failure)
}

// abandon ends this request with its failure. The call continues on its sidecar or waits
// for another request with the same call ID.
func (c *call) abandon(context.Context) callTrigger {
	return c.deliverFailure(c.failure)
}

// deliverFailure ends the output with a failure, counts and logs it.
func (c *call) deliverFailure(f *Failure) callTrigger {
	c.closeStream()
	c.entry.metrics.Refusals.WithLabelValues(f.Reason).Inc()
	c.entry.metrics.Calls.WithLabelValues(kindName(c.req.Kind), "failed").Inc()
	c.log.Info("call failed", telemetry.KeyAttempt, c.attempt, "reason", f.Reason, "not_run", f.NotRun, telemetry.KeyError, f.Message)
	c.out.fail(f)
	return triggerDelivered
}

// deliverAnswer completes the output with the recorded answer. If the text that the
// caller has received is not a prefix of that answer, the request fails with
// reasonAnswerReplaced instead.
func (c *call) deliverAnswer(answer *shardpb.Answer) callTrigger {
	text, err := answerText(c.req.Kind, answer)
	if err != nil {
		return c.deliverFailure(&Failure{Status: statusInternal, Reason: reasonInternal, Message: err.Error()})
	}
	if !bytes.HasPrefix(text, c.delivered) {
		return c.deliverFailure(&Failure{
			Status:  statusConflict,
			Reason:  reasonAnswerReplaced,
			Message: "the answer was made again after a failure; ask for it with the same call ID",
		})
	}
	c.deliverText(text[len(c.delivered):])
	c.recordPrefix(answer.GetUsage())
	c.entry.metrics.Calls.WithLabelValues(kindName(c.req.Kind), "answered").Inc()
	c.entry.metrics.CallSeconds.WithLabelValues(kindName(c.req.Kind)).Observe((c.entry.members.now() - c.start).Seconds())
	c.log.Info("call answered", telemetry.KeyAttempt, c.attempt, telemetry.KeyServer, c.target.GetServer(), "bytes", len(text))
	c.out.finish(&finalAnswer{callID: c.req.Key.Call, attempt: c.attempt, turn: c.record.GetTurn(), answer: answer, text: text})
	return triggerDelivered
}

// recordPrefix remembers which server has the program's prefix in its cache, and counts
// the tokens of the history that the server had to recompute.
func (c *call) recordPrefix(usage *shardpb.Usage) {
	if c.req.Kind != shardpb.CallKind_CALL_KIND_MODEL || c.target == nil {
		return
	}
	if history := c.record.GetHistoryTokens(); history > usage.GetCachedTokens() {
		c.entry.metrics.WastedPrefixTokens.Add(float64(history - usage.GetCachedTokens()))
	}
	tokens := int64(usage.GetPromptTokens() + usage.GetCompletionTokens())
	c.entry.prefixes.set(c.programName(), prefixLocation{server: c.target.Server, tokens: tokens})
}

// deliverText sends text to the caller and appends it to delivered.
func (c *call) deliverText(text []byte) {
	if len(text) == 0 {
		return
	}
	if len(c.delivered) == 0 && c.req.Kind == shardpb.CallKind_CALL_KIND_MODEL {
		c.entry.metrics.FirstOutputSeconds.Observe((c.entry.members.now() - c.start).Seconds())
	}
	c.delivered = append(c.delivered, text...)
	c.out.writeText(text)
}

func (c *call) closeStream() {
	if c.stream != nil {
		c.stream.Close()
		c.stream = nil
	}
}

func (c *call) noServerFailure(err error) *Failure {
	return &Failure{
		Status:     statusUnavailable,
		Reason:     reasonNoServer,
		Message:    err.Error(),
		NotRun:     c.provenNotRun(),
		RetryAfter: time.Second,
	}
}

// controlFailure returns the failure of a call whose shard does not respond. It never
// sets NotRun, because an earlier request with the same call ID may have run.
func (c *call) controlFailure(err error) *Failure {
	if time.Now().After(c.req.Deadline) {
		return c.deadlineFailure()
	}
	return &Failure{
		Status:     statusUnavailable,
		Reason:     reasonControlUnavailable,
		Message:    err.Error(),
		RetryAfter: time.Second,
	}
}

func (c *call) deadlineFailure() *Failure {
	return &Failure{Status: statusTimeout, Reason: reasonDeadlineExceeded, Message: "the call's deadline has passed"}
}

// kindName returns the label of a kind of call in metrics.
func kindName(k shardpb.CallKind) string {
	if k == shardpb.CallKind_CALL_KIND_SERVICE {
		return "service"
	}
	return "model"
}
