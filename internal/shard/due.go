package shard

import (
	"container/heap"
	"strings"
)

// dueQueue is a heap of all programs, ordered by due time, customer and name. The
// order is total, so programs leave the heap in the same order on all replicas,
// however it was built.
type dueQueue []*program

// Len, Less, Swap, Push and Pop implement heap.Interface. They are called only by
// package container/heap.
func (q dueQueue) Len() int { return len(q) }

func (q dueQueue) Less(i, j int) bool {
	if q[i].dueMs != q[j].dueMs {
		return q[i].dueMs < q[j].dueMs
	}
	a, b := q[i].id(), q[j].id()
	if c := strings.Compare(a.customer, b.customer); c != 0 {
		return c < 0
	}
	return a.program < b.program
}

func (q dueQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].dueIndex = i
	q[j].dueIndex = j
}

// Push adds a *program.
func (q *dueQueue) Push(x any) {
	p := x.(*program) // all callers of heap.Push pass a *program
	p.dueIndex = len(*q)
	*q = append(*q, p)
}

// Pop removes the last program.
func (q *dueQueue) Pop() any {
	old := *q
	p := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return p
}

// peek returns the program that is due first, or nil.
func (q dueQueue) peek() *program {
	if len(q) == 0 {
		return nil
	}
	return q[0]
}

// schedule adds a program to the due queue.
func (s *State) schedule(p *program) {
	p.dueMs = p.dueTime()
	heap.Push(&s.due, p)
}

// reschedule updates a program's place in the due queue after a change that may
// affect its due time.
func (s *State) reschedule(p *program) {
	p.dueMs = p.dueTime()
	heap.Fix(&s.due, p.dueIndex)
}

func (s *State) unschedule(p *program) {
	heap.Remove(&s.due, p.dueIndex)
}

// reschedulePrograms updates the due times of all programs of a customer after a
// change of the contract's idle limit.
func (s *State) reschedulePrograms(c *customer) {
	for _, p := range c.programs {
		s.reschedule(p)
	}
}
