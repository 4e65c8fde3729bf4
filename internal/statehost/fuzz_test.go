package statehost

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/routing"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/fleetpb"
	"ibistray.example/ibistray/proto/ledgerpb"
	"ibistray.example/ibistray/proto/raftpb"
)

// decoded returns a function that decodes a message and handles it. Errors are results like others.
func decoded[Req any, PReq interface {
	*Req
	proto.Message
}, Resp any](handle func(context.Context, PReq) (Resp, error)) func(context.Context, []byte) {
	return func(ctx context.Context, data []byte) {
		req := PReq(new(Req))
		if proto.Unmarshal(data, req) == nil {
			_, _ = handle(ctx, req)
		}
	}
}

// received returns a handler of messages without a response.
func received[PReq any](handle func(PReq)) func(context.Context, PReq) (any, error) {
	return func(_ context.Context, req PReq) (any, error) {
		handle(req)
		return nil, nil
	}
}

// FuzzPeers passes messages of other processes to a state host that leads its groups, so that commands are
// applied as well. None may make it panic.
func FuzzPeers(f *testing.F) {
	pool := transport.NewPool(transport.DialTCPTimeout(time.Millisecond))
	f.Cleanup(pool.Close)
	decode := func(document []byte) (*routing.Document, error) {
		if len(document)%7 == 0 {
			return nil, fmt.Errorf("%w: fuzz", routing.ErrInvalid)
		}
		return &routing.Document{Version: uint64(len(document))}, nil
	}
	cfg := Config{
		Name: "host", Address: "127.0.0.1:1", DataDir: f.TempDir(), Bootstrap: true, Seeds: func() []string { return []string{"127.0.0.1:1"} },
		DecodeRoutes: decode, HeartbeatInterval: time.Second,
	}
	h, err := New(cfg, hclog.NewNullLogger(), prometheus.NewRegistry(), pool, func(error) {})
	assert.NilError(f, err)
	for _, group := range []uint64{ConfigGroup, LedgerGroup} {
		for h.replicas.ReadBarrier(f.Context(), group) != nil {
			time.Sleep(tickInterval)
		}
	}
	handlers := []func(context.Context, []byte){
		decoded(h.handleMembers), decoded(h.handleStatus), decoded(h.handleConfig), decoded(h.handleRoutesFetch), decoded(h.handleLedger),
		decoded(h.handleChain), decoded(h.handleCrashReport), decoded(h.handleNotices), decoded(h.handlePermits), decoded(h.handleAccounts),
		decoded(received(func(update *fleetpb.Update) { h.mergePeerUpdate("b", update) })),
		decoded(received(func(batch *raftpb.MessageBatch) { h.replicas.Receive(batch) })),
	}
	seeds := []proto.Message{
		&ledgerpb.Request{Command: &ledgerpb.Command{NowMs: 1, Kind: &ledgerpb.Command_Begin{Begin: &ledgerpb.Begin{CallId: "c", Program: "p", Previous: "c", Limited: true, Stream: &ledgerpb.OpenStream{CallId: "c", Resumes: "r"}}}}, FetchesChain: true},
		&ledgerpb.Request{Command: &ledgerpb.Command{Kind: &ledgerpb.Command_Finish{Finish: &ledgerpb.Finish{CallId: "c", Program: "p", Previous: "d", Keep: true, Input: []byte("i"), RetentionMs: -1}}}},
		&ledgerpb.Request{Command: &ledgerpb.Command{Kind: &ledgerpb.Command_Finish{Finish: &ledgerpb.Finish{CallId: "c", Keep: true, Input: []byte("i"), RetentionMs: 60_000}}}},
		&ledgerpb.ChainRequest{CallId: "c", Offset: 1 << 63},
		&fleetpb.Update{Instances: []*fleetpb.Instance{{Id: "i", Service: "s", Address: "a:1", Limit: &fleetpb.Limit{Named: true}}}, Stale: []*fleetpb.Replica{{}}, Sender: &fleetpb.Host{Address: "b"}, Routes: &fleetpb.Routes{Version: 1}},
		&fleetpb.PermitRequest{Entry: "e", Candidates: []*fleetpb.PermitCandidate{{Notice: &fleetpb.Notice{Server: "i"}, Wanted: 1}}},
		&fleetpb.PermitRequest{Entry: "e", Candidates: []*fleetpb.PermitCandidate{{}}},
		&fleetpb.AccountsRequest{Entry: "e", Demands: []*fleetpb.AccountDemand{{Account: "a"}}},
		&raftpb.MessageBatch{Messages: []*raftpb.Message{{Group: ConfigGroup, From: 2, To: 1, Term: 9, Kind: raftpb.MessageKind_MESSAGE_KIND_APPEND, Entries: []*raftpb.Entry{{Index: 1}}}}},
	}
	for _, seed := range seeds {
		data, err := proto.Marshal(seed)
		assert.NilError(f, err)
		for kind := range handlers {
			f.Add(uint8(kind), data)
		}
	}
	f.Fuzz(func(t *testing.T, kind uint8, data []byte) {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		handlers[int(kind)%len(handlers)](ctx, data)
	})
}
