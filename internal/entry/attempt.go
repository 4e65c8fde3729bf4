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
	// streamIdleTimeout is the time without any event from a sidecar after which
	// the stream counts as lost. Sidecars send a heartbeat every second.
	streamIdleTimeout = 4 * time.Second
	// maxAttachAttempts and attachRetryInterval limit how long an entry tries to
	// attach to a running attempt whose sidecar does not respond.
	maxAttachAttempts   = 6
	attachRetryInterval = 500 * time.Millisecond
)

// errOutputDiverged means that the output of a new attempt differs from the output
// that the caller has already received.
var errOutputDiverged = errors.New("entry: output differs from what the caller has received")

// execute sends the attempt to its sidecar, or attaches to the running attempt if
// attachOnly is set, and streams the output to the caller.
func (c *call) execute(ctx context.Context, attachOnly bool) callTrigger {
	if !attachOnly && c.isQuarantined() {
		c.fencedAttempt = c.attempt // not sent, and only this entry may send it
		return c.giveUp(quarantinedFailure())
	}
	if !attachOnly && hasEnded(ctx) {
		c.fencedAttempt = c.attempt // as above
		return c.giveUp(c.deadlineFailure())
	}
	stream, err := c.entry.pool.Open(ctx, c.target.Sidecar, transport.MethodRun)
	if err != nil {
		return c.handleConnectFailure(ctx, attachOnly, err)
	}
	c.stream = stream
	c.sentAttempt = !attachOnly
	member := c.entry.members.snapshot.Load().members[c.target.Server]
	if member != nil {
		member.inFlight.Begin()
		defer member.inFlight.End()
	}
	if err := stream.Send(c.runRequest(attachOnly)); err != nil {
		return c.handleConnectionLoss(ctx, err)
	}
	return c.readEvents(ctx, stream)
}

// handleConnectFailure handles an error of opening a stream to the sidecar. An attempt
// that could not be sent is proven never to start, because no other entry may send it.
func (c *call) handleConnectFailure(ctx context.Context, attachOnly bool, err error) callTrigger {
	if attachOnly || !errors.Is(err, transport.ErrUnreachable) {
		return c.handleConnectionLoss(ctx, err)
	}
	c.fencedAttempt = c.attempt
	return c.retryOrGiveUp(ctx, retry.Failure{Kind: retry.KindConnect, NotRun: true, Err: c.connectionFailure(err)}, c.target.Server)
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
		MaxOutputTokens:     c.req.MaxOutputTokens,
		Priority:            c.record.Priority,
		TimeoutMs:           max(1, time.Until(c.req.Deadline).Milliseconds()),
		HistoryDigest:       c.record.HistoryDigest,
		HistoryTurns:        c.record.HistoryTurns,
		History:             c.history,
		HasHistory:          c.hasHistory,
		Offset:              c.attachOffset(attachOnly),
		AttachOnly:          attachOnly,
		Fingerprint:         c.contentFingerprint[:],
		Repeatable:          c.record.Repeatable,
		AttainedTokens:      c.record.AttainedTokens,
		EngineSharePermille: c.record.EngineSharePermille,
		Alone:               c.mustRunAlone(),
		Fence:               c.fencingToken,
	}
}

// attachOffset returns the offset of the first byte of output to receive. A new attempt
// is read from the start, so that its output can be compared with the text that was
// already delivered.
func (c *call) attachOffset(attachOnly bool) uint64 {
	if attachOnly {
		return uint64(len(c.delivered))
	}
	return 0
}

// readEvents handles the events of a run until the run or the stream ends.
func (c *call) readEvents(ctx context.Context, stream *transport.Stream) callTrigger {
	received := uint64(0)
	first := true
	for {
		if err := stream.SetReadDeadline(c.eventDeadline(ctx)); err != nil {
			return c.handleConnectionLoss(ctx, err)
		}
		event := new(rpcpb.RunEvent)
		if err := stream.Recv(event); err != nil {
			return c.handleConnectionLoss(ctx, err)
		}
		c.attachAttempts = 0
		switch e := event.Event.(type) {
		case *rpcpb.RunEvent_Chunk:
			if first {
				received, first = e.Chunk.Offset, false
			}
			if e.Chunk.Offset != received {
				return c.handleConnectionLoss(ctx, fmt.Errorf("entry: chunk at byte %d, expected %d", e.Chunk.Offset, received))
			}
			if err := c.acceptChunk(e.Chunk); err != nil {
				return c.handleDivergence(ctx)
			}
			received += uint64(len(e.Chunk.Text))
		case *rpcpb.RunEvent_End:
			return c.handleEnd(ctx, e.End)
		case *rpcpb.RunEvent_Refused:
			return c.handleRefusal(ctx, e.Refused)
		}
	}
}

