package reopen

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

	"ibistray.example/ibistray/internal/replica"
	"ibistray.example/ibistray/internal/spill"
	"ibistray.example/ibistray/internal/wal"
	"ibistray.example/ibistray/internal/wal/waltest"
)

func newConfig(stop <-chan struct{}) Config {
	return Config{What: "state host", Log: hclog.NewNullLogger(), Stop: stop}
}

func writable() bool { return true }

func reason(err error) string {
	if !Possible(err) {
		return ""
	}
	return Reason(err)
}

// TestFullDiskDoesNotEndTheProcess guards against a process that ends each time that a
// disk fills up while it runs, and against one that opens the same disk again without a
// pause: a standby host whose disk is too small for the state did so for ever.
func TestFullDiskDoesNotEndTheProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		other := errors.New("other failure")
		start := time.Now()
		var opened []time.Duration
		err := newConfig(nil).OnFailure(writable, reason, func() error {
			opened = append(opened, time.Since(start))
			if len(opened) < 8 {
				return fmt.Errorf("write: %w", syscall.ENOSPC)
			}
			return other
		})
		assert.ErrorIs(t, err, other)
		for i := 1; i < len(opened); i++ {
			pause := opened[i] - opened[i-1]
			assert.Equal(t, pause, min(MinDelay<<(i-1), MaxDelay))
		}
	})
}

// TestOtherFailuresEndTheProcess tells failures after which a host is opened again from others.
func TestOtherFailuresEndTheProcess(t *testing.T) {
	for err, again := range map[error]bool{replica.ErrStorage: true, replica.ErrPanic: true, syscall.EDQUOT: true, wal.ErrLocked: false, replica.ErrConfig: false} {
		assert.Equal(t, Possible(fmt.Errorf("run: %w", err)), again, err)
	}
	assert.Assert(t, !Possible(fmt.Errorf("%w: %w", replica.ErrStorage, wal.ErrLocked)))
}

func TestPauseStartsOverAfterAStableRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ended []time.Time
		var pauses []time.Duration
		err := newConfig(nil).OnFailure(writable, reason, func() error {
			if len(ended) > 0 {
				pauses = append(pauses, time.Since(ended[len(ended)-1]))
			}
			if len(ended) == 3 {
				return nil
			}
			if len(ended) == 2 {
				time.Sleep(StableRunTime)
			}
			ended = append(ended, time.Now())
			return syscall.ENOSPC
		})
		assert.NilError(t, err)
		assert.DeepEqual(t, pauses, []time.Duration{MinDelay, 2 * MinDelay, MinDelay})
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
		err := newConfig(nil).OnFailure(writable, reason, func() error {
			if opened++; opened > 1 {
				away := time.Since(failed)
				assert.Assert(t, away >= full && away <= full+RetryInterval, "%d: away for %s", opened, away)
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
		err := newConfig(nil).OnFailure(writable, reason, func() error {
			if opened++; opened > 1 {
				assert.Equal(t, time.Since(failed), MinDelay, "%d", opened)
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
		err := newConfig(nil).OnFailure(func() bool { return false }, reason, func() error {
			if opened++; opened == 2 {
				return nil
			}
			return syscall.ENOSPC
		})
		assert.NilError(t, err)
		assert.Equal(t, time.Since(start), MaxDelay)
	})
}

// TestProbeFindsAFullDisk makes each operation fail that needs room on a disk.
func TestProbeFindsAFullDisk(t *testing.T) {
	fs := waltest.New()
	probe := NewProbe(fs, "/data")
	assert.Assert(t, probe.Writable())
	for _, fault := range []waltest.Fault{
		{NoSpace: true}, {Full: waltest.OpCreate}, {Full: waltest.OpWrite}, {Full: waltest.OpSync}, {Full: waltest.OpSyncDir},
		{Full: waltest.OpRename}, {Capacity: probeBytes - 1},
	} {
		fs.SetFault(fault)
		assert.Assert(t, !probe.Writable(), "%+v", fault)
		assert.Equal(t, len(fs.Files("")), 0, "%+v", fault)
	}
	fs.SetFault(waltest.Fault{Capacity: probeBytes})
	assert.Assert(t, probe.Writable())
}

func TestStopEndsTheWaitForAFullDisk(t *testing.T) {
	stop := make(chan struct{})
	close(stop)
	runs := 0
	err := newConfig(stop).OnFailure(writable, reason, func() error {
		runs++
		return syscall.ENOSPC
	})
	assert.NilError(t, err)
	assert.Equal(t, runs, 1)
}

// TestDamagedSpillDoesNotEndTheProcess guards against a process that ends when it cannot read a
// file that a new opening does not need.
func TestDamagedSpillDoesNotEndTheProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		other, opened := errors.New("other failure"), 0
		err := newConfig(nil).OnFailure(writable, reason, func() error {
			if opened++; opened == 1 {
				return fmt.Errorf("write snapshot: %w", spill.ErrUnreadable)
			}
			return other
		})
		assert.ErrorIs(t, err, other)
		assert.Equal(t, opened, 2)
	})
}

// TestDamagedDataDoesNotFillTheDisk guards against a disk that stays full since each damage of its data
// leaves a copy there, also those of earlier processes.
func TestDamagedDataDoesNotFillTheDisk(t *testing.T) {
	dir := t.TempDir()
	for i := range 5 {
		earlier := filepath.Join(dir, fmt.Sprint(DamagedPrefix, 1000+i))
		assert.NilError(t, os.Mkdir(earlier, dirMode))
		assert.NilError(t, os.WriteFile(filepath.Join(earlier, "segment"), make([]byte, 10), 0o600))
	}
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "segment"), make([]byte, 10), 0o600))
	c := newConfig(nil)
	c.Dir, c.DiskBytes = dir, 100
	opened := 0
	_, err := Open(c, func() error { return SetAside(dir) }, func() (int, error) {
		if opened++; opened == 1 {
			return 0, wal.ErrCorrupt
		}
		return 0, nil
	})
	assert.NilError(t, err)
	kept, err := filepath.Glob(filepath.Join(dir, "*", "segment"))
	assert.NilError(t, err)
	assert.Equal(t, len(kept), 2, kept)
	assert.Equal(t, kept[0], filepath.Join(dir, DamagedPrefix+"1004", "segment"))
	runs := 0
	assert.NilError(t, c.OnFailure(writable, reason, func() error {
		if runs++; runs == 1 {
			return syscall.ENOSPC
		}
		return nil
	}))
	kept, err = filepath.Glob(filepath.Join(dir, "*", "segment"))
	assert.NilError(t, err)
	assert.Equal(t, len(kept), 0, "a full disk keeps damaged data: %v", kept)
}
