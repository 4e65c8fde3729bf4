package gateway

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/account"
	"ibistray.example/ibistray/internal/ledger"
	"ibistray.example/ibistray/internal/passthrough"
	"ibistray.example/ibistray/internal/telemetry"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/ledgerpb"
)

// newCall returns a prepared call of an account.
func (f *fixture) newCall(t *testing.T, name, path string, meta RequestMeta) *call {
	var acct *account.Account
	if name != "" {
		acct = &account.Account{Name: name}
	}
	routes := f.view.routes.Load()
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, path, nil)
	r.Header.Set("Id", meta.ID)
	return &call{
		g: f.Gateway, w: httptest.NewRecorder(), r: r,
		arrived: time.Now(), deadline: time.Now().Add(time.Minute),
		routes: routes, route: routes.Match("h", path), service: routes.Services["s"],
		triedServers: make(map[string]bool),
		account:      acct, meta: meta, body: []byte("in"),
		request: passthrough.Request{Method: http.MethodPost, Target: path, Host: "h", Body: []byte("in")},
	}
}

func TestCommandsCarryTheAccount(t *testing.T) {
	s := newBackend(t, "s1", streamEvents(1, 1, true))
	f := newFixture(t, s)
	for _, path := range []string{"/stream/x", "/feed/x", "/chat/x"} {
		assert.NilError(t, f.newCall(t, "acme", path, RequestMeta{ID: "1", Program: "p"}).forward())
	}
	for _, account := range f.ledger.accounts {
		assert.Equal(t, account, "acme")
	}
	assert.Equal(t, len(f.ledger.accounts), 4, "two turns, one of them with a stream, and a stream without a turn")
	for range 2 {
		assert.Equal(t, (<-f.ledger.settled).Account, "acme")
	}
	resumed := f.newCall(t, "acme", "/stream/x", RequestMeta{ID: "2", LastEventID: "1", Resumes: "1"})
	resumed.stream = newStreamVersion(&resumed.meta)
	assert.Equal(t, resumed.openStreamCommand().Account, "acme")
}

func TestFingerprintsOfAccountsDiffer(t *testing.T) {
	f := newFixture(t)
	a := f.newCall(t, "a", "/unsafe/x", RequestMeta{ID: "1"}).fingerprint()
	assert.Assert(t, a != f.newCall(t, "b", "/unsafe/x", RequestMeta{ID: "1"}).fingerprint())
	assert.Assert(t, a != f.newCall(t, "", "/unsafe/x", RequestMeta{ID: "1"}).fingerprint())
	assert.Equal(t, a, f.newCall(t, "a", "/unsafe/x", RequestMeta{ID: "2"}).fingerprint())
}

// TestAccountsShareNoTurns has two accounts that use the same IDs, and the state of a ledger
// behind the client.
func TestAccountsShareNoTurns(t *testing.T) {
	server := transport.NewServer(hclog.NewNullLogger())
	state := ledger.New()
	server.Handle(transport.MethodLedger, transport.SharedUnary(func(_ context.Context, req *ledgerpb.Request) (*ledgerpb.Response, error) {
		return applyCommand(t, state, req.Command), nil
	}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	pool := transport.NewPool(transport.DialTCP)
	defer pool.Close()
	client := newRemoteLedger(pool, pool, func() []string { return []string{listener.Addr().String()} }, telemetry.NewMetrics())
	opts := queueOptions{sendBy: time.Now().Add(time.Minute)}

	meta := &RequestMeta{ID: "1", Program: "p"}
	for _, account := range []string{"a", "b"} {
		assert.Assert(t, client.isNewProgram(account, meta))
		_, err := client.begin(t.Context(), account, meta, nil, opts)
		assert.NilError(t, err)
		assert.Assert(t, !client.isNewProgram(account, meta))
	}
	assert.NilError(t, client.finish(t.Context(), &ledgerpb.Finish{Account: "a", CallId: "1", Program: "p", Keep: true, Input: []byte("of a"), RetentionMs: 60_000}))
	next := &RequestMeta{ID: "2", Program: "p", PreviousTurn: "1"}
	_, err = client.begin(t.Context(), "b", next, nil, opts)
	assert.ErrorIs(t, err, errUnknownTurn)
	previous, err := client.begin(t.Context(), "a", next, nil, opts)
	assert.NilError(t, err)
	assert.Equal(t, string(previous.turns[0].Input), "of a")
}

func applyCommand(t *testing.T, state *ledger.State, cmd *ledgerpb.Command) *ledgerpb.Response {
	cmd.NowMs = time.Now().UnixMilli()
	data, err := proto.Marshal(cmd)
	assert.Check(t, err)
	result := state.Apply(1, data).(ledger.Result)
	return &ledgerpb.Response{Outcome: result.Outcome, Chain: result.PreviousTurns()}
}

// TestQueuedCommandsOfAccountsAreDistinct queues commands of two accounts that use the same
// call ID.
func TestQueuedCommandsOfAccountsAreDistinct(t *testing.T) {
	ids := map[string]bool{
		queueID("begin", "", "1"): true, queueID("begin", "a", "1"): true, queueID("begin", "b", "1"): true,
		queueID("begin", "a b", "c"): true, queueID("begin", "a", "b c"): true, queueID("finish", "a", "1"): true,
	}
	assert.Equal(t, len(ids), 6)
}
