package sidecar

import (
	"context"
	"time"

	"ibistray.example/ibistray/internal/telemetry"
	"ibistray.example/ibistray/proto/shardpb"
)

const defaultRunTimeout = 10 * time.Minute

// start runs an attempt in the background. The work does not depend on the
// entry that asked for it.
func (s *Sidecar) start(a *attempt) {
	s.metrics.RunningCalls.Inc()
	s.work.Go(func() {
		defer s.metrics.RunningCalls.Dec()
		s.run(a)
		committed := s.settle(a)
		s.attempts.end(a, committed, time.Now())
	})
}

// run does the work of an attempt and records its end.
func (s *Sidecar) run(a *attempt) {
	timeout := time.Duration(a.request.TimeoutMs) * time.Millisecond
	if timeout <= 0 {
		timeout = defaultRunTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	a.onStop(cancel)
	if refused := s.slots.acquire(ctx, a); refused != nil {
		a.fail(refused)
		return
	}
	defer s.slots.release(a)
	group := s.crashes.join(a)
	defer group.leave(a)
	answer, err := s.ask(ctx, a)
	if err != nil {
		a.fail(s.failure(ctx, a, group, err))
		return
	}
	if a.alone {
		s.clearSuspect(a)
	}
	a.finish(answer)
}

// ask runs an attempt on the backend server. Errors: those of the backend
// package.
func (s *Sidecar) ask(ctx context.Context, a *attempt) (*shardpb.Answer, error) {
	if a.request.Kind == shardpb.CallKind_CALL_KIND_SERVICE {
		return s.askService(ctx, a)
	}
	return s.askModel(ctx, a)
}

const (
	// commitWait is how long the sidecar leaves the commit of an answer to the
	// entry before it commits the answer itself.
	commitWait    = 2 * time.Second
	commitTimeout = 60 * time.Second
)

// settle returns when the answer of an attempt is durable. It reports whether
// the attempt has a durable answer.
func (s *Sidecar) settle(a *attempt) bool {
	if a.state(0).answer == nil {
		return true
	}
	if !waitCommitted(a, commitWait) {
		s.commit(a)
	}
	committed := a.state(0).committed
	if committed {
		s.remember(a)
	}
	return committed
}

func waitCommitted(a *attempt, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		st := a.state(0)
		if st.committed {
			return true
		}
		select {
		case <-st.changed:
		case <-timer.C:
			return false
		}
	}
}

// commit makes the answer durable in the customer's shard. A commit is
// idempotent, so it does no harm when the entry commits at the same time.
func (s *Sidecar) commit(a *attempt) {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	req := a.request
	cmd := &shardpb.Command{Op: &shardpb.Command_Commit{Commit: &shardpb.Commit{
		Key:     req.Key,
		Epoch:   req.Epoch,
		Attempt: req.Attempt,
		Answer:  a.state(0).answer,
	}}}
	log := s.log.With(telemetry.KeyProgram, a.id.program, telemetry.KeyCall, a.id.call, telemetry.KeyAttempt, req.Attempt)
	result, err := s.shards.Propose(ctx, a.id.customer, cmd, 0)
	if err != nil {
		log.Error("answer could not be committed", telemetry.KeyError, err)
		return
	}
	if result.Refusal != nil {
		log.Warn("answer was refused by the shard", "reason", result.Refusal.Reason.String(), "detail", result.Refusal.Detail)
		return
	}
	log.Info("answer committed for an entry that did not")
	a.markCommitted()
}

// remember keeps what the next call of the program needs.
func (s *Sidecar) remember(a *attempt) {
	if a.request.Kind != shardpb.CallKind_CALL_KIND_MODEL {
		return
	}
	program := a.id.programID()
	s.programs.extend(program, a.request.HistoryDigest, a.request.Body, a.state(0).answer.Body)
}
