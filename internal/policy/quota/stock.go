package quota

import (
	"math"
	"slices"
	"time"
)

const (
	// askPeriod is the time between asks without a waiting request, and hurriedAskPeriod that
	// of an entry whose permits run short.
	askPeriod        = 250 * time.Millisecond
	hurriedAskPeriod = 50 * time.Millisecond
	// reportPeriod is the time after which use is reported that needs no further permits.
	reportPeriod = 4 * time.Second
	// openPeriod is the period whose expected use is asked for at once while the account is far
	// below its limit, and shortPeriod otherwise.
	openPeriod  = time.Second
	shortPeriod = 400 * time.Millisecond
	// standingRate is the use, in permits a second, from which one permit is always kept.
	standingRate = 0.3
	// renewBefore is the time before their expiry at which permits are replaced.
	renewBefore = 400 * time.Millisecond
	// idleStockPeriod is the time after the latest use when a stock may be dropped.
	idleStockPeriod = 10 * time.Second
)

// Stock is the permits of one account at one entry. The zero value has none. It is not safe
// for concurrent use. Times are of a clock that counts suspension.
type Stock struct {
	session                uint64
	sessions               int   // begun so far
	lots                   []lot // in hand, in the order of the grants
	received               int   // permits, in the session
	used, returned, begun  int   // in the session
	reported               int   // of used and returned, in the latest ask
	foreign                int   // permits of other sessions used since the latest ask
	rate                   decayingSum
	lastUse, lastAsk       time.Duration
	waiting                int // in the latest ask
	inFlight               []time.Duration
	openUntil, deniedUntil time.Duration
	programsDeniedUntil    time.Duration
	short                  bool // the account was near its limit at the latest grant
}

// lot is what is left of one grant.
type lot struct {
	askedAt time.Duration
	permits int
	session int // number of the session
}

// Valid reports whether permits that were asked for at a time may still be used. It applies
// to those of admitted programs as well.
func Valid(now, askedAt time.Duration) bool { return now-askedAt < PermitLifetime }

// Take takes one permit if one is in hand and, for a new program, if programs may begin.
func (s *Stock) Take(now time.Duration, newProgram bool) bool {
	s.drop(now, 0)
	if len(s.lots) == 0 || newProgram && now >= s.openUntil {
		return false
	}
	first := &s.lots[0]
	if first.session == s.sessions {
		s.used++
		if newProgram {
			s.begun++
		}
	} else {
		s.foreign++
	}
	s.recordUse(now, 1)
	if first.permits--; first.permits == 0 {
		s.lots = s.lots[1:]
	}
	return true
}

func (s *Stock) recordUse(now time.Duration, permits int) {
	s.rate.add(now, float64(permits), ratePeriod)
	s.lastUse = now
}

// Refund records that the request that took a permit at takenAt was not sent to any server,
// and won't be. The permit is given back unless its use was reported before.
func (s *Stock) Refund(takenAt time.Duration) {
	if s.foreign == 0 && takenAt > s.lastAsk && s.used > 0 {
		s.used--
		s.returned++
	}
}

// drop removes the permits that expire within a period.
func (s *Stock) drop(now, period time.Duration) {
	for len(s.lots) > 0 && !Valid(now+period, s.lots[0].askedAt) {
		s.giveBack(s.lots[0].permits)
	}
}

// giveBack removes the oldest permits, and counts those of the session as returned.
func (s *Stock) giveBack(permits int) {
	for permits > 0 && len(s.lots) > 0 {
		first := &s.lots[0]
		n := min(permits, first.permits)
		if first.session == s.sessions {
			s.returned += n
		}
		permits -= n
		if first.permits -= n; first.permits == 0 {
			s.lots = s.lots[1:]
		}
	}
}

// inHand returns the number of permits that don't expire within a period.
func (s *Stock) inHand(now, period time.Duration) int {
	n := 0
	for _, l := range s.lots {
		if Valid(now+period, l.askedAt) {
			n += l.permits
		}
	}
	return n
}

// expected returns the number of permits to keep in hand. Near the limit of the account, none
// is kept for rare requests.
func (s *Stock) expected(now time.Duration) int {
	rate := s.rate.get(now, ratePeriod) / ratePeriod.Seconds()
	if s.short {
		return int(math.Round(rate * shortPeriod.Seconds()))
	}
	if rate < standingRate {
		return 0
	}
	return int(math.Ceil(rate * openPeriod.Seconds()))
}

