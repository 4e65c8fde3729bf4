package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"ibistray.example/ibistray/internal/account"
	"ibistray.example/ibistray/internal/clock"
	"ibistray.example/ibistray/internal/leaderclient"
	"ibistray.example/ibistray/internal/policy/quota"
	"ibistray.example/ibistray/internal/routing"
	"ibistray.example/ibistray/internal/telemetry"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/fleetpb"
)

const (
	// accountInterval is the pause between two requests to the leader while nobody waits.
	accountInterval = 250 * time.Millisecond
	// accountTimeout limits one request to the leader; it covers most of an election.
	accountTimeout = 400 * time.Millisecond
	// leaseRenewals is the number of confirmations that an entry asks for within the duration
	// of one.
	leaseRenewals = 5
	// accountFailurePause is the pause after a request that no leader responded to.
	accountFailurePause = 50 * time.Millisecond
)

// Outcomes of the requests of client accounts, a label of metrics.
const (
	accountAdmitted    = "admitted"
	accountOverLimit   = "over_limit"
	accountUnavailable = "unavailable"
)

// Errors of requests of client accounts.
var (
	errAccountLimit       = errors.New("gateway: the client account has reached its limit")
	errAccountUnavailable = errors.New("gateway: no permit for the client account could be had")
)

// accountLimitError is an errAccountLimit with the time after which the client should retry.
type accountLimitError struct {
	retryAfter time.Duration
}

func (e *accountLimitError) Error() string        { return errAccountLimit.Error() }
func (e *accountLimitError) Is(target error) bool { return target == errAccountLimit }

// accountClient obtains the permits of client accounts that have a limit, and confirmations that
// the accounts are current, from the leader of the routes' log. It is safe for concurrent use.
type accountClient struct {
	entry   string
	log     hclog.Logger
	metrics *telemetry.Metrics
	call    func(ctx context.Context, req *fleetpb.AccountsRequest) (*fleetpb.AccountsResponse, error)
	now     func() time.Duration
	routes  func() *routing.Document
	lease   *accountLease
	wake    chan struct{} // has room for one signal
	failing bool          // the latest request had no response; used by run only

	mu      sync.Mutex
	stocks  map[string]*accountStock // by account
	changed chan struct{}            // closed and replaced after each response
}

// newAccountClient returns a client that finds the leader of the state hosts at addresses.
func newAccountClient(cfg Config, log hclog.Logger, pool *transport.Pool, view *view, metrics *telemetry.Metrics) *accountClient {
	client := leaderclient.NewWithOptions(pool, leaderclient.Options{
		Addresses:      view.stateHosts,
		AttemptTimeout: accountTimeout,
		OnRetry:        func(reason string) { metrics.Retries.WithLabelValues(reason).Inc() },
		SharedStream:   true,
	})
	leader := new(leaderclient.LeaderCache)
	return &accountClient{
		entry:   cfg.Name,
		log:     log,
		metrics: metrics,
		call: func(ctx context.Context, req *fleetpb.AccountsRequest) (*fleetpb.AccountsResponse, error) {
			resp := new(fleetpb.AccountsResponse)
			return resp, client.Call(ctx, leader, transport.MethodAccounts, 0, req, resp)
		},
		now:     clock.SinceBoot,
		routes:  view.routes.Load,
		lease:   newAccountLease(cfg.KeyRevocationTimeout),
		wake:    make(chan struct{}, 1),
		stocks:  make(map[string]*accountStock),
		changed: make(chan struct{}),
	}
}

// current reports whether the accounts that this entry knows are current.
func (a *accountClient) current() bool {
	doc := a.routes()
	return doc != nil && a.lease.valid(a.now(), doc.Version)
}

// confirmedSince reports whether the accounts that this entry knows were current at since or
// later.
func (a *accountClient) confirmedSince(since time.Duration) bool {
	doc := a.routes()
	return doc != nil && a.lease.confirmedSince(since, doc.Version)
}

// waitUntil waits until done returns true or ctx ends, and reports whether done returned true.
// It asks the leader meanwhile.
func (a *accountClient) waitUntil(ctx context.Context, done func() bool) bool {
	for {
		a.mu.Lock()
		changed := a.changed
		a.mu.Unlock()
		if done() {
			return true
		}
		a.signal()
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

// acquire takes a permit for a request of an account with a limit. program is the hashed ID of
// the program that the request begins, if newProgram is set. It waits for the leader until ctx
// ends. left is the time for which the client waits. Errors: *accountLimitError,
// errAccountUnavailable.
func (a *accountClient) acquire(ctx context.Context, acct *account.Account, newProgram bool, program uint64, left time.Duration) error {
	a.mu.Lock()
	stock := a.stock(acct.Name)
	now := a.now()
	if stock.take(now, newProgram, program) {
		if stock.Due(now) {
			a.signal()
		}
		a.mu.Unlock()
		return nil
	}
	if retry := stock.deniedFor(now, newProgram); retry > 0 && !quota.Wait(newProgram, retry, left) {
		a.mu.Unlock()
		return &accountLimitError{retryAfter: retry}
	}
	w := &accountWaiter{program: program, newProgram: newProgram, left: left, joined: now, outcome: make(chan error, 1)}
	stock.waiters = append(stock.waiters, w)
	a.signal()
	a.mu.Unlock()
	select {
	case err := <-w.outcome:
		return err
	case <-ctx.Done():
		return a.leave(stock, w)
	}
}

// leave removes a waiter whose time is over. It returns nil if the waiter has received a permit
// meanwhile.
func (a *accountClient) leave(stock *accountStock, w *accountWaiter) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case err := <-w.outcome:
		return err
	default:
	}
	stock.remove(w)
	if retry := stock.deniedFor(a.now(), w.newProgram); retry > 0 {
		return &accountLimitError{retryAfter: retry}
	}
	return errAccountUnavailable
}

