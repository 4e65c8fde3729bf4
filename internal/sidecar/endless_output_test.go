package sidecar

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/backend"
	"ibistray.example/ibistray/internal/shard"
	"ibistray.example/ibistray/internal/shardclient"
	"ibistray.example/ibistray/internal/telemetry"
	"ibistray.example/ibistray/proto/rpcpb"
	"ibistray.example/ibistray/proto/shardpb"
)

const (
	// endlessBytes is what an endless server sends at most to one request.
	endlessBytes = 320 << 20
	// maxPeakBytes bounds the heap for one attempt, garbage included.
	maxPeakBytes = 6 * shard.MaxBodyBytes
)

// endlessServer sends parts without end on each request until the connection is closed.
type endlessServer struct {
	contentType string
	status      int
	part        func(offset int) (text string, output int) // output: bytes of text in the part
	sent        atomic.Int64
}

func (s *endlessServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete || r.URL.Path == "/healthz" {
		return
	}
	w.Header().Set("Content-Type", s.contentType)
	w.WriteHeader(s.status)
	offset, err := strconv.Atoi(cmp.Or(r.URL.Query().Get("offset"), "0"))
	for written := 0; err == nil && written < endlessBytes; {
		text, output := s.part(offset)
		var n int
		n, err = io.WriteString(w, text)
		s.sent.Add(int64(n))
		written, offset = written+n, offset+output
	}
}

// events returns a part that is an event of the stream of call c, with size bytes of text.
func events(size int, encoded string) func(int) (string, int) {
	content := strings.Repeat(encoded, size)
	return func(offset int) (string, int) {
		return fmt.Sprintf("id: %d\ndata: {\"id\":\"wharf/p/c#1\",\"choices\":[{\"delta\":{\"content\":\"%s\"}}]}\n\n", offset+size, content), size
	}
}

// TestEndlessAnswersAreNotKept has backend servers whose answers have no end, in the right form
// and in others. What the sidecar keeps must be bounded, the connection must be closed soon, and the
// attempt must count as run.
func TestEndlessAnswersAreNotKept(t *testing.T) {
	const eventStream, document = "text/event-stream", "application/json"
	fixed := func(text string) func(int) (string, int) { return func(int) (string, int) { return text, 0 } }
	tests := []struct {
		name, contentType string
		status            int
		kind              shardpb.CallKind
		part              func(int) (string, int)
	}{
		{"events", eventStream, 200, shardpb.CallKind_CALL_KIND_MODEL, events(4096, "x")},
		{"events with escaped text", eventStream, 200, shardpb.CallKind_CALL_KIND_MODEL, events(4096, `\u0001`)},
		{"event of another request", eventStream, 200, shardpb.CallKind_CALL_KIND_MODEL, fixed("data: {\"id\":\"other\"}\n\n")},
		{"one event", eventStream, 200, shardpb.CallKind_CALL_KIND_MODEL, fixed("data: " + strings.Repeat("x", 4096))},
		{"data lines", eventStream, 200, shardpb.CallKind_CALL_KIND_MODEL, fixed("data: " + strings.Repeat("x", 4096) + "\n")},
		{"comments", eventStream, 200, shardpb.CallKind_CALL_KIND_MODEL, fixed(": " + strings.Repeat("x", 4096) + "\n\n")},
		{"events without text", eventStream, 200, shardpb.CallKind_CALL_KIND_MODEL, events(0, "")},
		{"server error", document, 500, shardpb.CallKind_CALL_KIND_MODEL, fixed(strings.Repeat("x", 4096))},
		{"outdated token", document, 409, shardpb.CallKind_CALL_KIND_MODEL, fixed(strings.Repeat("x", 4096))},
		{"other content type", document, 200, shardpb.CallKind_CALL_KIND_MODEL, fixed(strings.Repeat("x", 4096))},
		{"service", document, 200, shardpb.CallKind_CALL_KIND_SERVICE, fixed(strings.Repeat("x", 4096))},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := &endlessServer{contentType: test.contentType, status: test.status, part: test.part}
			front := httptest.NewServer(server)
			defer front.Close()
			s := newSidecarOf(t, front.URL)
			req := runRequest("c", 1, 1)
			req.Kind, req.Service, req.Operation, req.TimeoutMs = test.kind, "s", "o", 10_000
			a := s.admitTest(t, req)
			held := peakHeap(func() { s.run(a) })
			st := a.state(0)
			t.Logf("output %d bytes, answer %d bytes, heap grew by up to %d bytes, server sent %d bytes, refused: %s, not run: %v",
				len(st.output), len(st.answer.GetBody()), held, server.sent.Load(), st.refused.GetReason(), st.refused.GetNotRun())
			assert.Assert(t, len(st.output) <= shard.MaxBodyBytes)
			assert.Assert(t, held <= maxPeakBytes)
			assert.Assert(t, server.sent.Load() < endlessBytes, "the answer was read without end")
			assert.Assert(t, st.answer == nil && st.refused != nil, "the answer looks complete")
			assert.Assert(t, !st.refused.NotRun || test.status == http.StatusConflict)
		})
	}
}

func newSidecarOf(t *testing.T, url string) *Sidecar {
	t.Helper()
	client, err := backend.New(url)
	assert.NilError(t, err)
	return New(Config{MaxRunning: 4}, hclog.NewNullLogger(), telemetry.NewMetrics(), client, shardclient.New(nil, 1), nil, nil)
}

// admitTest admits the attempt of a request.
func (s *Sidecar) admitTest(t *testing.T, req *rpcpb.RunRequest) *attempt {
	t.Helper()
	got := s.attempts.admit(req, allowStart)
	assert.Assert(t, got.started)
	return got.attempt
}

// peakHeap returns by how many bytes the heap grows at most while f runs.
func peakHeap(f func()) int64 {
	defer debug.SetGCPercent(debug.SetGCPercent(20))
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	before, peak := int64(stats.HeapAlloc), int64(0)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	for {
		runtime.ReadMemStats(&stats)
		peak = max(peak, int64(stats.HeapAlloc)-before)
		select {
		case <-done:
			return peak
		case <-time.After(2 * time.Millisecond):
		}
	}
}

// TestLargeAnswersLeaveRoomForOthers has one attempt after the other end with an answer of the
// largest size. What they hold together must be bounded, a dropped one must count as run, and other
// attempts must be admitted.
func TestLargeAnswersLeaveRoomForOthers(t *testing.T) {
	s := newTestSidecar()
	limits := s.attempts.outputs.limits
	text := strings.Repeat("x", int(limits.Answer))
	for n := range 40 {
		applyConfiguration(s, 1) // the lease is not to run out on a slow machine
		req := runRequest(strconv.Itoa(n), 1, 1)
		got := s.attempts.admit(req, func() *rpcpb.RunRefused { return s.checkStart(req) })
		assert.Assert(t, got.started, "call %d: %s", n, got.refused.GetDetail())
		assert.NilError(t, got.attempt.appendOutput(text))
		assert.ErrorIs(t, got.attempt.appendOutput("x"), errAnswerTooLarge)
		s.attempts.markEnded(got.attempt, time.Now())
		assert.Assert(t, s.attempts.outputs.held.Total <= limits.Total)
	}
	attach := runRequest("0", 1, 1)
	attach.AttachOnly = true
	got := s.attempts.admit(attach, allowStart)
	assert.Assert(t, got.refused != nil && !got.refused.NotRun)
	s.attempts.sweep(time.Now().Add(endedRetentionPeriod))
	assert.Equal(t, s.attempts.outputs.held.Total, int64(0))
	assert.Equal(t, s.attempts.outputs.held.Running, 0)
}
