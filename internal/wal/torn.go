package wal

// isTorn reports whether the damage at offset of the last segment is that of an
// interrupted write, which was never acknowledged: the frame is cut off by the
// end of the file or misses sectors, and no valid frame follows it.
func isTorn(data []byte, offset int64) bool {
	return missesSectors(data[offset:], offset) && !hasFrameAfter(data, offset)
}

// missesSectors reports whether the frame at the start of data is incomplete.
// The data reaches to the end of the segment and starts at offset of it.
func missesSectors(data []byte, offset int64) bool {
	h, ok := parseHeader(data)
	if !ok {
		return len(data) < headerSize || headerMissesSectors(data[:headerSize], offset)
	}
	if int64(len(data)) < h.size() {
		return true
	}
	payload := data[headerSize : headerSize+int(h.length)]
	return countZeroSectors(payload, offset+headerSize) > h.zeroSectors
}

// headerMissesSectors reports whether the part of the header in one of its
// sectors is all zeros. A written header has no such part: the magic stands at
// its start and the checksum at its end.
func headerMissesSectors(head []byte, offset int64) bool {
	return countZeroSectors(head, offset) > 0
}

// hasFrameAfter reports whether a valid frame starts behind offset.
func hasFrameAfter(data []byte, offset int64) bool {
	for next := align(offset + 1); next+headerSize <= int64(len(data)); next += frameAlign {
		if _, _, ok := parseFrame(data[next:]); ok {
			return true
		}
	}
	return false
}
