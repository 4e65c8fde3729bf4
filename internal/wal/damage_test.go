package wal_test

import (
	"bytes"
	"math/rand/v2"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/wal"
	"ibistray.example/ibistray/internal/wal/waltest"
)

const sectorSize = 512 // bytes

// newLogWithAppends returns a file system with a closed log of 3 acknowledged appends,
// and the length of the segment after each append.
func newLogWithAppends(t *testing.T) (*waltest.FS, []int) {
	t.Helper()
	fs := waltest.New()
	log, _ := openLog(t, fs)
	var lengths []int
	for index := uint64(1); index <= 3; index++ {
		update := entries(1, 1, index, index)
		update.Entries[0].Data = bytes.Repeat([]byte{byte(index)}, 3*sectorSize)
		appendAll(t, log, update)
		fs.ModifyFile(lastSegment(t, fs), func(data []byte) []byte {
			lengths = append(lengths, len(data))
			return data
		})
	}
	closeLog(t, log)
	return fs, lengths
}

// TestTruncatedFrameIsRemoved truncates the segment at many lengths within the last
// frame. Open must drop the frame and keep the others.
func TestTruncatedFrameIsRemoved(t *testing.T) {
	fs, lengths := newLogWithAppends(t)
	for length := lengths[1]; length < lengths[2]; length += 7 {
		after := fs.Crash(waltest.LoseUnsynced)
		after.ModifyFile(lastSegment(t, after), func(data []byte) []byte { return data[:length] })
		assertRecovers(t, after, 2)
	}
}

// TestFrameWithMissingSectorsIsRemoved zeroes random sectors of the last frame, which
// is what a power failure during the write may leave. Open must drop the frame.
func TestFrameWithMissingSectorsIsRemoved(t *testing.T) {
	fs, lengths := newLogWithAppends(t)
	random := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		after := fs.Crash(waltest.LoseUnsynced)
		lostBytes := 0
		after.ModifyFile(lastSegment(t, after), func(data []byte) []byte {
			lostBytes = loseSectors(random, data, lengths[1])
			return data
		})
		if lostBytes > 0 {
			assertRecovers(t, after, 2)
		}
	}
}

// loseSectors fills random sectors after offset start with zeros and returns the size
// in bytes of the sectors that changed.
func loseSectors(random *rand.Rand, data []byte, start int) int {
	changed := 0
	for offset := start; offset < len(data); {
		end := min(len(data), (offset/sectorSize+1)*sectorSize)
		part := data[offset:end]
		if random.IntN(2) == 0 && len(bytes.Trim(part, "\x00")) > 0 {
			clear(part)
			changed += len(part)
		}
		offset = end
	}
	return changed
}

// assertRecovers checks that the log opens with wantLast as the last entry of group 1
// and that it takes another append.
func assertRecovers(t *testing.T, fs *waltest.FS, wantLast uint64) {
	t.Helper()
	log, groups := openLog(t, fs)
	assert.Equal(t, lastEntryIndex(groups[1]), wantLast)
	appendAll(t, log, entries(1, 1, wantLast+1, wantLast+1))
	closeLog(t, log)
	log, groups = openLog(t, fs)
	assert.Equal(t, lastEntryIndex(groups[1]), wantLast+1)
	closeLog(t, log)
}

// TestBitFlipIsRefused flips one bit at many offsets of the segment. Open must report
// the damage and must not take an acknowledged frame for a torn write, not even the
// last one.
func TestBitFlipIsRefused(t *testing.T) {
	fs, lengths := newLogWithAppends(t)
	for offset := 0; offset < lengths[2]; offset += 13 {
		if isPadding(fs, lastSegment(t, fs), offset) {
			continue
		}
		after := fs.Crash(waltest.LoseUnsynced)
		after.ModifyFile(lastSegment(t, after), func(data []byte) []byte {
			data[offset] ^= 1 << (offset % 8)
			return data
		})
		assertCorrupt(t, openError(t, after))
	}
}

// isPadding reports whether the byte at offset is padding between frames. No checksum
// covers the padding, so Open does not detect a change of it.
func isPadding(fs *waltest.FS, name string, offset int) bool {
	padding := false
	fs.ModifyFile(name, func(data []byte) []byte {
		rest := data[offset:]
		next := bytes.Index(rest, []byte("brWL"))
		if next < 0 {
			next = len(rest)
		}
		padding = next < 8 && len(bytes.Trim(rest[:next], "\x00")) == 0
		return data
	})
	return padding
}

// TestZerosInDataAreNotTakenForMissingSectors flips a bit of a frame whose data has
// zero-filled sectors. Open must not take them for sectors that were not written.
func TestZerosInDataAreNotTakenForMissingSectors(t *testing.T) {
	fs := waltest.New()
	log, _ := openLog(t, fs)
	update := entries(1, 1, 1, 1)
	update.Entries[0].Data = append(make([]byte, 4*sectorSize), "end"...)
	appendAll(t, log, update)
	closeLog(t, log)
	fs.ModifyFile(lastSegment(t, fs), func(data []byte) []byte {
		data[bytes.Index(data, []byte("end"))] ^= 1
		return data
	})
	assertCorrupt(t, openError(t, fs))
}

