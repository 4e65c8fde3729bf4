package gateway

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/fleet"
)

var testTime = time.Unix(1_700_000_000, 0)

func testServers(n int) []*fleet.Instance {
	var list []*fleet.Instance
	for i := range n {
		list = append(list, &fleet.Instance{ID: fmt.Sprintf("s%d", i), Slots: 16})
	}
	return list
}

// testServersInDomains returns servers that take turns in domain-0, domain-1 and so on.
func testServersInDomains(n, domains int) []*fleet.Instance {
	list := testServers(n)
	for i, server := range list {
		server.FailureDomain = fmt.Sprint("domain-", i%domains)
	}
	return list
}

func TestAffinityKeepsServerUntilShareIsUsed(t *testing.T) {
	loads := newLoadTracker()
	sel := selection{servers: testServers(5), key: "program", now: testTime}
	home := loads.acquire(sel).ID
	for range 3 {
		assert.Equal(t, loads.acquire(sel).ID, home)
	}
	// The entry's share of the slots is in use: further requests go to one other server.
	second := loads.acquire(sel).ID
	assert.Assert(t, second != home)
	assert.Equal(t, loads.acquire(sel).ID, second)
	loads.release(home, outcomeOK, testTime)
	assert.Equal(t, loads.acquire(sel).ID, home)
}

// TestProgramStaysAtItsServerThroughAnyEntry replays the turns of a program that reach the
// entries of several failure domains: each goes to the server that caches the prompt. If
// that one is in use, further ones go to one other server.
func TestProgramStaysAtItsServerThroughAnyEntry(t *testing.T) {
	servers := testServersInDomains(9, 3)
	for domain := range 3 {
		loads := newLoadTracker()
		sel := selection{servers: servers, key: "program", home: "s4", failureDomain: fmt.Sprint("domain-", domain), now: testTime}
		for range minSlotShare {
			assert.Equal(t, loads.acquire(sel).ID, "s4")
		}
		second := loads.acquire(sel).ID
		assert.Assert(t, second != "s4")
		assert.Equal(t, loads.acquire(sel).ID, second)
	}
}

// TestNewProgramsSpreadInTheirFailureDomain replays a calm load and a burst of programs:
// they are spread over the servers of the own failure domain, and cross to others only
// when those are in use.
func TestNewProgramsSpreadInTheirFailureDomain(t *testing.T) {
	loads := newLoadTracker()
	servers := testServersInDomains(9, 3)
	counts := make(map[string]int)
	start := func(programs int) {
		for i := range programs {
			server := loads.acquire(selection{servers: servers, key: fmt.Sprint("program ", i), newHome: true, failureDomain: "domain-1", now: testTime})
			counts[server.ID]++
		}
	}
	start(6)
	assert.DeepEqual(t, counts, map[string]int{"s1": 2, "s4": 2, "s7": 2})
	start(6)
	assert.DeepEqual(t, counts, map[string]int{"s1": 4, "s4": 4, "s7": 4})
	start(12)
	for _, server := range servers {
		if server.FailureDomain != "domain-1" {
			assert.Equal(t, counts[server.ID], 2, server.ID)
		}
	}
}

func TestRequestsWithoutKeyGoToLeastLoadedServer(t *testing.T) {
	loads := newLoadTracker()
	sel := selection{servers: testServers(4), now: testTime}
	counts := make(map[string]int)
	for range 40 {
		counts[loads.acquire(sel).ID]++
	}
	for id, n := range counts {
		assert.Equal(t, n, 10, id)
	}
}

func TestExcludedServersAreNotSelected(t *testing.T) {
	loads := newLoadTracker()
	sel := selection{servers: testServers(2), exclude: map[string]bool{"s0": true}, now: testTime}
	assert.Equal(t, loads.acquire(sel).ID, "s1")
	sel.exclude["s1"] = true
	assert.Assert(t, loads.acquire(sel) == nil)
}

