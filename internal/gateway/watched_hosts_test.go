package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestWatchesFewOfManyStateHosts has 30 state hosts of which five have contact to a quorum,
// and 62 entries. Each entry must watch as many of the five as it wants, a host that falls
// silent must be replaced, and each of the five must have a part of the entries.
func TestWatchesFewOfManyStateHosts(t *testing.T) {
	const entries, losses = 62, 2
	var known []string
	for i := range 30 {
		known = append(known, fmt.Sprintf("10.0.1.%d:80", 100+i))
	}
	voters := known[:5]
	now := time.UnixMilli(0)
	load := make(map[string]int)
	for entry := range entries {
		w := newWatchedHosts(fmt.Sprint("entry-", entry), losses)
		assert.DeepEqual(t, w.choose(known, now), known)
		run := func(d time.Duration, voters []string) []string {
			var chosen []string
			for end := now.Add(d); now.Before(end); now = now.Add(100 * time.Millisecond) {
				for _, address := range chosen {
					w.recordUpdate(address, slices.Contains(voters, address), now)
				}
				chosen = w.choose(known, now)
			}
			return chosen
		}
		chosen := run(30*time.Second, voters)
		assert.Equal(t, len(chosen), losses+2)
		for _, address := range chosen {
			assert.Assert(t, slices.Contains(voters, address))
			load[address]++
		}
		others := slices.DeleteFunc(slices.Clone(voters), func(a string) bool { return a == chosen[0] })
		replaced := run(60*time.Second, others)
		slices.Sort(others)
		assert.DeepEqual(t, replaced, others)
	}
	for _, address := range voters {
		assert.Assert(t, load[address] >= entries/4, "%s has %d watchers", address, load[address])
	}
}
