package ratelimit

import (
	"math"
	"time"
)

const (
	// A request of a running program waits for a permit for at most runningWaitShare of its
	// time, one that begins a program for at most newProgramWaitShare: the callers need the rest
	// to be served, here or at another entry.
	runningWaitShare    = 0.4
	newProgramWaitShare = 0.1
	// minRetryAfter and maxRetryAfter limit when refused callers may return.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Waiting describes a request for which no server has a permit.
type Waiting struct {
	NewProgram bool // the request begins a program
	Waited     time.Duration
	Timeout    time.Duration // from the arrival of the request to its deadline
	// Ahead is the number of requests that wait at the entry and come before it.
	Ahead int
	// Share is the rate of permits that the entry can expect, in requests a second; 0: unknown.
	Share float64
}

// Decision says whether a request waits for a permit.
type Decision struct {
	Wait       bool
	RetryAfter time.Duration // of a refused request: until the backlog of the entry is worked off
}

// Decide refuses a request at once if it would not get a permit within its share of the
// time. Requests of running programs wait longer than those that begin one.
func Decide(w Waiting) Decision {
	share := runningWaitShare
	if w.NewProgram {
		share = newProgramWaitShare
	}
	left := time.Duration(share*float64(w.Timeout)) - w.Waited
	expected := time.Duration(0)
	if w.Share > 0 {
		expected = time.Duration(math.Min(float64(w.Ahead+1)/w.Share, maxRetryAfter.Seconds()) * float64(time.Second))
	}
	if left > 0 && expected <= left {
		return Decision{Wait: true}
	}
	return Decision{RetryAfter: min(max(expected, minRetryAfter), maxRetryAfter)}
}
