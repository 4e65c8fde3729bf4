package memory

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestHeadsOfShortFieldsCountWithWhatTheyHold replays heads of 60 KB in 15,000 fields, of which 300
// took 118 MB in an entry, and heads of ordinary requests.
func TestHeadsOfShortFieldsCountWithWhatTheyHold(t *testing.T) {
	const mb = 1 << 20
	assert.Equal(t, HeadBytes(600, 14), int64(0), "ordinary requests take nothing")
	short, wide := HeadBytes(60<<10, 15_000), HeadBytes(60<<10, 600)
	assert.Assert(t, 300*short > 118*mb)
	assert.Assert(t, wide < short/8)
	limit := HeadsLimit(134 * mb)
	assert.Assert(t, limit/short >= 2, "more than one is served at the same time")
	assert.Assert(t, limit < 134*mb/10)
	assert.Assert(t, HeadsLimit(0) > 0)
}
