package blackboard

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

func TestCellStartsAtVersionOne(t *testing.T) {
	c := NewCell("a")
	assert.Equal(t, c.Load(), "a")
	assert.Equal(t, c.Version(), uint64(1))
}

func TestUpdateKeepsOldSnapshot(t *testing.T) {
	c := NewCell([]int{1})
	old := c.Snapshot()
	version := c.Update(func(old []int) []int { return append([]int{2}, old...) })
	assert.Equal(t, version, uint64(2))
	assert.DeepEqual(t, c.Load(), []int{2, 1})
	assert.DeepEqual(t, old.Value, []int{1})
	assert.Equal(t, old.Version, uint64(1))
}

func TestConcurrentUpdatesAreNotLost(t *testing.T) {
	const writers, updates = 8, 500
	c := NewCell(0)
	var wg sync.WaitGroup
	for range writers {
		wg.Go(func() {
			for range updates {
				c.Update(func(old int) int { return old + 1 })
			}
		})
	}
	wg.Wait()
	assert.Equal(t, c.Load(), writers*updates)
	assert.Equal(t, c.Version(), uint64(writers*updates+1))
}

// The updates keep the value equal to the version, so a snapshot that mixed two states
// would show two different numbers.
func TestSnapshotIsConsistentUnderWrites(t *testing.T) {
	const updates = 2000
	c := NewCell(uint64(1))
	var wg sync.WaitGroup
	wg.Go(func() {
		for range updates {
			c.Update(func(old uint64) uint64 { return old + 1 })
		}
	})
	for c.Version() < updates {
		s := c.Snapshot()
		assert.Equal(t, s.Value, s.Version)
	}
	wg.Wait()
}

func TestWatchSignalsNewerVersion(t *testing.T) {
	c := NewCell(0)
	_, changed := c.Watch()
	select {
	case <-changed:
		t.Fatal("channel closed without an update")
	default:
	}
	c.Store(5)
	<-changed
	version, changed := c.Watch()
	assert.Equal(t, version, uint64(2))
	select {
	case <-changed:
		t.Fatal("channel of the latest version closed")
	default:
	}
}

// BenchmarkLoad loads the value on all cores while one goroutine updates it.
func BenchmarkLoad(b *testing.B) {
	c := NewCell(0)
	done := make(chan struct{})
	var writer sync.WaitGroup
	writer.Go(func() {
		for {
			select {
			case <-done:
				return
			default:
				c.Update(func(old int) int { return old + 1 })
			}
		}
	})
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			_ = c.Load()
		}
	})
	close(done)
	writer.Wait()
}
