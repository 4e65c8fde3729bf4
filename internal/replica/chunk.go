package replica

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
)

// A snapshot file is a sequence of chunks. A chunk consists of the length of its
// data, a CRC over its number, length and data, and the data. A chunk of length 0
// is the end marker.
const (
	chunkBytes       = 64 << 10 // maximum data of a chunk
	chunkHeaderBytes = 8        // bytes
	chunkCRCOffset   = 4        // bytes, within the header
)

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

func chunkCRC(number uint32, data []byte) uint32 {
	var header [8]byte
	binary.LittleEndian.PutUint32(header[:], number)
	binary.LittleEndian.PutUint32(header[4:], uint32(len(data)))
	crc := crc32.Checksum(header[:], castagnoliTable)
	return crc32.Update(crc, castagnoliTable, data)
}

// chunkWriter writes data to w in chunks. Close must be called after the last Write.
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

// size returns the number of bytes that were written to the writer.
func (c *chunkWriter) size() int64 { return int64(c.number)*chunkBytes + int64(len(c.buf)) }

// Close writes the buffered data and the end marker. It does not close w.
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
	var header [chunkHeaderBytes]byte
	binary.LittleEndian.PutUint32(header[:], uint32(len(data)))
	binary.LittleEndian.PutUint32(header[chunkCRCOffset:], chunkCRC(number, data))
	if _, err := w.Write(header[:]); err != nil {
		return err
	}
	_, err := w.Write(data)
	return err
}

// chunkReader reads the data of chunks from r. It verifies the CRC of a chunk before
// it returns its data, and returns io.EOF only after the end marker. Truncated or
// corrupt chunks give ErrInvalidSnapshot.
type chunkReader struct {
	r      io.Reader
	number uint32
	buf    []byte // data of the current chunk
	unread []byte // part of buf that Read has not returned yet
	size   int64  // bytes of the chunks read so far
	ended  bool
	// damaged says that the data is truncated or fails a checksum. Other errors may be those of a
	// disk that cannot be read now.
	damaged bool
}

func newChunkReader(r io.Reader) *chunkReader {
	return &chunkReader{r: r}
}

func (c *chunkReader) Read(buf []byte) (int, error) {
	if len(c.unread) == 0 {
		if err := c.readChunk(); err != nil {
			return 0, err
		}
	}
	n := copy(buf, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// readChunk reads and verifies the next chunk. It returns io.EOF at the end marker.
func (c *chunkReader) readChunk() error {
	if c.ended {
		return io.EOF
	}
	var header [chunkHeaderBytes]byte
	if _, err := io.ReadFull(c.r, header[:]); err != nil {
		return c.incomplete(err)
	}
	length := binary.LittleEndian.Uint32(header[:])
	if length > chunkBytes {
		c.damaged = true
		return fmt.Errorf("%w: chunk %d: length %d exceeds %d bytes", ErrInvalidSnapshot, c.number, length, chunkBytes)
	}
	if c.buf == nil {
		c.buf = make([]byte, chunkBytes)
	}
	data := c.buf[:length]
	if _, err := io.ReadFull(c.r, data); err != nil {
		return c.incomplete(err)
	}
	if binary.LittleEndian.Uint32(header[chunkCRCOffset:]) != chunkCRC(c.number, data) {
		c.damaged = true
		return fmt.Errorf("%w: chunk %d: checksum mismatch", ErrInvalidSnapshot, c.number)
	}
	c.number++
	c.size += int64(length)
	c.unread = data
	if length == 0 {
		c.ended = true
		return io.EOF
	}
	return nil
}

// incomplete returns the error of a chunk that could not be read.
func (c *chunkReader) incomplete(err error) error {
	c.damaged = errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
	return fmt.Errorf("%w: chunk %d: %w", ErrInvalidSnapshot, c.number, err)
}
