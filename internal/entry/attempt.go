package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"ibistray.example/ibistray/internal/loop"
	"ibistray.example/ibistray/internal/policy/retry"
	"ibistray.example/ibistray/internal/telemetry"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/rpcpb"
	"ibistray.example/ibistray/proto/shardpb"
)

const (
	// streamIdleLimit is the longest time without an event of a sidecar, which
	// sends a heartbeat each second.
	streamIdleLimit = 4 * time.Second
	// attachTries and attachPause bound how long an entry looks for a running
	// attempt whose sidecar does not answer.
	attachTries = 6
	attachPause = 500 * time.Millisecond
)

// errDiverged says that the output of a new attempt is not the output that the
// caller has seen.
var errDiverged = errors.New("entry: output differs from what the caller has seen")

// execute sends the attempt, or attaches to it, and passes its output on.
func (c *call) execute(ctx context.Context, attachOnly bool) callTrigger {
	if !attachOnly && c.quarantined() {
		c.fenced = c.attempt // nobody else may send it
		return c.giveUp(quarantinedFailure())
	}
	stream, err := c.entry.pool.Open(ctx, c.target.Sidecar, transport.MethodRun)
	if err != nil {
		return c.unreachable(ctx, attachOnly, err)
	}
	c.stream = stream
	c.sender = !attachOnly
	member := c.entry.members.cell.Load().members[c.target.Server]
	if member != nil {
		member.inFlight.Begin()
		defer member.inFlight.End()
	}
	if err := stream.Send(c.runRequest(attachOnly)); err != nil {
		return c.broken(ctx, err)
	}
	return c.follow(ctx, stream)
}

// unreachable handles a sidecar to which no connection could be opened. An
// attempt that was not sent is proven never to start: nobody else may send it.
func (c *call) unreachable(ctx context.Context, attachOnly bool, err error) callTrigger {
	if attachOnly || !errors.Is(err, transport.ErrUnreachable) {
		return c.broken(ctx, err)
	}
	c.fenced = c.attempt
	return c.retryOrGiveUp(ctx, retry.Failure{Kind: retry.KindConnect, NotRun: true, Err: c.lostFailure(err)}, c.target.Server)
}

func (c *call) runRequest(attachOnly bool) *rpcpb.RunRequest {
	return &rpcpb.RunRequest{
		Key:                 c.req.Key,
		Epoch:               c.record.Epoch,
		Attempt:             c.attempt,
		Incarnation:         c.target.Incarnation,
		Kind:                c.req.Kind,
		Model:               c.req.Model,
		Service:             c.req.Service,
		Operation:           c.req.Operation,
		Body:                c.req.Body,
		Parameters:          c.req.Parameters,
		MaxOutputTokens:     c.req.MaxTokens,
		Priority:            c.record.Priority,
		TimeoutMs:           max(1, time.Until(c.req.Deadline).Milliseconds()),
		HistoryDigest:       c.record.HistoryDigest,
		HistoryTurns:        c.record.HistoryTurns,
		History:             c.history,
		HasHistory:          c.hasText,
		Offset:              c.attachOffset(attachOnly),
		AttachOnly:          attachOnly,
		Fingerprint:         c.content[:],
		Repeatable:          c.record.Repeatable,
		AttainedTokens:      c.record.AttainedTokens,
		EngineSharePermille: c.record.EngineSharePermille,
		Alone:               c.mustRunAlone(),
		Fence:               c.fence,
	}
}

// attachOffset is the first byte of output that is wanted. A new attempt is
// read from its beginning, so that it can be compared with what was released.
func (c *call) attachOffset(attachOnly bool) uint64 {
	if attachOnly {
		return uint64(len(c.released))
	}
	return 0
}

// follow reads the events of a run until it ends.
func (c *call) follow(ctx context.Context, stream *transport.Stream) callTrigger {
	received := uint64(0)
	first := true
	for {
		if err := stream.SetReadDeadline(c.eventDeadline(ctx)); err != nil {
			return c.broken(ctx, err)
		}
		event := new(rpcpb.RunEvent)
		if err := stream.Recv(event); err != nil {
			return c.broken(ctx, err)
		}
		c.attachTries = 0
		switch e := event.Event.(type) {
		case *rpcpb.RunEvent_Chunk:
			if first {
				received, first = e.Chunk.Offset, false
			}
			if e.Chunk.Offset != received {
				return c.broken(ctx, fmt.Errorf("entry: chunk at byte %d, expected %d", e.Chunk.Offset, received))
			}
			if err := c.accept(e.Chunk); err != nil {
				return c.diverged(ctx)
			}
			received += uint64(len(e.Chunk.Text))
		case *rpcpb.RunEvent_End:
			return c.ended(ctx, e.End)
		case *rpcpb.RunEvent_Refused:
			return c.refused(ctx, e.Refused)
		}
	}
}

