package wal

// isTornWrite reports whether the damaged frame at offset of the last segment is the
// result of an interrupted write, which was never acknowledged: the frame is cut off
// by the end of the file or lacks sectors, and no valid frame follows it.
func isTornWrite(data []byte, offset int64) bool {
	return hasMissingSectors(data[offset:], offset) && !hasValidFrameAfter(data, offset)
}

// hasMissingSectors reports whether the frame at the start of data is cut off or has
// more zero-filled sectors than the writer wrote. data starts at the given offset of
// the segment and extends to its end.
func hasMissingSectors(data []byte, offset int64) bool {
	h, ok := parseHeader(data)
	if !ok {
		return len(data) < frameHeaderSize || headerHasMissingSectors(data[:frameHeaderSize], offset)
	}
	if int64(len(data)) < h.size() {
		return true
	}
	payload := data[frameHeaderSize : frameHeaderSize+int(h.length)]
	return countZeroSectors(payload, offset+frameHeaderSize) > h.zeroSectors
}

// headerHasMissingSectors reports whether the part of the header that lies in one
// sector is all zeros. A header spans at most two sectors. A completely written one
// has no such part, because it starts with the magic number and ends with the
// checksum.
func headerHasMissingSectors(header []byte, offset int64) bool {
	return countZeroSectors(header, offset) > 0
}

// hasValidFrameAfter reports whether a valid frame starts after offset.
func hasValidFrameAfter(data []byte, offset int64) bool {
	for next := alignFrame(offset + 1); next+frameHeaderSize <= int64(len(data)); next += frameAlignment {
		if _, _, ok := parseFrame(data[next:]); ok {
			return true
		}
	}
	return false
}
