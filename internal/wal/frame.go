package wal

import (
	"encoding/binary"
	"hash/crc32"
)

const (
	frameMagic      uint32 = 0x4c577262
	frameHeaderSize        = 28       // bytes
	frameAlignment         = 8        // bytes; frames start at multiples of this
	sectorSize             = 512      // bytes; the unit that a disk writes atomically
	maxPayloadBytes        = 64 << 20 // bytes

	// Offsets of the header fields in bytes.
	offLength      = 4
	offSequence    = 8
	offZeroSectors = 16
	offPayloadCRC  = 20
	offHeaderCRC   = 24
)

// castagnoli is the table of CRC-32C.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frameHeader is the fixed-size header of a frame.
type frameHeader struct {
	length      uint32 // payload size in bytes
	sequence    uint64 // consecutive number of the frame in the log
	zeroSectors uint32 // number of payload sectors that the writer wrote as zeros
	payloadCRC  uint32 // CRC-32C of the payload
}

// size returns the size of the frame in the segment in bytes, with its padding.
func (h frameHeader) size() int64 {
	return alignFrame(frameHeaderSize + int64(h.length))
}

// alignFrame rounds n up to a multiple of frameAlignment.
func alignFrame(n int64) int64 {
	return (n + frameAlignment - 1) / frameAlignment * frameAlignment
}

// finishFrame turns buf into a complete frame: it fills in the header and appends
// the padding. buf holds frameHeaderSize reserved bytes and the payload. The frame
// must be written at the given offset of the segment.
func finishFrame(buf []byte, sequence uint64, offset int64) []byte {
	payload := buf[frameHeaderSize:]
	h := frameHeader{
		length:      uint32(len(payload)),
		sequence:    sequence,
		zeroSectors: countZeroSectors(payload, offset+frameHeaderSize),
		payloadCRC:  crc32.Checksum(payload, castagnoli),
	}
	putHeader(buf, h)
	padding := h.size() - int64(len(buf))
	return append(buf, make([]byte, padding)...)
}

func putHeader(buf []byte, h frameHeader) {
	binary.LittleEndian.PutUint32(buf, frameMagic)
	binary.LittleEndian.PutUint32(buf[offLength:], h.length)
	binary.LittleEndian.PutUint64(buf[offSequence:], h.sequence)
	binary.LittleEndian.PutUint32(buf[offZeroSectors:], h.zeroSectors)
	binary.LittleEndian.PutUint32(buf[offPayloadCRC:], h.payloadCRC)
	binary.LittleEndian.PutUint32(buf[offHeaderCRC:], crc32.Checksum(buf[:offHeaderCRC], castagnoli))
}

// parseHeader decodes the header at the start of data. It returns false when data
// is too short or the header is damaged.
func parseHeader(data []byte) (frameHeader, bool) {
	if len(data) < frameHeaderSize {
		return frameHeader{}, false
	}
	if binary.LittleEndian.Uint32(data) != frameMagic {
		return frameHeader{}, false
	}
	if binary.LittleEndian.Uint32(data[offHeaderCRC:]) != crc32.Checksum(data[:offHeaderCRC], castagnoli) {
		return frameHeader{}, false
	}
	h := frameHeader{
		length:      binary.LittleEndian.Uint32(data[offLength:]),
		sequence:    binary.LittleEndian.Uint64(data[offSequence:]),
		zeroSectors: binary.LittleEndian.Uint32(data[offZeroSectors:]),
		payloadCRC:  binary.LittleEndian.Uint32(data[offPayloadCRC:]),
	}
	return h, h.length <= maxPayloadBytes
}

// parseFrame decodes the frame at the start of data and returns its header and its
// payload. It returns false when the frame is damaged or incomplete.
func parseFrame(data []byte) (frameHeader, []byte, bool) {
	h, ok := parseHeader(data)
	if !ok || int64(len(data)) < h.size() {
		return h, nil, false
	}
	payload := data[frameHeaderSize : frameHeaderSize+int(h.length)]
	if crc32.Checksum(payload, castagnoli) != h.payloadCRC {
		return h, nil, false
	}
	return h, payload, true
}

// countZeroSectors returns the number of sectors in which data is all zeros. It
// counts partial sectors at both ends. data starts at the given offset of the
// segment.
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