// eventDeadline returns the time by which the next event must arrive.
func (c *call) eventDeadline(ctx context.Context) time.Time {
	idleDeadline := time.Now().Add(streamIdleTimeout)
	if deadline, ok := ctx.Deadline(); ok && deadline.Before(idleDeadline) {
		return deadline
	}
	return idleDeadline
}

// acceptChunk delivers the part of a chunk that the caller has not received. It returns
// errOutputDiverged if the other part differs from what the caller has received.
func (c *call) acceptChunk(chunk *rpcpb.RunChunk) error {
	deliveredLength := uint64(len(c.delivered))
	if chunk.Offset >= deliveredLength {
		c.deliverText(chunk.Text)
		return nil
	}
	overlap := min(deliveredLength-chunk.Offset, uint64(len(chunk.Text)))
	if !bytes.Equal(c.delivered[chunk.Offset:chunk.Offset+overlap], chunk.Text[:overlap]) {
		return errOutputDiverged
	}
	c.deliverText(chunk.Text[overlap:])
	return nil
}

// handleDivergence ends this request with reasonAnswerReplaced. The sidecar finishes the
// new attempt and commits its answer; the caller gets that answer by repeating the
// request with the same call ID.
func (c *call) handleDivergence(context.Context) callTrigger {
	c.failure = &Failure{
		Status:  statusConflict,
		Reason:  reasonAnswerReplaced,
		Message: errOutputDiverged.Error() + "; ask for the answer with the same call ID",
	}
	return triggerAbandon
}

