package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/account"
)

const second = time.Second

var (
	testWindow = Window{Period: 5 * second, Excess: 0.1, Slack: 20}
	testLimit  = account.Limit{PerSecond: 10, Burst: 10} // capacity 23
)

// newFull returns an allocator whose accounts have all permits at the returned time.
func newFull() (*Allocator, time.Duration) {
	return NewAllocator(testWindow, 0, nil), time.Minute
}

func TestRequestsThatWaitGetWhatThereIsAndPrefetchLeavesAReserve(t *testing.T) {
	a, now := newFull()
	g := a.Ask(now, "a", testLimit, Ask{Entry: "e1", Wanted: 100})
	assert.Equal(t, g.Permits, 13) // of 23, 40 percent stay
	g = a.Ask(now, "a", testLimit, Ask{Entry: "e2", Wanted: 1})
	assert.Equal(t, g.Permits, 0)
	assert.Equal(t, g.Retry, time.Duration(0))
	g = a.Ask(now, "a", testLimit, Ask{Entry: "e2", Waiting: 20, Wanted: 20})
	assert.Equal(t, g.Permits, 10)
	assert.Equal(t, g.Open, time.Duration(0))
	assert.Assert(t, g.Retry >= minRetry && g.Retry <= 150*time.Millisecond, "%s", g.Retry)
	g = a.Ask(now, "a", testLimit, Ask{Entry: "e3", Waiting: 1, Wanted: 1})
	assert.Assert(t, g.Retry >= second, "10 requests at 10 a second are ahead: %s", g.Retry)
}

func TestNewAllocatorBeginsWithoutPermits(t *testing.T) {
	a := NewAllocator(testWindow, time.Hour, nil)
	everything := Ask{Entry: "e", Waiting: 100, Wanted: 100}
	assert.Equal(t, a.Ask(time.Hour, "a", testLimit, everything).Permits, 0)
	assert.Equal(t, a.Ask(time.Hour+second/2, "a", testLimit, everything).Permits, 3) // tolerance 26, half of it over 2 s
	assert.Equal(t, a.Ask(time.Hour+second, "b", testLimit, everything).Permits, 6)
}

func TestChangedLimitAppliesFromTheNextAsk(t *testing.T) {
	a, now := newFull()
	everything := Ask{Entry: "e", Waiting: 100, Wanted: 100}
	low := account.Limit{PerSecond: 1}
	a.Ask(now, "a", testLimit, Ask{Entry: "e"})
	assert.Equal(t, a.Ask(now, "a", low, everything).Permits, 10) // tolerance 20.5
	assert.Equal(t, a.Ask(now, "a", testLimit, everything).Permits, 0)
	g := a.Ask(now+second, "a", testLimit, everything)
	assert.Equal(t, g.Permits, 10)
	everything.Session, everything.Returned = g.Session, 10
	assert.Equal(t, a.Ask(now+second, "a", low, everything).Permits, 0, "20 are outstanding of 10")
}

func TestReportsCountOnce(t *testing.T) {
	a, now := newFull()
	ask := Ask{Entry: "e", Waiting: 23, Wanted: 23}
	g := a.Ask(now, "a", testLimit, ask)
	assert.Equal(t, g.Permits, 23)
	ask.Session, ask.Used, ask.Returned, ask.Waiting = g.Session, 3, 20, 20
	assert.Equal(t, a.Ask(now, "a", testLimit, ask).Permits, 20)
	assert.Equal(t, a.Ask(now, "a", testLimit, ask).Permits, 0, "a duplicate")
	ask.Session = 1
	assert.Equal(t, a.Ask(now, "a", testLimit, ask).Permits, 0, "an unknown session")
}

// TestPermitsDontComeInWhileOthersAreOutstanding has all permits used just before they
// expire: what was lost while they were in hand must not come in at once.
func TestPermitsDontComeInWhileOthersAreOutstanding(t *testing.T) {
	a, now := newFull()
	everything := Ask{Entry: "e", Waiting: 100, Wanted: 100}
	assert.Equal(t, a.Ask(now, "a", testLimit, everything).Permits, 23)
	later := now + PermitLifetime + second/2
	assert.Equal(t, a.Ask(later, "a", testLimit, everything).Permits, 5)
}

// TestExpiredPermitsAreNotAvailableAgain has permits returned after they expired, while later
// ones of the session are valid.
func TestExpiredPermitsAreNotAvailableAgain(t *testing.T) {
	a, now := newFull()
	ask := Ask{Entry: "e", Waiting: 23, Wanted: 23}
	ask.Session = a.Ask(now, "a", testLimit, ask).Session
	now += PermitLifetime + second
	assert.Equal(t, a.Ask(now, "a", testLimit, ask).Permits, 10)
	ask.Used, ask.Returned = 3, 23
	assert.Equal(t, a.Ask(now, "a", testLimit, ask).Permits, 0, "the later ones may be the used ones")
	ask.Returned = 25
	assert.Equal(t, a.Ask(now, "a", testLimit, ask).Permits, 2)
}

func TestNewProgramsLeavePermitsToRunningOnes(t *testing.T) {
	a, now := newFull()
	ask := Ask{Entry: "e", Programs: []uint64{1, 2, 3, 4, 5, 6}}
	g := a.Ask(now, "a", testLimit, ask)
	admitted := 0
	for _, ok := range g.Admitted {
		if ok {
			admitted++
		}
	}
	assert.Assert(t, admitted >= 1 && admitted < 6, "%d", admitted)
	assert.Equal(t, g.Admitted[0], true)
	assert.Assert(t, g.Retry == g.ProgramRetry && g.Retry > second, "%s", g.Retry)
	g = a.Ask(now, "a", testLimit, Ask{Entry: "f", Waiting: 10, Wanted: 10, Programs: []uint64{1, 7}})
	assert.Equal(t, g.Permits, 10)
	assert.DeepEqual(t, g.Admitted, []bool{true, false})
}

