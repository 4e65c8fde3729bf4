package gateway

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"ibistray.example/ibistray/internal/hedge"
	"ibistray.example/ibistray/internal/leaderclient"
	"ibistray.example/ibistray/internal/policy/admit"
	"ibistray.example/ibistray/internal/policy/gate"
	"ibistray.example/ibistray/internal/policy/order"
	"ibistray.example/ibistray/internal/telemetry"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/ledgerpb"
	"ibistray.example/ibistray/proto/rpcpb"
)

// Errors of reservations.
var (
	errBudgetSpent = errors.New("gateway: the program's token budget is spent")
	errUnknownTurn = errors.New("gateway: the previous turn is unknown")
	errLedgerFull  = errors.New("gateway: the ledger has no room for the turns of more programs")
	// errMayBeReserved says that a turn that did not begin may still hold a reservation.
	// Settling the turn releases it.
	errMayBeReserved = errors.New("gateway: the turn may hold a reservation")
)

const (
	// ledgerTimeout limits one request to the leader of the ledger. It covers several
	// disk writes and network round trips.
	ledgerTimeout = 600 * time.Millisecond
	// hedgeDelay is several times the usual duration of a quorum write and shorter than
	// a TCP retransmission timeout.
	hedgeDelay = 120 * time.Millisecond
	// maxHedges limits the concurrent hedged requests. A leader that is short of CPU time
	// must not receive every request twice.
	maxHedges = 16
	// firstEventMargin is the part of the event timeout that is reserved for the first
	// event when a turn waits for a leader.
	firstEventMargin = 300 * time.Millisecond
	// recentProgramPeriod is the minimum time for which an entry remembers a running
	// program. The pauses between turns are shorter.
	recentProgramPeriod = 20 * time.Second
	// finishTimeout limits the wait for a leader after a turn.
	finishTimeout = 4 * time.Second
)

// ledgerFullError is errLedgerFull with the delay after which there may be room.
type ledgerFullError struct {
	retryAfter time.Duration
	cause      error
}

func (e *ledgerFullError) Error() string   { return fmt.Sprintf("%s: %s", errLedgerFull, e.cause) }
func (e *ledgerFullError) Unwrap() []error { return []error{errLedgerFull, e.cause} }

// maxHedgedBytes is the largest command that is hedged. A large one takes long for its size, and
// the second copy would take as much memory as the first.
const maxHedgedBytes = 64 << 10

// retryHedged is the retry reason of hedged requests.
const retryHedged = "hedged"

// ledgerClient reserves and settles turns in the ledger.
type ledgerClient interface {
	// isNewProgram reports whether a turn begins a program, as far as this entry knows.
	isNewProgram(account string, meta *RequestMeta) bool
	// begin reserves the tokens of a turn of a client account, opens its stream and returns
	// what it continues from. stream is nil on routes whose streams cannot be resumed. It waits for a leader
	// until ctx ends. Errors: errBudgetSpent, errUnknownTurn, errUnknownStream,
	// *gate.OverloadError and *ledgerFullError with the delay before a retry,
	// leaderclient.ErrRefused, and leaderclient.ErrUnavailable, wrapped with errMayBeReserved if the request was sent.
	begin(ctx context.Context, account string, meta *RequestMeta, stream *ledgerpb.OpenStream, opts queueOptions) (history, error)
	// openStream records the version of a stream, or returns the version that began the
	// stream which the call resumes. Errors: errUnknownStream, *gate.OverloadError,
	// leaderclient.ErrRefused, leaderclient.ErrUnavailable.
	openStream(ctx context.Context, stream *ledgerpb.OpenStream) (version string, err error)
	// recordOutput records events of a stream whose version is recorded. Errors: errUnknownStream if
	// the call may not record them, leaderclient.ErrRefused, leaderclient.ErrUnavailable.
	recordOutput(ctx context.Context, record *ledgerpb.RecordOutput) error
	// fetchChain appends the content of the long chain of a turn to content, and verifies it.
	// Errors: errChainBroken, leaderclient.ErrRefused, leaderclient.ErrUnavailable.
	fetchChain(ctx context.Context, account, lastTurn string, chain longChain, content []byte) ([]byte, error)
	// finish settles a turn. The settlement is durable when it returns nil.
	finish(ctx context.Context, f *ledgerpb.Finish) error
}

// history is what a turn continues from.
type history struct {
	turns         []*ledgerpb.Exchange    // earlier turns, oldest first
	long          longChain               // earlier turns that are to be fetched, instead of turns
	server        string                  // ID of the server that ran the latest one, or ""
	streamVersion string                  // software version that began the resumed stream, or ""
	output        []*ledgerpb.OutputEvent // recorded events of the resumed stream that the client holds
}

