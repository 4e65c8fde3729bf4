package statehost

import (
	"sync/atomic"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/replica"
)

// TestPanicOfAProposalEndsItsCommand guards against a process that ends by a panic in a proposal, which
// runs in a goroutine of its own.
func TestPanicOfAProposalEndsItsCommand(t *testing.T) {
	h := &Host{log: hclog.NewNullLogger()}
	_, err := h.proposeOnce(t.Context(), LedgerGroup, "key", func() (replica.Applied, error) { panic("boom") })
	assert.ErrorContains(t, err, "boom")
}

// TestPanicOfABackgroundTaskDoesNotEndTheProcess guards against a process that ends since a periodic
// task of its state host panics. The tasks must run again afterwards.
func TestPanicOfABackgroundTaskDoesNotEndTheProcess(t *testing.T) {
	h := newTestHost(t, t.TempDir(), "127.0.0.1:1")
	var panicking atomic.Bool
	calls := make(chan struct{}, 1)
	seeds := h.cfg.Seeds
	h.cfg.Seeds = func() []string {
		select {
		case calls <- struct{}{}:
		default:
		}
		if panicking.Load() {
			panic("boom")
		}
		return seeds()
	}
	h.Run()
	panicking.Store(true)
	for range 3 { // the first one may have been before
		<-calls
	}
	panicking.Store(false)
	for range 3 {
		<-calls
	}
	stopHost(t, h)
}
