package localcluster

import (
	"net"
	"os"
	"os/exec"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// TestFreeAddressesAreNotHeldByStartingProcesses starts processes all the time. Between fork
// and exec, a process holds copies of the listeners that are open at the time.
func TestFreeAddressesAreNotHeldByStartingProcesses(t *testing.T) {
	const rounds = 400
	stop := make(chan struct{})
	var starters sync.WaitGroup
	for range 4 {
		starters.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if err := exec.Command(os.Args[0], "-test.run=^$").Run(); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	defer starters.Wait()
	defer close(stop)
	for round := range rounds {
		addresses, err := FreeAddresses(4)
		assert.NilError(t, err)
		for _, address := range addresses {
			listener, err := net.Listen("tcp", address)
			assert.NilError(t, err, "round %d", round)
			listener.Close()
		}
	}
}