// queueOptions says how a turn waits to be sent to the ledger.
type queueOptions struct {
	priority int       // of its route; 0 is the most urgent
	kept     bool      // the turn will be kept
	sendBy   time.Time // the turn is refused if it was not sent by then
}

// remoteLedger reserves and settles turns at the leader of the ledger. Requests that
// take unusually long are hedged over a separate connection, because one lost packet
// delays all requests that share a connection.
type remoteLedger struct {
	client         *leaderclient.Client
	hedgeClient    *leaderclient.Client
	leader         leaderclient.LeaderCache
	onRetry        func(reason string)
	gate           *ledgerGate
	recentPrograms *recentSet    // programs, by programKey, that recently began a turn through this entry
	hedgeSlots     chan struct{} // semaphore with maxHedges slots
}

// newRemoteLedger returns a client that uses pool for requests and hedgePool for hedged
// ones.
func newRemoteLedger(pool, hedgePool *transport.Pool, addresses func() []string, metrics *telemetry.Metrics) *remoteLedger {
	onRetry := func(reason string) { metrics.Retries.WithLabelValues(reason).Inc() }
	options := leaderclient.Options{Addresses: addresses, AttemptTimeout: ledgerTimeout, OnRetry: onRetry, SharedStream: true}
	return &remoteLedger{
		client:         leaderclient.NewWithOptions(pool, options),
		hedgeClient:    leaderclient.NewWithOptions(hedgePool, options),
		onRetry:        onRetry,
		gate:           newLedgerGate(metrics),
		recentPrograms: newRecentSet(recentProgramPeriod),
		hedgeSlots:     make(chan struct{}, maxHedges),
	}
}

// programKey returns the key of an account's program in recentPrograms.
func programKey(account, program string) string { return fmt.Sprintf("%q %s", account, program) }

// queueID returns the ID of a command in the queue of the gate. The commands of two accounts
// that use the same call ID differ.
func queueID(kind, account, callID string) string {
	return fmt.Sprintf("%s %q %s", kind, account, callID)
}

// isNewProgram implements ledgerClient.
func (l *remoteLedger) isNewProgram(account string, meta *RequestMeta) bool {
	return meta.mayBeginProgram() && !l.recentPrograms.has(programKey(account, meta.Program), time.Now())
}

// begin implements ledgerClient.
func (l *remoteLedger) begin(ctx context.Context, account string, meta *RequestMeta, stream *ledgerpb.OpenStream, opts queueOptions) (history, error) {
	newProgram := l.isNewProgram(account, meta)
	priority := gate.BeginPriority(opts.priority, newProgram)
	call := order.Call{ID: queueID("begin", account, meta.ID), Program: programKey(account, meta.Program), Priority: priority}
	admission := &admit.Request{Priority: priority, NewProgram: newProgram}
	sendCtx, cancel := context.WithDeadline(ctx, opts.sendBy)
	defer cancel()
	if err := l.gate.acquire(sendCtx, call, admission); err != nil {
		return history{}, err
	}
	command := &ledgerpb.Command{Kind: &ledgerpb.Command_Begin{Begin: &ledgerpb.Begin{
		CallId:      meta.ID,
		Program:     meta.Program,
		Previous:    meta.PreviousTurn,
		MaxTokens:   meta.MaxTokens,
		TokenBudget: meta.TokenBudget,
		Limited:     meta.HasBudget,
		Stream:      stream,
		Account:     account,
	}}}
	resp, err := l.call(ctx, &ledgerpb.Request{Command: command, TurnNotKept: !opts.kept, RoutePriority: uint32(max(0, opts.priority))})
	var remote *transport.Error
	if errors.As(err, &remote) && remote.Code == rpcpb.Code_CODE_EXHAUSTED {
		return history{}, &ledgerFullError{remote.RetryAfter, err}
	}
	if err != nil {
		return history{}, err
	}
	l.recentPrograms.add(programKey(account, meta.Program), time.Now())
	switch resp.Outcome {
	case ledgerpb.Outcome_OUTCOME_BUDGET_SPENT:
		return history{}, errBudgetSpent
	case ledgerpb.Outcome_OUTCOME_UNKNOWN_TURN:
		return history{}, errUnknownTurn
	case ledgerpb.Outcome_OUTCOME_UNKNOWN_STREAM:
		return history{}, errUnknownStream
	}
	return history{turns: resp.Chain, long: longChain{size: int64(resp.ChainBytes), checksum: resp.ChainChecksum}, server: resp.Server, streamVersion: resp.StreamVersion, output: resp.Output}, nil
}

