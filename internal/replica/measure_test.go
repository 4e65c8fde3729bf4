package replica_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/replica"
)

const (
	measureRuns = 20
	// maxLeaderless bounds the time without a leader, in election timeouts. The
	// first election begins after one to two of them; one that nobody wins costs
	// as much again.
	maxLeaderless = 10
)

// TestTimeWithoutLeader measures, in virtual time, how long a group that is in
// use has no leader that confirms reads after its leader has gone.
func TestTimeWithoutLeader(t *testing.T) {
	for _, loss := range []struct {
		name string
		hurt func(c *cluster, leader string)
	}{
		{"kill", func(c *cluster, leader string) { c.kill(leader) }},
		{"cut in both directions", func(c *cluster, leader string) {
			c.network.isolate(leader, c.addresses(), true, true)
		}},
		{"leader cannot receive", func(c *cluster, leader string) {
			c.network.isolate(leader, c.addresses(), false, true)
		}},
		{"leader cannot send", func(c *cluster, leader string) {
			c.network.isolate(leader, c.addresses(), true, false)
		}},
	} {
		t.Run(loss.name, func(t *testing.T) {
			var times []float64
			for run := range measureRuns {
				times = append(times, leaderless(t, uint64(run), loss.hurt))
			}
			slices.Sort(times)
			worst := times[len(times)-1]
			t.Logf("time without a leader in election timeouts: median %.1f, most %.1f", times[len(times)/2], worst)
			assert.Assert(t, worst <= maxLeaderless, "%.1f election timeouts", worst)
		})
	}
}

// leaderless returns the time without a leader in election timeouts.
func leaderless(t *testing.T, seed uint64, hurt func(*cluster, string)) float64 {
	t.Helper()
	var elapsed time.Duration
	vary := func(opts *replica.Options) { opts.Seed += seed << 16 }
	runClusterWith(t, vary, func(_ *testing.T, c *cluster) {
		old := c.leader(testGroup)
		c.put(testGroup, "x", "1")
		start := time.Now()
		hurt(c, old)
		c.leader(testGroup, old)
		elapsed = time.Since(start)
	})
	return float64(elapsed) / float64(electionTimeout)
}

// TestCatchUpTime measures, in virtual time, how long a restarted replica takes
// to apply the entries that it has missed, on links of a millisecond.
func TestCatchUpTime(t *testing.T) {
	for _, missed := range []int{100, 1000, 4000} {
		t.Run(fmt.Sprintf("entries=%d", missed), func(t *testing.T) {
			t.Logf("by log: %.1f election timeouts", catchUp(t, missed, nil))
			few := func(opts *replica.Options) { opts.SnapshotEntries = 50; opts.RetainEntries = 10 }
			t.Logf("by snapshot: %.1f election timeouts", catchUp(t, missed, few))
		})
	}
}

func catchUp(t *testing.T, missed int, adjust func(*replica.Options)) float64 {
	t.Helper()
	var elapsed time.Duration
	runClusterWith(t, adjust, func(t *testing.T, c *cluster) {
		behind := c.follower()
		leader := c.leader(testGroup)
		c.kill(behind)
		for i := range missed {
			assert.NilError(t, c.tryPut(leader, testGroup, fmt.Sprintf("k-%d", i), "value"))
		}
		start := time.Now()
		c.start(behind, testGroup)
		c.waitValue(behind, fmt.Sprintf("k-%d", missed-1), "value")
		elapsed = time.Since(start)
	})
	return float64(elapsed) / float64(electionTimeout)
}
