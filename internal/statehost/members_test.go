package statehost

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/replica"
	"ibistray.example/ibistray/proto/fleetpb"
	"ibistray.example/ibistray/proto/ledgerpb"
	"ibistray.example/ibistray/proto/raftpb"
)

// TestRetirementsReachHostsWithoutTheConfiguration covers the leader of the ledger on a host
// that holds no replica of the configuration, in which retirements are recorded.
func TestRetirementsReachHostsWithoutTheConfiguration(t *testing.T) {
	holder := newTestHost(t, t.TempDir(), "127.0.0.1:1")
	defer stopHost(t, holder)
	cmd, err := proto.Marshal(&fleetpb.ConfigCommand{Kind: &fleetpb.ConfigCommand_Retire{
		Retire: &fleetpb.Retirement{Name: "host-a", Address: "a"},
	}})
	assert.NilError(t, err)
	holder.config.Apply(1, cmd)
	update, _ := (&watcher{host: holder, peer: true, address: "127.0.0.1:2"}).nextUpdate(t.Context())

	other := newTestHost(t, t.TempDir(), "127.0.0.1:2", "127.0.0.1:3")
	defer stopHost(t, other)
	assert.Assert(t, !other.isRetiring("a"))
	other.mergePeerUpdate("127.0.0.1:1", update)
	assert.Assert(t, other.isRetiring("a"))
	assert.Assert(t, !other.isRetiring("b"))
}

// planHostOf returns the planner's view of a host in a ledger group of which it is a member.
func planHostOf(h *Host, address string) (silence time.Duration, diskTooSmall bool) {
	status := replica.GroupStatus{}
	status.Membership = &raftpb.Membership{Members: []*raftpb.Member{{Id: 7, Address: address}}}
	host := h.newPlanInput(LedgerGroup, status, time.Now()).Hosts[address]
	return host.Silence, host.DiskTooSmall
}

// TestNamedMemberIsSilentSinceTheStartOnly guards against a leader that replaces a member
// right after a common restart, because it only knows its address yet.
func TestNamedMemberIsSilentSinceTheStartOnly(t *testing.T) {
	h := newTestHost(t, t.TempDir(), "127.0.0.1:1")
	defer stopHost(t, h)
	h.addHosts([]string{"named"})
	silence, _ := planHostOf(h, "named")
	assert.Assert(t, silence < hostLossTimeout, "silent for %s", silence)
}

// TestStateThatDoesNotFitTheDisk checks hosts with disks of several sizes against a ledger
// with a turn of 3,000 bytes. Two snapshots of it must fit besides the log, which takes 12/64 of such
// a disk, and the reserve of 2/64.
func TestStateThatDoesNotFitTheDisk(t *testing.T) {
	h := newTestHost(t, t.TempDir(), "127.0.0.1:1")
	defer stopHost(t, h)
	cmd, err := proto.Marshal(&ledgerpb.Command{NowMs: 1, Kind: &ledgerpb.Command_Finish{Finish: &ledgerpb.Finish{
		CallId: "1", Keep: true, Input: make([]byte, 1000), Output: make([]byte, 2000), RetentionMs: 1000,
	}}})
	assert.NilError(t, err)
	h.ledger.Apply(1, cmd)
	for disk, tooSmall := range map[int64]bool{0: false, 7680 - 64: true, 7680: false} {
		h.recordHost(&fleetpb.Host{Address: "a", DiskBytes: disk})
		_, got := planHostOf(h, "a")
		assert.Equal(t, got, tooSmall, "disk of %d bytes", disk)
	}
}

// TestStateHostsAreRestoredAfterRestart covers a common restart after which the seeds name
// other hosts. No backend server has reported.
func TestStateHostsAreRestoredAfterRestart(t *testing.T) {
	dir := t.TempDir()
	h := newTestHost(t, dir, "127.0.0.1:1")
	h.addHosts([]string{"127.0.0.1:2"})
	h.persistServers(t.Context())
	stopHost(t, h)
	next := newTestHost(t, dir, "127.0.0.1:1", "127.0.0.1:9")
	defer stopHost(t, next)
	assert.DeepEqual(t, next.peerAddresses(), []string{"127.0.0.1:2", "127.0.0.1:9"})
}
