package configlease

import (
	"time"

	"ibistray.example/ibistray/internal/blackboard"
	"ibistray.example/ibistray/internal/config"
	"ibistray.example/ibistray/proto/configpb"
	"ibistray.example/ibistray/proto/rpcpb"
)

// Holder is one process's view of the configuration and the lease on it. It is safe
// for concurrent use.
type Holder struct {
	view    *blackboard.Cell[*config.View]
	expires *blackboard.Cell[time.Time]
}

// NewHolder returns a Holder with an empty view and no lease.
func NewHolder() *Holder {
	return &Holder{
		view:    blackboard.NewCell(new(config.View)),
		expires: blackboard.NewCell(time.Time{}),
	}
}

// View returns the current view of the configuration.
func (h *Holder) View() *config.View {
	return h.view.Load()
}

// Changed returns a channel that is closed when the view is next replaced.
func (h *Holder) Changed() <-chan struct{} {
	return h.view.Snapshot().Superseded()
}

// Valid reports whether the lease is valid at the given time. While it is, the view
// contains every change that is in force.
func (h *Holder) Valid(now time.Time) bool {
	return now.Before(h.expires.Load())
}

// Remaining returns the time until the lease expires, negative once it has expired.
func (h *Holder) Remaining(now time.Time) time.Duration {
	return h.expires.Load().Sub(now)
}

// Renew applies the response to a message that was sent at the given time: it merges
// the changes into the view and extends the lease if the response grants one. The
// lease runs from sent, so that a delayed response does not prolong it. Changes
// older than the view have no effect.
func (h *Holder) Renew(response *rpcpb.Configuration, sent time.Time) {
	if response == nil || response.Changes == nil {
		return
	}
	h.view.Update(func(old *config.View) *config.View { return mergeNewer(old, response.Changes) })
	if !response.Fresh || h.View().Version() < response.Changes.Version {
		return
	}
	h.expires.Update(func(old time.Time) time.Time { return laterTime(old, sent.Add(HolderLeaseDuration)) })
}

func laterTime(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// mergeNewer returns a view with the changes merged, or old itself if the changes are
// older than it.
func mergeNewer(old *config.View, changes *configpb.Changes) *config.View {
	next, err := old.WithChanges(changes)
	if err != nil {
		return old
	}
	return next
}
