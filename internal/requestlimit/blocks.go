package requestlimit

import "sync"

const blockBytes = 16 << 10

var blockPool = sync.Pool{New: func() any { return new([blockBytes]byte) }}

// blocks holds bytes that have arrived in buffers of one size, which are used again.
type blocks struct {
	list  []*[blockBytes]byte
	first int // bytes of the first block that were read
	last  int // bytes of the last block that are filled
}

// bytes returns the size of all blocks.
func (b *blocks) bytes() int64 { return int64(len(b.list)) * blockBytes }

// free returns the rest of the last block.
func (b *blocks) free() []byte {
	if len(b.list) == 0 {
		return nil
	}
	return b.list[len(b.list)-1][b.last:]
}

// add adds a block and returns it.
func (b *blocks) add() []byte {
	b.list, b.last = append(b.list, blockPool.Get().(*[blockBytes]byte)), 0
	return b.free()
}

// filled says that the next n bytes of free are filled.
func (b *blocks) filled(n int) { b.last += n }

// read moves bytes to p and returns how many. No more may be added before all are read.
func (b *blocks) read(p []byte) int {
	if len(b.list) == 0 {
		return 0
	}
	end := blockBytes
	if len(b.list) == 1 {
		end = b.last
	}
	n := copy(p, b.list[0][b.first:end])
	if b.first += n; b.first == end {
		blockPool.Put(b.list[0])
		b.list, b.first = b.list[1:], 0
	}
	if len(b.list) == 0 {
		*b = blocks{}
	}
	return n
}

// recycle drops all bytes.
func (b *blocks) recycle() {
	for _, block := range b.list {
		blockPool.Put(block)
	}
	*b = blocks{}
}
