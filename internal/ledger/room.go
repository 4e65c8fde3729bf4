package ledger

import "time"

// Room describes what the ledger keeps and what of it will be freed when. It is a copy of the state
// at one moment.
type Room struct {
	Bytes    int64 // of the input and output of the turns
	Programs int64 // whose turns are kept: the turns that continue from no other
	Running  int64 // programs that have turns that run, or had a command lately
	expiring []int64
}

const (
	// expirySlot is the unit in which Room measures the time until turns expire, and expirySlots
	// limits that time.
	expirySlot  = expiryInterval
	expirySlots = 720
	// maxTurnTime is the time after which a turn without an end counts as lost.
	maxTurnTime = time.Minute
)

// Room returns what the ledger keeps. A program runs if its last command was less than a period
// before, or less than maxTurnTime if one of its turns runs.
func (s *State) Room(period time.Duration) Room {
	s.mu.RLock()
	defer s.mu.RUnlock()
	r := Room{Bytes: s.turnBytes}
	for _, t := range s.turns {
		left := max(0, t.expiresMs-s.nowMs)
		slot := min(left/expirySlot.Milliseconds(), expirySlots-1)
		for int64(len(r.expiring)) <= slot {
			r.expiring = append(r.expiring, 0)
		}
		r.expiring[slot] += t.body.size()
		if t.previous == nil {
			r.Programs++
		}
	}
	for _, p := range s.programs {
		idle := s.nowMs - (p.expiresMs - programRetentionPeriod.Milliseconds())
		if idle < period.Milliseconds() || len(p.reservations) > 0 && idle < maxTurnTime.Milliseconds() {
			r.Running++
		}
	}
	return r
}

// FreedAfter returns the time after which that many bytes of turns will have expired and been removed
// if no turn continues from them.
func (r Room) FreedAfter(bytes int64) time.Duration {
	slot := 0
	for ; slot < len(r.expiring) && bytes > 0; slot++ {
		bytes -= r.expiring[slot]
	}
	return time.Duration(slot+1) * expirySlot
}

// Begun reports whether a call of a program with a budget has begun or ended.
func (s *State) Begun(account, program, callID string) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	p := s.programs[key{account, program}]
	if p == nil {
		return false
	}
	_, reserved := p.reservations[callID]
	_, settled := p.settledCalls[callID]
	return reserved || settled
}
