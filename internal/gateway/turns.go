package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"ibistray.example/ibistray/internal/hedge"
	"ibistray.example/ibistray/internal/leaderclient"
	"ibistray.example/ibistray/internal/policy/admit"
	"ibistray.example/ibistray/internal/policy/gate"
	"ibistray.example/ibistray/internal/policy/order"
	"ibistray.example/ibistray/internal/telemetry"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/ledgerpb"
)

// Errors of the ledger.
var (
	errBudgetSpent = errors.New("gateway: the program's token budget is spent")
	errUnknownTurn = errors.New("gateway: no such turn")
	// errMayBeReserved says that a turn that did not begin may hold a reservation, which
	// its settlement gives back.
	errMayBeReserved = errors.New("gateway: the turn may hold a reservation")
)

const (
	// ledgerTimeout bounds one exchange with the leader of the ledger: several disk
	// writes and ways.
	ledgerTimeout = 600 * time.Millisecond
	// hedgeDelay is several times the usual time of a quorum write and below a
	// retransmission.
	hedgeDelay = 120 * time.Millisecond
	// maxHedges bounds the hedged requests under way: a leader that is slow for want of
	// processor time must not get all requests twice.
	maxHedges = 16
	// firstEventMargin is left of a client's patience, after the wait for a leader
	// before a turn, for the first event.
	firstEventMargin = 300 * time.Millisecond
	// programMemory is how long an entry remembers that a program is under way: the
	// pauses between turns are shorter.
	programMemory = 20 * time.Second
	// finishTimeout bounds the wait for a leader after a turn.
	finishTimeout = 4 * time.Second
)

// retryHedged is the reason of a request that was made a second time.
const retryHedged = "hedged"

// ledgerClient reserves and settles turns.
type ledgerClient interface {
	// begin reserves the tokens of a turn and returns the turns that it continues
	// from. Errors: errBudgetSpent,
	// errUnknownTurn, leaderclient.ErrUnavailable, with errMayBeReserved if the request
	// was sent, and *gate.OverloadError, which tells when to come back. It waits for a
	// leader until ctx ends.
	begin(ctx context.Context, meta *RequestMeta, rank turnRank) ([]*ledgerpb.Exchange, error)
	// finish settles a turn. It returns when that is durable.
	finish(ctx context.Context, f *ledgerpb.Finish) error
}

// turnRank is how a turn is ranked among those that wait to be sent.
type turnRank struct {
	priority int       // of its route, 0 for the most urgent one
	sendBy   time.Time // after which it is not sent any more
}

// turns reserves and settles turns at the ledger's leader. Requests that take
// unusually long are made again over a connection of their own: on a network that
// loses packets one lost packet holds up all that share a connection.
type turns struct {
	leaders *leaderclient.Client
	hedge   *leaderclient.Client
	leader  leaderclient.LeaderCache
	onRetry func(reason string)
	gate    *ledgerGate
	begun   *recentSet    // programs of which a turn began through this entry
	hedges  chan struct{} // of hedged requests that are under way
}

// newTurns returns a client over two pools, of which the second is used for hedged
// requests.
func newTurns(pool, hedgePool *transport.Pool, addresses func() []string, metrics *telemetry.Metrics) *turns {
	onRetry := func(reason string) { metrics.Retries.WithLabelValues(reason).Inc() }
	options := leaderclient.Options{Addresses: addresses, AttemptTimeout: ledgerTimeout, OnRetry: onRetry, SharedStream: true}
	return &turns{
		leaders: leaderclient.NewWithOptions(pool, options),
		hedge:   leaderclient.NewWithOptions(hedgePool, options),
		onRetry: onRetry,
		gate:    newLedgerGate(metrics),
		begun:   newRecentSet(programMemory),
		hedges:  make(chan struct{}, maxHedges),
	}
}

