package replica_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
)

// TestManyLargeCommandsAtOnceAreWritten guards against commands that are proposed at the same time
// and exceed together what one append to the log may hold: the group then waited for that write
// for ever, without an error.
func TestManyLargeCommandsAtOnceAreWritten(t *testing.T) {
	const commands, size = 12, 4 << 20
	runCluster(t, func(t *testing.T, c *cluster) {
		leader := c.leader(testGroup)
		value := strings.Repeat("v", size)
		results := make(chan error, commands)
		for n := range commands {
			go func() { results <- c.tryPut(leader, testGroup, fmt.Sprint("key-", n), value) }()
		}
		synctest.Wait()
		for range commands {
			assert.NilError(t, <-results)
		}
		c.put(testGroup, "after", "1")
		for _, address := range c.addresses() {
			c.waitValue(address, "after", "1")
			for n := range commands {
				assert.Equal(t, len(c.nodes[address].machines[testGroup].get(fmt.Sprint("key-", n))), size)
			}
		}
		c.killAll()
		for _, address := range c.addresses() {
			c.start(address, testGroup)
		}
		for _, address := range c.addresses() {
			c.waitValue(address, "after", "1")
		}
	})
}
