package statehost

import (
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
