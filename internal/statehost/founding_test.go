package statehost

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"ibistray.example/ibistray/internal/wal/waltest"
	"ibistray.example/ibistray/proto/fleetpb"
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

// TestReportsOfTheFirstStartAreNotKept sends reports of the first start under new names. A host keeps
// them only until it has decided what to do without stored replicas, and still learns the system's age
// from them.
func TestReportsOfTheFirstStartAreNotKept(t *testing.T) {
	const names = 1000
	seeds := []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}
	report := func(h *Host, age int64) {
		for i := range names {
			h.systemStart.addViewer(fmt.Sprint("viewer", age, i), &fleetpb.SystemStart{AgeMs: age, Seeds: seeds})
		}
	}
	processAge := func() time.Duration { return time.Minute }
	checkAge := func(h *Host, atStart time.Duration) {
		age, known := h.systemAge()
		assert.Check(t, known)
		assert.Equal(t, age, processAge()+atStart)
	}

	stored := openTestHost(t, t.TempDir(), func(cfg *Config) { cfg.ProcessAge = processAge }, seeds...)
	defer stopHost(t, stored)
	report(stored, 90_000)
	assert.Equal(t, len(stored.systemStart.list()), 0)

	empty := openTestHost(t, t.TempDir(), func(cfg *Config) { cfg.ProcessAge, cfg.Bootstrap = processAge, false }, seeds...)
	defer stopHost(t, empty)
	report(empty, 90_000)
	assert.Equal(t, len(empty.systemStart.list()), names)
	empty.Run()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := len(empty.systemStart.list()); n > 0 {
			return poll.Continue("%d reports kept", n)
		}
		return poll.Success()
	})
	report(empty, 80_000)
	assert.Equal(t, len(empty.systemStart.list()), 0)
	checkAge(empty, 80*time.Second)
}
