package daemon

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/localcluster"
	"ibistray.example/ibistray/internal/placement"
	"ibistray.example/ibistray/internal/reopen"
	"ibistray.example/ibistray/internal/settings"
	"ibistray.example/ibistray/internal/wal"
	"ibistray.example/ibistray/internal/wal/waltest"
	"ibistray.example/ibistray/proto/configpb"
)

// changeTimeout limits how long a change may take once the disk takes writes again: the longest pause
// between two openings and an election.
const changeTimeout = 30 * time.Second

// testSettings returns the settings of the control processes of a cluster.
func testSettings(t *testing.T, processes int) []*settings.Settings {
	addresses, err := localcluster.FreeAddresses(2 * processes)
	assert.NilError(t, err)
	var list []*settings.Settings
	var peers []settings.Peer
	for i := range processes {
		domain := fmt.Sprint("domain-", i)
		peers = append(peers, settings.Peer{ReplicaID: uint64(i + 1), Address: addresses[i], FailureDomain: domain})
		list = append(list, &settings.Settings{
			Roles: []settings.Role{settings.RoleControl}, NodeID: domain, FailureDomain: domain, ListenAddress: addresses[i],
			AdvertisedAddress: addresses[i], HTTPAddress: addresses[processes+i], DataDir: t.TempDir(), ReplicaID: uint64(i + 1),
			Shards: 1, MaxBodyBytes: 1 << 20, ControlAddresses: addresses[:processes],
		})
	}
	for _, s := range list {
		s.ControlPeers = peers
	}
	return list
}

func startDaemon(t *testing.T, s *settings.Settings, fs wal.FS) *Daemon {
	d, err := startWithFS(t.Context(), s, hclog.NewNullLogger(), fs)
	assert.NilError(t, err)
	return d
}

func stopDaemon(t *testing.T, d *Daemon) {
	assert.NilError(t, d.Stop(t.Context()))
}

// propose puts a record into the configuration.
func propose(ctx context.Context, d *Daemon, id string) (*configpb.Result, error) {
	stop := &configpb.Stop{Scope: configpb.StopScope_STOP_SCOPE_SERVER, Name: id}
	record := &configpb.Record{Value: &configpb.Record_Stop{Stop: stop}}
	return d.configuration.Propose(ctx, &configpb.Command{ChangeId: id, Op: &configpb.Command_Put{Put: &configpb.Put{Record: record}}})
}

// change proposes a record again until it is acknowledged, or the process must end.
func change(t *testing.T, d *Daemon, id string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), changeTimeout)
	defer cancel()
	for {
		result, err := propose(ctx, d, id)
		if err == nil {
			assert.Assert(t, result.Refusal == nil, "%v", result)
			return
		}
		select {
		case failure := <-d.Failed():
			t.Fatalf("the process must end: %v", failure)
		case <-ctx.Done():
			t.Fatalf("%s is not acknowledged: %v", id, err)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// TestStorageFailureDoesNotEndTheProcess guards against a process that ends, with all its roles, when the
// disk of its control role refuses an operation, and each time that it is started while it does.
func TestStorageFailureDoesNotEndTheProcess(t *testing.T) {
	const all = waltest.OpCreate | waltest.OpWrite | waltest.OpSync | waltest.OpSyncDir | waltest.OpRename
	faults := map[string]waltest.Fault{
		"write error":          {Full: waltest.OpWrite, Err: syscall.EIO},
		"failed sync":          {Full: waltest.OpSync, Err: syscall.EIO},
		"failed sync of names": {FailSync: true},
		"read-only disk":       {Full: all, Err: syscall.EROFS},
		"too many open files":  {Full: all &^ waltest.OpSync, Err: syscall.EMFILE},
		"full disk":            {Full: all},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fs := waltest.New()
			s := testSettings(t, 1)[0]
			d := startDaemon(t, s, fs)
			change(t, d, "first")
			fs.SetFault(fault)
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			_, err := propose(ctx, d, "second")
			cancel()
			assert.Assert(t, err != nil, "a change was acknowledged that is not stored")
			fs.SetFault(waltest.Fault{})
			change(t, d, "third")
			stopDaemon(t, d)

			fs.SetFault(fault)
			time.AfterFunc(time.Second, func() { fs.SetFault(waltest.Fault{}) })
			d = startDaemon(t, s, fs)
			change(t, d, "fourth")
			status, err := d.configuration.Status(t.Context(), 0)
			assert.NilError(t, err)
			assert.Assert(t, len(status.Records) >= 3, status)
			stopDaemon(t, d)
		})
	}
}

