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

// serveRun starts an attempt or follows one that runs already. The work goes
// on when the entry is lost: an entry that attaches later gets the output from
// the offset that it asks for.
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
		return s.refuse(stream, admitted.refused)
	}
	if admitted.started {
		admitted.attempt.alone = req.Alone || s.holder.View().Suspected(req.Fingerprint)
		s.start(admitted.attempt)
	}
	return s.follow(ctx, stream, admitted.attempt, req.Offset)
}

func (s *Sidecar) admit(req *rpcpb.RunRequest) admission {
	if req.Incarnation != s.incarnation {
		// This incarnation never saw the attempt, but an earlier one may have run it.
		return admission{refused: refusal(rpcpb.RunRefusal_RUN_REFUSAL_OTHER_INCARNATION, false, "the sidecar was restarted")}
	}
	return s.attempts.admit(req, func() *rpcpb.RunRefused { return s.mayStart(req) })
}

// mayStart says why a new attempt is refused, or nil. It is called with the
// table of attempts locked.
func (s *Sidecar) mayStart(req *rpcpb.RunRequest) *rpcpb.RunRefused {
	if !s.holder.Valid(time.Now()) {
		return refusal(rpcpb.RunRefusal_RUN_REFUSAL_STALE_CONFIGURATION, true, "the sidecar's configuration lease has run out")
	}
	if s.holder.View().Quarantined(req.Fingerprint) {
		return refusal(rpcpb.RunRefusal_RUN_REFUSAL_QUARANTINED, true, "the request is known to crash backend servers")
	}
	if s.lifecycle.state() != stateReady {
		return refusal(rpcpb.RunRefusal_RUN_REFUSAL_LEAVING, true, "the backend server is leaving")
	}
	if !s.healthy.Load() {
		return refusal(rpcpb.RunRefusal_RUN_REFUSAL_SERVER_DOWN, true, "the backend server does not answer")
	}
	if s.attempts.full() {
		return refuseUntil(rpcpb.RunRefusal_RUN_REFUSAL_FULL, "the sidecar remembers too many fenced attempts", fullRetryAfter)
	}
	if d := s.slots.admission(req); !d.Admit {
		return refuseUntil(rpcpb.RunRefusal_RUN_REFUSAL_NOT_ADMITTED, "not admitted: "+string(d.Reason), d.RetryAfter)
	}
	if s.needsHistory(req) {
		return refusal(rpcpb.RunRefusal_RUN_REFUSAL_NEED_HISTORY, false, "the program's history is not known here")
	}
	return nil
}

func (s *Sidecar) needsHistory(req *rpcpb.RunRequest) bool {
	if req.Kind != shardpb.CallKind_CALL_KIND_MODEL || req.HasHistory || req.HistoryTurns == 0 {
		return false
	}
	_, ok := s.programs.get(callIDOf(req.Key).programID(), req.HistoryDigest)
	return !ok
}

func (s *Sidecar) refuse(stream *transport.Stream, refused *rpcpb.RunRefused) error {
	s.metrics.Refusals.WithLabelValues(reasonLabel(refused.Reason)).Inc()
	return stream.Send(&rpcpb.RunEvent{Event: &rpcpb.RunEvent_Refused{Refused: refused}})
}

// follow sends the output of an attempt from an offset on, a heartbeat each
// interval, and the end. After an answer it waits for the entry to say that the
// answer is durable.
func (s *Sidecar) follow(ctx context.Context, stream *transport.Stream, a *attempt, offset uint64) error {
	started := &rpcpb.RunStarted{Attempt: a.request.Attempt}
	if err := stream.Send(&rpcpb.RunEvent{Event: &rpcpb.RunEvent_Started{Started: started}}); err != nil {
		return err
	}
	heartbeat := time.NewTicker(runHeartbeatInterval)
	defer heartbeat.Stop()
	for {
		st := a.state(offset)
		if len(st.text) > 0 {
			piece := st.text[:min(len(st.text), maxChunkBytes)]
			chunk := &rpcpb.RunChunk{Offset: offset, Text: piece}
			if err := stream.Send(&rpcpb.RunEvent{Event: &rpcpb.RunEvent_Chunk{Chunk: chunk}}); err != nil {
				return err
			}
			offset += uint64(len(piece))
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
			return transport.Errorf(rpcpb.Code_CODE_TIMEOUT, "caller's time is over")
		}
	}
}

func (s *Sidecar) sendEnd(ctx context.Context, stream *transport.Stream, a *attempt, st attemptState) error {
	if st.refused != nil {
		return s.refuse(stream, st.refused)
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
	return s.awaitCommit(ctx, stream, a)
}

// awaitCommit waits for the entry's Empty message, which says that the answer
// is durable.
func (s *Sidecar) awaitCommit(ctx context.Context, stream *transport.Stream, a *attempt) error {
	deadline, ok := ctx.Deadline()
	if limit := time.Now().Add(commitWait); !ok || deadline.After(limit) {
		deadline = limit
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

func (s *Sidecar) serveFence(_ context.Context, req *rpcpb.FenceRequest) (*rpcpb.FenceResponse, error) {
	if req.Incarnation != s.incarnation {
		return &rpcpb.FenceResponse{NeverStarted: false}, nil
	}
	return &rpcpb.FenceResponse{NeverStarted: s.attempts.fenceCall(req.Key, req.Attempt)}, nil
}

func (s *Sidecar) serveRelease(ctx context.Context, req *rpcpb.ReleaseRequest) (*rpcpb.Empty, error) {
	id := programID{customer: req.Customer, program: req.Program}
	s.releaseHold(ctx, id, releaseProgramEnded)
	s.attempts.forgetProgram(id)
	s.programs.drop(id)
	return &rpcpb.Empty{}, nil
}
