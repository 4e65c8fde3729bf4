// Package reopen keeps a process running whose storage fails: what holds the replicas is closed and
// opened again once the disk can be written, and damaged data is set aside.
package reopen

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"path/filepath"
	"time"

	"github.com/hashicorp/go-hclog"

	"ibistray.example/ibistray/internal/replica"
	"ibistray.example/ibistray/internal/spill"
	"ibistray.example/ibistray/internal/wal"
)

// Times of Config.OnFailure and Open.
const (
	// What failed is opened again as soon as its disk can be written again. A disk that can be written
	// right after the failure is too small for what is stored, cannot be read, or has just recovered:
	// the next opening follows after a pause that doubles each time, since every opening reads the whole
	// log and the group sends it what it lacks. The pause starts over after a run of StableRunTime.
	MinDelay      = 500 * time.Millisecond
	MaxDelay      = 15 * time.Second
	StableRunTime = 10 * time.Second
	// RetryInterval is the pause between attempts to open a data directory, and between probes.
	RetryInterval = 300 * time.Millisecond
)

const (
	probeFile = "room"
	// probeBytes is the size of a segment of the log, which an opening writes.
	probeBytes = 1 << 20
)

// Config says what is opened again.
type Config struct {
	What      string // is opened, for the log
	Dir       string // data directory
	DiskBytes int64  // size of the disk; 0: that of the file system
	Log       hclog.Logger
	Stop      <-chan struct{} // ends all waits when it is closed
}

// Possible reports whether what failed with err can be opened again: a failure of its disk, an
// unreadable file that an opening does not need, or a panic of its replicas. Opening writes everything
// anew of which an earlier fsync may have failed and rebuilds the state from what is stored, so it is as
// good as a restart of the process. A data directory that another process uses is not such a failure.
func Possible(err error) bool {
	failed := errors.Is(err, replica.ErrStorage) || errors.Is(err, replica.ErrPanic) || errors.Is(err, spill.ErrUnreadable) || wal.IsDiskFull(err)
	return failed && !errors.Is(err, wal.ErrLocked)
}

// Reason names a failure in the log.
func Reason(err error) string {
	switch {
	case wal.IsDiskFull(err):
		return "disk is full"
	case errors.Is(err, replica.ErrPanic):
		return "replicas failed"
	}
	return "storage failed"
}

// OnFailure calls run until it returns no error or one for which reason returns "", or until
// Config.Stop is closed. Between the calls it waits for a disk that can be written.
func (c Config) OnFailure(writable func() bool, reason func(error) string, run func() error) error {
	delay := MinDelay
	for {
		start := time.Now()
		err := run()
		why := reason(err)
		if why == "" {
			return err
		}
		if time.Since(start) >= StableRunTime {
			delay = MinDelay
		}
		c.Log.Error(why+": the "+c.What+" is opened again", "after_ms_at_most", delay.Milliseconds(), "error", err)
		c.pruneDamaged(wal.IsDiskFull(err))
		wasUnwritable, stopped := waitUntilWritable(c.Stop, writable, delay)
		if stopped {
			return nil
		}
		delay = min(2*delay, MaxDelay)
		if wasUnwritable {
			delay = MinDelay
		}
	}
}

// Open calls open, again while the disk is full, because a restarted process would find the same disk,
// and while another process uses the data directory, because that may be a predecessor that ends. Damaged
// data is set aside once by calling setAside, as if the disk had been lost: the other hosts hold all
// acknowledged data. Without setAside, it is an error. What was set aside is removed on a full disk, and
// older ones beyond a share of it. If Config.Stop is closed before, Open returns the zero value and no
// error.
func Open[T any](c Config, setAside func() error, open func() (T, error)) (T, error) {
	logged, setAsideOnce, full := "", false, false
	for {
		c.pruneDamaged(full)
		value, err := open()
		full = wal.IsDiskFull(err)
		reason := waitReason(err)
		switch {
		case reason != "":
			if reason != logged {
				c.Log.Error(reason+": the "+c.What+" waits", "error", err)
			}
			logged = reason
		case errors.Is(err, wal.ErrCorrupt) && setAside != nil && !setAsideOnce:
			setAsideOnce = true
			c.Log.Error("stored data is damaged: it is set aside and fetched from other hosts", "error", err)
			if err := setAside(); err != nil {
				return value, fmt.Errorf("%w: %w", replica.ErrStorage, err)
			}
		default:
			return value, err
		}
		select {
		case <-c.Stop:
			var none T
			return none, nil
		case <-time.After(RetryInterval):
		}
	}
}

// waitReason returns why an opening is tried again that failed with err, or "" if it is not.
func waitReason(err error) string {
	switch {
	case wal.IsDiskFull(err):
		return "disk is full"
	case errors.Is(err, wal.ErrLocked):
		return "data directory is in use"
	}
	return ""
}

// waitUntilWritable waits until a disk that cannot be written can be, MaxDelay at most, or for
// delay if it can be now. It returns whether it could not be, and early if stop is closed.
func waitUntilWritable(stop <-chan struct{}, writable func() bool, delay time.Duration) (wasUnwritable, stopped bool) {
	wasUnwritable = !writable()
	if wasUnwritable {
		delay = MaxDelay
	}
	for end := time.Now().Add(delay); time.Now().Before(end); {
		select {
		case <-stop:
			return wasUnwritable, true
		case <-time.After(min(RetryInterval, time.Until(end))):
		}
		if wasUnwritable && writable() {
			break
		}
	}
	return wasUnwritable, false
}

// Probe finds out whether files can be written in a data directory.
type Probe struct {
	fs   wal.FS
	path string
}

// NewProbe returns a probe of a directory; nil stands for the file system of the operating system. It
// removes what an interrupted probe has left.
func NewProbe(fsys wal.FS, dir string) Probe {
	if fsys == nil {
		fsys = wal.OS()
	}
	p := Probe{fs: fsys, path: filepath.Join(dir, probeFile)}
	p.removeFile()
	return p
}

// Writable reports whether a file of probeBytes can be written, synced and renamed. A directory that
// is missing is left to the next opening, which creates it.
func (p Probe) Writable() bool {
	defer p.removeFile()
	err := wal.WriteFileAtomic(p.fs, p.path, func(w io.Writer) error {
		_, err := w.Write(make([]byte, probeBytes))
		return err
	})
	return err == nil || errors.Is(err, fs.ErrNotExist)
}

// removeFile removes what an interrupted probe has left.
func (p Probe) removeFile() {
	_ = p.fs.Remove(p.path)
	_ = p.fs.Remove(p.path + wal.TempSuffix)
}