// refund gives back the permit, taken at a time, of a request that no server received.
func (a *accountClient) refund(acct *account.Account, takenAt time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stock(acct.Name).Refund(takenAt)
}

// stock returns the stock of an account and adds it if necessary. The caller holds the mutex.
func (a *accountClient) stock(name string) *accountStock {
	if a.stocks[name] == nil {
		a.stocks[name] = new(accountStock)
	}
	return a.stocks[name]
}

// signal makes run send a request soon.
func (a *accountClient) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// run exchanges messages with the leader until ctx ends. It sends none while the routes name no
// accounts.
func (a *accountClient) run(ctx context.Context) {
	timer := time.NewTimer(accountInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.wake:
		case <-timer.C:
		}
		pause := accountInterval
		if doc := a.routes(); doc != nil && doc.Accounts != nil {
			pause = a.exchange(ctx)
		}
		timer.Reset(pause)
	}
}

// exchange sends what is due to the leader and returns the pause before the next time.
func (a *accountClient) exchange(ctx context.Context) time.Duration {
	askedAt := a.now()
	req, asked := a.request(askedAt)
	if req == nil {
		return accountInterval
	}
	callCtx, cancel := context.WithTimeout(ctx, accountTimeout)
	resp, err := a.call(callCtx, req)
	cancel()
	if err != nil || len(resp.Grants) != len(req.Demands) {
		a.recordLoss(asked)
		a.logFailing(true, err)
		return accountFailurePause
	}
	a.logFailing(false, nil)
	a.record(req, resp, asked, askedAt)
	return a.nextPause()
}

// logFailing logs when no leader responds any more, and when one does again.
func (a *accountClient) logFailing(failing bool, err error) {
	if failing == a.failing {
		return
	}
	a.failing = failing
	if failing {
		a.log.Warn("no leader gives out permits of client accounts", "error", err)
		return
	}
	a.log.Info("a leader gives out permits of client accounts again")
}

// request returns the request to send to the leader now and the stocks of its demands, in order. It
// returns nil if nothing is due.
func (a *accountClient) request(now time.Duration) (*fleetpb.AccountsRequest, []askedStock) {
	a.mu.Lock()
	defer a.mu.Unlock()
	req := &fleetpb.AccountsRequest{Entry: a.entry}
	var asked []askedStock
	for name, stock := range a.stocks {
		if stock.Idle(now) && len(stock.waiters) == 0 {
			delete(a.stocks, name)
			continue
		}
		if !stock.mayAsk(now) && !stock.Due(now) {
			continue
		}
		demand, programs := stock.demand(now)
		demand.Account = name
		req.Demands = append(req.Demands, demand)
		asked = append(asked, askedStock{stock, programs, demand.Running})
	}
	if len(req.Demands) == 0 && !a.lease.due(now) {
		return nil, nil
	}
	return req, asked
}

// recordLoss records that a request had no response.
func (a *accountClient) recordLoss(asked []askedStock) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	for _, s := range asked {
		s.stock.Lost(now)
		s.stock.began = append(s.began, s.stock.began...)
	}
}

// record stores the response to a request and serves the waiters.
func (a *accountClient) record(req *fleetpb.AccountsRequest, resp *fleetpb.AccountsResponse, asked []askedStock, askedAt time.Duration) {
	if doc := a.routes(); doc != nil && resp.RoutesVersion > 0 {
		a.lease.confirm(resp.RoutesVersion, doc.Version, askedAt)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	for i, grant := range resp.Grants {
		asked[i].stock.Add(now, askedAt, grantFromProto(grant, len(req.Demands[i].Programs)))
		asked[i].serve(now, askedAt, grant)
	}
	close(a.changed)
	a.changed = make(chan struct{})
}

// nextPause returns the time until the next request is due.
func (a *accountClient) nextPause() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	pause := accountInterval
	for _, stock := range a.stocks {
		for _, w := range stock.waiters {
			pause = min(pause, max(time.Millisecond, stock.deniedFor(now, w.newProgram)))
		}
	}
	return pause
}
