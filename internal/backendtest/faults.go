package backendtest

import (
	"sync"
	"time"
)

// refusal is an answer that says that a request was not run.
type refusal struct {
	status     int
	retryAfter time.Duration
}

// faults holds the refusals that a test or an administrator asked for.
type faults struct {
	mu      sync.Mutex
	left    int
	next    refusal
	refused int64
}

func (f *faults) refuseNext(n, status int, retryAfter time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.left = n
	f.next = refusal{status: status, retryAfter: retryAfter}
}

// take returns the refusal of the next request; ok is false when it may run.
func (f *faults) take() (r refusal, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.left == 0 {
		return refusal{}, false
	}
	f.left--
	f.refused++
	return f.next, true
}

// count adds one refusal that the server decided by itself.
func (f *faults) count() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refused++
}

func (f *faults) refusals() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refused
}
