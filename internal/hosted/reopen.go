package hosted

import (
	"errors"
	"io"
	"io/fs"
	"path/filepath"
	"time"

	"github.com/hashicorp/go-hclog"

	"ibistray.example/ibistray/internal/replica"
	"ibistray.example/ibistray/internal/spill"
	"ibistray.example/ibistray/internal/statehost"
	"ibistray.example/ibistray/internal/wal"
)

const (
	// A state host that failed is opened again as soon as its disk can be written
	// again. A disk that can be written right after the host was closed is too small for what
	// the host stores, cannot be read, or has just recovered: the host is opened again after a
	// pause that doubles each time, since every opening reads the whole log and the group sends it
	// what it lacks. The pause starts over once the host has run for stableRunTime.
	minReopenDelay = 500 * time.Millisecond
	maxReopenDelay = 15 * time.Second
	stableRunTime  = 10 * time.Second
	probeFile      = "room"
	// probeBytes is the size of a segment of the log, which an opening writes.
	probeBytes = 1 << 20
)

// canReopen reports whether a state host can be opened again after err: a failure of its disk, an
// unreadable file that an opening does not need, a panic of its replicas, or an address that was taken
// while it was opened. Opening writes everything anew of which an earlier fsync may have failed and
// rebuilds the state from what is stored, so it is as good as a restart of the process. A data
// directory that another process uses is not such a failure.
func canReopen(err error) bool {
	failed := errors.Is(err, replica.ErrStorage) || errors.Is(err, replica.ErrPanic) ||
		errors.Is(err, spill.ErrUnreadable) || errors.Is(err, errAddressTaken) || wal.IsDiskFull(err)
	return failed && !errors.Is(err, wal.ErrLocked)
}

// reopenOnFailure calls run until it returns an error of another kind or none, or until stop is
// closed. Between the calls it waits for a disk that can be written.
func reopenOnFailure(log hclog.Logger, stop <-chan struct{}, writable func() bool, run func() error) error {
	delay := minReopenDelay
	for {
		start := time.Now()
		err := run()
		if !canReopen(err) {
			return err
		}
		if time.Since(start) >= stableRunTime {
			delay = minReopenDelay
		}
		log.Error(reopenReason(err)+": the state host is opened again", "after_ms_at_most", delay.Milliseconds(), "error", err)
		wasUnwritable, stopped := waitUntilWritable(stop, writable, delay)
		if stopped {
			return nil
		}
		delay = min(2*delay, maxReopenDelay)
		if wasUnwritable {
			delay = minReopenDelay
		}
	}
}

// reopenReason names a failure in the log.
func reopenReason(err error) string {
	switch {
	case wal.IsDiskFull(err):
		return "disk is full"
	case errors.Is(err, replica.ErrPanic):
		return "replicas failed"
	case errors.Is(err, errAddressTaken):
		return "address was taken"
	}
	return "storage failed"
}

// waitUntilWritable waits until a disk that cannot be written can be, maxReopenDelay at most, or for
// delay if it can be now. It returns whether it could not be, and early if stop is closed.
func waitUntilWritable(stop <-chan struct{}, writable func() bool, delay time.Duration) (wasUnwritable, stopped bool) {
	wasUnwritable = !writable()
	if wasUnwritable {
		delay = maxReopenDelay
	}
	for end := time.Now().Add(delay); time.Now().Before(end); {
		select {
		case <-stop:
			return wasUnwritable, true
		case <-time.After(min(openRetryInterval, time.Until(end))):
		}
		if wasUnwritable && writable() {
			break
		}
	}
	return wasUnwritable, false
}

// diskProbe finds out whether files can be written in a data directory.
type diskProbe struct {
	fs   wal.FS
	path string
}

func newDiskProbe(cfg statehost.Config) diskProbe {
	fsys := cfg.FS
	if fsys == nil {
		fsys = wal.OS()
	}
	return diskProbe{fs: fsys, path: filepath.Join(cfg.DataDir, probeFile)}
}

// writable reports whether a file of probeBytes can be written, synced and renamed. A directory that
// is missing is left to the next opening, which creates it.
func (p diskProbe) writable() bool {
	defer p.removeFile()
	err := wal.WriteFileAtomic(p.fs, p.path, func(w io.Writer) error {
		_, err := w.Write(make([]byte, probeBytes))
		return err
	})
	return err == nil || errors.Is(err, fs.ErrNotExist)
}

// removeFile removes what an interrupted probe has left.
func (p diskProbe) removeFile() {
	_ = p.fs.Remove(p.path)
	_ = p.fs.Remove(p.path + wal.TempSuffix)
}
