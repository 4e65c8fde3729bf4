package control

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestCallQueueServesOneCallAtATimeInOrder checks that calls are served in the order
// of their sequence numbers, whatever the order of arrival.
func TestCallQueueServesOneCallAtATimeInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queues := newCallQueues()
		first := queues.enqueue("wharf", "p", 1)
		assert.Assert(t, first.waitUntilFirst(t.Context()))
		var served []uint64
		for _, sequence := range []uint64{4, 2, 5, 3} {
			call := queues.enqueue("wharf", "p", sequence)
			go func() {
				call.waitUntilFirst(t.Context())
				served = append(served, sequence)
				call.dequeue()
			}()
		}
		synctest.Wait()
		assert.Equal(t, len(served), 0)
		first.dequeue()
		synctest.Wait()
		assert.DeepEqual(t, served, []uint64{2, 3, 4, 5})
		assert.Equal(t, len(queues.queues), 0)
	})
}

func TestCallQueueIsSortedBySequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queues := newCallQueues()
		sequences := rapid.SliceOfN(rapid.Uint64Range(1, 9), 1, 20).Draw(t, "sequences")
		for _, s := range sequences {
			queues.enqueue("wharf", "p", s)
		}
		var order []uint64
		for _, call := range queues.queues[programKey{customer: "wharf", program: "p"}].calls {
			order = append(order, call.sequence)
		}
		slices.Sort(sequences)
		assert.DeepEqual(t, order, sequences)
	})
}

func TestWaitForQueueEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queues := newCallQueues()
		queues.enqueue("wharf", "p", 0)
		second := queues.enqueue("wharf", "p", 0)
		other := queues.enqueue("wharf", "q", 0)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		assert.Assert(t, !second.waitUntilFirst(ctx))
		assert.Assert(t, other.waitUntilFirst(t.Context()))
	})
}
