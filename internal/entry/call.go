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

// call is one call in progress at this entry.
//
// Invariants: an attempt is sent at most once, by the entry whose Dispatch (or
// Begin with a target) was recorded first; everybody else only attaches to it.
// fenced is set only for an attempt that is proven never to start.
type call struct {
	entry *Entry
	req   *Request
	out   output
	log   hclog.Logger
	start time.Duration // on the time scale of the membership

	record   *shardpb.BeginResult
	attempt  uint64 // newest attempt that this entry knows
	target   *shardpb.Target
	fence    uint64 // fencing number of the attempt
	fenced   uint64
	sender   bool     // the newest request to the sidecar was the attempt itself, not an attach
	reloaded uint64   // attempt after whose refusal the record was read again
	excluded []string // servers on which this call failed
	history  []byte   // JSON array of earlier messages, once the sidecar asked for it
	hasText  bool     // history is set

	released []byte // text that the caller has seen
	answer   *shardpb.Answer
	stream   *transport.Stream // of an answer that is not acknowledged yet

	content        quarantine.Fingerprint // of the whole prompt
	suspect        bool                   // a backend server died while the call ran
	noServerSince  time.Duration          // since when no server is available, 0: one is
	retries        int
	unknownRetries int
	attachTries    int
	failure        *Failure
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

// run takes the call through its states until the caller has its answer or its
// final error.
func (c *call) run(ctx context.Context) {
	steps := map[callState]func(context.Context) callTrigger{
		stateBegin:    c.begin,
		stateDispatch: c.dispatch,
		stateRun:      func(ctx context.Context) callTrigger { return c.execute(ctx, false) },
		stateAttach:   func(ctx context.Context) callTrigger { return c.execute(ctx, true) },
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
		if err := machine.Fire(steps[state](ctx)); err != nil {
			c.log.Error("call lifecycle", "state", state, telemetry.KeyError, err)
			c.deliverFailure(&Failure{Status: statusInternal, Reason: reasonInternal, Message: err.Error()})
			return
		}
	}
}

// begin records the call, or finds the record of an earlier request with its
// call ID.
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
		MaxOutputTokens:   c.req.MaxTokens,
		NewInputTokensMax: c.req.InputTokens,
		DeadlineMs:        c.req.Deadline.UnixMilli(),
		Target:            c.firstTarget(),
		ParentProgram:     c.req.Parent,
	}}}
	result, err := c.entry.shards.Propose(ctx, c.req.Key.Customer, cmd, time.Until(c.req.Deadline))
	if err != nil {
		return c.deliverFailure(c.controlFailure(err))
	}
	if result.Refusal != nil {
		return c.deliverFailure(refusalFailure(result.Refusal))
	}
	return c.adopt(result.GetBegin())
}

// adopt continues from what the shard has recorded.
func (c *call) adopt(record *shardpb.BeginResult) callTrigger {
	c.record = record
	c.content = quarantine.ComputeFingerprint(c.offer(), record.HistoryDigest, c.req.Content)
	c.attempt = record.Attempt
	c.target = record.Target
	c.fence = record.Fence
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
		c.fenced = record.Attempt // a call that is begun only was never run
		return triggerNew
	}
}

