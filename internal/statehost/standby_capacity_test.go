package statehost

import (
	"testing"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/proto/fleetpb"
	"ibistray.example/ibistray/proto/raftpb"
)

// TestSmallDiskOfOneMemberRefusesNoTurns guards against first turns that are refused for the disk of a
// standby host although a quorum has room.
func TestSmallDiskOfOneMemberRefusesNoTurns(t *testing.T) {
	const large, small = 390 << 20, 64 << 20
	h := newTestHost(t, t.TempDir(), "127.0.0.1:1")
	defer stopHost(t, h)
	h.cfg.DiskBytes = large
	h.recordHost(&fleetpb.Host{Address: "b", DiskBytes: large})
	h.recordHost(&fleetpb.Host{Address: "standby", DiskBytes: small, Standby: true})
	h.recordHost(&fleetpb.Host{Address: "other", DiskBytes: small})
	members := []*raftpb.Member{{Id: 1, Address: h.cfg.Address}, {Id: 2, Address: "b"}, {Id: 3, Address: "standby"}}
	assert.Equal(t, h.membersCapacity(members), h.diskCapacity(large))
	members[1].Learner = true
	assert.Equal(t, h.membersCapacity(members), h.diskCapacity(small))
	assert.Equal(t, h.membersCapacity(nil), h.diskCapacity(large))
	h.cfg.DiskBytes = small
	members[1].Learner = false
	assert.Equal(t, h.membersCapacity(members), h.diskCapacity(small), "the leader needs room, too")
}
