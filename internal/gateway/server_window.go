package gateway

import (
	"time"

	"ibistray.example/ibistray/internal/fleet"
	"ibistray.example/ibistray/internal/policy/window"
)

const (
	// windowDecreaseInterval is the minimum time between two decreases of a server's window.
	windowDecreaseInterval = 250 * time.Millisecond
	// windowDecreaseFactor multiplies the window when a server refuses requests or sends no
	// output in time.
	windowDecreaseFactor = 0.5
	// windowPollInterval is the pause after which a waiting request looks for a free place in
	// a window.
	windowPollInterval = 20 * time.Millisecond
	// ratePeriod is the period over which events are counted.
	ratePeriod = time.Second
)

// serverWindow limits the requests of this entry that run at one server: to its slots, and
// to fewer while it refuses requests or sends no output in time. The requests of many
// entries that others turned away meet at the servers that are left.
type serverWindow struct {
	window    *window.Window
	completed rateCounter
}

func newServerWindow(server *fleet.Instance) *serverWindow {
	return &serverWindow{window: window.New(window.Policy{
		Min:              1,
		Max:              max(minSlotShare, server.Slots),
		SlowThreshold:    time.Hour,
		DecreaseFactor:   windowDecreaseFactor,
		DecreaseInterval: windowDecreaseInterval,
	})}
}

// record updates the window after an attempt. now is the time since any fixed moment.
func (w *serverWindow) record(outcome attemptOutcome, now time.Duration) {
	switch outcome {
	case outcomeOK:
		w.window.RecordSuccess(now, 0)
		w.completed.add(now)
	case outcomeRefused, outcomeSilent:
		w.window.RecordOverload(now)
	}
}

// rateCounter counts events in the current period and in the one before.
type rateCounter struct {
	current, previous int
	start             time.Duration // of the current period
}

// advance begins a new period if the current one has ended.
func (c *rateCounter) advance(now time.Duration) {
	elapsed := now - c.start
	if elapsed < ratePeriod {
		return
	}
	c.previous = 0
	if elapsed < 2*ratePeriod {
		c.previous = c.current
	}
	c.current, c.start = 0, now
}

func (c *rateCounter) add(now time.Duration) {
	c.advance(now)
	c.current++
}

// perSecond returns the higher rate of the two periods.
func (c *rateCounter) perSecond(now time.Duration) float64 {
	c.advance(now)
	return float64(max(c.current, c.previous)) / ratePeriod.Seconds()
}
