package gateway

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/fleet"
)

var noon = time.Unix(1_700_000_000, 0)

func servers(n int) []*fleet.Instance {
	var list []*fleet.Instance
	for i := range n {
		list = append(list, &fleet.Instance{ID: fmt.Sprintf("s%d", i), Slots: 16})
	}
	return list
}

func TestKeyedRequestsStayAndOverflow(t *testing.T) {
	l := newLoads()
	ask := choice{servers: servers(5), key: "program", now: noon}
	home := l.take(ask).ID
	for range 3 {
		assert.Equal(t, l.take(ask).ID, home)
	}
	// The entry's share of the slots is taken: the next ones go to one other server.
	second := l.take(ask).ID
	assert.Assert(t, second != home)
	assert.Equal(t, l.take(ask).ID, second)
	l.release(home, verdictFine, noon)
	assert.Equal(t, l.take(ask).ID, home)
}

func TestPlainRequestsGoWhereLeastIsUnderWay(t *testing.T) {
	l := newLoads()
	ask := choice{servers: servers(4), now: noon}
	counts := make(map[string]int)
	for range 40 {
		counts[l.take(ask).ID]++
	}
	for id, n := range counts {
		assert.Equal(t, n, 10, id)
	}
}

func TestTriedServersAreNotTaken(t *testing.T) {
	l := newLoads()
	ask := choice{servers: servers(2), tried: map[string]bool{"s0": true}, now: noon}
	assert.Equal(t, l.take(ask).ID, "s1")
	ask.tried["s1"] = true
	assert.Assert(t, l.take(ask) == nil)
}

func TestSameDomainIsPreferredAmongEquals(t *testing.T) {
	l := newLoads()
	list := servers(4)
	list[2].FailureDomain = "here"
	assert.Equal(t, l.take(choice{servers: list, domain: "here", now: noon}).ID, "s2")
}

// TestServerThatFailsAPartOfItsRequestsIsAvoided replays a server of three that
// hangs four requests in ten while its others are answered.
func TestServerThatFailsAPartOfItsRequestsIsAvoided(t *testing.T) {
	l := newLoads()
	list := servers(3)
	now := noon
	asked, failed := 0, 0
	for i := range 400 {
		now = now.Add(50 * time.Millisecond)
		s := l.take(choice{servers: list, now: now})
		v := verdictFine
		if s.ID == "s0" {
			asked++
			if i%10 < 4 {
				v = verdictSilent
				failed++
			}
		}
		l.release(s.ID, v, now)
	}
	// 400 requests in 20 s; a fair share would be 133 with 53 failures.
	assert.Assert(t, asked <= 20, "asked %d times", asked)
	assert.Assert(t, failed <= 6, "failed %d times", failed)
}

func TestOneLostAnswerDoesNotMoveAProgram(t *testing.T) {
	l := newLoads()
	ask := choice{servers: servers(5), key: "program", now: noon}
	home := l.take(ask).ID
	l.release(home, verdictFailed, noon)
	assert.Equal(t, l.take(ask).ID, home)
	l.release(home, verdictFailed, noon)
	assert.Assert(t, l.take(ask).ID != home)
	ask.now = noon.Add(failureMemory)
	assert.Equal(t, l.take(ask).ID, home)
}

func TestUnreachableServerIsLeftForAMoment(t *testing.T) {
	l := newLoads()
	ask := choice{servers: servers(5), key: "program", now: noon}
	home := l.take(ask).ID
	l.release(home, verdictUnreachable, noon)
	assert.Assert(t, l.take(ask).ID != home)
	ask.now = noon.Add(penaltyTime)
	assert.Equal(t, l.take(ask).ID, home)
}

// TestSilentServerThatAnswersIsUsed replays a cut of the state host to which some
// servers report: they are fine, and moving their programs costs their prompts.
func TestSilentServerThatAnswersIsUsed(t *testing.T) {
	l := newLoads()
	ask := choice{servers: servers(5), key: "program", now: noon}
	home := l.take(ask)
	l.release(home.ID, verdictFine, noon)
	home.Silent = true
	assert.Equal(t, l.take(ask).ID, home.ID)
	ask.now = noon.Add(answerMemory + time.Second)
	assert.Assert(t, l.take(ask).ID != home.ID)
}

func TestPenaltyOfAllServersIsNone(t *testing.T) {
	l := newLoads()
	ask := choice{servers: servers(2), now: noon}
	for _, s := range ask.servers {
		l.of(s.ID).running++
		l.release(s.ID, verdictFailed, noon)
	}
	assert.Assert(t, l.take(ask) != nil)
}

func TestOverdueFollowsTheRoute(t *testing.T) {
	l := newLoads()
	target := 100 * time.Millisecond
	assert.Equal(t, l.overdue("r", target, false), unknownOverdue*target)
	for range 50 {
		l.observe("r", 30*time.Millisecond)
	}
	assert.Equal(t, l.overdue("r", target, false), 180*time.Millisecond)
	assert.Equal(t, l.overdue("r", target, true), unknownOverdue*target)
	for range 50 {
		l.observe("fast", time.Millisecond)
	}
	assert.Equal(t, l.overdue("fast", target, false), minOverdue)
}
