package load

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net"
	"sync"
	"testing"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/backendtest"
)

// fakeSystem is an HTTP server that implements the API of the system in memory. It
// keeps program histories and the answers to calls, and injects faults.
type fakeSystem struct {
	url  string
	stop chan struct{}

	mu        sync.Mutex
	histories map[string][]backendtest.Message
	calls     map[string]string // answers by call ID
	faults    []fault           // one for each of the next model calls, in order
	ended     map[string]bool   // by program
	bookings  map[string]int    // executions by call ID
}

// fault is a failure of one model call. Unless its comment says otherwise, the call
// has run when the fault occurs.
type fault string

const (
	faultNone      fault = "none"
	faultTruncated fault = "cut"     // the stream ends before its end marker
	faultSilent    fault = "silent"  // no response is sent
	faultError     fault = "error"   // an error event with a retry delay
	faultRefused   fault = "refused" // status 503, the call isn't run
	faultFinal     fault = "final"   // status 429 without a retry delay, the call isn't run
)

func startFakeSystem(t *testing.T) *fakeSystem {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f := &fakeSystem{
		url:       "http://" + listener.Addr().String(),
		stop:      make(chan struct{}),
		histories: make(map[string][]backendtest.Message),
		calls:     make(map[string]string),
		ended:     make(map[string]bool),
		bookings:  make(map[string]int),
	}
	h := server.New(server.WithListener(listener), server.WithTransport(standard.NewTransporter), server.WithDisablePrintRoute(true))
	h.POST("/v1/chat/completions", f.serveModel)
	h.POST("/v1/services/:service/:operation", f.serveService)
	h.POST("/v1/programs/:program/end", f.serveEnd)
	go func() { _ = h.Run() }()
	t.Cleanup(func() {
		close(f.stop)
		_ = listener.Close()
	})
	return f
}

// injectFaults sets the faults of the next model calls, one for each.
func (f *fakeSystem) injectFaults(faults ...fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

func (f *fakeSystem) takeFault() fault {
	if len(f.faults) == 0 {
		return faultNone
	}
	next := f.faults[0]
	f.faults = f.faults[1:]
	return next
}

// runCall runs a call unless it has run before, and returns its answer and the
// fault to inject.
func (f *fakeSystem) runCall(program, call string, body modelBody) (string, fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := f.takeFault()
	if next == faultRefused || next == faultFinal {
		return "", next
	}
	if text, ok := f.calls[call]; ok {
		return text, next
	}
	history := f.histories[program]
	for _, m := range body.Messages {
		history = append(history, backendtest.Message(m))
	}
	text := backendtest.Answer(history, body.MaxTokens)
	f.histories[program] = append(history, backendtest.Message{Role: "assistant", Content: text})
	f.calls[call] = text
	return text, next
}

func (f *fakeSystem) serveModel(_ context.Context, c *app.RequestContext) {
	var body modelBody
	if err := json.Unmarshal(c.Request.Body(), &body); err != nil {
		c.SetStatusCode(400)
		return
	}
	call := string(c.GetHeader(headerCall))
	text, next := f.runCall(string(c.GetHeader(headerProgram)), call, body)
	switch next {
	case faultRefused:
		c.Data(503, "application/json", []byte(`{"error":{"reason":"control_unavailable","not_run":true}}`))
	case faultFinal:
		c.Data(429, "application/json", []byte(`{"error":{"reason":"budget_exhausted","not_run":true}}`))
	case faultSilent:
		<-f.stop
	default:
		writeAnswer(c, call, text, next)
	}
}

func writeAnswer(c *app.RequestContext, call, text string, next fault) {
	w := sse.NewWriter(c)
	defer w.Close()
	half := len(text) / 2
	_ = w.WriteEvent("", "", contentChunk(call, text[:half]))
	if next == faultTruncated {
		return
	}
	if next == faultError {
		_ = w.WriteEvent("", errorEvent, []byte(`{"error":{"reason":"stopping","retry_after_ms":1}}`))
		return
	}
	_ = w.WriteEvent("", "", contentChunk(call, text[half:]))
	sum := sha256.Sum256([]byte(text))
	last := chunk{ID: call, Usage: &Usage{PromptTokens: 10}, Ibistray: &receipt{
		Attempt: 1, Turn: 1, Committed: true, Length: len(text), SHA256: hex.EncodeToString(sum[:]),
	}}
	data, _ := json.Marshal(last)
	_ = w.WriteEvent("", "", data)
	_ = w.WriteEvent("", "", []byte(doneMarker))
}

func contentChunk(call, text string) []byte {
	c := chunk{ID: call}
	c.Choices = append(c.Choices, struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	}{})
	c.Choices[0].Delta.Content = text
	data, _ := json.Marshal(c)
	return data
}

func (f *fakeSystem) serveService(_ context.Context, c *app.RequestContext) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.Param("operation") == OperationBook {
		f.bookings[string(c.GetHeader(headerCall))]++
	}
	c.Data(200, "application/json", []byte(`{"ok":true}`))
}

func (f *fakeSystem) serveEnd(_ context.Context, c *app.RequestContext) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended[c.Param("program")] = true
	c.Data(200, "application/json", []byte(`{}`))
}
