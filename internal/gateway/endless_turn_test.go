package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/policy/memory"
)

// TestEndlessTurnIsBrokenOff has a server that sends events without end on routes that keep turns or
// not. The client must not take the stream for complete, the turn is settled and not kept, no other
// server goes on with it, and the server counts as failed.
func TestEndlessTurnIsBrokenOff(t *testing.T) {
	const data = 1 << 10
	event := "data: " + strings.Repeat("x", data) + "\n\n"
	for _, test := range []struct {
		name, path, max string
		most            int // bytes that the client gets
		reason          string
	}{
		{"kept turn", "/chat/x", "", memory.MaxOutputBytes/(data+1)*len("id: 0000\n"+event) + 1, "output_too_large"},
		{"kept turn with declared tokens", "/chat/x", "30", (64 + 2*30) * 2 * data, "beyond_declared"},
		{"resumable turn with declared tokens", "/stream/x", "30", (64 + 2*30) * 2 * data, "beyond_declared"},
	} {
		t.Run(test.name, func(t *testing.T) {
			send := func(w http.ResponseWriter, r *http.Request, _ string) {
				w.Header().Set("Content-Type", "text/event-stream")
				for n := 0; r.Context().Err() == nil && n < maxEndlessBytes/data; n++ {
					fmt.Fprintf(w, "id: %d\n%s", n, event)
				}
			}
			servers := []*backend{newBackend(t, "a", send), newBackend(t, "b", send)}
			f := newFixture(t, servers...)
			f.limitMemory(40<<20, time.Second)
			got := f.send(t, http.MethodPost, test.path, "in", "Id", "1", "Program", "p", "Budget", "9", "Max", test.max)
			assert.Assert(t, got.err != nil, "the response looks complete")
			assert.Assert(t, len(got.body) > 0 && len(got.body) <= test.most, "the client got %d bytes", len(got.body))
			settled := <-f.ledger.settled
			assert.Assert(t, !settled.Keep)
			assert.Equal(t, int(settled.Tokens), 3*strings.Count(got.body, "data:"))
			assert.Equal(t, len(servers[0].executed())+len(servers[1].executed()), 1)
			assert.Equal(t, counterValue(t, f, "ibistray_broken_responses_total", test.reason), 1)
			failures := 0
			for _, server := range servers {
				failures += failuresOf(f, server.id)
			}
			assert.Equal(t, failures, 1)
			f.waitForHeld(t, isZero)
			assert.Equal(t, f.outputs.Held(), int64(0))
		})
	}
}

// TestSlowTurnEndsWhenItsMemoryIsTaken has a turn that brings nothing more while others use up the
// memory for outputs. It ends at once, and no server is blamed.
func TestSlowTurnEndsWhenItsMemoryIsTaken(t *testing.T) {
	ended := make(chan struct{})
	server := newBackend(t, "a", func(w http.ResponseWriter, r *http.Request, _ string) {
		defer close(ended)
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprintf(w, "id: 1\ndata: %s\n\n", strings.Repeat("x", maxEventBytes/2))
		assert.Check(t, http.NewResponseController(w).Flush())
		<-r.Context().Done()
	})
	f := newFixture(t, server)
	f.limitMemory(1<<20, time.Second)
	go func() {
		for f.outputs.Held() < maxEventBytes/2 {
			time.Sleep(time.Millisecond)
		}
		fillOutputs(t, f)
	}()
	got := f.send(t, http.MethodPost, "/chat/x", "in", "Id", "1", "Program", "p", "Budget", "9")
	assert.Assert(t, got.err != nil, "the response looks complete")
	<-ended
	assert.Assert(t, !(<-f.ledger.settled).Keep)
	assert.Equal(t, counterValue(t, f, "ibistray_broken_responses_total", "memory"), 1)
	assert.Equal(t, failuresOf(f, "a"), 0)
}

// TestSmallTurnIsKeptWhileOthersUseTheMemory has a turn beside outputs that together exceed the limit.
func TestSmallTurnIsKeptWhileOthersUseTheMemory(t *testing.T) {
	f := newFixture(t, newBackend(t, "a", streamEvents(1, 3, true)))
	f.limitMemory(1<<20, time.Second)
	fillOutputs(t, f)
	got := f.send(t, http.MethodPost, "/chat/x", "in", "Id", "1", "Program", "p", "Budget", "9")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(1, 3))
	settled := <-f.ledger.settled
	assert.Assert(t, settled.Keep)
	assert.Equal(t, string(settled.Output), "token 1\ntoken 2\ntoken 3\n")
}

// fillOutputs uses up the memory for outputs with small ones.
func fillOutputs(t *testing.T, f *fixture) {
	t.Helper()
	for f.outputs.Held() <= memory.OutputsLimit(f.cfg.Memory.HeldBytes) {
		small := f.outputs.New()
		if !assert.Check(t, small.Append(make([]byte, memory.SmallOutputBytes-1))) {
			return
		}
		t.Cleanup(small.Release)
	}
}

// counterValue returns the value of a counter with one label.
func counterValue(t *testing.T, f *fixture, name, label string) int {
	t.Helper()
	families, err := f.metrics.Registry.Gather()
	assert.NilError(t, err)
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			if family.GetName() == name && metric.GetLabel()[0].GetValue() == label {
				return int(metric.GetCounter().GetValue())
			}
		}
	}
	return 0
}

// failuresOf returns the recent failures of a server as the selection counts them.
func failuresOf(f *fixture, server string) int {
	f.loads.mu.Lock()
	defer f.loads.mu.Unlock()
	return f.loads.load(server).failures
}
