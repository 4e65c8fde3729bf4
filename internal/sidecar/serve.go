package sidecar

import (
	"context"
	"errors"
	"io"
	"time"

	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/rpcpb"
	"ibistray.example/ibistray/proto/shardpb"
)

const (
	runHeartbeatInterval = time.Second
	requestReadTimeout   = 10 * time.Second
	maxChunkBytes        = 64 << 10
)

// serveRun starts an attempt, or attaches to one that exists, and streams its output. The
// attempt continues if the entry disconnects: an entry that attaches later receives the
// output from the offset that it requests.
func (s *Sidecar) serveRun(ctx context.Context, stream *transport.Stream) error {
	req := new(rpcpb.RunRequest)
	if err := stream.SetReadDeadline(time.Now().Add(requestReadTimeout)); err != nil {
		return err
	}
	if err := stream.Recv(req); err != nil {
		return err
	}
	if req.Key == nil || req.Attempt == 0 {
		return transport.Errorf(rpcpb.Code_CODE_INVALID, "run request without key or attempt")
	}
	admitted := s.admit(req)
	if admitted.refused != nil {
		return s.sendRefusal(stream, admitted.refused)
	}
	if admitted.started {
		admitted.attempt.alone = req.Alone || s.leaseHolder.View().Suspected(req.Fingerprint)
		s.start(admitted.attempt)
	}
	return s.streamOutput(ctx, stream, admitted.attempt, req.Offset)
}

// admit finds the attempt of a request, or creates it if checkStart permits.
func (s *Sidecar) admit(req *rpcpb.RunRequest) admission {
	if req.Incarnation != s.incarnation {
		// This incarnation has not seen the attempt, but an earlier one may have run it.
		return admission{refused: newRefusal(rpcpb.RunRefusal_RUN_REFUSAL_OTHER_INCARNATION, false, "the sidecar was restarted")}
	}
	return s.attempts.admit(req, func() *rpcpb.RunRefused { return s.checkStart(req) })
}

// checkStart returns the reason to refuse a new attempt, or nil. It is called with the
// attempt table locked.
func (s *Sidecar) checkStart(req *rpcpb.RunRequest) *rpcpb.RunRefused {
	if !s.leaseHolder.Valid(time.Now()) {
		return newRefusal(rpcpb.RunRefusal_RUN_REFUSAL_STALE_CONFIGURATION, true, "the sidecar's configuration lease has run out")
	}
	if s.leaseHolder.View().Quarantined(req.Fingerprint) {
		return newRefusal(rpcpb.RunRefusal_RUN_REFUSAL_QUARANTINED, true, "the request is known to crash backend servers")
	}
	if s.lifecycle.state() != stateReady {
		return newRefusal(rpcpb.RunRefusal_RUN_REFUSAL_LEAVING, true, "the backend server is leaving")
	}
	if !s.healthy.Load() {
		return newRefusal(rpcpb.RunRefusal_RUN_REFUSAL_SERVER_DOWN, true, "the backend server does not answer")
	}
	if s.attempts.fencesFull() {
		return newRetryRefusal(rpcpb.RunRefusal_RUN_REFUSAL_FULL, "the sidecar remembers too many fenced attempts", queueFullRetryAfter)
	}
	if !s.attempts.outputs.admits() {
		return newRetryRefusal(rpcpb.RunRefusal_RUN_REFUSAL_FULL, "the answers of running calls use up the memory of the sidecar", queueFullRetryAfter)
	}
	if d := s.slots.decideAdmission(req); !d.Admit {
		return newAdmissionRefusal(d)
	}
	if s.needsHistory(req) {
		return newRefusal(rpcpb.RunRefusal_RUN_REFUSAL_NEED_HISTORY, false, "the program's history is not known here")
	}
	return nil
}

// needsHistory reports whether a model call depends on a history that neither the request
// nor the cache has.
func (s *Sidecar) needsHistory(req *rpcpb.RunRequest) bool {
	if req.Kind != shardpb.CallKind_CALL_KIND_MODEL || req.HasHistory || req.HistoryTurns == 0 {
		return false
	}
	_, ok := s.histories.get(callIDOf(req.Key).programID(), req.HistoryDigest)
	return !ok
}

