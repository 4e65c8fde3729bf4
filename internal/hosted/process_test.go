package hosted

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/reopen"
	"ibistray.example/ibistray/internal/statehost"
	"ibistray.example/ibistray/internal/wal"
)

// fakeOpener fails with each of errs in order and then returns a host.
type fakeOpener struct {
	errs      []error
	bootstrap []bool // Bootstrap of the configuration in each call
	asks      []bool // whether ProcessAge is set in each call
}

func (o *fakeOpener) open(cfg statehost.Config) (*statehost.Host, error) {
	o.bootstrap = append(o.bootstrap, cfg.Bootstrap)
	o.asks = append(o.asks, cfg.ProcessAge != nil)
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
		assert.Equal(t, time.Since(start), 3*reopen.RetryInterval)
	})
}

// TestOpenWaitsForThePredecessor guards against a state host that ends since the process before it has
// not ended yet.
func TestOpenWaitsForThePredecessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &fakeOpener{errs: []error{wal.ErrLocked, wal.ErrLocked, syscall.ENOSPC}}
		var lines bytes.Buffer
		start := time.Now()
		host, err := openWithRetries(statehost.Config{}, o.open, hclog.New(&hclog.LoggerOptions{Output: &lines}), nil)
		assert.NilError(t, err)
		assert.Assert(t, host != nil)
		assert.Equal(t, time.Since(start), 3*reopen.RetryInterval)
		assert.Equal(t, strings.Count(lines.String(), "the state host waits"), 2, "one line for each cause: %s", lines.String())
	})
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
	age := func() time.Duration { return 0 }
	_, err := openWithRetries(statehost.Config{DataDir: dir, Bootstrap: true, ProcessAge: age}, o.open, hclog.NewNullLogger(), nil)
	assert.NilError(t, err)
	assert.DeepEqual(t, o.bootstrap, []bool{true, false})
	assert.DeepEqual(t, o.asks, []bool{true, false})
	moved, err := filepath.Glob(filepath.Join(dir, reopen.DamagedPrefix+"*", "segment"))
	assert.NilError(t, err)
	assert.Equal(t, len(moved), 1)

	o = &fakeOpener{errs: []error{wal.ErrCorrupt, wal.ErrCorrupt}}
	_, err = openWithRetries(statehost.Config{DataDir: dir}, o.open, hclog.NewNullLogger(), nil)
	assert.ErrorIs(t, err, wal.ErrCorrupt)
}

// TestDataThatCannotBeSetAsideIsTriedAgain guards against a process that ends since its disk refuses to
// move damaged data.
func TestDataThatCannotBeSetAsideIsTriedAgain(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "missing")
	o := &fakeOpener{errs: []error{wal.ErrCorrupt}}
	_, err := openWithRetries(statehost.Config{DataDir: missing}, o.open, hclog.NewNullLogger(), nil)
	assert.Assert(t, reopen.Possible(err), err)
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
