package hosted

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/localcluster"
	"ibistray.example/ibistray/internal/reopen"
	"ibistray.example/ibistray/internal/statehost"
	"ibistray.example/ibistray/internal/wal"
	"ibistray.example/ibistray/internal/wal/waltest"
)

const gracePeriod = time.Second

// lonelyHost is a state host that is its own quorum.
type lonelyHost struct {
	t       *testing.T
	address string // for other processes
	opened  chan *statehost.Host
	count   atomic.Int64 // of openings
	stop    chan struct{}
	ended   chan error
}

// runLonelyHost starts the process of a state host. A disk of 64 KB makes it begin a segment of the log
// with each kilobyte.
func runLonelyHost(t *testing.T, dir string, fs wal.FS) *lonelyHost {
	addresses, err := localcluster.FreeAddresses(1)
	assert.NilError(t, err)
	cfg := statehost.Config{
		Name: "host", Address: addresses[0], DataDir: dir, Bootstrap: true, DiskBytes: 64 << 10, FS: fs,
		DecodeRoutes: decodeVersion, HeartbeatInterval: time.Second,
	}
	h := &lonelyHost{t: t, address: addresses[0], opened: make(chan *statehost.Host, 100), stop: make(chan struct{}), ended: make(chan error, 1)}
	handler := func(host *statehost.Host) http.Handler {
		h.count.Add(1)
		h.opened <- host
		return http.NotFoundHandler()
	}
	opts := Options{Logger: hclog.NewNullLogger(), Seeds: NewSeeds(addresses), GracePeriod: gracePeriod}
	go func() {
		h.ended <- RunStateHost(cfg, Addresses{Control: "127.0.0.1:0", Peers: addresses[0]}, handler, opts, h.stop)
	}()
	return h
}

// waitOpened waits until the host is opened, again if it was before.
func (h *lonelyHost) waitOpened() *statehost.Host {
	h.t.Helper()
	select {
	case host := <-h.opened:
		return host
	case err := <-h.ended:
		h.t.Fatalf("the process ended: %v", err)
	case <-time.After(2 * recoveryTimeout):
		h.t.Fatal("the host is not opened")
	}
	return nil
}

// apply puts a version of the routes in force. It gives up once the host was opened again.
func (h *lonelyHost) apply(host *statehost.Host, version int) error {
	ctx, cancel := context.WithTimeout(h.t.Context(), recoveryTimeout)
	defer cancel()
	document := fmt.Appendf(nil, "%d %01000d", version, 0)
	openings := h.count.Load()
	err := host.ApplyRoutes(ctx, document)
	for err != nil && ctx.Err() == nil && h.count.Load() == openings {
		time.Sleep(20 * time.Millisecond)
		err = host.ApplyRoutes(ctx, document)
	}
	return err
}

func (h *lonelyHost) close() {
	close(h.stop)
	assert.NilError(h.t, <-h.ended)
}

// TestStorageFailureDoesNotEndTheProcess guards against a process that ends when its disk refuses an
// operation, and each time that it is started while it does.
func TestStorageFailureDoesNotEndTheProcess(t *testing.T) {
	const all = waltest.OpCreate | waltest.OpWrite | waltest.OpSync | waltest.OpSyncDir | waltest.OpRename
	faults := map[string]waltest.Fault{
		"write error":          {Full: waltest.OpWrite, Err: syscall.EIO},
		"failed sync":          {Full: waltest.OpSync, Err: syscall.EIO},
		"failed sync of names": {FailSync: true},
		"read-only disk":       {Full: all, Err: syscall.EROFS},
		"too many open files":  {Full: waltest.OpCreate, Err: syscall.EMFILE},
		"full disk":            {Full: all},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fs := waltest.New()
			h := runLonelyHost(t, t.TempDir(), fs)
			first := h.waitOpened()
			assert.NilError(t, h.apply(first, 1))
			fs.SetFault(fault)
			failed := make(chan error, 1)
			go func() { failed <- h.apply(first, 2) }()
			time.Sleep(3 * time.Second)
			fs.SetFault(waltest.Fault{})
			again := h.waitOpened()
			assert.Assert(t, <-failed != nil, "a version was acknowledged that is not stored")
			assert.NilError(t, h.apply(again, 3))
			h.close()
		})
	}
}

// TestDamagedSnapshotIsSetAside guards against a process that ends at each start since a snapshot on its
// disk is damaged, cut off or missing.
func TestDamagedSnapshotIsSetAside(t *testing.T) {
	damages := map[string]func(name string, data []byte) error{
		"changed": func(name string, data []byte) error {
			data[len(data)/2] ^= 1
			return os.WriteFile(name, data, 0o600)
		},
		"cut off": func(name string, data []byte) error { return os.Truncate(name, int64(len(data)-3)) },
		"missing": func(name string, _ []byte) error { return os.Remove(name) },
	}
	for name, damage := range damages {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			h := runLonelyHost(t, dir, nil)
			host := h.waitOpened()
			for version := range 20 { // each with a new segment of the log, and a snapshot after a few
				assert.NilError(t, h.apply(host, version+1))
			}
			h.close()
			snapshots, err := filepath.Glob(filepath.Join(dir, "snapshots", "*.snap"))
			assert.NilError(t, err)
			assert.Assert(t, len(snapshots) > 0)
			for _, name := range snapshots {
				data, err := os.ReadFile(name)
				assert.NilError(t, err)
				assert.NilError(t, damage(name, data))
			}
			h = runLonelyHost(t, dir, nil)
			h.waitOpened()
			h.close()
			aside, err := filepath.Glob(filepath.Join(dir, reopen.DamagedPrefix+"*"))
			assert.NilError(t, err)
			assert.Equal(t, len(aside), 1)
		})
	}
}

// TestHostThatLostItsDiskCreatesNoGroups guards against a host that creates its groups a second time,
// empty, when it is opened again after its data was lost.
func TestHostThatLostItsDiskCreatesNoGroups(t *testing.T) {
	fs := waltest.New()
	h := runLonelyHost(t, t.TempDir(), fs)
	first := h.waitOpened()
	assert.NilError(t, h.apply(first, 1))
	fs.SetFault(waltest.Fault{Full: waltest.OpWrite, Err: syscall.EIO})
	assert.Assert(t, h.apply(first, 2) != nil)
	for _, name := range fs.Files("") {
		assert.NilError(t, fs.Remove(name))
	}
	fs.SetFault(waltest.Fault{})
	again := h.waitOpened()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		assert.Assert(t, again.ApplyRoutes(ctx, []byte("2")) != nil, "the groups were created again")
		time.Sleep(50 * time.Millisecond)
	}
	h.close()
}
