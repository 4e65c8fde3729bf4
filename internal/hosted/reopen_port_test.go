package hosted

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/wal/waltest"
)

// TestPortTakenWhileAHostIsOpenedAgain has another socket on the port of a host whose disk is full. It
// guards against a process that ends when the disk has room again, since the port is in use: hosts
// whose disks filled up one after the other were gone for good.
func TestPortTakenWhileAHostIsOpenedAgain(t *testing.T) {
	fs := waltest.New()
	h := runLonelyHost(t, t.TempDir(), fs)
	first := h.waitOpened()
	assert.NilError(t, h.apply(first, 1))
	fs.SetFault(waltest.Fault{NoSpace: true})
	failed := make(chan error, 1)
	go func() { failed <- h.apply(first, 2) }()
	taken, err := net.Listen("tcp", h.address)
	for end := time.Now().Add(recoveryTimeout); err != nil; taken, err = net.Listen("tcp", h.address) {
		assert.Assert(t, time.Now().Before(end), "%v", err)
		time.Sleep(time.Millisecond)
	}
	fs.SetFault(waltest.Fault{})
	time.Sleep(2 * time.Second)
	assert.NilError(t, taken.Close())
	again := h.waitOpened()
	assert.Assert(t, <-failed != nil)
	assert.NilError(t, h.apply(again, 3))
	h.close()
}
