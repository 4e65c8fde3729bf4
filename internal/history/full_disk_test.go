package history

import (
	"os/signal"
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
