package sidecar

import (
	"encoding/json"
	"fmt"
	"sync"

	"ibistray.example/ibistray/internal/backend"
	"ibistray.example/ibistray/internal/policy/outputlimit"
	"ibistray.example/ibistray/internal/shard"
)

// outputLimits bound the outputs and answers of attempts. A larger answer could not be recorded.
var outputLimits = outputlimit.Limits{Answer: shard.MaxBodyBytes - answerFrameBytes, Total: 64 << 20}

// answerFrameBytes is the room for what a model's answer has besides its text.
const answerFrameBytes = 1 << 10

// errAnswerTooLarge ends an attempt whose output exceeds the limits. The server may have run it.
var errAnswerTooLarge = fmt.Errorf("%w: %w: the answer exceeds the memory for it", backend.ErrInvalidResponse, backend.ErrTooLarge)

// outputs counts the bytes of the encoded outputs of attempts, which hold about twice as much: their
// output and their answer. It is safe for concurrent use.
type outputs struct {
	limits outputlimit.Limits

	mu   sync.Mutex
	held outputlimit.Held
}

// begin adds a running attempt, and end removes it.
func (o *outputs) begin() { o.add(0, 1) }
func (o *outputs) end()   { o.add(0, -1) }

// release removes bytes that are no longer held.
func (o *outputs) release(bytes int64) { o.add(-bytes, 0) }

func (o *outputs) add(bytes int64, running int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.held.Total += bytes
	o.held.Running += running
}

// grow adds bytes to an attempt that holds size bytes so far. It returns false, and adds nothing,
// if they exceed the limits.
func (o *outputs) grow(size, bytes int64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	next := outputlimit.Held{Total: o.held.Total + bytes, Running: o.held.Running}
	if !o.limits.Fits(size+bytes, next) {
		return false
	}
	o.held = next
	return true
}

// admits reports whether another attempt may start.
func (o *outputs) admits() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.limits.Admits(o.held)
}

// excess returns how many bytes of ended attempts should be dropped.
func (o *outputs) excess() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.limits.Excess(o.held)
}

// encodedBytes returns the size of text within an answer, which is JSON.
func encodedBytes(text string) (int64, error) {
	encoded, err := json.Marshal(text)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", backend.ErrInvalidResponse, err)
	}
	return int64(len(encoded) - len(`""`)), nil
}
