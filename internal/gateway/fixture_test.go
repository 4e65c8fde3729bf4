package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/routing"
	"ibistray.example/ibistray/internal/telemetry"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/fleetpb"
	"ibistray.example/ibistray/proto/ledgerpb"
)

// testCodec is a Codec whose headers exist in these tests only.
type testCodec struct{}

func (testCodec) DecodeRequest(header http.Header) (RequestMeta, error) {
	meta := RequestMeta{ID: header.Get("Id"), LastEventID: header.Get("After"), Resumes: header.Get("Resumes"), Program: header.Get("Program"), PreviousTurn: header.Get("Previous"), Key: header.Get("Key")}
	if meta.ID == "" {
		return meta, fmt.Errorf("%w: no ID", ErrBadRequest)
	}
	if value := header.Get("Timeout-Ms"); value != "" {
		ms, err := strconv.Atoi(value)
		if err != nil {
			return meta, fmt.Errorf("%w: %w", ErrBadRequest, err)
		}
		meta.Timeout = time.Duration(ms) * time.Millisecond
	}
	if value := header.Get("Max"); value != "" {
		tokens, err := strconv.ParseUint(value, 10, 64)
		if err != nil {
			return meta, fmt.Errorf("%w: %w", ErrBadRequest, err)
		}
		meta.MaxTokens = tokens
	}
	meta.HasBudget = header.Get("Budget") != ""
	return meta, nil
}

func (testCodec) EncodeRequest(header http.Header, a AttemptMeta) {
	header.Set("Instance", a.InstanceID)
	header.Del("Key")
	header.Set("Account", a.Account)
	header.Set("Timeout-Ms", strconv.FormatInt(a.Timeout.Milliseconds(), 10))
	header.Del("After")
	if a.LastEventID != "" {
		header.Set("After", a.LastEventID)
	}
}

func (testCodec) DecodeResponse(_ int, header http.Header) ResponseMeta {
	return ResponseMeta{RequestID: header.Get("Id"), Signed: header.Get("Seal") != "", NotRun: header.Get("Not-Run") != ""}
}

func (testCodec) DecodeNotice(header http.Header) ServerNotice {
	notice := ServerNotice{Leaving: header.Get("Leaving") != ""}
	if value := header.Get("Limit"); value != "" {
		limit, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return ServerNotice{Limit: LimitInvalid}
		}
		notice.Limit, notice.RequestsPerSecond = LimitNamed, limit
	}
	return notice
}

func (testCodec) EncodeRetryAfter(header http.Header, after time.Duration) {
	header.Set("Retry-After", after.String())
}

// fakeLedger is an in-memory ledgerClient that records its calls.
type fakeLedger struct {
	mu       sync.Mutex
	beginErr error
	keepErr  error   // returned for each Finish with Keep
	previous history // returned by begin
	chain    string  // returned by fetchChain
	chainErr error
	beginIDs []string
	accounts []string          // of the begun turns and opened streams
	streams  map[string]string // recorded versions by call ID
	contents map[string]uint64 // content of the recorded streams by call ID
	openErr  error             // returned by openStream
	finished []*ledgerpb.Finish
	settled  chan *ledgerpb.Finish // receives each element of finished
}

func (l *fakeLedger) isNewProgram(_ string, meta *RequestMeta) bool {
	return meta.mayBeginProgram()
}

func (l *fakeLedger) begin(_ context.Context, account string, meta *RequestMeta, stream *ledgerpb.OpenStream, _ queueOptions) (history, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.beginIDs = append(l.beginIDs, meta.ID)
	l.accounts = append(l.accounts, account)
	if stream == nil || l.beginErr != nil {
		return l.previous, l.beginErr
	}
	previous := l.previous
	var err error
	previous.streamVersion, err = l.open(stream)
	return previous, err
}

func (l *fakeLedger) fetchChain(_ context.Context, _, _ string, _ longChain, content []byte) ([]byte, error) {
	return append(content, l.chain...), l.chainErr
}

func (l *fakeLedger) openStream(_ context.Context, stream *ledgerpb.OpenStream) (string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.openErr != nil {
		return "", l.openErr
	}
	return l.open(stream)
}

