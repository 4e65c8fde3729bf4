package statehost

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/proto/fleetpb"
)

// TestSilentHostsAreForgotten covers hosts that are gone for good: one that described itself
// and one that only other hosts named. Others that still name them must not bring them back.
func TestSilentHostsAreForgotten(t *testing.T) {
	table := newHostTable()
	start := time.Now()
	table.record(&fleetpb.Host{Address: "a"}, start)
	table.record(&fleetpb.Host{Address: "gone"}, start)
	assert.Assert(t, table.addAddresses([]string{"named"}, start))
	assert.DeepEqual(t, table.addresses(), []string{"a", "gone", "named"})

	later := start.Add(hostRetentionPeriod + time.Second)
	table.record(&fleetpb.Host{Address: "a"}, later)
	assert.DeepEqual(t, table.addresses(), []string{"a"})
	assert.Assert(t, !table.addAddresses([]string{"gone", "named"}, later))
	assert.DeepEqual(t, table.addresses(), []string{"a"})

	// A host that comes back describes itself.
	assert.Assert(t, table.record(&fleetpb.Host{Address: "gone"}, later))
	assert.DeepEqual(t, table.addresses(), []string{"a", "gone"})

	// The address may be in use again after hostRemovalPeriod.
	table.record(&fleetpb.Host{Address: "a"}, later.Add(hostRemovalPeriod+time.Second))
	assert.Assert(t, table.addAddresses([]string{"named"}, later.Add(hostRemovalPeriod+time.Second)))
}
