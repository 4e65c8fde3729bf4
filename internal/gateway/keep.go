package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/semaphore"

	"ibistray.example/ibistray/internal/membudget"
	"ibistray.example/ibistray/internal/policy/memory"
	"ibistray.example/ibistray/internal/telemetry"
	"ibistray.example/ibistray/proto/ledgerpb"
)

var (
	// errNotKept says that the ledger did not keep a turn whose output was sent.
	errNotKept = errors.New("gateway: the ledger did not keep the turn")
	// errBeyondDeclared says that a server sent far more tokens than the request declared.
	errBeyondDeclared = fmt.Errorf("%w: far more tokens than the request declared", errInvalidResponse)
)

const (
	// commandCopies is how often the input and the output of a turn are in memory besides the
	// output itself while the turn is sent to the ledger: the output in one piece, the encoded
	// command and the message that holds it.
	commandCopies = 3
	// largeCommandBytes is the size of copies from which on commands wait for each other.
	largeCommandBytes = 256 << 10
)

// newOutputs returns the limit of the outputs of turns that are kept.
func newOutputs(limits MemoryLimits, metrics *telemetry.Metrics) *membudget.Outputs {
	gauge := metrics.HeldBytes.WithLabelValues(membudget.KeptOutputs.String())
	return membudget.NewOutputs(memory.OutputsLimit(limits.HeldBytes), func(_ membudget.Kind, bytes int64) { gauge.Add(float64(bytes)) })
}

// commandSlots limits the memory for copies of large turns that are sent to the ledger. A turn that
// exceeds the limit is sent alone.
type commandSlots struct {
	bytes *semaphore.Weighted // nil: not limited
	limit int64
}

func newCommandSlots(limits MemoryLimits) *commandSlots {
	limit := memory.CommandsLimit(limits.HeldBytes)
	if limit <= 0 {
		return &commandSlots{}
	}
	return &commandSlots{bytes: semaphore.NewWeighted(limit), limit: limit}
}

// acquire waits until the copies may be made. The returned function gives the memory back.
func (s *commandSlots) acquire(ctx context.Context, bytes int64) (release func(), err error) {
	if s.bytes == nil || bytes < largeCommandBytes {
		return func() {}, nil
	}
	bytes = min(bytes, s.limit)
	if err := s.bytes.Acquire(ctx, bytes); err != nil {
		return nil, err
	}
	return func() { s.bytes.Release(bytes) }, nil
}

// keepTurn stores the turn durably before the response ends, so that the client can
// continue from it at once through any entry.
func (c *call) keepTurn(ctx context.Context) error {
	start := time.Now()
	defer func() { c.keepDuration = time.Since(start) }()
	if err := c.storeTurn(ctx); err != nil {
		c.settleAsync()
		return fmt.Errorf("%w: %w: %w", errOutcomeUnknown, errNotKept, err)
	}
	return nil
}

func (c *call) storeTurn(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	copies := commandCopies * int64(len(c.body)+c.output.Len())
	release, err := c.g.commands.acquire(ctx, copies)
	if err != nil {
		return err
	}
	defer release()
	output, err := c.output.Take()
	if err != nil {
		return err
	}
	f := c.settlement()
	f.Keep = true
	f.Previous = c.meta.PreviousTurn
	f.Input = c.body
	f.Output = output
	f.RetentionMs = c.route.TurnRetention.Milliseconds()
	f.Server = c.server.ID
	f.Whole = true
	return c.g.ledger.finish(ctx, f)
}

// settlement returns the command that settles the turn without keeping it.
func (c *call) settlement() *ledgerpb.Finish {
	return &ledgerpb.Finish{Account: c.accountName(), CallId: c.meta.ID, Program: c.meta.Program, Tokens: c.tokensSent()}
}

// tokensSent returns the number of tokens that were sent to the client.
func (c *call) tokensSent() uint64 { return uint64(c.eventsSent * c.tokensPerEvent()) }

func (c *call) tokensPerEvent() int {
	if c.service == nil || c.service.Engine == nil {
		return 1
	}
	return max(1, c.service.Engine.TokensPerEvent)
}

// keepOutput records an event that is to be sent to the client. An error says that the stream must
// not go on: it is too long for a response to this request, for a turn that is kept, or for the
// memory of the entry.
func (c *call) keepOutput(ev event) error {
	if c.service.Engine != nil && memory.ExceedsDeclared(c.tokensSent()+uint64(c.tokensPerEvent()), c.meta.MaxTokens) {
		return errBeyondDeclared
	}
	if c.output == nil {
		return nil
	}
	return c.output.Append(ev.data)
}

// isOutputError reports whether a stream was broken off for its length. Another server must not
// continue it.
func isOutputError(err error) bool {
	return errors.Is(err, errBeyondDeclared) || errors.Is(err, membudget.ErrOutputTooLarge) || errors.Is(err, membudget.ErrOutputEnded)
}

// settleAsync settles the turn in the background. If the settlement fails, the turn is
// charged the maximum that it reserved.
func (c *call) settleAsync() {
	f := c.settlement()
	c.g.goTask("settlement", func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		if err := c.g.ledger.finish(ctx, f); err != nil {
			c.g.log.Warn("turn not settled: its full reservation is charged", "request", f.CallId, "account", f.Account, "program", f.Program, "error", err)
		}
	})
}
