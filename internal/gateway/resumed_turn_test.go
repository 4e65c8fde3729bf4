package gateway

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"ibistray.example/ibistray/internal/leaderclient"
	"ibistray.example/ibistray/internal/ledger"
	"ibistray.example/ibistray/proto/ledgerpb"
)

// turnEvents is the number of events of the turns in these tests.
const turnEvents = 12

// stateLedger is a ledgerClient with the state machine of the ledger.
type stateLedger struct {
	*fakeLedger
	state *ledger.State

	mu        sync.Mutex
	forgetful bool  // an earlier build: it does not know RecordOutput
	recordErr error // returned by recordOutput
	recorded  int   // RecordOutput commands that were applied
}

func (l *stateLedger) apply(kind *ledgerpb.Command) ledger.Result {
	kind.NowMs = time.Now().UnixMilli()
	data, err := proto.Marshal(kind)
	if err != nil {
		panic(err)
	}
	return l.state.Apply(1, data).(ledger.Result)
}

func (l *stateLedger) begin(_ context.Context, account string, meta *RequestMeta, stream *ledgerpb.OpenStream, _ queueOptions) (history, error) {
	result := l.apply(&ledgerpb.Command{Kind: &ledgerpb.Command_Begin{Begin: &ledgerpb.Begin{
		Account: account, CallId: meta.ID, Program: meta.Program, Previous: meta.PreviousTurn, Stream: stream,
	}}})
	switch result.Outcome {
	case ledgerpb.Outcome_OUTCOME_UNKNOWN_TURN:
		return history{}, errUnknownTurn
	case ledgerpb.Outcome_OUTCOME_UNKNOWN_STREAM:
		return history{}, errUnknownStream
	}
	return history{turns: result.PreviousTurns(), streamVersion: result.StreamVersion(), output: result.Output()}, nil
}

func (l *stateLedger) openStream(_ context.Context, stream *ledgerpb.OpenStream) (string, error) {
	result := l.apply(&ledgerpb.Command{Kind: &ledgerpb.Command_OpenStream{OpenStream: stream}})
	if result.Outcome != ledgerpb.Outcome_OUTCOME_OK {
		return "", errUnknownStream
	}
	return result.StreamVersion(), nil
}

func (l *stateLedger) recordOutput(_ context.Context, record *ledgerpb.RecordOutput) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.forgetful {
		return leaderclient.ErrRefused
	}
	if l.recordErr != nil {
		return l.recordErr
	}
	if l.apply(&ledgerpb.Command{Kind: &ledgerpb.Command_RecordOutput{RecordOutput: record}}).Outcome != ledgerpb.Outcome_OUTCOME_OK {
		return errUnknownStream
	}
	l.recorded++
	return nil
}

func (l *stateLedger) finish(_ context.Context, f *ledgerpb.Finish) error {
	if l.apply(&ledgerpb.Command{Kind: &ledgerpb.Command_Finish{Finish: f}}).Outcome != ledgerpb.Outcome_OUTCOME_OK {
		return errUnknownTurn
	}
	return nil
}

// kept reports whether the turn of a call is kept.
func (l *stateLedger) kept(callID string) bool {
	_, found := l.state.Chain("", callID)
	return found
}

// turnServer says how the server of a test behaves.
type turnServer struct {
	runsDiffer bool // each event names its run
	breakAfter int  // event after which a run from the start breaks off, 0: none
}

// newTurnBackend starts a server that sends the events after the last one that the request names,
// with a pause after each, up to the last event of a turn.
func newTurnBackend(t *testing.T, id string, behaviour turnServer) *backend {
	return newBackend(t, id, func(w http.ResponseWriter, r *http.Request, _ string) {
		after, _ := strconv.Atoi(r.Header.Get("After"))
		run := "any run"
		if behaviour.runsDiffer {
			run = r.Header.Get("Id")
		}
		w.Header().Set("Content-Type", "text/event-stream")
		for n := after + 1; n <= turnEvents; n++ {
			fmt.Fprintf(w, "id: %d\ndata: token %d of %s\n\n", n, n, run)
			if http.NewResponseController(w).Flush() != nil {
				return
			}
			if after == 0 && n == behaviour.breakAfter {
				panic(http.ErrAbortHandler)
			}
			time.Sleep(2 * time.Millisecond)
		}
	})
}