// handleEnd validates the answer at the end of a run and keeps it for the commit.
func (c *call) handleEnd(ctx context.Context, end *rpcpb.RunEnd) callTrigger {
	if err := c.validateEnd(end); err != nil {
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

// validateEnd checks that the answer belongs to this attempt, that its digest matches
// and that it is complete.
func (c *call) validateEnd(end *rpcpb.RunEnd) error {
	if end.GetEcho().GetCall() != c.req.Key.Call || end.GetEcho().GetAttempt() != c.attempt {
		return fmt.Errorf("entry: answer is for call %q attempt %d, expected call %q attempt %d", end.GetEcho().GetCall(), end.GetEcho().GetAttempt(), c.req.Key.Call, c.attempt)
	}
	digest := sha256.Sum256(end.GetAnswer().GetBody())
	if !bytes.Equal(digest[:], end.GetAnswer().GetDigest()) {
		return errors.New("entry: digest of the answer does not match its body")
	}
	text, err := answerText(c.req.Kind, end.Answer)
	if err != nil {
		return err
	}
	if uint64(len(text)) != end.Length || len(text) < len(c.delivered) {
		return fmt.Errorf("entry: answer has %d bytes, announced were %d and delivered %d", len(text), end.Length, len(c.delivered))
	}
	return nil
}

// handleRefusal handles an attempt that the sidecar refused to run or that failed.
func (c *call) handleRefusal(ctx context.Context, r *rpcpb.RunRefused) callTrigger {
	c.closeStream()
	c.log.Debug("attempt refused", telemetry.KeyAttempt, c.attempt, telemetry.KeyServer, c.target.Server, "reason", r.Reason.String(), "detail", r.Detail)
	if c.attemptNeverReceived(r) {
		r.NotRun = true
	}
	if r.NotRun {
		c.fencedAttempt = c.attempt
	}
	switch r.Reason {
	case rpcpb.RunRefusal_RUN_REFUSAL_NEED_HISTORY:
		return c.loadHistory(ctx)
	case rpcpb.RunRefusal_RUN_REFUSAL_FENCED:
		if c.reloadedAttempt != c.attempt {
			c.reloadedAttempt = c.attempt
			return c.reload(ctx)
		}
	case rpcpb.RunRefusal_RUN_REFUSAL_SERVER_DIED:
		c.suspected = true
	case rpcpb.RunRefusal_RUN_REFUSAL_QUARANTINED:
		c.entry.quarantines.add(c.contentFingerprint, time.Now())
	}
	failure := retry.Failure{
		Kind:       retryKind(r),
		Status:     int(r.Status),
		NotRun:     r.NotRun,
		RetryAfter: time.Duration(r.RetryAfterMs) * time.Millisecond,
		Err:        c.runRefusalFailure(r),
	}
	return c.retryOrGiveUp(ctx, failure, c.target.Server)
}

// attemptNeverReceived reports whether the sidecar refused the attempt because the
// sidecar has restarted. An attempt is sent only once, so the earlier process never
// received it. A refusal to attach proves nothing: the earlier process may have run
// the attempt.
func (c *call) attemptNeverReceived(r *rpcpb.RunRefused) bool {
	return c.sentAttempt && r.Reason == rpcpb.RunRefusal_RUN_REFUSAL_OTHER_INCARNATION
}

var retryKindByRefusal = map[rpcpb.RunRefusal]retry.Kind{
	rpcpb.RunRefusal_RUN_REFUSAL_LEAVING:             retry.KindLeaving,
	rpcpb.RunRefusal_RUN_REFUSAL_FENCED:              retry.KindConnect, // no other entry has taken over the call
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

func retryKind(r *rpcpb.RunRefused) retry.Kind {
	if kind, ok := retryKindByRefusal[r.Reason]; ok {
		return kind
	}
	return retry.KindUnknown
}

// failureByRunRefusal maps a sidecar's refusal to the failure that the caller gets if
// there is no further attempt. Other refusals are a backend error.
var failureByRunRefusal = map[rpcpb.RunRefusal]Failure{
	rpcpb.RunRefusal_RUN_REFUSAL_FULL:                {Status: statusTooManyRequests, Reason: reasonOverloaded},
	rpcpb.RunRefusal_RUN_REFUSAL_NOT_ADMITTED:        {Status: statusTooManyRequests, Reason: reasonOverloaded},
	rpcpb.RunRefusal_RUN_REFUSAL_SHED:                {Status: statusTooManyRequests, Reason: reasonOverloaded},
	rpcpb.RunRefusal_RUN_REFUSAL_LEAVING:             {Status: statusUnavailable, Reason: reasonNoServer, RetryAfter: time.Second},
	rpcpb.RunRefusal_RUN_REFUSAL_SERVER_DOWN:         {Status: statusUnavailable, Reason: reasonNoServer, RetryAfter: time.Second},
	rpcpb.RunRefusal_RUN_REFUSAL_STALE_CONFIGURATION: {Status: statusUnavailable, Reason: reasonStaleConfiguration, RetryAfter: time.Second},
	rpcpb.RunRefusal_RUN_REFUSAL_UNKNOWN_ATTEMPT:     {Status: statusUnavailable, Reason: reasonNoServer, RetryAfter: time.Second},
	rpcpb.RunRefusal_RUN_REFUSAL_TIMEOUT:             {Status: statusTimeout, Reason: reasonDeadlineExceeded},
}

// runRefusalFailure returns the failure that the caller gets for a sidecar's refusal if
// there is no further attempt.
func (c *call) runRefusalFailure(r *rpcpb.RunRefused) *Failure {
	if r.Reason == rpcpb.RunRefusal_RUN_REFUSAL_QUARANTINED {
		return quarantinedFailure()
	}
	f, ok := failureByRunRefusal[r.Reason]
	if !ok {
		f = Failure{Status: statusBadGateway, Reason: reasonServerError}
	}
	if r.Status >= statusBadRequest {
		f.Status = int(r.Status)
		f.backendStatus = int(r.Status)
	}
	f.Message = r.Detail
	if r.RetryAfterMs > 0 {
		f.RetryAfter = time.Duration(r.RetryAfterMs) * time.Millisecond
	}
	return &f
}

// loadHistory reads the program's earlier messages for a sidecar that does not have
// them, and sends the same attempt again. The sidecar has not started the attempt.
func (c *call) loadHistory(ctx context.Context) callTrigger {
	resp, err := c.entry.shards.History(ctx, c.req.Key.Customer, c.req.Key.Program, 0)
	if err != nil {
		return c.abandonWith(c.controlFailure(err))
	}
	c.history, err = joinHistory(resp.Items)
	if err != nil {
		return c.abandonWith(&Failure{Status: statusInternal, Reason: reasonInternal, Message: err.Error()})
	}
	c.hasHistory = true
	return triggerSend
}

// joinHistory returns the input messages and answers of all turns as one JSON array.
func joinHistory(items []*shardpb.HistoryItem) ([]byte, error) {
	var messages []json.RawMessage
	for _, item := range items {
		var input []json.RawMessage
		if err := json.Unmarshal(item.Input, &input); err != nil {
			return nil, fmt.Errorf("entry: decode history of turn %d: %w", item.Turn, err)
		}
		messages = append(messages, input...)
		messages = append(messages, json.RawMessage(item.Answer))
	}
	return json.Marshal(messages)
}

// handleConnectionLoss handles a stream that failed when the sidecar may already have
// received the attempt. The entry attaches to the attempt on a new connection, up to
// maxAttachAttempts times. A stream that reached the deadline of its call says nothing
// about the connection, which carries the streams of other calls.
func (c *call) handleConnectionLoss(ctx context.Context, err error) callTrigger {
	c.closeStream()
	c.log.Debug("run interrupted", telemetry.KeyAttempt, c.attempt, telemetry.KeyServer, c.target.Server, telemetry.KeyError, err)
	c.attachAttempts++
	if c.attachAttempts <= maxAttachAttempts && !hasEnded(ctx) {
		c.entry.metrics.Retries.WithLabelValues("attach").Inc()
		c.entry.pool.CloseSession(c.target.Sidecar)
		if c.attachAttempts > 1 && !loop.Sleep(ctx, attachRetryInterval) {
			return c.giveUp(c.deadlineFailure())
		}
		return triggerFollow
	}
	return c.retryOrGiveUp(ctx, retry.Failure{Kind: retry.KindConnectionLost, Err: c.connectionFailure(err)}, c.target.Server)
}

// hasEnded reports whether ctx has ended or its deadline has passed. A stream with the same
// deadline may fail before the context ends.
func hasEnded(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && !time.Now().Before(deadline)
}

func (c *call) connectionFailure(err error) *Failure {
	return &Failure{Status: statusBadGateway, Reason: reasonServerError, Message: err.Error()}
}

// retryOrGiveUp decides whether a failed attempt is retried, and waits for the retry
// delay. The next attempt excludes server if the failure is specific to it.
func (c *call) retryOrGiveUp(ctx context.Context, f retry.Failure, server string) callTrigger {
	state := retry.Call{
		Started:        c.start,
		Deadline:       c.entry.members.now() + time.Until(c.req.Deadline),
		Retries:        c.retries,
		UnknownRetries: c.unknownRetries,
		Repeatable:     c.record.Repeatable,
		OutputReleased: len(c.delivered) > 0,
		CanResume:      true, // new output is compared with the delivered text
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
		c.excludedServers = append(c.excludedServers, server)
	}
	c.attachAttempts = 0
	if !loop.Sleep(ctx, decision.Delay) {
		return c.giveUp(c.deadlineFailure())
	}
	return triggerRetry
}

// finalFailure returns the failure of the last attempt. Its reason becomes
// reasonOutcomeUnknown if the call may have run and must not be repeated.
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

// giveUp ends the call with a failure, which is recorded before the caller gets it.
func (c *call) giveUp(f *Failure) callTrigger {
	f.NotRun = c.provenNotRun()
	c.failure = f
	return triggerGiveUp
}

// provenNotRun reports whether the newest attempt is proven not to have run and never
// to run. The shard knows which earlier attempts may have run.
func (c *call) provenNotRun() bool {
	return c.fencedAttempt == c.attempt
}

// abandonWith ends this request with a failure but leaves the call open. A later request
// with the same call ID continues it.
func (c *call) abandonWith(f *Failure) callTrigger {
	c.failure = f
	return triggerAbandon
}