// TestMissingMiddleFrameIsRefused removes the second of three frames.
func TestMissingMiddleFrameIsRefused(t *testing.T) {
	fs, lengths := newLogWithAppends(t)
	fs.ModifyFile(lastSegment(t, fs), func(data []byte) []byte {
		return append(data[:lengths[0]], data[lengths[1]:]...)
	})
	assertCorrupt(t, openError(t, fs))
}

// TestZeroedMiddleFrameIsRefused fills the second of three frames with zeros.
func TestZeroedMiddleFrameIsRefused(t *testing.T) {
	fs, lengths := newLogWithAppends(t)
	fs.ModifyFile(lastSegment(t, fs), func(data []byte) []byte {
		clear(data[lengths[0]:lengths[1]])
		return data
	})
	assertCorrupt(t, openError(t, fs))
}

// TestTruncatedOlderSegmentIsRefused truncates a segment that is not the last. Its
// frames were all acknowledged, so this cannot be a torn write.
func TestTruncatedOlderSegmentIsRefused(t *testing.T) {
	fs, lengths := newLogWithAppends(t)
	older := lastSegment(t, fs)
	log, _ := openLog(t, fs)
	closeLog(t, log)
	fs.ModifyFile(older, func(data []byte) []byte { return data[:lengths[2]-20] })
	assertCorrupt(t, openError(t, fs))
}

func TestMissingSegmentIsRefused(t *testing.T) {
	fs, _ := newLogWithAppends(t)
	for range 2 {
		log, _ := openLog(t, fs)
		closeLog(t, log)
	}
	names := fs.Files(".wal")
	assert.Assert(t, len(names) >= 3)
	assert.NilError(t, fs.Remove(names[1]))
	assertCorrupt(t, openError(t, fs))
}

// TestMissingOldestSegmentIsRefused removes the oldest segment although no snapshot
// covers its entries.
func TestMissingOldestSegmentIsRefused(t *testing.T) {
	fs, _ := newLogWithAppends(t)
	log, _ := openLog(t, fs)
	appendAll(t, log, entries(1, 1, 4, 4))
	closeLog(t, log)
	assert.NilError(t, fs.Remove(fs.Files(".wal")[0]))
	assert.ErrorIs(t, openError(t, fs), wal.ErrCorrupt)
}

func TestIdentityWithoutSegmentsIsRefused(t *testing.T) {
	fs, _ := newLogWithAppends(t)
	for _, name := range fs.Files(".wal") {
		assert.NilError(t, fs.Remove(name))
	}
	assert.ErrorIs(t, openError(t, fs), wal.ErrCorrupt)
}

func TestSegmentsWithoutIdentityAreRefused(t *testing.T) {
	fs, _ := newLogWithAppends(t)
	assert.NilError(t, fs.Remove(identityPath))
	assert.ErrorIs(t, openError(t, fs), wal.ErrCorrupt)
}

func TestDamagedIdentityIsRefused(t *testing.T) {
	fs, _ := newLogWithAppends(t)
	fs.ModifyFile(identityPath, func(data []byte) []byte {
		return []byte(strings.ReplaceAll(string(data), "DiskID", "diskID"))
	})
	assertCorrupt(t, openError(t, fs))
}

// TestInterruptedFirstWriteIsRecovered truncates the first segment of a new data
// directory within its first frame header, before the identity was written.
func TestInterruptedFirstWriteIsRecovered(t *testing.T) {
	fs := waltest.New()
	log, _ := openLog(t, fs)
	closeLog(t, log)
	fs = fs.Crash(waltest.LoseUnsynced)
	name := lastSegment(t, fs)
	assert.NilError(t, fs.Remove(identityPath))
	for length := range 28 {
		after := fs.Crash(waltest.LoseUnsynced)
		assert.NilError(t, after.Remove(identityPath))
		after.ModifyFile(name, func(data []byte) []byte { return data[:length] })
		log, _ := openLog(t, after)
		closeLog(t, log)
	}
}

// TestRecoveredDataIsDurable opens a log whose last frame was written but not synced.
// If Open returned the frame without making it durable, the next power failure would
// lose entries that the host has already used.
func TestRecoveredDataIsDurable(t *testing.T) {
	fs := waltest.New()
	log, _ := openLog(t, fs)
	appendAll(t, log, entries(1, 1, 1, 1))
	fs.SetFault(waltest.Fault{FailSync: true})
	assert.ErrorIs(t, log.Append([]wal.Update{entries(1, 1, 2, 2)}), wal.ErrFailed)
	closeLog(t, log)
	fs.SetFault(waltest.Fault{})

	log, groups := openLog(t, fs)
	recovered := lastEntryIndex(groups[1])
	closeLog(t, log)
	log, groups = openLog(t, fs.Crash(waltest.LoseUnsynced))
	defer closeLog(t, log)
	assert.Equal(t, lastEntryIndex(groups[1]), recovered)
}
