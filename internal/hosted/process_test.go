package hosted

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/statehost"
	"ibistray.example/ibistray/internal/wal"
)

// fakeOpener fails with each of errs in order and then returns a host.
type fakeOpener struct {
	errs      []error
	bootstrap []bool // Bootstrap of the configuration in each call
}

func (o *fakeOpener) open(cfg statehost.Config) (*statehost.Host, error) {
	o.bootstrap = append(o.bootstrap, cfg.Bootstrap)
	if len(o.errs) == 0 {
		return new(statehost.Host), nil
	}
	err := o.errs[0]
	o.errs = o.errs[1:]
	return nil, fmt.Errorf("open: %w", err)
}

func TestOpenRetriesWhileDiskIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &fakeOpener{errs: []error{syscall.ENOSPC, syscall.ENOSPC, syscall.ENOSPC}}
		start := time.Now()
		host, err := openWithRetries(statehost.Config{}, o.open, hclog.NewNullLogger(), nil)
		assert.NilError(t, err)
		assert.Assert(t, host != nil)
		assert.Equal(t, time.Since(start), 3*diskRetryInterval)
	})
}

// TestFullDiskDoesNotEndTheProcess guards against a process that ends each time that a
// disk fills up while it runs.
func TestFullDiskDoesNotEndTheProcess(t *testing.T) {
	other := errors.New("other failure")
	results := []error{fmt.Errorf("write: %w", syscall.ENOSPC), fmt.Errorf("write: %w", syscall.ENOSPC), other}
	runs := 0
	err := reopenOnFullDisk(hclog.NewNullLogger(), func() error {
		runs++
		return results[runs-1]
	})
	assert.ErrorIs(t, err, other)
	assert.Equal(t, runs, 3)
}

func TestOpenOnFullDiskReturnsWhenStopped(t *testing.T) {
	stop := make(chan struct{})
	close(stop)
	o := &fakeOpener{errs: []error{syscall.ENOSPC, syscall.ENOSPC}}
	host, err := openWithRetries(statehost.Config{}, o.open, hclog.NewNullLogger(), stop)
	assert.NilError(t, err)
	assert.Assert(t, host == nil)
}

func TestDamagedDataIsSetAsideOnceWithoutBootstrap(t *testing.T) {
	dir := t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "segment"), []byte("x"), 0o600))
	o := &fakeOpener{errs: []error{wal.ErrCorrupt}}
	_, err := openWithRetries(statehost.Config{DataDir: dir, Bootstrap: true}, o.open, hclog.NewNullLogger(), nil)
	assert.NilError(t, err)
	assert.DeepEqual(t, o.bootstrap, []bool{true, false})
	moved, err := filepath.Glob(filepath.Join(dir, damagedPrefix+"*", "segment"))
	assert.NilError(t, err)
	assert.Equal(t, len(moved), 1)

	o = &fakeOpener{errs: []error{wal.ErrCorrupt, wal.ErrCorrupt}}
	_, err = openWithRetries(statehost.Config{DataDir: dir}, o.open, hclog.NewNullLogger(), nil)
	assert.ErrorIs(t, err, wal.ErrCorrupt)
}

func TestOpenReturnsOtherErrors(t *testing.T) {
	cause := errors.New("no such data directory")
	o := &fakeOpener{errs: []error{cause}}
	_, err := openWithRetries(statehost.Config{}, o.open, hclog.NewNullLogger(), nil)
	assert.ErrorIs(t, err, cause)
}

func TestReplaceReportsWhetherSeedsDiffer(t *testing.T) {
	s := NewSeeds([]string{"a", "b"})
	assert.Assert(t, !s.Replace([]string{"a", "b"}))
	assert.Assert(t, s.Replace([]string{"c"}))
	assert.DeepEqual(t, s.Addresses(), []string{"c"})
}
