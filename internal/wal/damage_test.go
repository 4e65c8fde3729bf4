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

const sector = 512 // bytes

// written returns a file system with 3 acknowledged appends, and the lengths of
// the segment after each.
func written(t *testing.T) (*waltest.FS, []int) {
	t.Helper()
	fs := waltest.New()
	log, _ := open(t, fs)
	var lengths []int
	for index := uint64(1); index <= 3; index++ {
		update := entries(1, 1, index, index)
		update.Entries[0].Data = bytes.Repeat([]byte{byte(index)}, 3*sector)
		appendAll(t, log, update)
		fs.ModifyFile(lastSegment(t, fs), func(data []byte) []byte {
			lengths = append(lengths, len(data))
			return data
		})
	}
	closeLog(t, log)
	return fs, lengths
}

// TestCutFrameIsRemoved cuts the segment at each length within the last frame.
func TestCutFrameIsRemoved(t *testing.T) {
	fs, lengths := written(t)
	for length := lengths[1]; length < lengths[2]; length += 7 {
		after := fs.Crash(waltest.LoseUnsynced)
		after.ModifyFile(lastSegment(t, after), func(data []byte) []byte { return data[:length] })
		assertRecovers(t, after, 2)
	}
}

// TestFrameWithMissingSectorsIsRemoved loses random sectors of the last frame,
// as a power failure during the write does.
func TestFrameWithMissingSectorsIsRemoved(t *testing.T) {
	fs, lengths := written(t)
	random := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		after := fs.Crash(waltest.LoseUnsynced)
		lost := 0
		after.ModifyFile(lastSegment(t, after), func(data []byte) []byte {
			lost = loseSectors(random, data, lengths[1])
			return data
		})
		if lost > 0 {
			assertRecovers(t, after, 2)
		}
	}
}

// loseSectors fills random sectors with zeros from offset start on, and returns
// how many bytes changed.
func loseSectors(random *rand.Rand, data []byte, start int) int {
	changed := 0
	for offset := start; offset < len(data); {
		end := min(len(data), (offset/sector+1)*sector)
		part := data[offset:end]
		if random.IntN(2) == 0 && len(bytes.Trim(part, "\x00")) > 0 {
			clear(part)
			changed += len(part)
		}
		offset = end
	}
	return changed
}

func assertRecovers(t *testing.T, fs *waltest.FS, last uint64) {
	t.Helper()
	log, groups := open(t, fs)
	assert.Equal(t, lastIndex(groups[1]), last)
	appendAll(t, log, entries(1, 1, last+1, last+1))
	closeLog(t, log)
	log, groups = open(t, fs)
	assert.Equal(t, lastIndex(groups[1]), last+1)
	closeLog(t, log)
}

