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

// A record is a header and the body. The header has the body's length (4
// bytes), the CRC-32C of ID and body (4 bytes) and the ID (8 bytes), all big
// endian.
const headerBytes = 16

// maxBodyBytes is the longest body of a record.
const maxBodyBytes = 64 << 20

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// segment is one file of records.
type segment struct {
	number uint32
	file   *os.File
	size   int64
	live   int64 // bytes of records that the index points to
	dirty  bool  // not synced since the last record
}

func recordBytes(length uint32) int64 {
	return headerBytes + int64(length)
}

func segmentName(number uint32) string {
	return fmt.Sprintf("%08x.seg", number)
}

// append writes a record at the end. A record that could not be written whole
// is overwritten by the next one.
func (g *segment) append(id uint64, body []byte) (uint32, error) {
	if len(body) > maxBodyBytes || g.size > math.MaxUint32 {
		return 0, fmt.Errorf("body of %d bytes in a segment of %d", len(body), g.size)
	}
	offset := g.size
	if _, err := g.file.WriteAt(encode(id, body), offset); err != nil {
		return 0, err
	}
	g.size += headerBytes + int64(len(body))
	g.dirty = true
	return uint32(offset), nil // checked above
}

func encode(id uint64, body []byte) []byte {
	record := make([]byte, headerBytes, headerBytes+len(body))
	binary.BigEndian.PutUint32(record[0:], uint32(len(body))) // at most maxBodyBytes
	binary.BigEndian.PutUint64(record[8:], id)
	record = append(record, body...)
	binary.BigEndian.PutUint32(record[4:], crc32.Checksum(record[8:], castagnoli))
	return record
}

// read returns the body of a record after checking it.
func (g *segment) read(id uint64, at location) ([]byte, error) {
	record := make([]byte, recordBytes(at.length))
	if _, err := g.file.ReadAt(record, int64(at.offset)); err != nil {
		return nil, fmt.Errorf("history: read body %d: %w", id, err)
	}
	if !valid(record) || binary.BigEndian.Uint64(record[8:]) != id {
		return nil, fmt.Errorf("history: body %d in %s: %w", id, segmentName(g.number), ErrCorrupt)
	}
	return record[headerBytes:], nil
}

// valid reports whether a whole record matches its length and checksum.
func valid(record []byte) bool {
	return int(binary.BigEndian.Uint32(record)) == len(record)-headerBytes &&
		binary.BigEndian.Uint32(record[4:]) == crc32.Checksum(record[8:], castagnoli)
}

// scan calls visit for each record and returns the length of the valid part.
func (g *segment) scan(visit func(id uint64, at location)) (int64, error) {
	reader := io.NewSectionReader(g.file, 0, g.size)
	var offset int64
	for {
		record, err := nextRecord(reader, g.size-offset)
		if err != nil || record == nil {
			return offset, err
		}
		visit(binary.BigEndian.Uint64(record[8:]), location{
			segment: g.number,
			offset:  uint32(offset),                    // at most segmentBytes
			length:  uint32(len(record) - headerBytes), // at most maxBodyBytes
		})
		offset += int64(len(record))
	}
}

// nextRecord returns the next record, or nil where no valid one follows.
func nextRecord(r io.Reader, rest int64) ([]byte, error) {
	if rest < headerBytes {
		return nil, nil
	}
	header := make([]byte, headerBytes)
	if _, err := io.ReadFull(r, header); err != nil {
		return nil, fmt.Errorf("history: read record: %w", err)
	}
	length := int64(binary.BigEndian.Uint32(header))
	if length > maxBodyBytes || headerBytes+length > rest {
		return nil, nil
	}
	record := append(header, make([]byte, length)...)
	if _, err := io.ReadFull(r, record[headerBytes:]); err != nil {
		return nil, fmt.Errorf("history: read record: %w", err)
	}
	if !valid(record) {
		return nil, nil
	}
	return record, nil
}

// syncFolder makes created and removed files durable.
func syncFolder(dir string) error {
	folder, err := os.Open(filepath.Clean(dir))
	if err != nil {
		return fmt.Errorf("history: open folder: %w", err)
	}
	defer folder.Close()
	if err := folder.Sync(); err != nil {
		return fmt.Errorf("history: sync folder: %w", err)
	}
	return nil
}
