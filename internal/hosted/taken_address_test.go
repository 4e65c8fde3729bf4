package hosted

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/wal/waltest"
)

const slowSync = 2 * time.Second

// slowDisk returns a disk on which the opening of a state host takes slowSync or more.
func slowDisk() *waltest.FS {
	disk := waltest.New()
	disk.SetFault(waltest.Fault{SyncDelay: slowSync})
	return disk
}

// awaitConnection returns once a peer can connect to the host and is not cut off at once, as it is while
// the host finds out whether its address is free.
func (h *lonelyHost) awaitConnection() {
	for ; ; time.Sleep(10 * time.Millisecond) {
		conn, err := net.DialTimeout("tcp", h.address, time.Second)
		if err != nil {
			continue
		}
		_ = conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		_, err = conn.Read(make([]byte, 1))
		conn.Close()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
	}
}

// TestPeersAreRefusedWhileAStateHostOpens guards against callers that wait for a state host that reads its
// log, in place of asking another one.
func TestPeersAreRefusedWhileAStateHostOpens(t *testing.T) {
	disk := slowDisk()
	h := runLonelyHost(t, t.TempDir(), disk)
	h.awaitConnection()
	select {
	case <-h.opened:
	case <-time.After(slowSync / 2):
		t.Error("a peer was connected before the host was open")
	}
	disk.SetFault(waltest.Fault{})
	h.close()
}

// TestAddressTakenWhileAStateHostOpens guards against a process that ends since its address was taken
// after it had been found free.
func TestAddressTakenWhileAStateHostOpens(t *testing.T) {
	disk := slowDisk()
	h := runLonelyHost(t, t.TempDir(), disk)
	time.Sleep(200 * time.Millisecond)
	other, err := net.Listen("tcp", h.address)
	assert.NilError(t, err)
	disk.SetFault(waltest.Fault{})
	time.Sleep(2 * takenAddressTimeout)
	assert.NilError(t, other.Close())
	h.waitOpened()
	h.close()
}
