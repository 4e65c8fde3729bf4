package statehost

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/account"
	"ibistray.example/ibistray/internal/ledger"
	"ibistray.example/ibistray/internal/policy/quota"
	"ibistray.example/ibistray/internal/routing"
	"ibistray.example/ibistray/proto/fleetpb"
	"ibistray.example/ibistray/proto/ledgerpb"
)

// newAccountsHost returns a host whose routes name one account with a limit and one without.
func newAccountsHost() *Host {
	cfg := Config{
		AccountWindow: quota.Window{Period: 5 * time.Second, Excess: 0.1, Slack: 20},
		DecodeRoutes: func([]byte) (*routing.Document, error) {
			directory, err := account.NewDirectory([]*account.Account{
				{Name: "limited", Limit: account.Limit{PerSecond: 1000, Burst: 1000}}, {Name: "free"},
			})
			return &routing.Document{Accounts: directory}, err
		},
	}
	programs := ledger.New()
	h := &Host{cfg: cfg, metrics: newMetrics(prometheus.NewRegistry()), config: newConfigState(), ledger: programs, accounts: newAccountAllocator(cfg, programs)}
	h.config.routes = &fleetpb.Routes{Version: 7}
	return h
}

// ask returns the grant for three requests that wait and a program, in a leadership.
func (h *Host) ask(t *testing.T, term uint64, name string) *fleetpb.AccountGrant {
	t.Helper()
	req := &fleetpb.AccountsRequest{Entry: "a", Demands: []*fleetpb.AccountDemand{{Account: name, Waiting: 3, Wanted: 3, Programs: []uint64{1}}}}
	resp, err := h.answerAccounts(req, term)
	assert.NilError(t, err)
	assert.Equal(t, resp.RoutesVersion, uint64(7))
	return resp.Grants[0]
}

func TestGrantsFollowTheRoutesInForce(t *testing.T) {
	h := newAccountsHost()
	free := h.ask(t, 1, "free")
	assert.Equal(t, free.Permits, uint32(3))
	assert.DeepEqual(t, free.Admitted, []bool{true})
	unknown := h.ask(t, 1, "unknown")
	assert.Equal(t, unknown.Permits, uint32(0))
	assert.DeepEqual(t, unknown.Admitted, []bool{false})
	assert.Assert(t, unknown.RetryMs > 0)
}

// TestNewLeadershipBeginsWithoutPermits has permits that another leader may have given out.
func TestNewLeadershipBeginsWithoutPermits(t *testing.T) {
	h := newAccountsHost()
	assert.Equal(t, h.ask(t, 1, "limited").Permits, uint32(0))
	time.Sleep(20 * time.Millisecond)
	assert.Assert(t, h.ask(t, 1, "limited").Permits > 0)
	assert.Equal(t, h.ask(t, 2, "limited").Permits, uint32(0))
}

func TestRoutesAreConfirmedWithoutADemand(t *testing.T) {
	resp, err := newAccountsHost().answerAccounts(&fleetpb.AccountsRequest{Entry: "a"}, 1)
	assert.NilError(t, err)
	assert.Equal(t, resp.RoutesVersion, uint64(7))
}

// TestNewLeadershipKnowsTheProgramsOfTheLedger has a program whose entries and leader were lost
// together: the first entry that names it again takes it for a new one.
func TestNewLeadershipKnowsTheProgramsOfTheLedger(t *testing.T) {
	h := newAccountsHost()
	begin := &ledgerpb.Command{NowMs: 1, Kind: &ledgerpb.Command_Begin{Begin: &ledgerpb.Begin{CallId: "1", Program: "p", Account: "limited", Limited: true, TokenBudget: 100}}}
	data, err := proto.Marshal(begin)
	assert.NilError(t, err)
	h.ledger.Apply(1, data)
	req := &fleetpb.AccountsRequest{Entry: "a", Demands: []*fleetpb.AccountDemand{
		{Account: "limited", Programs: []uint64{quota.HashProgram("p"), quota.HashProgram("q")}},
	}}
	resp, err := h.answerAccounts(req, 1)
	assert.NilError(t, err)
	assert.DeepEqual(t, resp.Grants[0].Running, []bool{true, false})
}
