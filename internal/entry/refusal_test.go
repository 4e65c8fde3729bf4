package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/proto/rpcpb"
)

// TestRefusalsSayWhenToComeBack checks that each refusal of a sidecar that a
// later request may not meet names a time, the sidecar's own where it gives one.
func TestRefusalsSayWhenToComeBack(t *testing.T) {
	c := new(call)
	for _, reason := range []rpcpb.RunRefusal{
		rpcpb.RunRefusal_RUN_REFUSAL_LEAVING,
		rpcpb.RunRefusal_RUN_REFUSAL_SERVER_DOWN,
		rpcpb.RunRefusal_RUN_REFUSAL_STALE_CONFIGURATION,
	} {
		f := c.runFailure(&rpcpb.RunRefused{Reason: reason, NotRun: true})
		assert.Equal(t, f.Status, statusUnavailable)
		assert.Assert(t, f.RetryAfter > 0, "%s", reason)
	}
	f := c.runFailure(&rpcpb.RunRefused{Reason: rpcpb.RunRefusal_RUN_REFUSAL_FULL, RetryAfterMs: 2500})
	assert.Equal(t, f.RetryAfter, 2500*time.Millisecond)
}

// TestOnlyTheAttemptItselfMissesAnIncarnation checks that a refusal by a sidecar
// that was started again proves something of the attempt itself only.
func TestOnlyTheAttemptItselfMissesAnIncarnation(t *testing.T) {
	other := &rpcpb.RunRefused{Reason: rpcpb.RunRefusal_RUN_REFUSAL_OTHER_INCARNATION}
	assert.Assert(t, (&call{sender: true}).missedIncarnation(other))
	assert.Assert(t, !(&call{sender: false}).missedIncarnation(other))
	died := &rpcpb.RunRefused{Reason: rpcpb.RunRefusal_RUN_REFUSAL_SERVER_DIED}
	assert.Assert(t, !(&call{sender: true}).missedIncarnation(died))
}