// TestFailedStorageEndsAStartThatIsStopped guards against a process that does not end while it waits for
// its disk.
func TestFailedStorageEndsAStartThatIsStopped(t *testing.T) {
	fs := waltest.New()
	fs.SetFault(waltest.Fault{Full: waltest.OpWrite, Err: syscall.EIO})
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := startWithFS(ctx, testSettings(t, 1)[0], hclog.NewNullLogger(), fs)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
}

// TestHungDiskDoesNotDelayTheStop guards against a process that does not end since its disk hangs, while
// it runs or while it starts.
func TestHungDiskDoesNotDelayTheStop(t *testing.T) {
	// It is never closed: what is left behind would write into directories that are being removed.
	released := make(chan struct{})
	fs := waltest.New()
	s := testSettings(t, 1)[0]
	d := startDaemon(t, s, fs)
	change(t, d, "first")
	fs.SetFault(waltest.Fault{Hang: released})
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	_, err := propose(ctx, d, "second")
	cancel()
	assert.Assert(t, err != nil)
	assert.NilError(t, within(2*stopTimeout, func() { assert.Check(t, d.Stop(t.Context()) != nil) }))

	ctx, cancel = context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	hung := waltest.New()
	hung.SetFault(waltest.Fault{Hang: released})
	assert.NilError(t, within(2*closeTimeout, func() {
		_, err := startWithFS(ctx, testSettings(t, 1)[0], hclog.NewNullLogger(), hung)
		assert.Check(t, errors.Is(err, context.DeadlineExceeded), err)
	}))
}

// TestDamagedDataIsSetAside guards against a process that ends at each start since data on its disk is
// damaged. Its replicas must be replaced by the groups, and must not begin new groups.
func TestDamagedDataIsSetAside(t *testing.T) {
	list := testSettings(t, 3)
	daemons := make([]*Daemon, len(list))
	for i, s := range list {
		daemons[i] = startDaemon(t, s, nil)
	}
	change(t, daemons[0], "first")
	stopDaemon(t, daemons[2])
	assert.NilError(t, os.Remove(filepath.Join(list[2].DataDir, "identity")))
	daemons[2] = startDaemon(t, list[2], nil)
	aside, err := filepath.Glob(filepath.Join(list[2].DataDir, reopen.DamagedPrefix+"*", "wal"))
	assert.NilError(t, err)
	assert.Equal(t, len(aside), 1)
	for end := time.Now().Add(changeTimeout); !votes(t, daemons[2]); time.Sleep(50 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "the replica was not replaced")
	}
	stopDaemon(t, daemons[0])
	change(t, daemons[1], "second")
	stopDaemon(t, daemons[1])
	stopDaemon(t, daemons[2])

	lone := testSettings(t, 1)[0]
	d := startDaemon(t, lone, nil)
	change(t, d, "first")
	stopDaemon(t, d)
	assert.NilError(t, os.Remove(filepath.Join(lone.DataDir, "identity")))
	_, err = startWithFS(t.Context(), lone, hclog.NewNullLogger(), nil)
	assert.ErrorIs(t, err, wal.ErrCorrupt, "the only copy was set aside")
}

// TestDataThatWasSetAsideEverywhereBeginsNoGroups guards against a cluster that begins anew, empty,
// when the data of all its hosts is damaged.
func TestDataThatWasSetAsideEverywhereBeginsNoGroups(t *testing.T) {
	list := testSettings(t, 3)
	daemons := make([]*Daemon, len(list))
	for i, s := range list {
		daemons[i] = startDaemon(t, s, nil)
	}
	change(t, daemons[0], "first")
	for range 2 { // also at the start after that
		for i, s := range list {
			stopDaemon(t, daemons[i])
			err := os.Remove(filepath.Join(s.DataDir, "identity"))
			assert.NilError(t, err)
		}
		for i, s := range list {
			daemons[i] = startDaemon(t, s, nil)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		_, err := propose(ctx, daemons[0], "second")
		cancel()
		assert.Assert(t, err != nil, "an empty group was created")
	}
	for _, d := range daemons {
		stopDaemon(t, d)
	}
}

// votes reports whether the replica of the configuration on a process is a voter.
func votes(t *testing.T, d *Daemon) bool {
	status, err := d.control.role.host.Status(t.Context(), placement.ConfigGroup)
	assert.NilError(t, err)
	for _, m := range status.Membership.GetMembers() {
		if m.Id == status.ID && !m.Learner {
			return status.Active
		}
	}
	return false
}