// TestBitFlipIsRefused flips each bit of some bytes of the segment: an
// acknowledged frame must not be dropped, also when it is the last one.
func TestBitFlipIsRefused(t *testing.T) {
	fs, lengths := written(t)
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

// isPadding reports whether the byte is one of the zeros that align frames. They
// carry nothing and are not covered by a checksum.
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

// TestZerosInDataAreNoInterruptedWrite flips a bit of a frame that holds zeros
// as data: they must not pass for sectors that were not written.
func TestZerosInDataAreNoInterruptedWrite(t *testing.T) {
	fs := waltest.New()
	log, _ := open(t, fs)
	update := entries(1, 1, 1, 1)
	update.Entries[0].Data = append(make([]byte, 4*sector), "end"...)
	appendAll(t, log, update)
	closeLog(t, log)
	fs.ModifyFile(lastSegment(t, fs), func(data []byte) []byte {
		data[bytes.Index(data, []byte("end"))] ^= 1
		return data
	})
	assertCorrupt(t, openError(t, fs))
}

// TestMissingMiddleIsRefused removes the second of three frames.
func TestMissingMiddleIsRefused(t *testing.T) {
	fs, lengths := written(t)
	fs.ModifyFile(lastSegment(t, fs), func(data []byte) []byte {
		return append(data[:lengths[0]], data[lengths[1]:]...)
	})
	assertCorrupt(t, openError(t, fs))
}

// TestZeroedMiddleIsRefused fills the second of three frames with zeros.
func TestZeroedMiddleIsRefused(t *testing.T) {
	fs, lengths := written(t)
	fs.ModifyFile(lastSegment(t, fs), func(data []byte) []byte {
		clear(data[lengths[0]:lengths[1]])
		return data
	})
	assertCorrupt(t, openError(t, fs))
}

// TestCutOlderSegmentIsRefused cuts the end of a segment that is not the last.
func TestCutOlderSegmentIsRefused(t *testing.T) {
	fs, lengths := written(t)
	older := lastSegment(t, fs)
	log, _ := open(t, fs)
	closeLog(t, log)
	fs.ModifyFile(older, func(data []byte) []byte { return data[:lengths[2]-20] })
	assertCorrupt(t, openError(t, fs))
}

func TestMissingSegmentIsRefused(t *testing.T) {
	fs, _ := written(t)
	for range 2 {
		log, _ := open(t, fs)
		closeLog(t, log)
	}
	names := fs.Files(".wal")
	assert.Assert(t, len(names) >= 3)
	assert.NilError(t, fs.Remove(names[1]))
	assertCorrupt(t, openError(t, fs))
}

// TestMissingOldestSegmentIsRefused removes a segment whose entries no snapshot
// covers.
func TestMissingOldestSegmentIsRefused(t *testing.T) {
	fs, _ := written(t)
	log, _ := open(t, fs)
	appendAll(t, log, entries(1, 1, 4, 4))
	closeLog(t, log)
	assert.NilError(t, fs.Remove(fs.Files(".wal")[0]))
	assert.ErrorIs(t, openError(t, fs), wal.ErrCorrupt)
}

func TestMissingSegmentsAreRefused(t *testing.T) {
	fs, _ := written(t)
	for _, name := range fs.Files(".wal") {
		assert.NilError(t, fs.Remove(name))
	}
	assert.ErrorIs(t, openError(t, fs), wal.ErrCorrupt)
}

func TestMissingIdentityIsRefused(t *testing.T) {
	fs, _ := written(t)
	assert.NilError(t, fs.Remove(identityPath))
	assert.ErrorIs(t, openError(t, fs), wal.ErrCorrupt)
}

func TestDamagedIdentityIsRefused(t *testing.T) {
	fs, _ := written(t)
	fs.ModifyFile(identityPath, func(data []byte) []byte {
		return []byte(strings.ReplaceAll(string(data), "DiskID", "diskID"))
	})
	assertCorrupt(t, openError(t, fs))
}

// TestInterruptedFirstStart cuts the very first write at each length.
func TestInterruptedFirstStart(t *testing.T) {
	fs := waltest.New()
	log, _ := open(t, fs)
	closeLog(t, log)
	fs = fs.Crash(waltest.LoseUnsynced)
	name := lastSegment(t, fs)
	assert.NilError(t, fs.Remove(identityPath))
	for length := range 28 {
		after := fs.Crash(waltest.LoseUnsynced)
		assert.NilError(t, after.Remove(identityPath))
		after.ModifyFile(name, func(data []byte) []byte { return data[:length] })
		log, _ := open(t, after)
		closeLog(t, log)
	}
}

// TestRecoveredDataIsDurable opens a log whose last frame was written and not
// synced: what Open returns must survive the next power failure.
func TestRecoveredDataIsDurable(t *testing.T) {
	fs := waltest.New()
	log, _ := open(t, fs)
	appendAll(t, log, entries(1, 1, 1, 1))
	fs.SetFault(waltest.Fault{FailSync: true})
	assert.ErrorIs(t, log.Append([]wal.Update{entries(1, 1, 2, 2)}), wal.ErrFailed)
	closeLog(t, log)
	fs.SetFault(waltest.Fault{})

	log, groups := open(t, fs)
	recovered := lastIndex(groups[1])
	closeLog(t, log)
	log, groups = open(t, fs.Crash(waltest.LoseUnsynced))
	defer closeLog(t, log)
	assert.Equal(t, lastIndex(groups[1]), recovered)
}
