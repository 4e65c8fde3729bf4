package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"ibistray.example/ibistray/internal/hedge"
	"ibistray.example/ibistray/internal/leaderclient"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/ledgerpb"
)

// Errors of the ledger.
var (
	errBudgetSpent = errors.New("gateway: the program's token budget is spent")
	errUnknownTurn = errors.New("gateway: no such turn")
)

const (
	// ledgerTimeout bounds one exchange with the leader of the ledger: several disk
	// writes and ways.
	ledgerTimeout = 600 * time.Millisecond
	// hedgeDelay is several times the usual time of a quorum write and below a
	// retransmission.
	hedgeDelay = 120 * time.Millisecond
	// maxLedgerRequests bounds the requests of an entry to the ledger that are under way.
	// At the usual 10 ms each they are 4,000 a second; while there is no leader the
	// others wait here and not at the state hosts.
	maxLedgerRequests = 40
	// maxHedges bounds the hedged requests under way: a leader that is slow for want of
	// processor time must not get all requests twice.
	maxHedges = 16
	// firstEventMargin is left of a client's patience, after the wait for a leader
	// before a turn, for the first event.
	firstEventMargin = 300 * time.Millisecond
	// finishTimeout bounds the wait for a leader after a turn.
	finishTimeout = 4 * time.Second
)

// retryHedged is the reason of a request that was made a second time.
const retryHedged = "hedged"

// ledgerClient reserves and settles turns.
type ledgerClient interface {
	// begin reserves the tokens of a turn and returns the turns that it continues
	// from. Errors: errBudgetSpent, errUnknownTurn, leaderclient.ErrUnavailable.
	// It waits for a leader until ctx ends.
	begin(ctx context.Context, meta *Meta) ([]*ledgerpb.Exchange, error)
	// finish settles a turn. It returns when that is durable.
	finish(ctx context.Context, f *ledgerpb.Finish) error
}

// turns reserves and settles turns at the ledger's leader. Requests that take
// unusually long are made again over a connection of their own: on a network that
// loses packets one lost packet holds up all that share a connection.
type turns struct {
	leaders *leaderclient.Client
	hedge   *leaderclient.Client
	leader  leaderclient.Leader
	onRetry func(reason string)
	slots   chan struct{} // of requests that are under way
	hedges  chan struct{} // of hedged requests that are under way
}

// newTurns returns a client over two pools, of which the second is used for hedged
// requests.
func newTurns(pool, hedgePool *transport.Pool, addresses func() []string, onRetry func(string)) *turns {
	options := leaderclient.Options{Addresses: addresses, AttemptTimeout: ledgerTimeout, OnRetry: onRetry, Shared: true}
	return &turns{
		leaders: leaderclient.NewWithOptions(pool, options),
		hedge:   leaderclient.NewWithOptions(hedgePool, options),
		onRetry: onRetry,
		slots:   make(chan struct{}, maxLedgerRequests),
		hedges:  make(chan struct{}, maxHedges),
	}
}

// begin implements ledgerClient.
func (t *turns) begin(ctx context.Context, meta *Meta) ([]*ledgerpb.Exchange, error) {
	resp, err := t.call(ctx, &ledgerpb.Command{Kind: &ledgerpb.Command_Begin{Begin: &ledgerpb.Begin{
		CallId:      meta.ID,
		Program:     meta.Program,
		Previous:    meta.Previous,
		MaxTokens:   meta.MaxTokens,
		TokenBudget: meta.TokenBudget,
		Limited:     meta.Limited,
	}}})
	if err != nil {
		return nil, err
	}
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
	resp, err := t.call(ctx, &ledgerpb.Command{Kind: &ledgerpb.Command_Finish{Finish: f}})
	if err != nil {
		return err
	}
	if resp.Outcome != ledgerpb.Outcome_OUTCOME_OK {
		return fmt.Errorf("gateway: turn not kept: %w", errUnknownTurn)
	}
	return nil
}

func (t *turns) call(ctx context.Context, cmd *ledgerpb.Command) (*ledgerpb.Response, error) {
	select {
	case t.slots <- struct{}{}:
		defer func() { <-t.slots }()
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %d requests are under way: %w", leaderclient.ErrUnavailable, maxLedgerRequests, ctx.Err())
	}
	by := func(leaders *leaderclient.Client) hedge.Call[*ledgerpb.Response] {
		return func(ctx context.Context) (*ledgerpb.Response, error) {
			resp := new(ledgerpb.Response)
			req := &ledgerpb.Request{Command: cmd}
			if err := leaders.Call(ctx, &t.leader, transport.MethodLedger, 0, req, resp); err != nil {
				return nil, err
			}
			return resp, nil
		}
	}
	again := func(ctx context.Context) (*ledgerpb.Response, error) {
		select {
		case t.hedges <- struct{}{}:
			defer func() { <-t.hedges }()
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: %w", leaderclient.ErrUnavailable, ctx.Err())
		}
		t.onRetry(retryHedged)
		return by(t.hedge)(ctx)
	}
	return hedge.Do(ctx, hedgeDelay, by(t.leaders), again)
}
