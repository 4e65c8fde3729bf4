package demo

import (
	"bytes"
	"encoding/json"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/backendtest"
	"ibistray.example/ibistray/internal/load"
)

func serviceCall(service, operation, body string) load.ServiceCall {
	return load.ServiceCall{Service: service, Operation: operation, Body: json.RawMessage(body)}
}

func effect(service, operation, body string) backendtest.Effect {
	return backendtest.Effect{Service: service, Operation: operation, Body: json.RawMessage(body)}
}

func TestCheckEffects(t *testing.T) {
	booking := effect("berths", "book", `{"berth":3}`)
	lookup := effect("stock", "lookup", `{"hose":1}`)
	calls := []load.ServiceCall{serviceCall("berths", "book", `{"berth":3}`), serviceCall("stock", "lookup", `{"hose":1}`)}
	cases := map[string]struct {
		effects []backendtest.Effect
		ok      bool
	}{
		"each once":             {[]backendtest.Effect{booking, lookup}, true},
		"repeatable call twice": {[]backendtest.Effect{booking, lookup, lookup}, true},
		"booking twice":         {[]backendtest.Effect{booking, booking, lookup}, false},
		"booking lost":          {[]backendtest.Effect{lookup}, false},
		"repeatable call lost":  {[]backendtest.Effect{booking}, false},
		"effect without a call": {[]backendtest.Effect{booking, lookup, effect("berths", "book", `{"berth":4}`)}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, checkEffects(tc.effects, calls) == nil, tc.ok)
		})
	}
}

func TestObserverChecksHistoryAndOrder(t *testing.T) {
	history := []load.Message{{Role: "user", Content: "one"}, {Role: "user", Content: "two"}}
	swapped := []load.Message{history[1], history[0]}
	text := backendtest.Answer(toBackendMessages(history), 32)
	header := load.Header{Program: "p", CallID: "p-2", Sequence: 2}
	o := newObserver(new(bytes.Buffer), time.Now(), nil)
	assert.NilError(t, o.OnModelAnswer(header, history, 32, &load.Answer{Text: text, Turn: 2}))
	assert.ErrorIs(t, o.OnModelAnswer(header, history, 32, &load.Answer{Text: text, Turn: 3}), errWrongTurn)
	assert.ErrorIs(t, o.OnModelAnswer(header, swapped, 32, &load.Answer{Text: text, Turn: 2}), errWrongHistory)
	assert.ErrorIs(t, o.OnModelAnswer(header, history[:1], 32, &load.Answer{Text: text, Turn: 2}), errWrongHistory)
}

func TestObserverChecksServiceAnswer(t *testing.T) {
	o := newObserver(new(bytes.Buffer), time.Now(), nil)
	call := serviceCall("berths", "book", `{"berth":3}`)
	right := &load.ServiceAnswer{Body: json.RawMessage(`{"operation":"book","request":{"berth":3}}`)}
	wrong := &load.ServiceAnswer{Body: json.RawMessage(`{"operation":"book","request":{"berth":4}}`)}
	assert.NilError(t, o.OnServiceAnswer(call, right))
	assert.ErrorIs(t, o.OnServiceAnswer(call, wrong), errWrongRequest)
	assert.Equal(t, len(o.answeredServiceCalls()), 2)
}

func TestProgramStepsMatchConstants(t *testing.T) {
	for _, p := range demoPrograms() {
		if p.name == programShipping {
			assert.Equal(t, len(p.steps), shippingTurns)
		}
		if p.name != programPlan {
			continue
		}
		i := slices.IndexFunc(p.steps, func(s load.Step) bool { return s.Operation == load.OperationBook })
		calls := 0
		for _, step := range p.steps[:i] {
			if len(step.SubAgents) == 0 {
				calls++
			}
		}
		assert.Equal(t, calls, sequenceBeforeBooking)
	}
}