// turnEntries returns two entries with the same ledger and server.
func turnEntries(t *testing.T, behaviour turnServer) ([2]*fixture, *stateLedger, *backend) {
	server := newTurnBackend(t, "a", behaviour)
	shared := &stateLedger{state: ledger.New()}
	var entries [2]*fixture
	for i := range entries {
		entries[i] = newFixture(t, server)
		shared.fakeLedger = entries[i].ledger
		entries[i].Gateway.ledger = shared
	}
	return entries, shared, server
}

// reception is what a client has received of a turn, over all its attempts.
type reception struct {
	last int    // ID of the latest event
	text string // data of the events, each with a line feed
}

// receive sends a request and breaks the connection after the event with the ID until, unless the
// stream ends there.
func (r *reception) receive(t *testing.T, f *fixture, path string, until int, headers ...string) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.front.URL+path, strings.NewReader("in;"))
	assert.NilError(t, err)
	req.Host = "h"
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport}).Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if id, found := strings.CutPrefix(lines.Text(), "id: "); found {
			n, err := strconv.Atoi(id)
			assert.NilError(t, err)
			assert.Equal(t, n, r.last+1)
			r.last = n
		}
		if data, found := strings.CutPrefix(lines.Text(), "data: "); found {
			r.text += data + "\n"
		}
		if r.last == until && until < turnEvents && lines.Text() == "" {
			return
		}
	}
}

// requireWhole continues from a turn and checks that the server gets what the client received.
func (r *reception) requireWhole(t *testing.T, f *fixture, server *backend, previous string) {
	t.Helper()
	assert.Equal(t, r.last, turnEvents)
	got := f.send(t, http.MethodPost, "/talk/x", "next;", "Id", "next", "Program", "p", "Previous", previous)
	assert.Equal(t, got.status, http.StatusOK, got.body)
	executed := server.executed()
	assert.Equal(t, executed[len(executed)-1], "next:in;"+r.text+"next;")
}

// TestTurnThatItsClientResumedIsKeptWhole guards against kept turns that lack the events which their
// client received before it resumed the stream: the program went on from a conversation with a
// hole. The connection of the client breaks, once or twice. What is recorded is kept as the client
// received it, even if servers do not repeat a stream alike.
func TestTurnThatItsClientResumedIsKeptWhole(t *testing.T) {
	cases := map[string]struct {
		server  turnServer
		prepare func(*stateLedger)
	}{
		"recorded":                     {turnServer{runsDiffer: true}, func(*stateLedger) {}},
		"server that breaks off, too":  {turnServer{runsDiffer: true, breakAfter: 4}, func(*stateLedger) {}},
		"state hosts of earlier build": {turnServer{}, func(l *stateLedger) { l.forgetful = true }},
		"ledger that is not available": {turnServer{breakAfter: 4}, func(l *stateLedger) { l.recordErr = leaderclient.ErrUnavailable }},
	}
	for name, c := range cases {
		for first := 1; first < turnEvents; first += 2 {
			for _, second := range []int{0, first + 1, turnEvents} {
				t.Run(fmt.Sprintf("%s, broken after %d and %d", name, first, second), func(t *testing.T) {
					entries, shared, server := turnEntries(t, c.server)
					c.prepare(shared)
					var client reception
					client.receive(t, entries[0], "/talk/x", first, "Id", "1", "Program", "p")
					// Resumes names the attempt that brought the first event.
					if second > 0 {
						client.receive(t, entries[1], "/talk/x", second, "Id", "2", "Program", "p", "Resumes", "1", "After", strconv.Itoa(client.last))
					}
					client.receive(t, entries[0], "/talk/x", turnEvents, "Id", "3", "Program", "p", "Resumes", "1", "After", strconv.Itoa(client.last))
					client.requireWhole(t, entries[1], server, "3")
				})
			}
		}
	}
}

