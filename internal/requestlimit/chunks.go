package requestlimit

// maxChunkLineBytes limits the line with the size of a chunk and its extensions.
const maxChunkLineBytes = 4 << 10

// chunkState is the part of a chunked body that comes next.
type chunkState uint8

const (
	chunkSize    chunkState = iota // digits of the size
	chunkLine                      // the rest of its line
	chunkData                      // left bytes
	chunkDataEnd                   // the line end behind the data
	chunkTrailer                   // trailers and the empty line behind them
	chunkEnd                       // the body is complete
)

// chunkScanner follows the framing of a chunked body.
type chunkScanner struct {
	state      chunkState
	left       int64 // of the size of the chunk, or of its data
	line       int   // bytes of the current line
	text       bool  // the line of a trailer has more than its end
	trailers   int   // bytes of all trailers
	maxTrailer int
	data       int64 // bytes of all chunks
}

// announced returns the bytes of all chunks so far, with what is left of the current one.
func (s *chunkScanner) announced() int64 {
	if s.state == chunkData {
		return s.data + s.left
	}
	return s.data
}

// scan returns how many bytes of p belong to the body. It returns false if the framing is malformed
// or exceeds its limits at the last of them.
func (s *chunkScanner) scan(p []byte) (n int, valid bool) {
	for n < len(p) && s.state != chunkEnd {
		if s.state == chunkData {
			part := min(s.left, int64(len(p)-n))
			n, s.left, s.data = n+int(part), s.left-part, s.data+part
			if s.left == 0 {
				s.state, s.line = chunkDataEnd, 0
			}
			continue
		}
		n++
		if !s.next(p[n-1]) {
			return n, false
		}
	}
	return n, true
}

// next takes a byte that is not data.
func (s *chunkScanner) next(b byte) bool {
	s.line++
	switch s.state {
	case chunkSize:
		return s.nextOfSize(b)
	case chunkLine:
		if b == '\n' {
			s.endSize()
		}
		return s.line <= maxChunkLineBytes
	case chunkDataEnd:
		if b == '\n' {
			s.state, s.line = chunkSize, 0
			return true
		}
		return b == '\r' && s.line == 1
	case chunkTrailer:
		return s.nextOfTrailer(b)
	case chunkData, chunkEnd:
	}
	return false
}

func (s *chunkScanner) nextOfSize(b byte) bool {
	const maxDigits = 15
	digit, isDigit := hexDigit(b)
	switch {
	case isDigit:
		s.left = s.left<<4 | digit
		return s.line <= maxDigits
	case s.line == 1:
		return false
	case b == '\n':
		s.endSize()
		return true
	}
	s.state = chunkLine
	return b == '\r' || b == ';' || b == ' ' || b == '\t'
}

// endSize begins the data of a chunk, or the trailers behind the last one.
func (s *chunkScanner) endSize() {
	s.state, s.line, s.text = chunkData, 0, false
	if s.left == 0 {
		s.state = chunkTrailer
	}
}

func (s *chunkScanner) nextOfTrailer(b byte) bool {
	s.trailers++
	switch {
	case b == '\n' && !s.text:
		s.state = chunkEnd
	case b == '\n':
		s.line, s.text = 0, false
	case b != '\r' || s.line > 1:
		s.text = true
	}
	return s.trailers <= s.maxTrailer
}

func hexDigit(b byte) (digit int64, ok bool) {
	switch {
	case b >= '0' && b <= '9':
		return int64(b - '0'), true
	case b|0x20 >= 'a' && b|0x20 <= 'f':
		return int64(b|0x20-'a') + 10, true
	}
	return 0, false
}
