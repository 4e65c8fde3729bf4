package ledger

import (
	"github.com/cespare/xxhash/v2"
)

// Chain is a kept turn with all its ancestors. Its content, their inputs and outputs, is
// immutable.
type Chain struct {
	turns []*turn // oldest first
}

// chainOf returns the chain of a turn, which is empty for nil.
func chainOf(last *turn) Chain {
	length := 0
	for t := last; t != nil; t = t.previous {
		length++
	}
	turns := make([]*turn, length)
	for t := last; t != nil; t = t.previous {
		length--
		turns[length] = t
	}
	return Chain{turns: turns}
}

// Chain returns the chain that a Begin continues from.
func (r Result) Chain() Chain { return chainOf(r.previous) }

// Chain returns the chain of a kept turn, and false if no such turn is kept.
func (s *State) Chain(account, callID string) (Chain, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	last := s.turns[key{account, callID}]
	return chainOf(last), last != nil
}

// Size returns the size of the content in bytes.
func (c Chain) Size() int64 {
	size := int64(0)
	for _, t := range c.turns {
		size += t.size()
	}
	return size
}

// Checksum returns the xxhash of the content.
func (c Chain) Checksum() uint64 {
	hash := xxhash.New()
	for _, t := range c.turns {
		_, _ = hash.Write(t.input) // never fails
		_, _ = hash.Write(t.output)
	}
	return hash.Sum64()
}

// Part returns a copy of the content from offset on, of at most limit bytes. It is empty at the
// end of the content and beyond.
func (c Chain) Part(offset int64, limit int) []byte {
	var part []byte
	for _, t := range c.turns {
		for _, content := range [...][]byte{t.input, t.output} {
			size := int64(len(content))
			if offset >= size {
				offset -= size
				continue
			}
			content = content[offset:]
			offset = 0
			part = append(part, content[:min(len(content), limit-len(part))]...)
			if len(part) == limit {
				return part
			}
		}
	}
	return part
}
