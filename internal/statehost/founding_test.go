package statehost

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/wal/waltest"
)

// diskLossAtTheStart takes the disk of a host right after an acknowledgement, while the
// processes of the first start can still vouch for its time, and isolates another host. The one that
// lost its disk must not make up a majority with the third one.
func diskLossAtTheStart(t *testing.T, c *cluster) {
	c.applyRoutes(1)
	c.setIsolated("b", true)
	c.replaceDisk("a")
	for range 100 {
		for _, address := range []string{"a", "c"} {
			document, err := c.nodes[address].host.Routes(t.Context())
			assert.Assert(t, err != nil || string(document) == "1", "%s returned %q", address, document)
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.setIsolated("b", false)
	c.checkRoutes(1)
	c.applyRoutes(2)
	c.checkRoutes(2)
}

// seedsBeginAnew starts two seeds again with empty disks and without Bootstrap before any of them took
// part. After that, the loss of the third one must lose nothing.
func seedsBeginAnew(t *testing.T, c *cluster) {
	for _, address := range []string{"a", "b"} {
		c.powerOff(address)
		c.nodes[address].fs, c.nodes[address].bootstrap = waltest.New(), false
	}
	c.start("a")
	c.start("b")
	c.applyRoutes(1)
	c.setIsolated("c", true)
	c.checkRoutes(1)
	c.applyRoutes(2)
	c.setIsolated("c", false)
	c.checkRoutes(2)
}
