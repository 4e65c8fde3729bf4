package statehost

import (
	"context"
	"sync"
	"time"

	"ibistray.example/ibistray/internal/account"
	"ibistray.example/ibistray/internal/clock"
	"ibistray.example/ibistray/internal/ledger"
	"ibistray.example/ibistray/internal/peer"
	"ibistray.example/ibistray/internal/policy/quota"
	"ibistray.example/ibistray/internal/routing"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/fleetpb"
	"ibistray.example/ibistray/proto/rpcpb"
)

// accountAllocator gives out the permits of client accounts, while this host leads the
// configuration group. It is safe for concurrent use.
type accountAllocator struct {
	window quota.Window
	decode func(document []byte) (*routing.Document, error)
	// activePrograms returns the programs that had a turn within a period, by account.
	activePrograms func(period time.Duration) map[string][]string

	mu        sync.Mutex
	term      uint64 // of the leadership in which permits were given out
	allocator *quota.Allocator
	version   uint64             // of the routes that name the accounts
	accounts  *account.Directory // nil: there are none
}

func newAccountAllocator(cfg Config, programs *ledger.State) *accountAllocator {
	return &accountAllocator{window: cfg.AccountWindow, decode: cfg.DecodeRoutes, activePrograms: programs.ActivePrograms}
}

// activeProgramPeriod is the time after its latest turn for which a program counts as running
// when a leadership begins.
const activeProgramPeriod = 30 * time.Second

// forTerm returns the allocator of a leadership. The caller holds the mutex.
func (a *accountAllocator) forTerm(term uint64, now time.Duration) *quota.Allocator {
	if a.allocator == nil || a.term != term {
		a.term, a.allocator = term, quota.NewAllocator(a.window, now, a.runningPrograms())
	}
	return a.allocator
}

// runningPrograms returns the hashed IDs of the programs that the ledger of this host knows to
// run, by account. It is empty on a host without a replica of the ledger.
func (a *accountAllocator) runningPrograms() map[string][]uint64 {
	running := make(map[string][]uint64)
	for name, programs := range a.activePrograms(activeProgramPeriod) {
		for _, program := range programs {
			running[name] = append(running[name], quota.HashProgram(program))
		}
	}
	return running
}

// accountsOf returns the accounts of routes. The caller holds the mutex.
func (a *accountAllocator) accountsOf(routes *fleetpb.Routes) (*account.Directory, error) {
	if routes == nil {
		return nil, nil
	}
	if a.version == routes.Version {
		return a.accounts, nil
	}
	doc, err := a.decode(routes.Document)
	if err != nil {
		return nil, err
	}
	a.version, a.accounts = routes.Version, doc.Accounts
	return a.accounts, nil
}

// prune drops the state of accounts that nobody asks for.
func (a *accountAllocator) prune(now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.allocator != nil {
		a.allocator.Prune(now)
	}
}

// handleAccounts confirms the version of the routes in force and gives an entry permits. Only
// the leader of the configuration group can respond: its lease ensures that it knows every
// acknowledged version and that no other host gives out permits at the same time.
func (h *Host) handleAccounts(ctx context.Context, req *fleetpb.AccountsRequest) (*fleetpb.AccountsResponse, error) {
	if err := h.replicas.ReadBarrier(ctx, ConfigGroup); err != nil {
		return nil, peer.RPCError(h.replicas, ConfigGroup, err)
	}
	status, err := h.replicas.Status(ctx, ConfigGroup)
	if err != nil {
		return nil, peer.RPCError(h.replicas, ConfigGroup, err)
	}
	resp, err := h.answerAccounts(req, status.Term)
	if err != nil {
		return nil, err
	}
	if len(req.Demands) == 0 {
		return resp, nil
	}
	// This host may have been suspended since: another leader may give out permits by now.
	if err := h.replicas.ReadBarrier(ctx, ConfigGroup); err != nil {
		return nil, peer.RPCError(h.replicas, ConfigGroup, err)
	}
	return resp, nil
}

// answerAccounts returns the version of the routes in force and the grants of a leadership.
func (h *Host) answerAccounts(req *fleetpb.AccountsRequest, term uint64) (*fleetpb.AccountsResponse, error) {
	routes := h.config.routesInForce()
	a := h.accounts
	a.mu.Lock()
	defer a.mu.Unlock()
	accounts, err := a.accountsOf(routes)
	if err != nil {
		return nil, transport.Errorf(rpcpb.Code_CODE_INTERNAL, "decode routes: %s", err)
	}
	now := clock.SinceBoot()
	allocator := a.forTerm(term, now)
	resp := &fleetpb.AccountsResponse{RoutesVersion: routes.GetVersion()}
	for _, demand := range req.Demands {
		resp.Grants = append(resp.Grants, h.grant(allocator, accounts, req.Entry, demand, now))
	}
	return resp, nil
}

// unknownAccountRetry is the time after which an entry asks again for an account that the routes
// in force do not name: it receives these routes meanwhile.
const unknownAccountRetry = time.Second

// grant answers one demand. An account without a limit gets what it asks for.
func (h *Host) grant(allocator *quota.Allocator, accounts *account.Directory, entry string, demand *fleetpb.AccountDemand, now time.Duration) *fleetpb.AccountGrant {
	var acct *account.Account
	if accounts != nil {
		acct = accounts.ByName(demand.Account)
	}
	if acct == nil {
		return &fleetpb.AccountGrant{Admitted: make([]bool, len(demand.Programs)), RetryMs: unknownAccountRetry.Milliseconds()}
	}
	if !acct.Limit.Limited() {
		return unlimitedGrant(demand)
	}
	allocator.Remember(now, acct.Name, demand.Running)
	grant := allocator.Ask(now, acct.Name, acct.Limit, quota.Ask{
		Entry:    entry,
		Session:  demand.Session,
		Used:     int(demand.Used),
		Returned: int(demand.Returned),
		Begun:    int(demand.Begun),
		Waiting:  int(demand.Waiting),
		Wanted:   int(demand.Wanted),
		Programs: demand.Programs,
	})
	h.countGrant(demand, grant)
	return &fleetpb.AccountGrant{
		Session:        grant.Session,
		Permits:        uint32(grant.Permits),
		Admitted:       grant.Admitted,
		Running:        grant.Running,
		RetryMs:        grant.Retry.Milliseconds(),
		ProgramRetryMs: grant.ProgramRetry.Milliseconds(),
		OpenMs:         grant.Open.Milliseconds(),
		Before:         uint64(grant.Before),
	}
}

func unlimitedGrant(demand *fleetpb.AccountDemand) *fleetpb.AccountGrant {
	grant := &fleetpb.AccountGrant{Permits: demand.Wanted, Admitted: make([]bool, len(demand.Programs)), OpenMs: quota.PermitLifetime.Milliseconds()}
	for i := range grant.Admitted {
		grant.Admitted[i] = true
	}
	return grant
}

// countGrant records the permits and programs of a grant.
func (h *Host) countGrant(demand *fleetpb.AccountDemand, grant quota.Grant) {
	admitted := 0
	for _, ok := range grant.Admitted {
		if ok {
			admitted++
		}
	}
	h.metrics.accountPermits.WithLabelValues("granted").Add(float64(grant.Permits + admitted))
	h.metrics.accountPermits.WithLabelValues("programs_denied").Add(float64(len(grant.Admitted) - admitted))
	if grant.Retry > 0 && int(demand.Waiting) > grant.Permits {
		h.metrics.accountPermits.WithLabelValues("denied").Inc()
	}
}
