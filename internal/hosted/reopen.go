package hosted

import (
	"io"
	"path/filepath"
	"time"

	"github.com/hashicorp/go-hclog"

	"ibistray.example/ibistray/internal/statehost"
	"ibistray.example/ibistray/internal/wal"
)

const (
	// A state host whose disk filled up while it ran is opened again as soon as the disk has
	// room again. A disk that has room right after the host was closed is too small for what
	// the host stores, or has just got room: the host is opened again after a pause that
	// doubles each time, since every opening reads the whole log and the group sends it what it
	// lacks. The pause starts over once the host has run for stableRunTime.
	minReopenDelay = 500 * time.Millisecond
	maxReopenDelay = 15 * time.Second
	stableRunTime  = 10 * time.Second
	probeFile      = "room"
	// probeBytes is the size of a segment of the log, which an opening writes.
	probeBytes = 1 << 20
)

// reopenOnFullDisk calls run until it returns something else than a full disk, or until
// stop is closed. Between the calls it waits for room.
func reopenOnFullDisk(log hclog.Logger, stop <-chan struct{}, hasRoom func() bool, run func() error) error {
	delay := minReopenDelay
	for {
		start := time.Now()
		err := run()
		if !wal.IsDiskFull(err) {
			return err
		}
		if time.Since(start) >= stableRunTime {
			delay = minReopenDelay
		}
		log.Error("disk is full: the state host is opened again", "after_ms_at_most", delay.Milliseconds(), "error", err)
		wasFull, stopped := waitForRoom(stop, hasRoom, delay)
		if stopped {
			return nil
		}
		delay = min(2*delay, maxReopenDelay)
		if wasFull {
			delay = minReopenDelay
		}
	}
}

// waitForRoom waits until a disk without room has some, maxReopenDelay at most, or for delay if it
// has room now. It returns whether the disk was full, and early if stop is closed.
func waitForRoom(stop <-chan struct{}, hasRoom func() bool, delay time.Duration) (wasFull, stopped bool) {
	wasFull = !hasRoom()
	if wasFull {
		delay = maxReopenDelay
	}
	for end := time.Now().Add(delay); time.Now().Before(end); {
		select {
		case <-stop:
			return wasFull, true
		case <-time.After(min(openRetryInterval, time.Until(end))):
		}
		if wasFull && hasRoom() {
			break
		}
	}
	return wasFull, false
}

// diskProbe finds out whether files can be written in a data directory.
type diskProbe struct {
	fs   wal.FS
	path string
}

func newDiskProbe(cfg statehost.Config) diskProbe {
	fs := cfg.FS
	if fs == nil {
		fs = wal.OS()
	}
	return diskProbe{fs: fs, path: filepath.Join(cfg.DataDir, probeFile)}
}

// hasRoom reports whether a file of probeBytes can be written, synced and renamed. An error of
// another kind than a full disk is left to the next opening.
func (p diskProbe) hasRoom() bool {
	defer p.removeFile()
	return !wal.IsDiskFull(wal.WriteFileAtomic(p.fs, p.path, func(w io.Writer) error {
		_, err := w.Write(make([]byte, probeBytes))
		return err
	}))
}

// removeFile removes what an interrupted probe has left.
func (p diskProbe) removeFile() {
	_ = p.fs.Remove(p.path)
	_ = p.fs.Remove(p.path + wal.TempSuffix)
}