// begin implements ledgerClient.
func (t *turns) begin(ctx context.Context, meta *RequestMeta, rank turnRank) ([]*ledgerpb.Exchange, error) {
	newProgram := meta.PreviousTurn == "" && !t.begun.has(meta.Program, time.Now())
	priority := gate.BeginPriority(rank.priority, newProgram)
	call := order.Call{ID: "begin " + meta.ID, Program: meta.Program, Priority: priority}
	admission := &admit.Request{Priority: priority, NewProgram: newProgram}
	sendCtx, cancel := context.WithDeadline(ctx, rank.sendBy)
	defer cancel()
	if err := t.gate.enter(sendCtx, call, admission); err != nil {
		return nil, err
	}
	resp, err := t.call(ctx, &ledgerpb.Command{Kind: &ledgerpb.Command_Begin{Begin: &ledgerpb.Begin{
		CallId:      meta.ID,
		Program:     meta.Program,
		Previous:    meta.PreviousTurn,
		MaxTokens:   meta.MaxTokens,
		TokenBudget: meta.TokenBudget,
		Limited:     meta.HasBudget,
	}}})
	if err != nil {
		return nil, err
	}
	t.begun.add(meta.Program, time.Now())
	switch resp.Outcome {
	case ledgerpb.Outcome_OUTCOME_BUDGET_SPENT:
		return nil, errBudgetSpent
	case ledgerpb.Outcome_OUTCOME_UNKNOWN_TURN:
		return nil, errUnknownTurn
	}
	return resp.Chain, nil
}

// finish implements ledgerClient.
func (t *turns) finish(ctx context.Context, f *ledgerpb.Finish) error {
	ctx, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	call := order.Call{ID: "finish " + f.CallId, Program: f.Program, Priority: gate.PrioritySettle}
	if !f.Keep {
		call.ID = "settle " + f.CallId
	}
	if err := t.gate.enter(ctx, call, nil); err != nil {
		return err
	}
	resp, err := t.call(ctx, &ledgerpb.Command{Kind: &ledgerpb.Command_Finish{Finish: f}})
	if err != nil {
		return err
	}
	if resp.Outcome != ledgerpb.Outcome_OUTCOME_OK {
		return fmt.Errorf("gateway: turn not kept: %w", errUnknownTurn)
	}
	return nil
}

// call sends a command that the gate has let through to the leader.
func (t *turns) call(ctx context.Context, cmd *ledgerpb.Command) (*ledgerpb.Response, error) {
	sent := time.Now()
	resp, err := hedge.Do(ctx, hedgeDelay, t.send(t.leaders, cmd), t.sendAgain(cmd))
	t.gate.leave(time.Since(sent), fateOf(ctx, resp, err))
	if errors.Is(err, leaderclient.ErrUnavailable) {
		err = fmt.Errorf("%w: %w", errMayBeReserved, err)
	}
	return resp, err
}

// send returns a call of the leader by one of the clients.
func (t *turns) send(by *leaderclient.Client, cmd *ledgerpb.Command) hedge.Call[*ledgerpb.Response] {
	return func(ctx context.Context) (*ledgerpb.Response, error) {
		resp := new(ledgerpb.Response)
		if err := by.Call(ctx, &t.leader, transport.MethodLedger, 0, &ledgerpb.Request{Command: cmd}, resp); err != nil {
			return nil, err
		}
		return resp, nil
	}
}

// sendAgain returns the hedged call. None is made while the ledger has too much to do.
func (t *turns) sendAgain(cmd *ledgerpb.Command) hedge.Call[*ledgerpb.Response] {
	return func(ctx context.Context) (*ledgerpb.Response, error) {
		if !t.gate.relaxed() {
			return nil, fmt.Errorf("%w: no second request while the ledger is slow", leaderclient.ErrUnavailable)
		}
		select {
		case t.hedges <- struct{}{}:
			defer func() { <-t.hedges }()
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: %w", leaderclient.ErrUnavailable, ctx.Err())
		}
		t.onRetry(retryHedged)
		return t.send(t.hedge, cmd)(ctx)
	}
}