func TestProgramsBeginWithPermitsInHandFarBelowTheLimit(t *testing.T) {
	a, now := newFull()
	g := a.Ask(now, "a", testLimit, Ask{Entry: "e", Wanted: 2})
	assert.Equal(t, g.Open, maxOpen)
	for used := 1; used < 120; used++ {
		now += second / 10
		g = a.Ask(now, "a", testLimit, Ask{Entry: "e", Session: g.Session, Used: used, Waiting: 1, Wanted: 1})
	}
	assert.Equal(t, g.Open, time.Duration(0))
}

func TestPruneKeepsAccountsThatAreShortOfPermits(t *testing.T) {
	a, now := newFull()
	slow := account.Limit{PerSecond: 0.25} // capacity 10.06
	everything := Ask{Entry: "e", Waiting: 100, Wanted: 100}
	a.Ask(now, "a", slow, everything)
	now += idlePeriod + second
	a.Prune(now)
	assert.Equal(t, a.Ask(now, "a", slow, everything).Permits, 7) // of 29 seconds
	a.Prune(now + 10*idlePeriod)
	assert.Equal(t, len(a.accounts), 0)
}

func TestStockTakesWhatIsValid(t *testing.T) {
	s := new(Stock)
	assert.Assert(t, !s.Take(0, false) && s.Idle(time.Minute) && !s.Due(second))
	assert.Equal(t, s.Ask(second, 3, nil).Wanted, 3)
	s.Add(second, second, Grant{Session: 5, Permits: 3, Admitted: []bool{true, false}, Retry: second, ProgramRetry: second})
	s.Add(second, second, Grant{Session: 5, Permits: 3})
	assert.Assert(t, !s.Take(second, true), "programs must be named")
	assert.Assert(t, s.Take(second+1, false) && s.Take(second+2, false))
	assert.Equal(t, s.DeniedUntil(), time.Duration(0))
	assert.Equal(t, s.ProgramsDeniedUntil(), 2*second)
	s.Refund(second + 2)
	assert.Assert(t, !s.Take(second+PermitLifetime, false))
	ask := s.Ask(second+PermitLifetime, 0, nil)
	assert.DeepEqual(t, ask, Ask{Session: 5, Used: 2, Returned: 2, Wanted: ask.Wanted})
	s.Refund(second + 1)
	assert.Equal(t, s.Ask(second+PermitLifetime, 0, nil).Used, 2, "reported before")
}

func TestStockBeginsASessionAfterALoss(t *testing.T) {
	s := new(Stock)
	s.Ask(second, 0, nil)
	s.Add(second, second, Grant{Session: 5, Permits: 4, Open: second})
	assert.Assert(t, s.Take(second, true))
	s.Lost(second)
	assert.Assert(t, s.Take(second+1, false), "permits in hand remain")
	s.Refund(second + 1)
	ask := s.Ask(second+2, 2, nil)
	assert.DeepEqual(t, ask, Ask{Waiting: 2, Wanted: ask.Wanted})
	s.Add(second+3, second, Grant{Session: 5, Permits: 4})
	assert.Equal(t, len(s.lots), 1, "a response to a lost ask")

	s.Add(second+3, second+2, Grant{Session: 6, Permits: 4})
	for range 3 {
		assert.Assert(t, s.Take(second+4, false))
	}
	s.Refund(second + 4)
	assert.Equal(t, s.used, 1, "the refunded request may be one of the two that used permits of the former session")
	s.Ask(second+5, 0, nil)
	s.Add(second+5, second+5, Grant{Session: 6, Before: 8, Permits: 1})
	assert.Equal(t, s.Ask(second+6, 0, nil).Session, uint64(0), "a grant was not received")
}

func TestStockKeepsWhatItExpects(t *testing.T) {
	s := new(Stock)
	now := second
	for range 8 { // four requests a second
		now += second / 4
		s.Ask(now, 1, nil)
		s.Add(now, now, Grant{Session: 5, Permits: 1, Open: second})
		assert.Assert(t, s.Take(now, false))
	}
	assert.Assert(t, !s.Due(now) && s.Due(now+hurriedAskPeriod))
	ask := s.Ask(now+second, 0, nil)
	assert.Assert(t, ask.Wanted >= 1 && ask.Wanted <= 3, "%d", ask.Wanted)
	s.Add(now+second, now+second, Grant{Session: 5, Permits: 20})
	assert.Assert(t, s.Due(now+2*second), "surplus near the limit")
	assert.Assert(t, s.Ask(now+2*second, 0, nil).Returned >= 18)
	assert.Assert(t, !s.Idle(now+time.Minute), "no response yet")
	s.Lost(now + 3*second)
	assert.Assert(t, s.Idle(now+time.Minute))
}

func TestWait(t *testing.T) {
	assert.Assert(t, Wait(false, 4*second, 10*second) && !Wait(false, 5*second, 10*second))
	assert.Assert(t, Wait(true, second, 10*second) && !Wait(true, 2*second, 10*second))
	assert.Assert(t, !Wait(false, 0, 0))
}
