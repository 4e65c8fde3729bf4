package inflight

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestTasksThatBeginAsTheLastOneEnds guards against "sync: WaitGroup is reused before previous Wait has
// returned", which ended processes.
func TestTasksThatBeginAsTheLastOneEnds(t *testing.T) {
	var g Group
	done := make(chan struct{})
	var tasks sync.WaitGroup
	for range 4 {
		tasks.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					g.Begin()
					g.End()
				}
			}
		})
	}
	for range 20_000 {
		g.Wait()
	}
	close(done)
	tasks.Wait()
}

func TestWaitReturnsWhenNoTaskIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g Group
		g.Wait()
		start := time.Now()
		for i := range 3 {
			g.Go(func() { time.Sleep(time.Duration(i+1) * time.Second) })
		}
		g.Wait()
		assert.Equal(t, time.Since(start), 3*time.Second)
		g.Go(func() { time.Sleep(time.Second) })
		var waiters sync.WaitGroup
		for range 2 {
			waiters.Go(g.Wait)
		}
		waiters.Wait()
		assert.Equal(t, time.Since(start), 4*time.Second)
	})
}
