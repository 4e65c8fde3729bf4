package statehost

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/proto/fleetpb"
)

// TestRetirementFollowsTheHostThatHasTheName guards against a host that has the name of a retired
// one and is itself asked to retire: the request was taken for the one before, which is completed,
// and the host was removed with its replicas.
func TestRetirementFollowsTheHostThatHasTheName(t *testing.T) {
	start := time.Now()
	hosts := newHostTable()
	for n, address := range []string{"first", "second"} {
		hosts.record(&fleetpb.Host{Name: "store-1", Address: address}, start.Add(time.Duration(n)*time.Second))
	}
	hosts.record(&fleetpb.Host{Name: "store-1", Address: "first"}, start.Add(2*time.Second))
	current := hosts.byName("store-1")
	assert.Equal(t, current.Address, "second")

	first := &fleetpb.Retirement{Name: "store-1", Address: "first"}
	second := &fleetpb.Retirement{Name: "store-1", Address: "second"}
	other := &fleetpb.Retirement{Name: "store-2", Address: "third"}
	assert.Equal(t, len(retiredAddresses([]*fleetpb.Retirement{first, other}, current, "store-1")), 0)
	assert.DeepEqual(t, retiredAddresses([]*fleetpb.Retirement{first, second, other}, current, "store-1"), []string{"first", "second"})
	assert.DeepEqual(t, retiredAddresses([]*fleetpb.Retirement{first, second}, nil, "store-1"), []string{"first", "second"})
	assert.Equal(t, len(retiredAddresses([]*fleetpb.Retirement{other}, nil, "store-1")), 0)
}
