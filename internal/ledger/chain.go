package ledger

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"ibistray.example/ibistray/proto/ledgerpb"
)

// Chain is a kept turn with all its ancestors. Its content, their inputs and outputs, is
// immutable. Some of it may be on disk: Err returns the error of the first method that could not
// read it, whose result is invalid. A Chain is not safe for concurrent use.
type Chain struct {
	turns []*turn // oldest first
	err   error
}

// Err returns the first error of a read. It wraps spill.ErrUnreadable or spill.ErrClosed.
func (c *Chain) Err() error { return c.err }

// read returns the content of a turn, or nothing after an error.
func (c *Chain) read(t *turn) (input, output []byte) {
	if c.err != nil {
		return nil, nil
	}
	if input, output, c.err = t.body.read(); c.err != nil {
		c.err = fmt.Errorf("ledger: turn %q: %w", t.key.id, c.err)
	}
	return input, output
}

// Exchanges returns the inputs and outputs, oldest first, or nil after an error.
func (c *Chain) Exchanges() []*ledgerpb.Exchange {
	exchanges := make([]*ledgerpb.Exchange, len(c.turns))
	for i, t := range c.turns {
		input, output := c.read(t)
		exchanges[i] = &ledgerpb.Exchange{Input: input, Output: output}
	}
	if c.err != nil {
		return nil
	}
	return exchanges
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
func (c *Chain) Size() int64 {
	size := int64(0)
	for _, t := range c.turns {
		size += t.body.size()
	}
	return size
}

// LargestTurn returns the size of the largest turn of the chain in bytes.
func (c *Chain) LargestTurn() int64 {
	largest := int64(0)
	for _, t := range c.turns {
		largest = max(largest, t.body.size())
	}
	return largest
}

// Checksum returns the xxhash of the content.
func (c *Chain) Checksum() uint64 {
	hash := xxhash.New()
	for _, t := range c.turns {
		input, output := c.read(t)
		_, _ = hash.Write(input) // never fails
		_, _ = hash.Write(output)
	}
	return hash.Sum64()
}

// Part returns a copy of the content from offset on, of at most limit bytes. It is empty at the
// end of the content and beyond.
func (c *Chain) Part(offset int64, limit int) []byte {
	var part []byte
	for _, t := range c.turns {
		if size := t.body.size(); offset >= size {
			offset -= size
			continue
		}
		input, output := c.read(t)
		for _, content := range [...][]byte{input, output} {
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