func (c *call) eventDeadline(ctx context.Context) time.Time {
	limit := time.Now().Add(streamIdleLimit)
	if deadline, ok := ctx.Deadline(); ok && deadline.Before(limit) {
		return deadline
	}
	return limit
}

// accept passes on the part of a chunk that the caller has not seen, and checks
// the part that it has.
func (c *call) accept(chunk *rpcpb.RunChunk) error {
	seen := uint64(len(c.released))
	if chunk.Offset >= seen {
		c.release(chunk.Text)
		return nil
	}
	overlap := min(seen-chunk.Offset, uint64(len(chunk.Text)))
	if !bytes.Equal(c.released[chunk.Offset:chunk.Offset+overlap], chunk.Text[:overlap]) {
		return errDiverged
	}
	c.release(chunk.Text[overlap:])
	return nil
}

// diverged leaves the new attempt to the sidecar, which commits its answer, and
// tells the caller to ask for the whole answer.
func (c *call) diverged(context.Context) callTrigger {
	c.failure = &Failure{
		Status:  statusConflict,
		Reason:  reasonAnswerReplaced,
		Message: errDiverged.Error() + "; ask for the answer with the same call ID",
	}
	return triggerAbandon
}

// ended checks that the answer is whole and of this attempt.
func (c *call) ended(ctx context.Context, end *rpcpb.RunEnd) callTrigger {
	if err := c.checkEnd(end); err != nil {
		c.closeStream()
		return c.retryOrGiveUp(ctx, retry.Failure{Kind: retry.KindBadAnswer, Err: &Failure{
			Status:  statusBadGateway,
			Reason:  reasonServerError,
			Message: err.Error(),
		}}, c.target.Server)
	}
	c.answer = end.Answer
	return triggerAnswered
}

func (c *call) checkEnd(end *rpcpb.RunEnd) error {
	if end.GetEcho().GetCall() != c.req.Key.Call || end.GetEcho().GetAttempt() != c.attempt {
		return fmt.Errorf("entry: answer of call %q attempt %d", end.GetEcho().GetCall(), end.GetEcho().GetAttempt())
	}
	digest := sha256.Sum256(end.GetAnswer().GetBody())
	if !bytes.Equal(digest[:], end.GetAnswer().GetDigest()) {
		return errors.New("entry: digest of the answer does not match")
	}
	text, err := answerText(c.req.Kind, end.Answer)
	if err != nil {
		return err
	}
	if uint64(len(text)) != end.Length || len(text) < len(c.released) {
		return fmt.Errorf("entry: answer of %d bytes, announced were %d", len(text), end.Length)
	}
	return nil
}

// refused handles an attempt that the sidecar did not run, or that failed.
func (c *call) refused(ctx context.Context, r *rpcpb.RunRefused) callTrigger {
	c.closeStream()
	c.log.Debug("attempt refused", telemetry.KeyAttempt, c.attempt, telemetry.KeyServer, c.target.Server, "reason", r.Reason.String(), "detail", r.Detail)
	if c.missedIncarnation(r) {
		r.NotRun = true
	}
	if r.NotRun {
		c.fenced = c.attempt
	}
	switch r.Reason {
	case rpcpb.RunRefusal_RUN_REFUSAL_NEED_HISTORY:
		return c.loadHistory(ctx)
	case rpcpb.RunRefusal_RUN_REFUSAL_FENCED:
		if c.reloaded != c.attempt {
			c.reloaded = c.attempt
			return c.reload(ctx)
		}
	case rpcpb.RunRefusal_RUN_REFUSAL_SERVER_DIED:
		c.suspect = true
	case rpcpb.RunRefusal_RUN_REFUSAL_QUARANTINED:
		c.entry.recent.add(c.content, time.Now())
	}
	failure := retry.Failure{
		Kind:       refusalKind(r),
		Status:     int(r.Status),
		NotRun:     r.NotRun,
		RetryAfter: time.Duration(r.RetryAfterMs) * time.Millisecond,
		Err:        c.runFailure(r),
	}
	return c.retryOrGiveUp(ctx, failure, c.target.Server)
}

