package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/proto/rpcpb"
)

// TestTemporaryRefusalsHaveRetryAfter checks that the failure for each temporary refusal
// by a sidecar has a RetryAfter, and that the sidecar's own value is used if it has one.
func TestTemporaryRefusalsHaveRetryAfter(t *testing.T) {
	c := new(call)
	for _, reason := range []rpcpb.RunRefusal{
		rpcpb.RunRefusal_RUN_REFUSAL_LEAVING,
		rpcpb.RunRefusal_RUN_REFUSAL_SERVER_DOWN,
		rpcpb.RunRefusal_RUN_REFUSAL_STALE_CONFIGURATION,
		rpcpb.RunRefusal_RUN_REFUSAL_UNKNOWN_ATTEMPT,
	} {
		f := c.runRefusalFailure(&rpcpb.RunRefused{Reason: reason, NotRun: true})
		assert.Equal(t, f.Status, statusUnavailable)
		assert.Assert(t, f.RetryAfter > 0, "%s", reason)
	}
	f := c.runRefusalFailure(&rpcpb.RunRefused{Reason: rpcpb.RunRefusal_RUN_REFUSAL_FULL, RetryAfterMs: 2500})
	assert.Equal(t, f.RetryAfter, 2500*time.Millisecond)
}

// TestRestartedSidecarProvesOnlySentAttemptNotReceived checks that the refusal by a
// restarted sidecar proves that the attempt was never received only if the entry sent
// the attempt. If the entry attached, the earlier process may have run the attempt.
func TestRestartedSidecarProvesOnlySentAttemptNotReceived(t *testing.T) {
	restarted := &rpcpb.RunRefused{Reason: rpcpb.RunRefusal_RUN_REFUSAL_OTHER_INCARNATION}
	assert.Assert(t, (&call{sentAttempt: true}).attemptNeverReceived(restarted))
	assert.Assert(t, !(&call{sentAttempt: false}).attemptNeverReceived(restarted))
	died := &rpcpb.RunRefused{Reason: rpcpb.RunRefusal_RUN_REFUSAL_SERVER_DIED}
	assert.Assert(t, !(&call{sentAttempt: true}).attemptNeverReceived(died))
}