// open records or looks up the version of a stream. The caller holds the mutex.
func (l *fakeLedger) open(stream *ledgerpb.OpenStream) (string, error) {
	l.accounts = append(l.accounts, stream.Account)
	resumed := stream.Resumed || stream.Resumes != ""
	version := stream.Version
	if resumed {
		recorded := l.recordedVersions(stream)
		if len(recorded) != 1 {
			return "", errUnknownStream
		}
		version = recorded[0]
	}
	l.streams[stream.CallId] = version
	l.contents[stream.CallId] = stream.Content
	if resumed {
		return version, nil
	}
	return "", nil
}

// recordedVersions returns the distinct versions that are recorded for the stream that a call
// resumes. The caller holds the mutex.
func (l *fakeLedger) recordedVersions(stream *ledgerpb.OpenStream) []string {
	if version, found := l.streams[stream.Resumes]; found || stream.Resumes != "" {
		if !found {
			return nil
		}
		return []string{version}
	}
	var versions []string
	for id, content := range l.contents {
		if content == stream.Content && !slices.Contains(versions, l.streams[id]) {
			versions = append(versions, l.streams[id])
		}
	}
	return versions
}

func (l *fakeLedger) recordOutput(context.Context, *ledgerpb.RecordOutput) error { return nil }

func (l *fakeLedger) finish(_ context.Context, f *ledgerpb.Finish) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f.Keep && l.keepErr != nil {
		return l.keepErr
	}
	l.finished = append(l.finished, f)
	l.settled <- f
	return nil
}

// backend is a backend server whose responses are written by the test.
type backend struct {
	*httptest.Server
	id         string
	mu         sync.Mutex
	executions []string // "ID:body" of each request that it started to run
}

// executed returns the executions so far.
func (b *backend) executed() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.executions...)
}

// newBackend starts a backend server. respond is called for each request that the
// server runs, after the request ID and the signature were added to the headers.
func newBackend(t *testing.T, id string, respond func(w http.ResponseWriter, r *http.Request, body string)) *backend {
	t.Helper()
	b := &backend{id: id}
	b.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		w.Header().Set("Id", r.Header.Get("Id"))
		if r.Header.Get("Instance") != id {
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.Header().Set("Seal", "seal of "+id)
		b.mu.Lock()
		b.executions = append(b.executions, r.Header.Get("Id")+":"+string(data))
		b.mu.Unlock()
		respond(w, r, string(data))
	}))
	t.Cleanup(b.Close)
	return b
}

// newFullBackend starts a backend server that refuses every request without running it.
func newFullBackend(t *testing.T, id string) *backend {
	t.Helper()
	b := &backend{id: id}
	b.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(b.Close)
	return b
}

// fixture is a gateway with a client-facing HTTP server and a fake ledger.
type fixture struct {
	*Gateway
	front  *httptest.Server
	ledger *fakeLedger
}

var testRoutes = []*routing.Route{
	{Name: "safe", Host: "h", Prefix: "/safe/", Kind: routing.KindSafe, MaxAttempts: 2},
	{Name: "unsafe", Host: "h", Prefix: "/unsafe/", Kind: routing.KindUnsafe, MaxAttempts: 2},
	{Name: "stream", Host: "h", Prefix: "/stream/", Kind: routing.KindStream, MaxAttempts: 2, ProgramTurns: true, Resumable: true, SessionAffinity: true},
	{Name: "feed", Host: "h", Prefix: "/feed/", Kind: routing.KindStream, MaxAttempts: 2, Resumable: true, SessionAffinity: true},
	{Name: "talk", Host: "h", Prefix: "/talk/", Kind: routing.KindStream, MaxAttempts: 2, ProgramTurns: true, KeepTurns: true, TurnRetention: time.Minute, Resumable: true, SessionAffinity: true},
	{Name: "chat", Host: "h", Prefix: "/chat/", Kind: routing.KindStream, MaxAttempts: 2, ProgramTurns: true, KeepTurns: true, TurnRetention: time.Minute, SessionAffinity: true},
}