// missedIncarnation reports whether the attempt itself reached a sidecar that was
// started again. Attempts are sent once, so the former process never got it.
func (c *call) missedIncarnation(r *rpcpb.RunRefused) bool {
	return c.sender && r.Reason == rpcpb.RunRefusal_RUN_REFUSAL_OTHER_INCARNATION
}

var refusalKinds = map[rpcpb.RunRefusal]retry.Kind{
	rpcpb.RunRefusal_RUN_REFUSAL_LEAVING:             retry.KindLeaving,
	rpcpb.RunRefusal_RUN_REFUSAL_FENCED:              retry.KindConnect, // nobody else took the call over
	rpcpb.RunRefusal_RUN_REFUSAL_OTHER_INCARNATION:   retry.KindOtherIncarnation,
	rpcpb.RunRefusal_RUN_REFUSAL_UNKNOWN_ATTEMPT:     retry.KindConnect,
	rpcpb.RunRefusal_RUN_REFUSAL_FULL:                retry.KindQueueFull,
	rpcpb.RunRefusal_RUN_REFUSAL_SERVER_DOWN:         retry.KindServerDown,
	rpcpb.RunRefusal_RUN_REFUSAL_SERVER_DIED:         retry.KindServerDied,
	rpcpb.RunRefusal_RUN_REFUSAL_SERVER_ERROR:        retry.KindStatus,
	rpcpb.RunRefusal_RUN_REFUSAL_TIMEOUT:             retry.KindTimeout,
	rpcpb.RunRefusal_RUN_REFUSAL_CANCELLED:           retry.KindConnectionLost,
	rpcpb.RunRefusal_RUN_REFUSAL_STALE_CONFIGURATION: retry.KindStaleConfiguration,
	rpcpb.RunRefusal_RUN_REFUSAL_BAD_ANSWER:          retry.KindBadAnswer,
	rpcpb.RunRefusal_RUN_REFUSAL_QUARANTINED:         retry.KindQuarantined,
	rpcpb.RunRefusal_RUN_REFUSAL_NOT_ADMITTED:        retry.KindRefused,
	rpcpb.RunRefusal_RUN_REFUSAL_SHED:                retry.KindShed,
}

func refusalKind(r *rpcpb.RunRefused) retry.Kind {
	if kind, ok := refusalKinds[r.Reason]; ok {
		return kind
	}
	return retry.KindUnknown
}

// refusalFailures say how a final refusal of a sidecar is shown to the caller.
var refusalFailures = map[rpcpb.RunRefusal]Failure{
	rpcpb.RunRefusal_RUN_REFUSAL_FULL:                {Status: statusTooManyRequests, Reason: reasonOverloaded},
	rpcpb.RunRefusal_RUN_REFUSAL_NOT_ADMITTED:        {Status: statusTooManyRequests, Reason: reasonOverloaded},
	rpcpb.RunRefusal_RUN_REFUSAL_SHED:                {Status: statusTooManyRequests, Reason: reasonOverloaded},
	rpcpb.RunRefusal_RUN_REFUSAL_LEAVING:             {Status: statusUnavailable, Reason: reasonNoServer, RetryAfter: time.Second},
	rpcpb.RunRefusal_RUN_REFUSAL_SERVER_DOWN:         {Status: statusUnavailable, Reason: reasonNoServer, RetryAfter: time.Second},
	rpcpb.RunRefusal_RUN_REFUSAL_STALE_CONFIGURATION: {Status: statusUnavailable, Reason: reasonStaleConfiguration, RetryAfter: time.Second},
	rpcpb.RunRefusal_RUN_REFUSAL_TIMEOUT:             {Status: statusTimeout, Reason: reasonDeadlineExceeded},
}

// runFailure is what the caller sees when there is no further attempt.
func (c *call) runFailure(r *rpcpb.RunRefused) *Failure {
	if r.Reason == rpcpb.RunRefusal_RUN_REFUSAL_QUARANTINED {
		return quarantinedFailure()
	}
	f, ok := refusalFailures[r.Reason]
	if !ok {
		f = Failure{Status: statusBadGateway, Reason: reasonServerError}
	}
	if r.Status >= statusBadRequest {
		f.Status = int(r.Status)
		f.serverStatus = int(r.Status)
	}
	f.Message = r.Detail
	if r.RetryAfterMs > 0 {
		f.RetryAfter = time.Duration(r.RetryAfterMs) * time.Millisecond
	}
	return &f
}

