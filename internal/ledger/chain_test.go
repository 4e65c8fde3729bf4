package ledger

import (
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/proto/ledgerpb"
)

// TestChainIsReadInParts reads chains in parts of several sizes, which end inside, between and at
// the ends of inputs and outputs.
func TestChainIsReadInParts(t *testing.T) {
	s := New()
	content, previous := "", ""
	for n := range 5 {
		id := fmt.Sprint("turn-", n)
		finish := &ledgerpb.Finish{CallId: id, Previous: previous, Keep: true, Input: []byte("in " + id), RetentionMs: 1000}
		if n != 2 {
			finish.Output = []byte("out " + id)
		}
		assert.Equal(t, s.finish(finish).Outcome, ledgerpb.Outcome_OUTCOME_OK)
		content += string(finish.Input) + string(finish.Output)
		previous = id
	}
	chain, found := s.Chain("", previous)
	assert.Assert(t, found)
	assert.Equal(t, chain.Size(), int64(len(content)))
	assert.Equal(t, chain.Checksum(), xxhash.Sum64String(content))
	for limit := 1; limit <= len(content)+1; limit++ {
		got := ""
		for part := chain.Part(0, limit); len(part) > 0; part = chain.Part(int64(len(got)), limit) {
			assert.Assert(t, len(part) <= limit)
			got += string(part)
		}
		assert.Equal(t, got, content, "parts of %d bytes", limit)
	}
	assert.Equal(t, len(chain.Part(int64(len(content))+1, 1)), 0)
	_, found = s.Chain("another account", previous)
	assert.Assert(t, !found)
}