func newFixture(t *testing.T, servers ...*backend) *fixture {
	t.Helper()
	ledger := &fakeLedger{streams: make(map[string]string), contents: make(map[string]uint64), settled: make(chan *ledgerpb.Finish, 16)}
	decode := func([]byte) (*routing.Document, error) {
		doc := &routing.Document{
			Version:  1,
			Services: map[string]*routing.Service{"s": {Name: "s", Engine: &routing.Engine{TokensPerEvent: 3}}},
		}
		for _, r := range testRoutes {
			route := *r
			route.Timeout = 5 * time.Second
			route.LatencyTarget = 100 * time.Millisecond
			route.Backends = []routing.Backend{{Service: "s", Weight: 1}}
			doc.Routes = append(doc.Routes, &route)
		}
		return doc, doc.Validate()
	}
	pool := transport.NewPool(transport.DialTCP)
	t.Cleanup(pool.Close)
	g := New(Config{Name: "entry", Seeds: func() []string { return nil }, DecodeRoutes: decode, Codec: testCodec{}}, hclog.NewNullLogger(), telemetry.NewMetrics(), pool, pool)
	g.ledger = ledger
	g.view.maxSilence = time.Hour // no state host sends updates
	update := &fleetpb.Update{Routes: &fleetpb.Routes{Version: 1, Document: []byte("routes")}}
	for _, server := range servers {
		update.Instances = append(update.Instances, instanceOf(server))
	}
	g.view.apply("test", update)
	g.view.lastQuorum.Add(time.Hour.Nanoseconds()) // no state host sends updates
	front := httptest.NewServer(g)
	t.Cleanup(func() {
		front.Close()
		g.inFlight.Wait()
	})
	return &fixture{Gateway: g, front: front, ledger: ledger}
}

// setQuorumAge makes the latest contact to a quorum lie back by age.
func (f *fixture) setQuorumAge(age time.Duration) {
	f.view.lastQuorum.Store((f.view.bootTime() - age).Nanoseconds())
}

func instanceOf(b *backend) *fleetpb.Instance {
	return &fleetpb.Instance{Id: b.id, Service: "s", Address: strings.TrimPrefix(b.URL, "http://"), Slots: 8, BornMs: 1, Sequence: 1}
}

// clientResponse is the response that a client received.
type clientResponse struct {
	status int
	header http.Header
	body   string
	close  bool  // the entry closes the connection
	err    error // failure of the request or of reading the response body
}

// send sends a request with name-value pairs as headers. It does not retry.
func (f *fixture) send(t *testing.T, method, path, body string, headers ...string) clientResponse {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, f.front.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Host = "h"
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := f.front.Client().Do(req)
	if err != nil {
		return clientResponse{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return clientResponse{status: resp.StatusCode, header: resp.Header, body: string(data), close: resp.Close, err: err}
}

// respondOK responds with "ok " followed by the request body.
func respondOK(w http.ResponseWriter, _ *http.Request, body string) {
	fmt.Fprint(w, "ok "+body)
}

// abortConnection closes the connection without a response.
func abortConnection(http.ResponseWriter, *http.Request, string) {
	panic(http.ErrAbortHandler)
}

// streamEvents returns a handler that sends the events with IDs from..to. Unless complete
// is set, it then closes the connection in the middle of the next event.
func streamEvents(from, to int, complete bool) func(http.ResponseWriter, *http.Request, string) {
	return func(w http.ResponseWriter, _ *http.Request, _ string) {
		w.Header().Set("Content-Type", "text/event-stream")
		writeEvents(w, from, to)
		if !complete {
			fmt.Fprintf(w, "id: %d\ndata: half", to+1)
			if err := http.NewResponseController(w).Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
				return
			}
			panic(http.ErrAbortHandler)
		}
	}
}

func writeEvents(w http.ResponseWriter, from, to int) {
	for i := from; i <= to; i++ {
		fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", i, i)
	}
}

// eventText returns the bytes of the events with IDs from..to.
func eventText(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", i, i)
	}
	return b.String()
}
