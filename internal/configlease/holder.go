package configlease

import (
	"time"

	"ibistray.example/ibistray/internal/blackboard"
	"ibistray.example/ibistray/internal/config"
	"ibistray.example/ibistray/proto/configpb"
	"ibistray.example/ibistray/proto/rpcpb"
)

// Holder is the copy of one process and its lease. It is safe for concurrent
// use.
type Holder struct {
	view    *blackboard.Cell[*config.View]
	expires *blackboard.Cell[time.Time]
}

// NewHolder returns an empty copy without a lease.
func NewHolder() *Holder {
	return &Holder{
		view:    blackboard.NewCell(new(config.View)),
		expires: blackboard.NewCell(time.Time{}),
	}
}

// View returns the current copy.
func (h *Holder) View() *config.View {
	return h.view.Load()
}

// Changed returns a channel that is closed at the next change of the copy.
func (h *Holder) Changed() <-chan struct{} {
	return h.view.Snapshot().Superseded()
}

// Valid reports whether the lease holds: no change is in force that the copy
// does not have.
func (h *Holder) Valid(now time.Time) bool {
	return now.Before(h.expires.Load())
}

// Remaining returns how long the lease still holds, negative after its end.
func (h *Holder) Remaining(now time.Time) time.Duration {
	return h.expires.Load().Sub(now)
}

// Renew takes the answer to a message that was sent at the given time. An answer
// that is older than the copy changes nothing.
func (h *Holder) Renew(c *rpcpb.Configuration, sent time.Time) {
	if c == nil || c.Changes == nil {
		return
	}
	h.view.Update(func(old *config.View) *config.View { return merged(old, c.Changes) })
	if !c.Fresh || h.View().Version() < c.Changes.Version {
		return
	}
	h.expires.Update(func(old time.Time) time.Time { return later(old, sent.Add(HolderLeaseDuration)) })
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// merged returns the copy after the changes, or the copy itself when they are
// older.
func merged(old *config.View, changes *configpb.Changes) *config.View {
	next, err := old.WithChanges(changes)
	if err != nil {
		return old
	}
	return next
}