// Due reports whether to ask although no request waits: for expected use, or to report.
func (s *Stock) Due(now time.Duration) bool {
	s.drop(now, 0)
	since := now - s.lastAsk
	if len(s.inFlight) > 0 || since < hurriedAskPeriod {
		return false
	}
	inHand, expected := s.inHand(now, renewBefore), s.expected(now)
	unreported := s.used+s.returned > s.reported
	switch {
	case now >= s.deniedUntil && 2*inHand < expected:
		return since >= askPeriod || expected > 1
	case unreported && s.short || inHand > 2*expected+1:
		return since >= askPeriod
	}
	return unreported && since >= reportPeriod
}

// Ask returns what to report and to ask for, with Entry left empty: for a number of waiting
// requests of running programs, for programs that want to begin, and for expected use.
// Permits that are in surplus or about to expire are given back with it. No two asks of an
// entry may be at the same time: it tells them apart.
func (s *Stock) Ask(now time.Duration, waiting int, programs []uint64) Ask {
	s.drop(now, renewBefore)
	inHand, expected := s.inHand(now, 0), s.expected(now)
	s.giveBack(inHand - expected - waiting)
	s.lastAsk, s.waiting = now, waiting
	s.reported, s.foreign = s.used+s.returned, 0
	s.inFlight = append(s.inFlight, now)
	return Ask{
		Session: s.session, Used: s.used, Returned: s.returned, Begun: s.begun,
		Waiting: waiting, Wanted: max(0, waiting+expected-inHand), Programs: programs,
	}
}

// Add records the grant to an ask that was sent at askedAt; waiting requests take from it
// afterwards. The permits of admitted programs count as used: the caller hands them to their
// requests if they are still Valid. A grant that was recorded before, or to an ask that is
// taken to be lost, is ignored.
func (s *Stock) Add(now, askedAt time.Duration, g Grant) {
	place := slices.Index(s.inFlight, askedAt)
	if place < 0 {
		return
	}
	s.inFlight = slices.Delete(s.inFlight, place, place+1)
	if g.Session != s.session {
		s.startSession(g.Session)
	}
	if g.Before != s.received {
		s.startSession(0) // another grant was not received
	}
	s.receive(now, askedAt, g)
	s.openUntil, s.deniedUntil, s.programsDeniedUntil = askedAt+g.Open, 0, 0
	s.short = g.Open == 0
	if g.Permits < s.waiting {
		s.deniedUntil = now + g.Retry
	}
	if slices.Contains(g.Admitted, false) {
		s.programsDeniedUntil = now + max(g.Retry, g.ProgramRetry)
	}
}

// receive takes the permits of a grant in hand, and uses one for each admitted program.
func (s *Stock) receive(now, askedAt time.Duration, g Grant) {
	admitted := 0
	for _, ok := range g.Admitted {
		if ok {
			admitted++
		}
	}
	if permits := g.Permits + admitted; permits > 0 {
		s.received += permits
		s.lots = append(s.lots, lot{askedAt: askedAt, permits: permits, session: s.sessions})
	}
	for range admitted {
		s.Take(now, false)
	}
}

// startSession begins to count anew. What was used since the latest ask is not reported.
func (s *Stock) startSession(session uint64) {
	s.foreign += s.used + s.returned - s.reported
	s.session, s.received, s.used, s.returned, s.begun, s.reported = session, 0, 0, 0, 0, 0
	s.sessions++
}

// Lost records that asks had no response. What they granted is unknown to the entry, so a new
// session begins with the next ask; permits in hand remain valid.
func (s *Stock) Lost(time.Duration) {
	s.inFlight = nil
	s.startSession(0)
}

// DeniedUntil returns the time before which asking for requests of running programs is
// useless, 0 if there is none.
func (s *Stock) DeniedUntil() time.Duration { return s.deniedUntil }

// ProgramsDeniedUntil returns the time before which asking for new programs is useless, 0 if
// there is none.
func (s *Stock) ProgramsDeniedUntil() time.Duration {
	return max(s.deniedUntil, s.programsDeniedUntil)
}

// Idle reports whether the stock may be dropped: nothing is in hand, nothing to report, and
// nothing was used lately.
func (s *Stock) Idle(now time.Duration) bool {
	s.drop(now, 0)
	return len(s.lots) == 0 && len(s.inFlight) == 0 && now-s.lastUse > idleStockPeriod && now-s.lastAsk > PermitLifetime
}
