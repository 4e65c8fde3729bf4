package history

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"math"
	"os"
	"path/filepath"
)

// headerBytes is the length of a record's header, which precedes the body. The header
// contains the body's length (4 bytes), the CRC-32C of ID and body (4 bytes) and the
// ID (8 bytes), all in big-endian order.
const headerBytes = 16

// maxBodyBytes is the maximum length of a body.
const maxBodyBytes = 64 << 20

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// segment is one append-only file of records.
type segment struct {
	number    uint32
	file      *os.File
	size      int64
	liveBytes int64 // total size of the records that the index refers to
	dirty     bool  // has changes that are not synced to disk
	torn      bool  // a failed write has left data after size
}

func recordBytes(bodyLength uint32) int64 {
	return headerBytes + int64(bodyLength)
}

func segmentName(number uint32) string {
	return fmt.Sprintf("%08x.seg", number)
}

// append writes a record at the end and returns its offset. What a failed write has left is
// removed: a shorter record would not cover it. If the removal fails, so do later appends.
func (g *segment) append(id uint64, body []byte) (uint32, error) {
	if len(body) > maxBodyBytes || g.size > math.MaxUint32 {
		return 0, fmt.Errorf("body of %d bytes (limit %d) or segment of %d bytes (limit 2^32-1) is too large", len(body), maxBodyBytes, g.size)
	}
	offset := g.size
	if g.torn {
		if err := g.file.Truncate(offset); err != nil {
			return 0, err
		}
		g.torn = false
	}
	if _, err := g.file.WriteAt(encodeRecord(id, body), offset); err != nil {
		g.torn = g.file.Truncate(offset) != nil
		return 0, err
	}
	g.size += headerBytes + int64(len(body))
	g.dirty = true
	return uint32(offset), nil // at most math.MaxUint32, checked above
}

func encodeRecord(id uint64, body []byte) []byte {
	record := make([]byte, headerBytes, headerBytes+len(body))
	binary.BigEndian.PutUint32(record[0:], uint32(len(body))) // at most maxBodyBytes
	binary.BigEndian.PutUint64(record[8:], id)
	record = append(record, body...)
	binary.BigEndian.PutUint32(record[4:], crc32.Checksum(record[8:], castagnoli))
	return record
}

// read returns the body at a location. It returns ErrCorrupt if the record there is
// invalid or has another ID.
func (g *segment) read(id uint64, loc location) ([]byte, error) {
	record := make([]byte, recordBytes(loc.length))
	if _, err := g.file.ReadAt(record, int64(loc.offset)); err != nil {
		return nil, fmt.Errorf("history: read body %d: %w", id, err)
	}
	if !recordValid(record) || binary.BigEndian.Uint64(record[8:]) != id {
		return nil, fmt.Errorf("history: body %d in %s: %w", id, segmentName(g.number), ErrCorrupt)
	}
	return record[headerBytes:], nil
}

// recordValid reports whether a complete record matches the length and the checksum in
// its header.
func recordValid(record []byte) bool {
	return int(binary.BigEndian.Uint32(record)) == len(record)-headerBytes &&
		binary.BigEndian.Uint32(record[4:]) == crc32.Checksum(record[8:], castagnoli)
}

// scan calls visit for each record in order, up to the first invalid one, and returns
// the length of the valid part of the file.
func (g *segment) scan(visit func(id uint64, loc location)) (int64, error) {
	reader := io.NewSectionReader(g.file, 0, g.size)
	var offset int64
	for {
		record, err := nextRecord(reader, g.size-offset)
		if err != nil || record == nil {
			return offset, err
		}
		visit(binary.BigEndian.Uint64(record[8:]), location{
			segment: g.number,
			offset:  uint32(offset),                    // at most math.MaxUint32, checked by append
			length:  uint32(len(record) - headerBytes), // at most maxBodyBytes
		})
		offset += int64(len(record))
	}
}

// nextRecord reads one record from r, which has the given number of bytes left. It
// returns nil if no valid record follows.
func nextRecord(r io.Reader, remaining int64) ([]byte, error) {
	if remaining < headerBytes {
		return nil, nil
	}
	header := make([]byte, headerBytes)
	if _, err := io.ReadFull(r, header); err != nil {
		return nil, fmt.Errorf("history: read record: %w", err)
	}
	length := int64(binary.BigEndian.Uint32(header))
	if length > maxBodyBytes || headerBytes+length > remaining {
		return nil, nil
	}
	record := append(header, make([]byte, length)...)
	if _, err := io.ReadFull(r, record[headerBytes:]); err != nil {
		return nil, fmt.Errorf("history: read record: %w", err)
	}
	if !recordValid(record) {
		return nil, nil
	}
	return record, nil
}

// syncDirectory makes the creation and removal of files in a directory durable.
func syncDirectory(dir string) error {
	directory, err := os.Open(filepath.Clean(dir))
	if err != nil {
		return fmt.Errorf("history: open directory: %w", err)
	}
	defer directory.Close()
	if err := directory.Sync(); err != nil {
		return fmt.Errorf("history: sync directory: %w", err)
	}
	return nil
}
