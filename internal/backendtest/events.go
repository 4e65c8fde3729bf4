package backendtest

import "time"

// Kinds of cache events.
const (
	EventStored  = "stored"
	EventEvicted = "evicted"
)

// maxEvents is the number of events that an engine keeps for its readers; it drops the
// oldest ones above that.
const maxEvents = 4096

// CacheEvent is one change of the prefix cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Kind     string `json:"kind"` // EventStored or EventEvicted
	Program  string `json:"program"`
	Tokens   int    `json:"tokens"`

	recordedAt time.Time
}

// eventLog keeps the most recent cache events. To test its readers it can deliver events
// with a delay and with gaps in their sequence numbers.
type eventLog struct {
	last     uint64 // last assigned sequence number, even if its event was dropped
	events   []CacheEvent
	delay    time.Duration // age at which an event becomes visible
	gapEvery int           // every n-th event is dropped; 0: none
}

// add assigns the next sequence number to an event and records it unless it is dropped.
func (l *eventLog) add(kind, program string, tokens int, now time.Time) {
	l.last++
	if l.gapEvery > 0 && l.last%uint64(l.gapEvery) == 0 {
		return
	}
	l.events = append(l.events, CacheEvent{Sequence: l.last, Kind: kind, Program: program, Tokens: tokens, recordedAt: now})
	if len(l.events) > maxEvents {
		l.events = l.events[1:]
	}
}

// after returns the visible events with a sequence number above n, and the number to
// pass in the next call.
func (l *eventLog) after(n uint64, now time.Time) ([]CacheEvent, uint64) {
	found := []CacheEvent{}
	next := n
	for _, event := range l.events {
		if event.Sequence <= n {
			continue
		}
		if now.Sub(event.recordedAt) < l.delay {
			break
		}
		found = append(found, event)
		next = event.Sequence
	}
	return found, next
}
