package control

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestGateServesOneCallAtATimeInOrder checks that calls with sequence numbers
// go on in their order, whatever the order of arrival.
func TestGateServesOneCallAtATimeInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate()
		first := g.join("wharf", "p", 1)
		assert.Assert(t, first.wait(t.Context()))
		var served []uint64
		for _, sequence := range []uint64{4, 2, 5, 3} {
			turn := g.join("wharf", "p", sequence)
			go func() {
				turn.wait(t.Context())
				served = append(served, sequence)
				turn.leave()
			}()
		}
		synctest.Wait()
		assert.Equal(t, len(served), 0)
		first.leave()
		synctest.Wait()
		assert.DeepEqual(t, served, []uint64{2, 3, 4, 5})
		assert.Equal(t, len(g.lines), 0)
	})
}

func TestGateOrderIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGate()
		sequences := rapid.SliceOfN(rapid.Uint64Range(1, 9), 1, 20).Draw(t, "sequences")
		for _, s := range sequences {
			g.join("wharf", "p", s)
		}
		var line []uint64
		for _, turn := range g.lines[programID{customer: "wharf", program: "p"}].turns {
			line = append(line, turn.sequence)
		}
		slices.Sort(sequences)
		assert.DeepEqual(t, line, sequences)
	})
}

func TestGateWaitEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate()
		g.join("wharf", "p", 0)
		second := g.join("wharf", "p", 0)
		other := g.join("wharf", "q", 0)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		assert.Assert(t, !second.wait(ctx))
		assert.Assert(t, other.wait(t.Context()))
	})
}
