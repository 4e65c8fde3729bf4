// Package inflight counts tasks that may begin while somebody waits for those in progress.
package inflight

import (
	"sync"
	"sync/atomic"
)

// waiting is the bit of Group.state that is set while somebody waits.
const waiting = 1 << 62

// Group counts tasks in progress. Unlike with sync.WaitGroup, a task may begin at any time, also
// while Wait waits and as the last task ends: the requests of clients and peers arrive when they
// do. The zero value is ready for use. A Group is safe for concurrent use. Begin and End take no
// lock unless somebody waits.
type Group struct {
	state atomic.Int64 // tasks in progress, plus waiting
	mu    sync.Mutex
	idle  chan struct{} // closed when no task is in progress; not nil while waiting is set
}

// Begin counts a task, which ends with a call of End.
func (g *Group) Begin() { g.state.Add(1) }

// End ends a task.
func (g *Group) End() {
	if g.state.Add(-1) == waiting {
		g.wake()
	}
}

// wake ends all waits, unless another task has begun: the end of that one calls wake again.
func (g *Group) wake() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state.CompareAndSwap(waiting, 0) {
		close(g.idle)
	}
}

// Go runs f as a task in a new goroutine.
func (g *Group) Go(f func()) {
	g.Begin()
	go func() {
		defer g.End()
		f()
	}()
}

// Wait returns at a moment at which no task was in progress. Tasks that began after that moment
// may run.
func (g *Group) Wait() {
	g.mu.Lock()
	if g.state.Load()&waiting == 0 {
		g.idle = make(chan struct{})
		g.state.Or(waiting)
	}
	idle := g.idle
	g.mu.Unlock()
	if g.state.Load() == waiting {
		g.wake()
	}
	<-idle
}
