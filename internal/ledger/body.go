package ledger

import (
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"ibistray.example/ibistray/internal/spill"
)

// body is the input and output of a turn, which never change. It is in memory or on disk.
type body struct {
	memory     *[2][]byte  // input and output, nil if they are on disk
	disk       *spill.Body // input and output, one after the other
	inputBytes int
}

// size returns the size of the input and output in bytes.
func (b *body) size() int64 {
	if b.memory == nil {
		return int64(b.disk.Len())
	}
	return int64(len(b.memory[0]) + len(b.memory[1]))
}

// memoryBytes returns the part of the size that is in memory.
func (b *body) memoryBytes() int64 {
	if b.memory == nil {
		return 0
	}
	return b.size()
}

// read returns the input and output. Errors: those of spill.Body.Read.
func (b *body) read() (input, output []byte, err error) {
	if b.memory != nil {
		return b.memory[0], b.memory[1], nil
	}
	content, err := b.disk.Read()
	if err != nil {
		return nil, nil, err
	}
	return content[:b.inputBytes:b.inputBytes], content[b.inputBytes:], nil
}

// holds reports whether the body consists of an input and an output. It does not read the disk.
func (b *body) holds(input, output []byte) bool {
	if b.memory != nil {
		return string(b.memory[0]) == string(input) && string(b.memory[1]) == string(output)
	}
	if b.inputBytes != len(input) || b.disk.Len() != len(input)+len(output) {
		return false
	}
	hash := xxhash.New()
	_, _ = hash.Write(input) // never fails
	_, _ = hash.Write(output)
	return hash.Sum64() == b.disk.Checksum()
}

// bodyStore says which bodies are in memory. A State shares it with the one that is restored in
// its place.
type bodyStore struct {
	disk   *spill.Store // nil: all bodies are in memory
	limit  int64        // of the bytes in memory
	memory atomic.Int64 // bytes of the bodies of kept turns in memory
}

const (
	// excessShare is the part of the limit by which the bodies in memory may exceed it while the disk
	// has reached its own limit. Beyond, they take the reserve of the disk.
	excessShare = 0.25
	// largeBodyShare is the part of the limit from which a body is on disk, in its reserve if need be.
	largeBodyShare = 16
)

func (s *bodyStore) isLarge(size int64) bool { return size > s.limit/largeBodyShare }

// largeBytes returns the size of a body if it is large and on disk.
func (s *bodyStore) largeBytes(b *body) int64 {
	if b.memory != nil || !s.isLarge(b.size()) {
		return 0
	}
	return b.size()
}

// keep returns the body of a turn. It writes the body to the disk if it is large or those in memory
// have reached the limit. A body that cannot be written stays in memory.
func (s *bodyStore) keep(input, output []byte) body {
	inMemory := body{memory: &[2][]byte{input, output}}
	size := inMemory.size()
	excess := s.memory.Load() + size - s.limit
	large := s.isLarge(size)
	if s.disk == nil || excess <= 0 && !large {
		return inMemory
	}
	put := s.disk.Put
	if large || float64(excess) > excessShare*float64(s.limit) {
		put = s.disk.PutBeyond
	}
	stored, err := put(input, output)
	if err != nil {
		return inMemory
	}
	return body{disk: stored, inputBytes: len(input)}
}
