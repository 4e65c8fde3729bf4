package backendtest

import (
	"sync"
	"time"
)

// refusal is the response to a request that was refused without being run.
type refusal struct {
	status     int
	retryAfter time.Duration
}

// refusalInjector refuses requests on demand and counts all refusals of a server. It
// is safe for concurrent use.
type refusalInjector struct {
	mu        sync.Mutex
	remaining int     // requests still to be refused
	next      refusal // response to each of them
	refused   int64   // refusals so far, injected or decided by the server
}

// refuseNext refuses the next n requests, in place of those still to be refused.
func (i *refusalInjector) refuseNext(n, status int, retryAfter time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.remaining = n
	i.next = refusal{status: status, retryAfter: retryAfter}
}

// take returns the refusal of the next request; ok is false if the request may run.
func (i *refusalInjector) take() (r refusal, ok bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.remaining == 0 {
		return refusal{}, false
	}
	i.remaining--
	i.refused++
	return i.next, true
}

// countRefusal adds one refusal that the server decided by itself.
func (i *refusalInjector) countRefusal() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.refused++
}

// total returns the number of refusals so far.
func (i *refusalInjector) total() int64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.refused
}