func TestOwnFailureDomainBreaksTies(t *testing.T) {
	loads := newLoadTracker()
	servers := testServers(4)
	servers[2].FailureDomain = "here"
	assert.Equal(t, loads.acquire(selection{servers: servers, failureDomain: "here", now: testTime}).ID, "s2")
}

// TestPartlyFailingServerIsAvoided guards against a server that keeps receiving its
// share of requests although it hangs four of ten, because it responds to the others.
func TestPartlyFailingServerIsAvoided(t *testing.T) {
	loads := newLoadTracker()
	servers := testServers(3)
	now := testTime
	selected, failed := 0, 0
	for i := range 400 {
		now = now.Add(50 * time.Millisecond)
		server := loads.acquire(selection{servers: servers, now: now})
		outcome := outcomeOK
		if server.ID == "s0" {
			selected++
			if i%10 < 4 {
				outcome = outcomeSilent
				failed++
			}
		}
		loads.release(server.ID, outcome, now)
	}
	// 400 requests in 20 s; a fair share would be 133 with 53 failures.
	assert.Assert(t, selected <= 20, "selected %d times", selected)
	assert.Assert(t, failed <= 6, "failed %d times", failed)
}

func TestSingleFailureKeepsAffinity(t *testing.T) {
	loads := newLoadTracker()
	sel := selection{servers: testServers(5), key: "program", now: testTime}
	home := loads.acquire(sel).ID
	loads.release(home, outcomeFailed, testTime)
	assert.Equal(t, loads.acquire(sel).ID, home)
	loads.release(home, outcomeFailed, testTime)
	assert.Assert(t, loads.acquire(sel).ID != home)
	sel.now = testTime.Add(failureWindow)
	assert.Equal(t, loads.acquire(sel).ID, home)
}

func TestUnreachableServerIsPenalized(t *testing.T) {
	loads := newLoadTracker()
	sel := selection{servers: testServers(5), key: "program", now: testTime}
	home := loads.acquire(sel).ID
	loads.release(home, outcomeUnreachable, testTime)
	assert.Assert(t, loads.acquire(sel).ID != home)
	sel.now = testTime.Add(basePenalty)
	assert.Equal(t, loads.acquire(sel).ID, home)
}

// TestRespondingServerWithoutHeartbeatsIsUsed covers a partition of the state host that
// receives the heartbeats of some servers. The servers work, and moving their programs
// would lose the cached prompts.
func TestRespondingServerWithoutHeartbeatsIsUsed(t *testing.T) {
	loads := newLoadTracker()
	sel := selection{servers: testServers(5), key: "program", now: testTime}
	home := loads.acquire(sel)
	loads.release(home.ID, outcomeOK, testTime)
	home.Silent = true
	assert.Equal(t, loads.acquire(sel).ID, home.ID)
	sel.now = testTime.Add(responseWindow + time.Second)
	assert.Assert(t, loads.acquire(sel).ID != home.ID)
}

func TestServerIsSelectedWhenAllArePenalized(t *testing.T) {
	loads := newLoadTracker()
	sel := selection{servers: testServers(2), now: testTime}
	for _, s := range sel.servers {
		loads.load(s.ID).running++
		loads.release(s.ID, outcomeFailed, testTime)
	}
	assert.Assert(t, loads.acquire(sel) != nil)
}

func TestSilenceThresholdFollowsRouteLatency(t *testing.T) {
	loads := newLoadTracker()
	target := 100 * time.Millisecond
	assert.Equal(t, loads.silenceThreshold("r", target, false), targetSilenceFactor*target)
	for range 50 {
		loads.observeLatency("r", 30*time.Millisecond)
	}
	assert.Equal(t, loads.silenceThreshold("r", target, false), 180*time.Millisecond)
	assert.Equal(t, loads.silenceThreshold("r", target, true), targetSilenceFactor*target)
	for range 50 {
		loads.observeLatency("fast", time.Millisecond)
	}
	assert.Equal(t, loads.silenceThreshold("fast", target, false), minSilenceThreshold)
}
