package outputlimit

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestAnswersWithoutEndLeaveRoomForOthers replays answers that grow without end beside small ones.
func TestAnswersWithoutEndLeaveRoomForOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Answer: 8 << 20, Total: 64 << 20}
		running := rapid.IntRange(1, 64).Draw(t, "running")
		endless := rapid.IntRange(0, running).Draw(t, "endless")
		part := rapid.Int64Range(16<<10, 1<<20).Draw(t, "bytes of a part")
		const small = 256 << 10
		sizes := make([]int64, running)
		total := int64(0)
		grow := func(i int, n int64) bool {
			fits := limits.Fits(sizes[i]+n, Held{Total: total + n, Running: running})
			if fits {
				sizes[i], total = sizes[i]+n, total+n
			}
			return fits
		}
		for i := range endless {
			for grow(i, part) {
				assert.Assert(t, sizes[i] <= limits.Answer)
			}
		}
		for i := endless; i < running; i++ {
			assert.Assert(t, grow(i, small), "answer %d of %d is ended for the size of others", i, running)
		}
		assert.Assert(t, total <= limits.Total+limits.Total/reservedDivisor)
		excess := limits.Excess(Held{Total: total})
		assert.Equal(t, limits.Admits(Held{Total: total}), excess == 0)
		assert.Assert(t, limits.Admits(Held{Total: total - excess}))
	})
}