// sendRefusal counts a refusal and sends it as the last event of the stream.
func (s *Sidecar) sendRefusal(stream *transport.Stream, refused *rpcpb.RunRefused) error {
	s.metrics.Refusals.WithLabelValues(reasonLabel(refused.Reason)).Inc()
	return stream.Send(&rpcpb.RunEvent{Event: &rpcpb.RunEvent_Refused{Refused: refused}})
}

// streamOutput sends the output of an attempt from an offset on, heartbeats while there is
// none, and the result. After an answer it waits for the entry to confirm that the answer
// is durable.
func (s *Sidecar) streamOutput(ctx context.Context, stream *transport.Stream, a *attempt, offset uint64) error {
	started := &rpcpb.RunStarted{Attempt: a.request.Attempt}
	if err := stream.Send(&rpcpb.RunEvent{Event: &rpcpb.RunEvent_Started{Started: started}}); err != nil {
		return err
	}
	heartbeat := time.NewTicker(runHeartbeatInterval)
	defer heartbeat.Stop()
	for {
		st := a.state(offset)
		if len(st.output) > 0 {
			part := st.output[:min(len(st.output), maxChunkBytes)]
			chunk := &rpcpb.RunChunk{Offset: offset, Text: part}
			if err := stream.Send(&rpcpb.RunEvent{Event: &rpcpb.RunEvent_Chunk{Chunk: chunk}}); err != nil {
				return err
			}
			offset += uint64(len(part))
			continue
		}
		if st.ended() {
			return s.sendEnd(ctx, stream, a, st)
		}
		select {
		case <-st.changed:
		case <-heartbeat.C:
			if err := stream.Send(&rpcpb.RunEvent{Event: &rpcpb.RunEvent_Heartbeat{Heartbeat: &rpcpb.Heartbeat{}}}); err != nil {
				return err
			}
		case <-ctx.Done():
			return transport.Errorf(rpcpb.Code_CODE_TIMEOUT, "deadline of the caller exceeded")
		}
	}
}

// sendEnd sends the answer or the refusal of an attempt that has ended. After an answer
// that is not committed yet it waits for the entry's confirmation.
func (s *Sidecar) sendEnd(ctx context.Context, stream *transport.Stream, a *attempt, st attemptState) error {
	if st.refused != nil {
		return s.sendRefusal(stream, st.refused)
	}
	end := &rpcpb.RunEnd{
		Echo:      &rpcpb.CallEcho{Call: a.id.call, Attempt: a.request.Attempt},
		Answer:    st.answer,
		Length:    a.outputBytes(),
		Committed: st.committed,
	}
	if err := stream.Send(&rpcpb.RunEvent{Event: &rpcpb.RunEvent_End{End: end}}); err != nil {
		return err
	}
	if st.committed {
		return nil
	}
	return s.waitForCommit(ctx, stream, a)
}

// waitForCommit waits at most entryCommitTimeout for the entry's Empty message, which
// confirms that the answer is durable, and marks the attempt as committed.
func (s *Sidecar) waitForCommit(ctx context.Context, stream *transport.Stream, a *attempt) error {
	deadline, ok := ctx.Deadline()
	if latest := time.Now().Add(entryCommitTimeout); !ok || deadline.After(latest) {
		deadline = latest
	}
	if err := stream.SetReadDeadline(deadline); err != nil {
		return err
	}
	err := stream.Recv(new(rpcpb.Empty))
	if err == nil {
		a.markCommitted()
		return nil
	}
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// serveFence fences an attempt. NeverStarted is false if the request names another
// incarnation, since this one cannot know what that one ran.
func (s *Sidecar) serveFence(_ context.Context, req *rpcpb.FenceRequest) (*rpcpb.FenceResponse, error) {
	if req.Incarnation != s.incarnation {
		return &rpcpb.FenceResponse{NeverStarted: false}, nil
	}
	return &rpcpb.FenceResponse{NeverStarted: s.attempts.fenceUnlessStarted(req.Key, req.Attempt)}, nil
}

// serveRelease frees all that the sidecar and the engine keep for an ended program.
func (s *Sidecar) serveRelease(ctx context.Context, req *rpcpb.ReleaseRequest) (*rpcpb.Empty, error) {
	id := programID{customer: req.Customer, program: req.Program}
	s.releaseHold(ctx, id, releaseProgramEnded)
	s.attempts.removeProgram(id)
	s.histories.removeHistory(id)
	return &rpcpb.Empty{}, nil
}
