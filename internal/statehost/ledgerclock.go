package statehost

import (
	"sync"
	"time"

	"ibistray.example/ibistray/internal/clock"
	"ibistray.example/ibistray/internal/ledger"
)

// ledgerClock is the time of the program ledger, by which turns and programs expire. Whichever host
// leads, it goes on from the time stamps of earlier commands at the pace of a clock that only
// advances. The time of day sets where the first one begins, no more: it may jump, and a jump ahead
// would end the retention of everything at once.
type ledgerClock struct {
	state     *ledger.State
	elapsed   func() time.Duration
	timeOfDay func() time.Time

	mu       sync.Mutex
	latestMs int64         // time of the ledger, at least that of the latest command
	at       time.Duration // elapsed when latestMs was read
}

func newLedgerClock(cfg Config, state *ledger.State) *ledgerClock {
	c := &ledgerClock{state: state, elapsed: cfg.Clock, timeOfDay: cfg.TimeOfDay}
	if c.elapsed == nil {
		c.elapsed = clock.SinceBoot
	}
	if c.timeOfDay == nil {
		c.timeOfDay = time.Now
	}
	return c
}

// nowMs returns the time stamp of a command, in milliseconds since the Unix epoch. While this host
// does not lead, it must be called at intervals, so that the time goes on between two commands.
func (c *ledgerClock) nowMs() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	applied, elapsed := c.state.NowMs(), c.elapsed()
	if applied == 0 {
		return c.timeOfDay().UnixMilli()
	}
	now := c.latestMs + (elapsed - c.at).Milliseconds()
	if applied > now || c.latestMs == 0 {
		c.latestMs, c.at = applied, elapsed
		return applied
	}
	return now
}
