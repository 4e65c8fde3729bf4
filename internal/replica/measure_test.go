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
	// maxTimeoutsWithoutLeader limits the time without a leader, in election timeouts.
	// The first election starts after one to two of them, and each failed election
	// takes as long again.
	maxTimeoutsWithoutLeader = 10
)

// TestTimeWithoutLeader measures, in virtual time, how long an active group has no leader
// that confirms reads after its leader has failed.
func TestTimeWithoutLeader(t *testing.T) {
	for _, failure := range []struct {
		name   string
		inject func(c *cluster, leader string)
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
		t.Run(failure.name, func(t *testing.T) {
			var times []float64
			for run := range measureRuns {
				times = append(times, measureTimeWithoutLeader(t, uint64(run), failure.inject))
			}
			slices.Sort(times)
			worst := times[len(times)-1]
			t.Logf("time without a leader in election timeouts: median %.1f, maximum %.1f", times[len(times)/2], worst)
			assert.Assert(t, worst <= maxTimeoutsWithoutLeader, "%.1f election timeouts", worst)
		})
	}
}

// measureTimeWithoutLeader returns the time without a leader after a failure, in election
// timeouts.
func measureTimeWithoutLeader(t *testing.T, seed uint64, inject func(*cluster, string)) float64 {
	t.Helper()
	var elapsed time.Duration
	varySeed := func(opts *replica.Options) { opts.Seed += seed << 16 }
	runClusterWith(t, varySeed, func(_ *testing.T, c *cluster) {
		old := c.leader(testGroup)
		c.put(testGroup, "x", "1")
		start := time.Now()
		inject(c, old)
		c.leader(testGroup, old)
		elapsed = time.Since(start)
	})
	return float64(elapsed) / float64(electionTimeout)
}

// TestCatchUpTime measures, in virtual time, how long a restarted replica takes to apply
// the entries that it has missed, on links with a delay of linkDelay.
func TestCatchUpTime(t *testing.T) {
	for _, missed := range []int{100, 1000, 4000} {
		t.Run(fmt.Sprintf("entries=%d", missed), func(t *testing.T) {
			t.Logf("by log: %.1f election timeouts", measureCatchUp(t, missed, nil))
			frequentSnapshots := func(opts *replica.Options) { opts.SnapshotEntries = 50; opts.RetainEntries = 10 }
			t.Logf("by snapshot: %.1f election timeouts", measureCatchUp(t, missed, frequentSnapshots))
		})
	}
}

func measureCatchUp(t *testing.T, missed int, configure func(*replica.Options)) float64 {
	t.Helper()
	var elapsed time.Duration
	runClusterWith(t, configure, func(t *testing.T, c *cluster) {
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