// openStream implements ledgerClient.
func (l *remoteLedger) openStream(ctx context.Context, stream *ledgerpb.OpenStream) (string, error) {
	call := order.Call{ID: queueID(fmt.Sprintf("stream %d", stream.Revision), stream.Account, stream.CallId), Priority: gate.PrioritySettle}
	if err := l.gate.acquire(ctx, call, nil); err != nil {
		return "", err
	}
	resp, err := l.call(ctx, &ledgerpb.Request{Command: &ledgerpb.Command{Kind: &ledgerpb.Command_OpenStream{OpenStream: stream}}})
	if err != nil {
		return "", err
	}
	if resp.Outcome == ledgerpb.Outcome_OUTCOME_UNKNOWN_STREAM {
		return "", errUnknownStream
	}
	return resp.StreamVersion, nil
}

// recordOutput implements ledgerClient.
func (l *remoteLedger) recordOutput(ctx context.Context, record *ledgerpb.RecordOutput) error {
	call := order.Call{ID: queueID(fmt.Sprintf("output %d", record.Sequence), record.Account, record.CallId), Priority: gate.PrioritySettle}
	if err := l.gate.acquire(ctx, call, nil); err != nil {
		return err
	}
	resp, err := l.call(ctx, &ledgerpb.Request{Command: &ledgerpb.Command{Kind: &ledgerpb.Command_RecordOutput{RecordOutput: record}}})
	if err != nil {
		return err
	}
	if resp.Outcome != ledgerpb.Outcome_OUTCOME_OK {
		return errUnknownStream
	}
	return nil
}

// finish implements ledgerClient.
func (l *remoteLedger) finish(ctx context.Context, f *ledgerpb.Finish) error {
	ctx, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	kind := "settle"
	if f.Keep {
		kind = "finish"
	}
	call := order.Call{ID: queueID(kind, f.Account, f.CallId), Program: programKey(f.Account, f.Program), Priority: gate.PrioritySettle}
	if err := l.gate.acquire(ctx, call, nil); err != nil {
		return err
	}
	resp, err := l.call(ctx, &ledgerpb.Request{Command: &ledgerpb.Command{Kind: &ledgerpb.Command_Finish{Finish: f}}})
	if err != nil {
		return err
	}
	if resp.Outcome != ledgerpb.Outcome_OUTCOME_OK {
		return fmt.Errorf("gateway: turn not kept: %w", errUnknownTurn)
	}
	return nil
}

// call sends a request that has acquired the gate to the leader, and releases the gate.
// Errors: leaderclient.ErrUnavailable, wrapped with errMayBeReserved, and
// leaderclient.ErrRefused.
func (l *remoteLedger) call(ctx context.Context, req *ledgerpb.Request) (*ledgerpb.Response, error) {
	req.FetchesChain = true
	start := time.Now()
	var uncertain atomic.Bool // an attempt of either copy may have been applied
	resp, err := hedge.Do(ctx, hedgeDelay, l.sendVia(l.client, req, &uncertain), l.sendHedged(req, &uncertain))
	l.gate.release(time.Since(start), outcomeOf(ctx, resp, err))
	if errors.Is(err, leaderclient.ErrUnavailable) || err != nil && uncertain.Load() {
		err = fmt.Errorf("%w: %w", errMayBeReserved, err)
	}
	return resp, err
}

// sendVia returns a call that sends a request to the leader over one of the clients. It sets uncertain
// if the call fails and an attempt may have been applied.
func (l *remoteLedger) sendVia(client *leaderclient.Client, req *ledgerpb.Request, uncertain *atomic.Bool) hedge.Call[*ledgerpb.Response] {
	return func(ctx context.Context) (*ledgerpb.Response, error) {
		resp := new(ledgerpb.Response)
		if err := client.Call(ctx, &l.leader, transport.MethodLedger, 0, req, resp); err != nil {
			if errors.Is(err, leaderclient.ErrUnavailable) || errors.Is(err, leaderclient.ErrUncertain) {
				uncertain.Store(true)
			}
			return nil, err
		}
		return resp, nil
	}
}

// sendHedged returns the hedged call. The call fails for a command above maxHedgedBytes and while
// the ledger is overloaded, and waits while maxHedges hedged requests are running.
func (l *remoteLedger) sendHedged(req *ledgerpb.Request, uncertain *atomic.Bool) hedge.Call[*ledgerpb.Response] {
	return func(ctx context.Context) (*ledgerpb.Response, error) {
		if size := proto.Size(req); size > maxHedgedBytes {
			return nil, fmt.Errorf("%w: no hedged request of %d bytes", leaderclient.ErrUnavailable, size)
		}
		if !l.gate.hasSpareCapacity() {
			return nil, fmt.Errorf("%w: no hedged request while the ledger is overloaded", leaderclient.ErrUnavailable)
		}
		select {
		case l.hedgeSlots <- struct{}{}:
			defer func() { <-l.hedgeSlots }()
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: %w", leaderclient.ErrUnavailable, ctx.Err())
		}
		l.onRetry(retryHedged)
		return l.sendVia(l.hedgeClient, req, uncertain)(ctx)
	}
}
