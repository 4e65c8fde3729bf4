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

// Errors of an answer.
var (
	errWrongHistory = errors.New("the answer belongs to another history")
	errWrongTurn    = errors.New("the call was served at another place of its program")
	errWrongRequest = errors.New("the service answered another request")
)

// ledger prints each call and checks its answer. It holds the berth plan back
// before its booking until the shipping conversation is half way.
type ledger struct {
	out     io.Writer
	began   time.Time
	halfway chan struct{} // closed once the shipping conversation is half way
	abort   <-chan struct{}

	mu       sync.Mutex
	services []load.ServiceCall // that were answered
	retries  int
}

func newLedger(out io.Writer, began time.Time, abort <-chan struct{}) *ledger {
	return &ledger{out: out, began: began, halfway: make(chan struct{}), abort: abort}
}

// say prints a line with the time since the start.
func (l *ledger) say(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.out, "%7.3fs  %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...))
}

// OnModelAnswer implements load.Observer.
func (l *ledger) OnModelAnswer(h load.Header, history []load.Message, maxTokens int, a *load.Answer) error {
	l.say("%-22s call %2d  model    attempt %d  sent %d time(s)  %5d ms  prompt %5d  cached %5d tokens",
		h.Program, h.Sequence, a.Attempt, a.Requests, a.Elapsed.Milliseconds(), a.Usage.PromptTokens, a.Usage.Details.CachedTokens)
	if a.Turn != uint64(h.Sequence) {
		return fmt.Errorf("call %s: turn %d: %w", h.CallID, a.Turn, errWrongTurn)
	}
	if a.Text != backendtest.Answer(engineMessages(history), maxTokens) {
		return fmt.Errorf("call %s: %w", h.CallID, errWrongHistory)
	}
	if h.Program == programShipping && h.Sequence == shippingTurns/2 {
		close(l.halfway)
	}
	if h.Program == programPlan && h.Sequence == sequenceBeforeBooking {
		return l.holdBack()
	}
	return nil
}

// holdBack waits until the shipping conversation is half way.
func (l *ledger) holdBack() error {
	select {
	case <-l.halfway:
		return nil
	case <-l.abort:
		return errors.New("the demo was aborted")
	}
}

func engineMessages(history []load.Message) []backendtest.Message {
	messages := make([]backendtest.Message, len(history))
	for i, m := range history {
		messages[i] = backendtest.Message(m)
	}
	return messages
}

// OnServiceAnswer implements load.Observer.
func (l *ledger) OnServiceAnswer(call load.ServiceCall, a *load.ServiceAnswer) error {
	l.say("%-22s call %2d  %s/%s  sent %d time(s)  %5d ms", call.Program, call.Sequence, call.Service, call.Operation, a.Requests, a.Elapsed.Milliseconds())
	l.mu.Lock()
	l.services = append(l.services, call)
	l.mu.Unlock()
	var answer backendtest.ServiceAnswer
	if err := json.Unmarshal(a.Body, &answer); err != nil {
		return fmt.Errorf("call %s: %w", call.CallID, err)
	}
	if answer.Operation != call.Operation || string(answer.Request) != string(call.Body) {
		return fmt.Errorf("call %s: %w", call.CallID, errWrongRequest)
	}
	return nil
}

// retry prints that a call is sent again.
func (l *ledger) retry(r load.Retry) {
	l.mu.Lock()
	l.retries++
	l.mu.Unlock()
	l.say("%-22s call %s is sent again: %s: %v", r.Header.Program, r.Header.CallID, r.BaseURL, r.Err)
}

// answered returns the service calls that were answered.
func (l *ledger) answered() []load.ServiceCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]load.ServiceCall{}, l.services...)
}
