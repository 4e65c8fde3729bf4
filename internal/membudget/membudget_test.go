package membudget

import (
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/policy/memory"
)

func TestClaimsTogetherStayWithinTheBudget(t *testing.T) {
	const limit = 1000
	var observed atomic.Int64
	b := New(limit, func(_ Kind, bytes int64) { observed.Add(bytes) })
	var wg sync.WaitGroup
	for i := range 50 {
		wg.Go(func() {
			for range 200 {
				c := NewClaim(b)
				granted := 0
				for c.Grow(Kind(i)%Kinds, 90, memory.Response) {
					granted++
				}
				if granted > limit/90 {
					t.Errorf("%d claims of 90 bytes", granted)
				}
				c.Release()
			}
		})
	}
	wg.Wait()
	assert.Equal(t, b.Held(), int64(0))
	assert.Equal(t, observed.Load(), int64(0))
}

func TestClaimWithoutBudgetIsUnlimited(t *testing.T) {
	c := NewClaim(nil)
	assert.Assert(t, c.Grow(Bodies, 1<<60, memory.LessUrgentProgram))
	assert.Assert(t, !c.Limited())
	c.Release()
	assert.Equal(t, (*Budget)(nil).Held(), int64(0))
}
