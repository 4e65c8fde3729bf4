package gateway

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// TestTurnWithUnreadableNameIsRefused guards against names that no message to the ledger can
// carry: such turns were answered with the advice to try again, and counted as failures of the
// ledger.
func TestTurnWithUnreadableNameIsRefused(t *testing.T) {
	f := newFixture(t, newBackend(t, "a", respondOK))
	for _, header := range []string{"Id", "Program", "Previous", "Resumes"} {
		headers := []string{"Id", "1", header, "\xff\xfe"}
		assert.Equal(t, f.send(t, http.MethodPost, "/chat/x", "in", headers...).status, http.StatusBadRequest, header)
	}
	resumed := f.send(t, http.MethodPost, "/feed/x", "in", "Id", "1", "After", "1", "Resumes", "\xff\xfe")
	assert.Equal(t, resumed.status, http.StatusBadRequest)
	assert.Equal(t, len(f.ledger.beginIDs), 0)
	assert.Equal(t, f.send(t, http.MethodPost, "/safe/x", "in", "Id", "\xff\xfe").status, http.StatusOK)
}