// TestTurnIsKeptWholeBesideItsFirstAttempt has a client that resumes its stream while the first
// attempt still runs, so that both end and are kept.
func TestTurnIsKeptWholeBesideItsFirstAttempt(t *testing.T) {
	entries, shared, server := turnEntries(t, turnServer{})
	var client reception
	var first sync.WaitGroup
	first.Go(func() { client.receive(t, entries[0], "/talk/x", turnEvents, "Id", "1", "Program", "p") })
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		shared.mu.Lock()
		defer shared.mu.Unlock()
		if shared.recorded < 4 {
			return poll.Continue("%d records", shared.recorded)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	second := reception{last: 3}
	second.receive(t, entries[1], "/talk/x", turnEvents, "Id", "2", "Program", "p", "Resumes", "1", "After", "3")
	first.Wait()
	for _, id := range []string{"1", "2"} {
		assert.Assert(t, shared.kept(id))
		client.requireWhole(t, entries[0], server, id)
	}
}

// TestTurnWithoutItsBeginningIsNotKept has a server that ends before the events that the client
// holds, so that it cannot repeat those which are not recorded.
func TestTurnWithoutItsBeginningIsNotKept(t *testing.T) {
	entries, shared, _ := turnEntries(t, turnServer{})
	shared.forgetful = true
	new(reception).receive(t, entries[0], "/talk/x", 3, "Id", "1", "Program", "p")
	got := entries[1].send(t, http.MethodPost, "/talk/x", "in;", "Id", "2", "Program", "p", "Resumes", "1", "After", strconv.Itoa(turnEvents+5))
	assert.Equal(t, got.status, http.StatusBadGateway, got.body)
	assert.Assert(t, !shared.kept("2"))
}

// TestEventIDsNeedNotBeText has a server whose IDs no string of a message to the ledger could carry.
func TestEventIDsNeedNotBeText(t *testing.T) {
	ids := []string{"\xff1", "\xff2", "\xff3"}
	server := newBackend(t, "a", func(w http.ResponseWriter, r *http.Request, _ string) {
		w.Header().Set("Content-Type", "text/event-stream")
		for _, id := range ids[slices.Index(ids, r.Header.Get("After"))+1:] {
			fmt.Fprintf(w, "id: %s\ndata: of %s\n\n", id, r.Header.Get("Id"))
		}
	})
	f := newFixture(t, server)
	shared := &stateLedger{fakeLedger: f.ledger, state: ledger.New()}
	f.Gateway.ledger = shared
	assert.Equal(t, f.send(t, http.MethodPost, "/talk/x", "in;", "Id", "1", "Program", "p").status, http.StatusOK)
	got := f.send(t, http.MethodPost, "/talk/x", "in;", "Id", "2", "Program", "p", "Resumes", "1", "After", ids[1])
	assert.Equal(t, got.body, "id: \xff3\ndata: of 2\n\n")
	assert.Equal(t, shared.recorded, 2)
	f.send(t, http.MethodPost, "/talk/x", "next;", "Id", "3", "Program", "p", "Previous", "2")
	executed := server.executed()
	assert.Equal(t, executed[len(executed)-1], "3:in;of 1\nof 1\nof 2\nnext;")
}

// TestTurnOfARouteWithoutResumptionBeginsAnew has a client that resumes a stream where the route does
// not allow it. It gets the whole stream of a new run, and that is what is kept.
func TestTurnOfARouteWithoutResumptionBeginsAnew(t *testing.T) {
	entries, shared, server := turnEntries(t, turnServer{runsDiffer: true})
	new(reception).receive(t, entries[0], "/chat/x", 3, "Id", "1", "Program", "p")
	var client reception
	client.receive(t, entries[1], "/chat/x", turnEvents, "Id", "2", "Program", "p", "Resumes", "1", "After", "3")
	assert.Assert(t, shared.kept("2"))
	client.requireWhole(t, entries[0], server, "2")
}
