package demo

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"ibistray.example/ibistray/internal/backendtest"
	"ibistray.example/ibistray/internal/load"
)

// Errors of answers that do not match their call.
var (
	errWrongHistory = errors.New("the answer does not match the history of the program")
	errWrongTurn    = errors.New("the call was served at another position in its program")
	errWrongRequest = errors.New("the answer does not match the request to the service")
)

// observer prints each call and checks its answer. It delays the booking of the berth plan
// until the shipping conversation is half way. It is safe for concurrent use.
type observer struct {
	out       io.Writer
	startTime time.Time
	halfway   chan struct{}   // closed once the shipping conversation is half way
	abort     <-chan struct{} // closed when the demo is aborted

	mu       sync.Mutex
	services []load.ServiceCall // answered calls
	retries  int
}

func newObserver(out io.Writer, startTime time.Time, abort <-chan struct{}) *observer {
	return &observer{out: out, startTime: startTime, halfway: make(chan struct{}), abort: abort}
}

// printf prints a line after the time in seconds since the start.
func (o *observer) printf(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	fmt.Fprintf(o.out, "%7.3fs  %s\n", time.Since(o.startTime).Seconds(), fmt.Sprintf(format, args...))
}

// OnModelAnswer prints a model call and checks the turn and the history of its answer. It
// implements load.Observer.
func (o *observer) OnModelAnswer(h load.Header, history []load.Message, maxTokens int, a *load.Answer) error {
	o.printf("%-22s call %2d  model    attempt %d  sent %d time(s)  %5d ms  prompt %5d  cached %5d tokens",
		h.Program, h.Sequence, a.Attempt, a.Requests, a.Elapsed.Milliseconds(), a.Usage.PromptTokens, a.Usage.Details.CachedTokens)
	if a.Turn != uint64(h.Sequence) {
		return fmt.Errorf("call %s: turn %d: %w", h.CallID, a.Turn, errWrongTurn)
	}
	if a.Text != backendtest.Answer(toBackendMessages(history), maxTokens) {
		return fmt.Errorf("call %s: %w", h.CallID, errWrongHistory)
	}
	if h.Program == programShipping && h.Sequence == shippingTurns/2 {
		close(o.halfway)
	}
	if h.Program == programPlan && h.Sequence == sequenceBeforeBooking {
		return o.waitUntilHalfway()
	}
	return nil
}

// waitUntilHalfway blocks until the shipping conversation is half way or the demo is
// aborted.
func (o *observer) waitUntilHalfway() error {
	select {
	case <-o.halfway:
		return nil
	case <-o.abort:
		return errors.New("the demo was aborted before the shipping conversation was half way")
	}
}

func toBackendMessages(history []load.Message) []backendtest.Message {
	messages := make([]backendtest.Message, len(history))
	for i, m := range history {
		messages[i] = backendtest.Message(m)
	}
	return messages
}

// OnServiceAnswer prints a service call and checks that the answer repeats its request. It
// implements load.Observer.
func (o *observer) OnServiceAnswer(call load.ServiceCall, a *load.ServiceAnswer) error {
	o.printf("%-22s call %2d  %s/%s  sent %d time(s)  %5d ms", call.Program, call.Sequence, call.Service, call.Operation, a.Requests, a.Elapsed.Milliseconds())
	o.mu.Lock()
	o.services = append(o.services, call)
	o.mu.Unlock()
	var answer backendtest.ServiceAnswer
	if err := json.Unmarshal(a.Body, &answer); err != nil {
		return fmt.Errorf("call %s: %w", call.CallID, err)
	}
	if answer.Operation != call.Operation || string(answer.Request) != string(call.Body) {
		return fmt.Errorf("call %s: %w", call.CallID, errWrongRequest)
	}
	return nil
}

// retry counts and prints a retry.
func (o *observer) retry(r load.Retry) {
	o.mu.Lock()
	o.retries++
	o.mu.Unlock()
	o.printf("%-22s call %s is sent again: %s: %v", r.Header.Program, r.Header.CallID, r.BaseURL, r.Err)
}

// answeredServiceCalls returns the service calls that were answered.
func (o *observer) answeredServiceCalls() []load.ServiceCall {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]load.ServiceCall{}, o.services...)
}