// firstTarget chooses a server by what this entry remembers of the program, so
// that one command records call and attempt. It returns nil when no server is
// available: the call is recorded all the same.
func (c *call) firstTarget() *shardpb.Target {
	if c.record != nil {
		return nil
	}
	last := c.entry.places.get(c.programName())
	target, err := c.choose(place.Request{
		Program:      c.programName(),
		PromptTokens: last.tokens + int64(c.req.InputTokens),
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

func (c *call) offer() string {
	if c.req.Kind == shardpb.CallKind_CALL_KIND_SERVICE {
		return serviceOffer(c.req.Service)
	}
	return modelOffer(c.req.Model)
}

// choose returns the server for the next attempt.
func (c *call) choose(req place.Request) (*shardpb.Target, error) {
	snapshot := c.entry.members.cell.Load()
	view := snapshot.offers[c.offer()]
	if view == nil {
		return nil, place.ErrNoServers
	}
	req.Exclude = c.excluded
	decision, err := place.Choose(view, req, rand.Uint64(), c.entry.members.now())
	if errors.Is(err, place.ErrAllExcluded) {
		c.excluded = nil
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

// dispatch chooses a server and records the next attempt before it is sent.
func (c *call) dispatch(ctx context.Context) callTrigger {
	if c.quarantined() {
		return c.giveUp(quarantinedFailure())
	}
	target, err := c.choose(c.placeRequest())
	if err != nil {
		return c.awaitServer(ctx, err)
	}
	cmd := &shardpb.Command{Op: &shardpb.Command_Dispatch{Dispatch: &shardpb.Dispatch{
		Key:           c.req.Key,
		Epoch:         c.record.Epoch,
		Attempt:       c.attempt + 1,
		Target:        target,
		FencedAttempt: c.fenced,
	}}}
	result, err := c.entry.shards.Propose(ctx, c.req.Key.Customer, cmd, 0)
	if err != nil {
		return c.deliverFailure(c.controlFailure(err))
	}
	if result.Refusal != nil {
		c.log.Debug("dispatch refused", "reason", result.Refusal.Reason.String())
		return c.reload(ctx)
	}
	c.noServerSince = 0
	c.attempt++
	c.target = target
	c.fence = result.GetDispatch().Fence
	return triggerSend
}

const (
	// noServerPatience is how long a call waits for a server to announce itself
	// before its caller is told to come back.
	noServerPatience = 5 * time.Second
	noServerPause    = 250 * time.Millisecond
)

// awaitServer handles a call for which no server is available.
func (c *call) awaitServer(ctx context.Context, err error) callTrigger {
	if c.noServerSince == 0 {
		c.noServerSince = c.entry.members.now()
	}
	if c.entry.members.now()-c.noServerSince >= noServerPatience {
		return c.giveUp(c.noServer(err))
	}
	c.entry.metrics.Retries.WithLabelValues("no_server").Inc()
	if !loop.Sleep(ctx, noServerPause) {
		return c.giveUp(c.deadlineFailure())
	}
	return triggerRetry
}

func (c *call) placeRequest() place.Request {
	req := place.Request{
		Program:      c.programName(),
		PromptTokens: int64(c.record.HistoryTokens + c.req.InputTokens),
		Alone:        c.mustRunAlone(),
	}
	if last := c.record.LastTarget; last != nil && c.record.HistoryTokens > 0 {
		req.CachedOn = last.Server
		req.CachedTokens = int64(c.record.HistoryTokens)
	}
	return req
}

// mustRunAlone reports whether the call is suspected of crashing servers, by what
// this entry saw or by the configuration, which lags.
func (c *call) mustRunAlone() bool {
	return c.suspect || c.entry.members.holder.View().Suspected(c.content[:])
}

func (c *call) quarantined() bool {
	return c.entry.members.holder.View().Quarantined(c.content[:]) ||
		c.entry.recent.has(c.content, time.Now())
}

func quarantinedFailure() *Failure {
	return &Failure{
		Status:  statusUnprocessable,
		Reason:  reasonQuarantined,
		Message: "backend servers died while this request ran; it is not run any more",
	}
}

const reloadPause = 50 * time.Millisecond

// reload reads the record again after someone else changed it.
func (c *call) reload(ctx context.Context) callTrigger {
	if !loop.Sleep(ctx, reloadPause) {
		return c.deliverFailure(c.deadlineFailure())
	}
	return triggerReload
}

// commit makes the answer durable, tells the sidecar, and then gives the caller
// the final event.
func (c *call) commit(ctx context.Context) callTrigger {
	defer c.closeStream()
	cmd := &shardpb.Command{Op: &shardpb.Command_Commit{Commit: &shardpb.Commit{
		Key:     c.req.Key,
		Epoch:   c.record.Epoch,
		Attempt: c.attempt,
		Answer:  c.answer,
	}}}
	result, err := c.entry.shards.Propose(ctx, c.req.Key.Customer, cmd, 0)
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

// fail makes the final failure durable. What the shard has recorded wins, for
// example an answer that the sidecar committed in the meantime.
func (c *call) fail(ctx context.Context) callTrigger {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), failTimeout)
	defer cancel()
	cmd := &shardpb.Command{Op: &shardpb.Command_Fail{Fail: &shardpb.Fail{
		Key:     c.req.Key,
		Epoch:   c.record.Epoch,
		Attempt: c.attempt,
		Failure: &shardpb.Failure{
			Reason: c.failure.Reason,
			Detail: c.failure.Message,
			NotRun: c.failure.NotRun,
			Status: int32(c.failure.serverStatus),
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

// abandon ends this request; the call goes on at its sidecar or waits for the
// caller to ask again.
func (c *call) abandon(context.Context) callTrigger {
	return c.deliverFailure(c.failure)
}

const failTimeout = 5 * time.Second

func (c *call) deliverFailure(f *Failure) callTrigger {
	c.closeStream()
	c.entry.metrics.Refusals.WithLabelValues(f.Reason).Inc()
	c.entry.metrics.Calls.WithLabelValues(kindName(c.req.Kind), "failed").Inc()
	c.log.Info("call failed", telemetry.KeyAttempt, c.attempt, "reason", f.Reason, "not_run", f.NotRun, telemetry.KeyError, f.Message)
	c.out.fail(f)
	return triggerDelivered
}

// deliverAnswer ends the output. Text that the caller has seen must be the
// beginning of the recorded answer; otherwise the caller is told to ask again.
func (c *call) deliverAnswer(answer *shardpb.Answer) callTrigger {
	text, err := answerText(c.req.Kind, answer)
	if err != nil {
		return c.deliverFailure(&Failure{Status: statusInternal, Reason: reasonInternal, Message: err.Error()})
	}
	if !bytes.HasPrefix(text, c.released) {
		return c.deliverFailure(&Failure{
			Status:  statusConflict,
			Reason:  reasonAnswerReplaced,
			Message: "the answer was made again after a failure; ask for it with the same call ID",
		})
	}
	c.release(text[len(c.released):])
	c.remember(answer.GetUsage())
	c.entry.metrics.Calls.WithLabelValues(kindName(c.req.Kind), "answered").Inc()
	c.entry.metrics.CallSeconds.WithLabelValues(kindName(c.req.Kind)).Observe((c.entry.members.now() - c.start).Seconds())
	c.log.Info("call answered", telemetry.KeyAttempt, c.attempt, telemetry.KeyServer, c.target.GetServer(), "bytes", len(text))
	c.out.end(&ending{call: c.req.Key.Call, attempt: c.attempt, turn: c.record.GetTurn(), answer: answer, text: text})
	return triggerDelivered
}

// remember keeps where the program's prefix is, and counts what of it had to be
// computed again.
func (c *call) remember(usage *shardpb.Usage) {
	if c.req.Kind != shardpb.CallKind_CALL_KIND_MODEL || c.target == nil {
		return
	}
	if history := c.record.GetHistoryTokens(); history > usage.GetCachedTokens() {
		c.entry.metrics.WastedTokens.Add(float64(history - usage.GetCachedTokens()))
	}
	tokens := int64(usage.GetPromptTokens() + usage.GetCompletionTokens())
	c.entry.places.set(c.programName(), programPlace{server: c.target.Server, tokens: tokens})
}

// release passes text on to the caller.
func (c *call) release(text []byte) {
	if len(text) == 0 {
		return
	}
	if len(c.released) == 0 && c.req.Kind == shardpb.CallKind_CALL_KIND_MODEL {
		c.entry.metrics.FirstSeconds.Observe((c.entry.members.now() - c.start).Seconds())
	}
	c.released = append(c.released, text...)
	c.out.text(text)
}

func (c *call) closeStream() {
	if c.stream != nil {
		c.stream.Close()
		c.stream = nil
	}
}

func (c *call) noServer(err error) *Failure {
	return &Failure{
		Status:     statusUnavailable,
		Reason:     reasonNoServer,
		Message:    err.Error(),
		NotRun:     c.neverStarted(),
		RetryAfter: time.Second,
	}
}

// controlFailure is the failure of a call whose shard does not answer. It never
// says "not run": an earlier request with the same call ID may have been run.
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

func kindName(k shardpb.CallKind) string {
	if k == shardpb.CallKind_CALL_KIND_SERVICE {
		return "service"
	}
	return "model"
}
