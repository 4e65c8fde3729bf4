package sidecar

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"ibistray.example/ibistray/internal/policy/admit"
	"ibistray.example/ibistray/proto/rpcpb"
)

// slotsModel performs random operations on slots and tracks which attempts run and wait.
type slotsModel struct {
	slots    *slots
	lastCall int // number of the last call
	waiting  []*attempt
	waiters  map[*attempt]*waiter
	running  []*attempt
}

func (m *slotsModel) enqueue(alone bool) {
	m.lastCall++
	a := newAttempt(runRequest(strconv.Itoa(m.lastCall), 1, 1))
	a.alone = alone
	w := &waiter{alone: alone, granted: make(chan bool, 1)}
	if m.slots.enqueue(m.slots.newQueuedCall(a.request, alone), w) {
		m.waiting = append(m.waiting, a)
		m.waiters[a] = w
	}
	m.collect()
}

// collect moves the attempts that were granted a slot from waiting to running and removes
// those that were shed.
func (m *slotsModel) collect() {
	var stillWaiting []*attempt
	for _, a := range m.waiting {
		select {
		case ok := <-m.waiters[a].granted:
			if ok {
				m.running = append(m.running, a)
			}
		default:
			stillWaiting = append(stillWaiting, a)
		}
	}
	m.waiting = stillWaiting
}

func (m *slotsModel) release(i int) {
	a := m.running[i]
	m.running = append(m.running[:i], m.running[i+1:]...)
	m.slots.release(a)
	m.collect()
}

func (m *slotsModel) check(t *rapid.T, limit int) {
	alone := 0
	for _, a := range m.running {
		if a.alone {
			alone++
		}
	}
	assert.Assert(t, len(m.running) <= limit)
	assert.Assert(t, alone == 0 || len(m.running) == 1, "%d attempts run beside a suspect", len(m.running)-1)
	assert.Assert(t, len(m.running) > 0 || len(m.waiting) == 0, "%d attempts wait although no attempt runs", len(m.waiting))
}

// TestSuspectRunsAlone checks for random sequences of arrivals and releases that an attempt
// which may crash the server never runs beside another one, and that no attempt waits while
// none runs.
func TestSuspectRunsAlone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 4).Draw(t, "limit")
		m := &slotsModel{slots: newSlots(limit), waiters: make(map[*attempt]*waiter)}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(m.running) > 0 && rapid.Bool().Draw(t, "release") {
				m.release(rapid.IntRange(0, len(m.running)-1).Draw(t, "which"))
			} else {
				m.enqueue(rapid.IntRange(0, 3).Draw(t, "alone") == 0)
			}
			m.check(t, limit)
		}
		for len(m.running) > 0 {
			m.release(0)
			m.check(t, limit)
		}
		assert.Equal(t, len(m.waiting), 0)
	})
}

// TestCrashIsReportedOnceWithAllSuspects checks that one report names all attempts that
// were running on the engine when it crashed.
func TestCrashIsReportedOnceWithAllSuspects(t *testing.T) {
	var reports [][][]byte
	tracker := newCrashTracker(func(fingerprints [][]byte) []byte {
		reports = append(reports, fingerprints)
		return []byte("a")
	})
	var members []*attempt
	var group *crashGroup
	for _, name := range []string{"a", "b", "c"} {
		req := runRequest(name, 1, 1)
		req.Fingerprint = []byte(name)
		a := newAttempt(req)
		members = append(members, a)
		group = tracker.add(a)
	}
	assert.Assert(t, group.report([]byte("a")), "a is quarantined")
	assert.Assert(t, !group.report([]byte("b")), "b is not quarantined")
	assert.Equal(t, len(reports), 1)
	assert.Equal(t, len(reports[0]), len(members))
	later := tracker.add(newAttempt(&rpcpb.RunRequest{Key: runRequest("d", 1, 1).Key}))
	assert.Equal(t, later.size(), 1, "a new group begins after a crash")
}

