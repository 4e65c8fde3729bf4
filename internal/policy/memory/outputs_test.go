package memory

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestStreamsWithoutEndDoNotEndOthers has streams without end and sound ones grow in turn.
// The sound ones stay below the share that each of the others could have.
func TestStreamsWithoutEndDoNotEndOthers(t *testing.T) {
	const step = 4 << 10
	rapid.Check(t, func(t *rapid.T) {
		endless := rapid.IntRange(1, 300).Draw(t, "endless")
		sound := rapid.IntRange(0, 100).Draw(t, "sound")
		limit := OutputsLimit(rapid.Int64Range(22<<20, 60<<20).Draw(t, "budget"))
		most := max(SmallOutputBytes, limit/int64(endless+sound)-2*step)
		held := make([]int64, endless+sound)
		var sum int64
		for range 2000 {
			for i := range held {
				if i >= endless && held[i]+step > most {
					continue
				}
				held[i] += step
				sum += step
				for _, ended := range OutputsToEnd(held, sum-limit) {
					assert.Assert(t, ended < endless, "a stream of %d bytes was ended", held[ended])
					sum -= held[ended]
					held[ended] = 0
				}
				assert.Assert(t, sum <= limit+int64(len(held))*SmallOutputBytes)
			}
			if sum > limit-step {
				break
			}
		}
	})
}

func TestLargestOutputsAreEndedFirst(t *testing.T) {
	const kb = 1 << 10
	held := []int64{20 * kb, 300 * kb, SmallOutputBytes, 100 * kb, 300 * kb}
	assert.DeepEqual(t, OutputsToEnd(held, 0), []int{})
	assert.DeepEqual(t, OutputsToEnd(held, 1), []int{1})
	assert.DeepEqual(t, OutputsToEnd(held, 601*kb), []int{1, 4, 3})
	// Small ones stay.
	assert.DeepEqual(t, OutputsToEnd(held, math.MaxInt64), []int{1, 4, 3, 0})
}

func TestStreamFarBeyondItsDeclaredTokens(t *testing.T) {
	for _, test := range []struct {
		tokens, declared uint64
		exceeds          bool
	}{
		{1 << 40, 0, false}, {100, 100, false}, {264, 100, false}, {266, 100, true}, {1 << 40, 1, true}, {1 << 40, math.MaxUint64, false}, {math.MaxUint64, 1 << 62, true}, {64, 1, false},
	} {
		assert.Equal(t, ExceedsDeclared(test.tokens, test.declared), test.exceeds, "%+v", test)
	}
}
