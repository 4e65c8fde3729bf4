package history

import (
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// limitFileSize makes the process unable to write beyond a size of any file, like a disk that is
// full, until the result is called.
func limitFileSize(t *testing.T, size int64) (restore func()) {
	t.Helper()
	signal.Ignore(syscall.SIGXFSZ)
	var before syscall.Rlimit
	assert.NilError(t, syscall.Getrlimit(syscall.RLIMIT_FSIZE, &before))
	limit := before
	limit.Cur = uint64(size)
	assert.NilError(t, syscall.Setrlimit(syscall.RLIMIT_FSIZE, &limit))
	return func() {
		assert.NilError(t, syscall.Setrlimit(syscall.RLIMIT_FSIZE, &before))
		signal.Reset(syscall.SIGXFSZ)
	}
}

// TestStoreOpensAfterAWriteThatDidNotFit fails a write in the middle and fills the segment with
// shorter records. What the failed write has left must not count as damage later.
func TestStoreOpensAfterAWriteThatDidNotFit(t *testing.T) {
	dir := t.TempDir()
	s := openTestStore(t, dir)
	putText(t, s, 1, "first")
	restore := limitFileSize(t, s.Stats().DiskBytes+testSegmentBytes)
	err := s.Put(2, []byte(strings.Repeat("x", 2*testSegmentBytes)))
	restore()
	assert.ErrorIs(t, err, syscall.EFBIG)
	for id := uint64(3); s.Stats().Segments == 1; id++ {
		putText(t, s, id, "short")
	}
	want := s.Stats().Bodies
	s.Close()
	assert.Equal(t, openTestStore(t, dir).Stats().Bodies, want)
}

// TestSyncKeepsWhatItHasNotReached fails the sync of a segment. The next Sync must not report the
// others as durable without syncing them.
func TestSyncKeepsWhatItHasNotReached(t *testing.T) {
	s := openTestStore(t, t.TempDir())
	for id := uint64(1); s.Stats().Segments < 4; id++ {
		putText(t, s, id, strings.Repeat("x", testSegmentBytes))
	}
	for _, seg := range s.segments {
		seg.file.Close()
	}
	assert.Assert(t, s.Sync() != nil)
	for _, seg := range s.segments {
		assert.Assert(t, seg.dirty, filepath.Base(seg.file.Name()))
	}
}

// TestSyncRepeatsAFailedSyncOfTheDirectory fails the sync of the directory. The next Sync must not
// report a new segment as durable without syncing its name.
func TestSyncRepeatsAFailedSyncOfTheDirectory(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "bodies")
	s := openTestStore(t, dir)
	putText(t, s, 1, "first")
	assert.NilError(t, os.Rename(dir, dir+"-gone"))
	assert.Assert(t, s.Sync() != nil)
	assert.Assert(t, s.Sync() != nil)
	assert.NilError(t, os.Rename(dir+"-gone", dir))
	assert.NilError(t, s.Sync())
}

// TestFailedSyncIsNotRepeated guards against bodies that count as durable after a second fsync, which
// may succeed without writing what the first one lost.
func TestFailedSyncIsNotRepeated(t *testing.T) {
	s := openTestStore(t, t.TempDir())
	putText(t, s, 1, "first")
	intact := s.active.file
	closed, err := os.Open(intact.Name())
	assert.NilError(t, err)
	closed.Close()
	s.active.file = closed
	assert.ErrorIs(t, s.Sync(), os.ErrClosed)
	s.active.file = intact
	assert.ErrorIs(t, s.Sync(), os.ErrClosed)
	assert.NilError(t, s.Reset())
	putText(t, s, 2, "second")
	assert.NilError(t, s.Sync())
}
