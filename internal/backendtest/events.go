package backendtest

import "time"

// Kinds of cache events.
const (
	EventStored  = "stored"
	EventEvicted = "evicted"
)

// maxEvents bounds the events that an engine keeps for its readers.
const maxEvents = 4096

// CacheEvent is one change of the prefix cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Kind     string `json:"kind"` // EventStored or EventEvicted
	Program  string `json:"program"`
	Tokens   int    `json:"tokens"`

	at time.Time
}

// eventLog keeps cache events and shows them late and with gaps.
type eventLog struct {
	last     uint64 // newest sequence number given out
	events   []CacheEvent
	delay    time.Duration
	gapEvery int
}

func (l *eventLog) add(kind, program string, tokens int, now time.Time) {
	l.last++
	if l.gapEvery > 0 && l.last%uint64(l.gapEvery) == 0 {
		return
	}
	l.events = append(l.events, CacheEvent{Sequence: l.last, Kind: kind, Program: program, Tokens: tokens, at: now})
	if len(l.events) > maxEvents {
		l.events = l.events[1:]
	}
}

// after returns the visible events with a sequence number above n, and the
// number to ask with next time.
func (l *eventLog) after(n uint64, now time.Time) ([]CacheEvent, uint64) {
	found := []CacheEvent{}
	next := n
	for _, event := range l.events {
		if event.Sequence <= n {
			continue
		}
		if now.Sub(event.at) < l.delay {
			break
		}
		found = append(found, event)
		next = event.Sequence
	}
	return found, next
}