// runFor runs an attempt that takes the given time.
func runFor(t *testing.T, s *slots, runTime time.Duration) {
	t.Helper()
	a := newAttempt(runRequest("earlier", 1, 1))
	assert.Assert(t, s.acquire(t.Context(), a) == nil)
	time.Sleep(runTime)
	s.release(a)
}

// TestShortCallsAreAdmittedByNewServer has calls whose deadline is shorter than the assumed
// run time of a server that has not run any. If they were refused, its run time would never
// be measured.
func TestShortCallsAreAdmittedByNewServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSlots(1)
		req := runRequest("short", 1, 1)
		req.TimeoutMs = 1500
		assert.Assert(t, s.decideAdmission(req).Admit)
		runFor(t, s, 400*time.Millisecond)
		assert.Assert(t, s.decideAdmission(req).Admit)
		req.TimeoutMs = 300
		assert.Equal(t, s.decideAdmission(req).Reason, admit.ReasonDeadline)
	})
}

// lateCalls is the setting of the tests of calls that wait longer than was expected when
// they were admitted: one slot, which the first attempt holds.
type lateCalls struct {
	slots  *slots
	holder *attempt
}

// lateRunTime is the expected run time in these tests.
const lateRunTime = 6 * time.Second

func newLateCalls(t *testing.T) *lateCalls {
	t.Helper()
	c := &lateCalls{slots: newSlots(1), holder: newAttempt(runRequest("holder", 1, 1))}
	runFor(t, c.slots, lateRunTime)
	assert.Assert(t, c.slots.acquire(t.Context(), c.holder) == nil)
	return c
}

// wait lets an attempt with the given time until its deadline wait for the slot. The
// channel receives the result of acquire.
func (c *lateCalls) wait(t *testing.T, call string, timeout time.Duration) (*attempt, <-chan *rpcpb.RunRefused) {
	t.Helper()
	a := newAttempt(runRequest(call, 1, 1))
	a.request.TimeoutMs = timeout.Milliseconds()
	result := make(chan *rpcpb.RunRefused, 1)
	go func() {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		result <- c.slots.acquire(ctx, a)
	}()
	synctest.Wait()
	return a, result
}

// assertRefusedForDeadline checks that an attempt was refused as it would be at its
// admission: not run, because of its deadline, with a delay for a retry.
func assertRefusedForDeadline(t *testing.T, result <-chan *rpcpb.RunRefused) {
	t.Helper()
	synctest.Wait()
	select {
	case refused := <-result:
		assert.Assert(t, refused != nil, "the attempt was started")
		assert.Equal(t, refused.Reason, rpcpb.RunRefusal_RUN_REFUSAL_NOT_ADMITTED)
		assert.Equal(t, refused.Detail, "not admitted: deadline")
		assert.Assert(t, refused.NotRun)
		assert.Assert(t, refused.RetryAfterMs > 0)
	default:
		t.Fatal("the attempt still waits")
	}
}

// TestWaitingCallThatCannotEndInTimeTakesNoSlot lets calls wait until a slot becomes free.
// The one whose remaining time is then below the expected run time is refused as not run,
// and the slot goes to the call behind it.
func TestWaitingCallThatCannotEndInTimeTakesNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newLateCalls(t)
		_, late := c.wait(t, "late", 2*lateRunTime-time.Second)
		inTime, started := c.wait(t, "in time", time.Minute)
		time.Sleep(lateRunTime)
		c.slots.release(c.holder)
		assertRefusedForDeadline(t, late)
		assert.Assert(t, <-started == nil)
		running, waiting := c.slots.counts()
		assert.Equal(t, running, 1)
		assert.Equal(t, waiting, 0)
		c.slots.release(inTime)
	})
}

// TestWaitingCallThatCannotEndInTimeIsRefusedWithoutFreeSlot checks that such a call is
// refused at the next report of the backend server, before its deadline, although no slot
// has become free.
func TestWaitingCallThatCannotEndInTimeIsRefusedWithoutFreeSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newLateCalls(t)
		_, late := c.wait(t, "late", lateRunTime+time.Second)
		time.Sleep(2 * time.Second)
		c.slots.update(1, 0)
		assertRefusedForDeadline(t, late)
		c.slots.release(c.holder)
	})
}
