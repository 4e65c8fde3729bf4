package sidecar

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

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
		s.settle(a)
		s.attempts.end(a, time.Now())
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
	s.holds.begin(a.id.programID(), a.request)
	defer func() { s.holds.end(a.id.programID(), prefixTokens(a)) }()
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

// prefixTokens returns the length of the prefix that an attempt left in the
// engine's cache, 0 when it has no answer.
func prefixTokens(a *attempt) int64 {
	usage := a.state(0).answer.GetUsage()
	return int64(usage.GetPromptTokens() + usage.GetCompletionTokens())
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
	commitWait = 2 * time.Second
	// commitTries and commitTimeout bound how long an answer is kept for a
	// shard that does not answer.
	commitTries   = 10
	commitTimeout = time.Minute
)

// settle returns when the answer of an attempt is durable, or when the shard
// does not want it any more.
func (s *Sidecar) settle(a *attempt) {
	if a.state(0).answer == nil {
		return
	}
	if !waitCommitted(a, commitWait) {
		s.commit(a)
	}
	if a.state(0).committed {
		s.remember(a)
	}
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
	log := s.logOf(a)
	for range commitTries {
		result, err := s.commitOnce(a)
		if err != nil {
			log.Warn("answer not committed yet", telemetry.KeyError, err)
			continue
		}
		if result.Refusal != nil {
			log.Warn("answer was refused by the shard", "reason", result.Refusal.Reason.String(), "detail", result.Refusal.Detail)
			return
		}
		log.Info("answer committed for an entry that did not")
		a.markCommitted()
		return
	}
	log.Error("answer dropped: its shard did not answer")
}

// logOf returns a logger that names an attempt in each line.
func (s *Sidecar) logOf(a *attempt) hclog.Logger {
	return s.log.With(
		telemetry.KeyCustomer, a.id.customer,
		telemetry.KeyProgram, a.id.program,
		telemetry.KeyCall, a.id.call,
		telemetry.KeyAttempt, a.request.Attempt,
		telemetry.KeyShard, s.shards.ShardOf(a.id.customer),
	)
}

func (s *Sidecar) commitOnce(a *attempt) (*shardpb.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	cmd := &shardpb.Command{Op: &shardpb.Command_Commit{Commit: &shardpb.Commit{
		Key:     a.request.Key,
		Epoch:   a.request.Epoch,
		Attempt: a.request.Attempt,
		Answer:  a.state(0).answer,
	}}}
	return s.shards.Propose(ctx, a.id.customer, cmd, 0)
}

// remember keeps what the next call of the program needs.
func (s *Sidecar) remember(a *attempt) {
	if a.request.Kind != shardpb.CallKind_CALL_KIND_MODEL {
		return
	}
	program := a.id.programID()
	s.programs.extend(program, a.request.HistoryDigest, a.request.Body, a.state(0).answer.Body)
}
