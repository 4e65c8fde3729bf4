package wal

import (
	"encoding/binary"
	"hash/crc32"
)

const (
	frameMagic  uint32 = 0x4c577262
	headerSize         = 28       // bytes
	frameAlign         = 8        // bytes; frames start at multiples of it
	sectorSize         = 512      // bytes that a disk writes as a whole
	maxPayload         = 64 << 20 // bytes
	offLength          = 4
	offSequence        = 8
	offZeros           = 16
	offBodyCRC         = 20
	offHeadCRC         = 24
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// header is the fixed part of a frame.
type header struct {
	length      uint32 // bytes of the payload
	sequence    uint64 // number of the frame in the log, without gaps
	zeroSectors uint32 // sectors of the payload that the writer wrote as zeros
	bodyCRC     uint32 // CRC-32C of the payload
}

// size returns the bytes that the frame takes in the segment.
func (h header) size() int64 {
	return align(headerSize + int64(h.length))
}

func align(n int64) int64 {
	return (n + frameAlign - 1) / frameAlign * frameAlign
}

// sealFrame fills the header of buf, which holds headerSize free bytes and the
// payload, and pads it. The frame is to be written at offset of the segment.
func sealFrame(buf []byte, sequence uint64, offset int64) []byte {
	payload := buf[headerSize:]
	h := header{
		length:      uint32(len(payload)),
		sequence:    sequence,
		zeroSectors: countZeroSectors(payload, offset+headerSize),
		bodyCRC:     crc32.Checksum(payload, castagnoli),
	}
	putHeader(buf, h)
	padding := h.size() - int64(len(buf))
	return append(buf, make([]byte, padding)...)
}

func putHeader(buf []byte, h header) {
	binary.LittleEndian.PutUint32(buf, frameMagic)
	binary.LittleEndian.PutUint32(buf[offLength:], h.length)
	binary.LittleEndian.PutUint64(buf[offSequence:], h.sequence)
	binary.LittleEndian.PutUint32(buf[offZeros:], h.zeroSectors)
	binary.LittleEndian.PutUint32(buf[offBodyCRC:], h.bodyCRC)
	binary.LittleEndian.PutUint32(buf[offHeadCRC:], crc32.Checksum(buf[:offHeadCRC], castagnoli))
}

// parseHeader reads the header at the start of data. It returns false when data
// is too short or the header is damaged.
func parseHeader(data []byte) (header, bool) {
	if len(data) < headerSize {
		return header{}, false
	}
	if binary.LittleEndian.Uint32(data) != frameMagic {
		return header{}, false
	}
	if binary.LittleEndian.Uint32(data[offHeadCRC:]) != crc32.Checksum(data[:offHeadCRC], castagnoli) {
		return header{}, false
	}
	h := header{
		length:      binary.LittleEndian.Uint32(data[offLength:]),
		sequence:    binary.LittleEndian.Uint64(data[offSequence:]),
		zeroSectors: binary.LittleEndian.Uint32(data[offZeros:]),
		bodyCRC:     binary.LittleEndian.Uint32(data[offBodyCRC:]),
	}
	return h, h.length <= maxPayload
}

// parseFrame reads the frame at the start of data. It returns false when the
// frame is damaged or not complete.
func parseFrame(data []byte) (header, []byte, bool) {
	h, ok := parseHeader(data)
	if !ok || int64(len(data)) < h.size() {
		return h, nil, false
	}
	payload := data[headerSize : headerSize+int(h.length)]
	if crc32.Checksum(payload, castagnoli) != h.bodyCRC {
		return h, nil, false
	}
	return h, payload, true
}

// countZeroSectors counts the sectors, or parts of sectors at the ends, in which
// data is all zeros. The data starts at offset of the segment.
func countZeroSectors(data []byte, offset int64) uint32 {
	var count uint32
	for len(data) > 0 {
		n := min(int(sectorSize-offset%sectorSize), len(data))
		if allZero(data[:n]) {
			count++
		}
		data = data[n:]
		offset += int64(n)
	}
	return count
}

func allZero(data []byte) bool {
	for _, b := range data {
		if b != 0 {
			return false
		}
	}
	return true
}
