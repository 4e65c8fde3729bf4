package shard

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"

	"google.golang.org/protobuf/proto"

	"ibistray.example/ibistray/proto/shardpb"
)

// maxFrameBytes limits the encoded size of one record of a snapshot.
const maxFrameBytes = 256 << 20

// ErrInvalidSnapshot is returned for a snapshot that is damaged, truncated or of
// another format.
var ErrInvalidSnapshot = errors.New("shard: invalid snapshot")

var crc32cTable = crc32.MakeTable(crc32.Castagnoli)

// frameWriter writes length-prefixed records and computes their CRC-32C, which
// the trailer carries.
type frameWriter struct {
	w        *bufio.Writer
	records  uint64
	checksum uint32
	buf      []byte
}

func newFrameWriter(w io.Writer) *frameWriter {
	return &frameWriter{w: bufio.NewWriter(w)}
}

func (f *frameWriter) write(record *shardpb.SnapshotRecord) error {
	options := proto.MarshalOptions{Deterministic: true}
	f.buf = binary.AppendUvarint(f.buf[:0], uint64(options.Size(record)))
	data, err := options.MarshalAppend(f.buf, record)
	if err != nil {
		return fmt.Errorf("shard: encode snapshot record: %w", err)
	}
	f.buf = data
	f.records++
	f.checksum = crc32.Update(f.checksum, crc32cTable, data)
	if _, err := f.w.Write(data); err != nil {
		return fmt.Errorf("shard: write snapshot: %w", err)
	}
	return nil
}

// close writes the trailer and flushes the writer.
func (f *frameWriter) close() error {
	trailer := &shardpb.SnapshotTrailer{Records: f.records, Checksum: f.checksum}
	if err := f.write(&shardpb.SnapshotRecord{Record: &shardpb.SnapshotRecord_Trailer{Trailer: trailer}}); err != nil {
		return err
	}
	if err := f.w.Flush(); err != nil {
		return fmt.Errorf("shard: write snapshot: %w", err)
	}
	return nil
}

// frameReader reads records that frameWriter wrote and verifies their checksum.
type frameReader struct {
	r        *bufio.Reader
	records  uint64
	checksum uint32
}

func newFrameReader(r io.Reader) *frameReader {
	return &frameReader{r: bufio.NewReader(r)}
}

// read returns the next record, or nil if the trailer follows and is correct.
func (f *frameReader) read() (*shardpb.SnapshotRecord, error) {
	size, err := binary.ReadUvarint(f.r)
	if err != nil {
		return nil, fmt.Errorf("%w: length of record %d: %w", ErrInvalidSnapshot, f.records, err)
	}
	if size > maxFrameBytes {
		return nil, fmt.Errorf("%w: record %d has %d bytes, more than %d", ErrInvalidSnapshot, f.records, size, maxFrameBytes)
	}
	data, err := readBytes(f.r, size)
	if err != nil {
		return nil, fmt.Errorf("%w: record %d: %w", ErrInvalidSnapshot, f.records, err)
	}
	record := new(shardpb.SnapshotRecord)
	if err := proto.Unmarshal(data, record); err != nil {
		return nil, fmt.Errorf("%w: record %d: %w", ErrInvalidSnapshot, f.records, err)
	}
	if trailer := record.GetTrailer(); trailer != nil {
		return nil, f.checkTrailer(trailer)
	}
	f.records++
	f.checksum = crc32.Update(f.checksum, crc32cTable, binary.AppendUvarint(nil, size))
	f.checksum = crc32.Update(f.checksum, crc32cTable, data)
	return record, nil
}

func (f *frameReader) checkTrailer(trailer *shardpb.SnapshotTrailer) error {
	if trailer.GetRecords() != f.records || trailer.GetChecksum() != f.checksum {
		return fmt.Errorf("%w: %d records with checksum %08x, the trailer says %d records with checksum %08x",
			ErrInvalidSnapshot, f.records, f.checksum, trailer.GetRecords(), trailer.GetChecksum())
	}
	return nil
}

// readBytes reads size bytes. It allocates only as data arrives, because size may
// be damaged.
func readBytes(r io.Reader, size uint64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, int64(size))) // at most maxFrameBytes
	if err != nil {
		return nil, err
	}
	if uint64(len(data)) != size {
		return nil, io.ErrUnexpectedEOF
	}
	return data, nil
}
