package replica

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
)

// A snapshot file is a row of chunks. A chunk has a length, a checksum over its
// number, length and data, and the data. A chunk of length 0 ends the file.
const (
	chunkBytes      = 64 << 10 // most data in one chunk
	chunkHeaderSize = 8        // bytes
	chunkCRCOffset  = 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func chunkCRC(number uint32, data []byte) uint32 {
	var head [8]byte
	binary.LittleEndian.PutUint32(head[:], number)
	binary.LittleEndian.PutUint32(head[4:], uint32(len(data)))
	crc := crc32.Checksum(head[:], castagnoli)
	return crc32.Update(crc, castagnoli, data)
}

// chunkWriter splits what is written to it into chunks.
type chunkWriter struct {
	w      io.Writer
	number uint32
	buf    []byte
}

func newChunkWriter(w io.Writer) *chunkWriter {
	return &chunkWriter{w: w, buf: make([]byte, 0, chunkBytes)}
}

func (c *chunkWriter) Write(data []byte) (int, error) {
	written := len(data)
	for len(data) > 0 {
		n := min(len(data), chunkBytes-len(c.buf))
		c.buf = append(c.buf, data[:n]...)
		data = data[n:]
		if len(c.buf) < chunkBytes {
			continue
		}
		if err := c.flush(); err != nil {
			return 0, err
		}
	}
	return written, nil
}

// Close writes the rest and the end mark. It does not close the writer below.
func (c *chunkWriter) Close() error {
	if len(c.buf) > 0 {
		if err := c.flush(); err != nil {
			return err
		}
	}
	return c.flush()
}

func (c *chunkWriter) flush() error {
	if err := writeChunk(c.w, c.number, c.buf); err != nil {
		return err
	}
	c.number++
	c.buf = c.buf[:0]
	return nil
}

func writeChunk(w io.Writer, number uint32, data []byte) error {
	var head [chunkHeaderSize]byte
	binary.LittleEndian.PutUint32(head[:], uint32(len(data)))
	binary.LittleEndian.PutUint32(head[chunkCRCOffset:], chunkCRC(number, data))
	if _, err := w.Write(head[:]); err != nil {
		return err
	}
	_, err := w.Write(data)
	return err
}

// chunkReader returns the data of chunks, each after its checksum was checked,
// and io.EOF only after the end mark.
type chunkReader struct {
	r      io.Reader
	number uint32
	buf    []byte // chunk that is read
	rest   []byte // part of buf that was not returned yet
	ended  bool
}

func newChunkReader(r io.Reader) *chunkReader {
	return &chunkReader{r: r}
}

func (c *chunkReader) Read(buf []byte) (int, error) {
	if len(c.rest) == 0 {
		if err := c.next(); err != nil {
			return 0, err
		}
	}
	n := copy(buf, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// next reads a chunk.
func (c *chunkReader) next() error {
	if c.ended {
		return io.EOF
	}
	var head [chunkHeaderSize]byte
	if _, err := io.ReadFull(c.r, head[:]); err != nil {
		return fmt.Errorf("%w: chunk %d: %w", ErrSnapshotDamaged, c.number, err)
	}
	length := binary.LittleEndian.Uint32(head[:])
	if length > chunkBytes {
		return fmt.Errorf("%w: chunk %d: length %d", ErrSnapshotDamaged, c.number, length)
	}
	if c.buf == nil {
		c.buf = make([]byte, chunkBytes)
	}
	data := c.buf[:length]
	if _, err := io.ReadFull(c.r, data); err != nil {
		return fmt.Errorf("%w: chunk %d: %w", ErrSnapshotDamaged, c.number, err)
	}
	if binary.LittleEndian.Uint32(head[chunkCRCOffset:]) != chunkCRC(c.number, data) {
		return fmt.Errorf("%w: chunk %d: checksum", ErrSnapshotDamaged, c.number)
	}
	c.number++
	c.rest = data
	if length == 0 {
		c.ended = true
		return io.EOF
	}
	return nil
}
