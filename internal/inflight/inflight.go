// Package inflight counts tasks that may begin while somebody waits for those in progress.
package inflight

import "sync"

// Group counts tasks in progress. Unlike with sync.WaitGroup, a task may begin at any time, also
// while Wait waits and as the last task ends: the requests of clients and peers arrive when they
// do. The zero value is ready for use. A Group is safe for concurrent use.
type Group struct {
	mu    sync.Mutex
	count int
	idle  chan struct{} // closed when count becomes 0; nil while nobody waits
}

// Begin counts a task, which ends with a call of End.
func (g *Group) Begin() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count++
}

// End ends a task.
func (g *Group) End() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count--
	if g.count == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
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

// Wait returns when there was a moment after its call at which no task was in progress. Tasks that
// began after that moment may run.
func (g *Group) Wait() {
	g.mu.Lock()
	if g.count == 0 {
		g.mu.Unlock()
		return
	}
	if g.idle == nil {
		g.idle = make(chan struct{})
	}
	idle := g.idle
	g.mu.Unlock()
	<-idle
}
