package sidecar

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"ibistray.example/ibistray/internal/panics"
	"ibistray.example/ibistray/internal/telemetry"
	"ibistray.example/ibistray/proto/rpcpb"
	"ibistray.example/ibistray/proto/shardpb"
)

// defaultRunTimeout limits an attempt whose request has no timeout.
const defaultRunTimeout = 10 * time.Minute

// start runs an attempt in the background. The attempt continues if the connection to the
// entry that requested it is lost.
func (s *Sidecar) start(a *attempt) {
	s.metrics.RunningCalls.Inc()
	s.work.Go(func() {
		defer s.metrics.RunningCalls.Dec()
		if err := panics.Contain(s.log, "attempt", func() { s.run(a) }); err != nil && !a.state(0).ended() {
			a.setRefusal(newRefusal(rpcpb.RunRefusal_RUN_REFUSAL_SERVER_ERROR, false, err.Error()))
		}
		_ = panics.Contain(s.log, "commit", func() { s.ensureDurable(a) })
		s.attempts.markEnded(a, time.Now())
	})
}

// run waits for a slot, runs an attempt on the backend server and records its result.
func (s *Sidecar) run(a *attempt) {
	timeout := time.Duration(a.request.TimeoutMs) * time.Millisecond
	if timeout <= 0 {
		timeout = defaultRunTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	a.setCancel(cancel)
	s.holds.beginCall(a.id.programID(), a.request)
	defer func() { s.holds.endCall(a.id.programID(), prefixTokens(a)) }()
	if refused := s.slots.acquire(ctx, a); refused != nil {
		a.setRefusal(refused)
		return
	}
	defer s.slots.release(a)
	group := s.crashes.add(a)
	defer group.remove(a)
	answer, err := s.runOnServer(ctx, a)
	if err != nil {
		a.setRefusal(s.refusalForError(ctx, a, group, err))
		return
	}
	if a.alone {
		s.clearSuspect(a)
	}
	a.setAnswer(answer)
}

// prefixTokens returns the length of the prefix that an attempt left in the engine's
// cache, in tokens, or 0 if it has no answer.
func prefixTokens(a *attempt) int64 {
	usage := a.state(0).answer.GetUsage()
	return int64(usage.GetPromptTokens() + usage.GetCompletionTokens())
}

// runOnServer sends the request of an attempt to the backend server and returns the answer.
// Errors: those of the backend package.
func (s *Sidecar) runOnServer(ctx context.Context, a *attempt) (*shardpb.Answer, error) {
	if a.request.Kind == shardpb.CallKind_CALL_KIND_SERVICE {
		return s.runServiceCall(ctx, a)
	}
	return s.runModelCall(ctx, a)
}

const (
	// entryCommitTimeout is how long the sidecar waits for the entry to commit an answer
	// before it commits the answer itself.
	entryCommitTimeout = 2 * time.Second
	// maxCommitTries and commitTimeout limit how long the sidecar keeps an answer whose
	// shard does not respond.
	maxCommitTries = 10
	commitTimeout  = time.Minute
)

// ensureDurable returns when the answer of an attempt is durable, the shard has refused
// it, or maxCommitTries commits have failed. An attempt without an answer needs nothing.
func (s *Sidecar) ensureDurable(a *attempt) {
	if a.state(0).answer == nil {
		return
	}
	if !waitCommitted(a, entryCommitTimeout) {
		s.commit(a)
	}
	if a.state(0).committed {
		s.extendHistory(a)
	}
}

// waitCommitted waits until the answer of an attempt is marked as committed, and reports
// whether that happened within the timeout.
func waitCommitted(a *attempt, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
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

// commit makes the answer durable in the customer's shard. Commits are idempotent, so
// the entry may commit the same answer at the same time.
func (s *Sidecar) commit(a *attempt) {
	log := s.attemptLogger(a)
	for range maxCommitTries {
		result, err := s.proposeCommit(a)
		if err != nil {
			log.Warn("answer not committed yet", telemetry.KeyError, err)
			continue
		}
		if result.Refusal != nil {
			log.Warn("answer refused by the shard", "reason", result.Refusal.Reason.String(), "detail", result.Refusal.Detail)
			return
		}
		log.Info("answer committed by the sidecar in place of the entry")
		a.markCommitted()
		return
	}
	log.Error("answer dropped: the shard did not respond")
}

// attemptLogger returns a logger that adds the fields of an attempt to each line.
func (s *Sidecar) attemptLogger(a *attempt) hclog.Logger {
	return s.log.With(
		telemetry.KeyCustomer, a.id.customer,
		telemetry.KeyProgram, a.id.program,
		telemetry.KeyCall, a.id.call,
		telemetry.KeyAttempt, a.request.Attempt,
		telemetry.KeyShard, s.shards.ShardOf(a.id.customer),
	)
}

func (s *Sidecar) proposeCommit(a *attempt) (*shardpb.Result, error) {
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

// extendHistory adds a committed model call to the cached history of its program, so that
// the next call need not carry it.
func (s *Sidecar) extendHistory(a *attempt) {
	if a.request.Kind != shardpb.CallKind_CALL_KIND_MODEL {
		return
	}
	program := a.id.programID()
	s.histories.extend(program, a.request.HistoryDigest, a.request.Body, a.state(0).answer.Body)
}