// loadHistory reads the program's earlier messages, for a sidecar that does not
// know them, and sends the same attempt again: it was not started.
func (c *call) loadHistory(ctx context.Context) callTrigger {
	resp, err := c.entry.shards.History(ctx, c.req.Key.Customer, c.req.Key.Program, 0)
	if err != nil {
		return c.deliverUnfinished(c.controlFailure(err))
	}
	c.history, err = joinHistory(resp.Items)
	if err != nil {
		return c.deliverUnfinished(&Failure{Status: statusInternal, Reason: reasonInternal, Message: err.Error()})
	}
	c.hasText = true
	return triggerSend
}

// joinHistory returns the messages of a history as one JSON array.
func joinHistory(items []*shardpb.HistoryItem) ([]byte, error) {
	var all []json.RawMessage
	for _, item := range items {
		var input []json.RawMessage
		if err := json.Unmarshal(item.Input, &input); err != nil {
			return nil, fmt.Errorf("entry: history of turn %d: %w", item.Turn, err)
		}
		all = append(all, input...)
		all = append(all, json.RawMessage(item.Answer))
	}
	return json.Marshal(all)
}

// broken handles a connection that broke after the attempt may have been
// received: the entry looks for the attempt on a new connection.
func (c *call) broken(ctx context.Context, err error) callTrigger {
	c.closeStream()
	c.log.Debug("run interrupted", telemetry.KeyAttempt, c.attempt, telemetry.KeyServer, c.target.Server, telemetry.KeyError, err)
	c.attachTries++
	if c.attachTries <= attachTries && ctx.Err() == nil {
		c.entry.metrics.Retries.WithLabelValues("attach").Inc()
		c.entry.pool.Reset(c.target.Sidecar)
		if c.attachTries > 1 && !loop.Sleep(ctx, attachPause) {
			return c.giveUp(c.deadlineFailure())
		}
		return triggerFollow
	}
	return c.retryOrGiveUp(ctx, retry.Failure{Kind: retry.KindConnectionLost, Err: c.lostFailure(err)}, c.target.Server)
}

func (c *call) lostFailure(err error) *Failure {
	return &Failure{Status: statusBadGateway, Reason: reasonServerError, Message: err.Error()}
}

// retryOrGiveUp decides on a failed attempt. server is excluded from the next
// one where the failure is the server's.
func (c *call) retryOrGiveUp(ctx context.Context, f retry.Failure, server string) callTrigger {
	state := retry.Call{
		Started:        c.start,
		Deadline:       c.entry.members.now() + time.Until(c.req.Deadline),
		Retries:        c.retries,
		UnknownRetries: c.unknownRetries,
		Repeatable:     c.record.Repeatable,
		OutputReleased: len(c.released) > 0,
		CanResume:      true, // the new output is compared with what was released
		Aborted:        ctx.Err() != nil,
	}
	decision := c.entry.retries.Next(state, f, c.entry.budget, rand.Uint64(), c.entry.members.now())
	if !decision.Retry {
		return c.giveUp(c.finalFailure(f, decision))
	}
	c.entry.metrics.Retries.WithLabelValues(string(decision.Reason)).Inc()
	c.retries++
	if decision.Class == retry.ClassUnknown {
		c.unknownRetries++
	}
	if decision.ExcludeServer && server != "" {
		c.excluded = append(c.excluded, server)
	}
	c.attachTries = 0
	if !loop.Sleep(ctx, decision.Delay) {
		return c.giveUp(c.deadlineFailure())
	}
	return triggerRetry
}

// finalFailure is the original failure. Where the call may have run and must
// not be repeated, the outcome is unknown.
func (c *call) finalFailure(f retry.Failure, decision retry.Decision) *Failure {
	var failure *Failure
	if !errors.As(f.Err, &failure) {
		failure = &Failure{Status: statusBadGateway, Reason: string(decision.Reason), Message: "the attempt failed"}
	}
	if decision.Stop == retry.StopNotRepeatable {
		failure.Reason = reasonOutcomeUnknown
	}
	return failure
}

// giveUp ends the call with a failure that is recorded first.
func (c *call) giveUp(f *Failure) callTrigger {
	f.NotRun = c.neverStarted()
	c.failure = f
	return triggerGiveUp
}

// neverStarted reports whether the newest attempt of the call is proven not to
// have run, and never will. What is known of earlier ones is in the shard.
func (c *call) neverStarted() bool {
	return c.fenced == c.attempt
}

// deliverUnfinished ends this request but not the call, which a later request
// with the same call ID takes up again.
func (c *call) deliverUnfinished(f *Failure) callTrigger {
	c.failure = f
	return triggerAbandon
}
