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

	"ibistray.example/ibistray/internal/replica"
	"ibistray.example/ibistray/internal/statehost"
	"ibistray.example/ibistray/internal/wal"
	"ibistray.example/ibistray/internal/wal/waltest"
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

func writable() bool { return true }

func TestOpenRetriesWhileDiskIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &fakeOpener{errs: []error{syscall.ENOSPC, syscall.ENOSPC, syscall.ENOSPC}}
		start := time.Now()
		host, err := openWithRetries(statehost.Config{}, o.open, hclog.NewNullLogger(), nil)
		assert.NilError(t, err)
		assert.Assert(t, host != nil)
		assert.Equal(t, time.Since(start), 3*openRetryInterval)
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
		assert.Equal(t, time.Since(start), 3*openRetryInterval)
		assert.Equal(t, strings.Count(lines.String(), "the state host waits"), 2, "one line for each cause: %s", lines.String())
	})
}

// TestFullDiskDoesNotEndTheProcess guards against a process that ends each time that a
// disk fills up while it runs, and against one that opens the same disk again without a
// pause: a standby host whose disk is too small for the state did so for ever.
func TestFullDiskDoesNotEndTheProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		other := errors.New("other failure")
		start := time.Now()
		var opened []time.Duration
		err := reopenOnFailure(hclog.NewNullLogger(), nil, writable, func() error {
			opened = append(opened, time.Since(start))
			if len(opened) < 8 {
				return fmt.Errorf("write: %w", syscall.ENOSPC)
			}
			return other
		})
		assert.ErrorIs(t, err, other)
		for i := 1; i < len(opened); i++ {
			pause := opened[i] - opened[i-1]
			assert.Equal(t, pause, min(minReopenDelay<<(i-1), maxReopenDelay))
		}
	})
}

// TestOtherFailuresEndTheProcess tells failures after which a host is opened again from others.
func TestOtherFailuresEndTheProcess(t *testing.T) {
	for err, again := range map[error]bool{replica.ErrStorage: true, replica.ErrPanic: true, syscall.EDQUOT: true, wal.ErrLocked: false, replica.ErrConfig: false} {
		assert.Equal(t, canReopen(fmt.Errorf("run: %w", err)), again, err)
	}
	assert.Assert(t, !canReopen(fmt.Errorf("%w: %w", replica.ErrStorage, wal.ErrLocked)))
}

func TestPauseStartsOverAfterAStableRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ended []time.Time
		var pauses []time.Duration
		err := reopenOnFailure(hclog.NewNullLogger(), nil, writable, func() error {
			if len(ended) > 0 {
				pauses = append(pauses, time.Since(ended[len(ended)-1]))
			}
			if len(ended) == 3 {
				return nil
			}
			if len(ended) == 2 {
				time.Sleep(stableRunTime)
			}
			ended = append(ended, time.Now())
			return syscall.ENOSPC
		})
		assert.NilError(t, err)
		assert.DeepEqual(t, pauses, []time.Duration{minReopenDelay, 2 * minReopenDelay, minReopenDelay})
	})
}

// TestHostIsOpenedOnceItsDiskHasRoom fills a disk again and again. A pause that outlasts the full
// disk keeps the host away, so that two hosts are away although no two disks were full at once.
func TestHostIsOpenedOnceItsDiskHasRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const full = 1200 * time.Millisecond
		var failed time.Time
		writable := func() bool { return time.Since(failed) >= full }
		opened := 0
		err := reopenOnFailure(hclog.NewNullLogger(), nil, writable, func() error {
			if opened++; opened > 1 {
				away := time.Since(failed)
				assert.Assert(t, away >= full && away <= full+openRetryInterval, "%d: away for %s", opened, away)
			}
			if opened == 8 {
				return nil
			}
			time.Sleep(time.Second)
			failed = time.Now()
			return fmt.Errorf("write: %w", syscall.ENOSPC)
		})
		assert.NilError(t, err)
		assert.Equal(t, opened, 8)
	})
}

// TestShortFullDisksDoNotAddUp fills a disk every 11 s, each time for less time than the host needs to
// close. A pause that grows with each of them keeps the host away for longer and longer.
func TestShortFullDisksDoNotAddUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var failed time.Time
		opened := 0
		err := reopenOnFailure(hclog.NewNullLogger(), nil, writable, func() error {
			if opened++; opened > 1 {
				assert.Equal(t, time.Since(failed), minReopenDelay, "%d", opened)
			}
			if opened == 8 {
				return nil
			}
			time.Sleep(11 * time.Second)
			failed = time.Now()
			return syscall.ENOSPC
		})
		assert.NilError(t, err)
	})
}

// TestFullDiskIsOpenedAgainWithoutRoom guards against a host that stays away from a disk on which
// it could open its log although there is no room for the probe.
func TestFullDiskIsOpenedAgainWithoutRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start, opened := time.Now(), 0
		err := reopenOnFailure(hclog.NewNullLogger(), nil, func() bool { return false }, func() error {
			if opened++; opened == 2 {
				return nil
			}
			return syscall.ENOSPC
		})
		assert.NilError(t, err)
		assert.Equal(t, time.Since(start), maxReopenDelay)
	})
}

// TestProbeFindsAFullDisk makes each operation fail that needs room on a disk.
func TestProbeFindsAFullDisk(t *testing.T) {
	fs := waltest.New()
	probe := newDiskProbe(statehost.Config{DataDir: "/data", FS: fs})
	assert.Assert(t, probe.writable())
	for _, fault := range []waltest.Fault{
		{NoSpace: true}, {Full: waltest.OpCreate}, {Full: waltest.OpWrite}, {Full: waltest.OpSync}, {Full: waltest.OpSyncDir},
		{Full: waltest.OpRename}, {Capacity: probeBytes - 1},
	} {
		fs.SetFault(fault)
		assert.Assert(t, !probe.writable(), "%+v", fault)
		assert.Equal(t, len(fs.Files("")), 0, "%+v", fault)
	}
	fs.SetFault(waltest.Fault{Capacity: probeBytes})
	assert.Assert(t, probe.writable())
}

func TestStopEndsTheWaitForAFullDisk(t *testing.T) {
	stop := make(chan struct{})
	close(stop)
	runs := 0
	err := reopenOnFailure(hclog.NewNullLogger(), stop, writable, func() error {
		runs++
		return syscall.ENOSPC
	})
	assert.NilError(t, err)
	assert.Equal(t, runs, 1)
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
	moved, err := filepath.Glob(filepath.Join(dir, damagedPrefix+"*", "segment"))
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
	assert.Assert(t, canReopen(err), err)
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
