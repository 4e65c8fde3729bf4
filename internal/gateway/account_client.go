package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"ibistray.example/ibistray/internal/account"
	"ibistray.example/ibistray/internal/clock"
	"ibistray.example/ibistray/internal/compare"
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

// accountStock is what this entry holds and wants of one account's limit.
type accountStock struct {
	quota.Stock
	waiters []*accountWaiter
	began   []uint64 // hashed IDs of programs that began with a permit in hand since the latest request
}

// accountWaiter is a request that waits for a permit.
type accountWaiter struct {
	program    uint64 // hashed ID of the program that it begins
	newProgram bool
	left       time.Duration // time for which its client waits
	joined     time.Duration
	outcome    chan error // receives nil with a permit, or an error that wraps errAccountLimit
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

// deniedFor returns for how long the leader has denied such requests, 0 if it has not.
func (s *accountStock) deniedFor(now time.Duration, newProgram bool) time.Duration {
	until := s.DeniedUntil()
	if newProgram {
		until = s.ProgramsDeniedUntil()
	}
	return max(0, until-now)
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

// askedStock is a stock that a request names, with the waiters whose programs it names and the
// programs that it reports.
type askedStock struct {
	stock    *accountStock
	programs []*accountWaiter
	began    []uint64
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

// mayAsk reports whether a request waits whose kind the leader has not denied.
func (s *accountStock) mayAsk(now time.Duration) bool {
	return slices.ContainsFunc(s.waiters, func(w *accountWaiter) bool { return s.deniedFor(now, w.newProgram) == 0 })
}

// demand returns what to ask for, and the waiters whose programs it names.
func (s *accountStock) demand(now time.Duration) (*fleetpb.AccountDemand, []*accountWaiter) {
	var programs []*accountWaiter
	var ids []uint64
	running := 0
	for _, w := range s.waiters {
		if !w.newProgram {
			running++
			continue
		}
		if s.deniedFor(now, true) > 0 {
			continue
		}
		programs = append(programs, w)
		ids = append(ids, w.program)
	}
	ask := s.Ask(now, running, ids)
	began := s.began
	s.began = nil
	return &fleetpb.AccountDemand{
		Running:  began,
		Session:  ask.Session,
		Used:     uint64(ask.Used),
		Returned: uint64(ask.Returned),
		Begun:    uint64(ask.Begun),
		Waiting:  uint32(ask.Waiting),
		Wanted:   uint32(ask.Wanted),
		Programs: ids,
	}, programs
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

// grantFromProto returns the grant for a demand with a number of programs.
func grantFromProto(msg *fleetpb.AccountGrant, programs int) quota.Grant {
	return quota.Grant{
		Session:      msg.Session,
		Before:       int(msg.Before),
		Permits:      int(msg.Permits),
		Admitted:     msg.Admitted[:min(len(msg.Admitted), programs)],
		Retry:        time.Duration(msg.RetryMs) * time.Millisecond,
		ProgramRetry: time.Duration(msg.ProgramRetryMs) * time.Millisecond,
		Open:         time.Duration(msg.OpenMs) * time.Millisecond,
	}
}

// serve gives the permits of a grant to the waiters, running programs first, and refuses those
// that would wait for too long.
func (s askedStock) serve(now, askedAt time.Duration, grant *fleetpb.AccountGrant) {
	named := make(map[*accountWaiter]bool, len(s.programs))
	for i, w := range s.programs {
		named[w] = true
		if i >= len(grant.Admitted) || !grant.Admitted[i] || !quota.Valid(now, askedAt) {
			continue
		}
		if !s.stock.remove(w) {
			s.stock.Refund(now) // its client has left
			continue
		}
		w.outcome <- nil
	}
	slices.SortStableFunc(s.stock.waiters, func(a, b *accountWaiter) int { return compare.Bool(a.newProgram, b.newProgram) })
	s.stock.waiters = slices.DeleteFunc(s.stock.waiters, func(w *accountWaiter) bool {
		return s.stock.serveOne(now, w, !w.newProgram || named[w])
	})
}

// serveOne gives a waiter a permit in hand, or refuses it if it would wait for too long. It
// returns false if the waiter waits on. asked says that the leader was asked for it.
func (s *accountStock) serveOne(now time.Duration, w *accountWaiter, asked bool) bool {
	if s.take(now, w.newProgram, w.program) {
		w.outcome <- nil
		return true
	}
	retry := s.deniedFor(now, w.newProgram)
	if !asked || retry == 0 || quota.Wait(w.newProgram, retry, w.left-(now-w.joined)) {
		return false
	}
	w.outcome <- &accountLimitError{retryAfter: retry}
	return true
}

// take takes a permit in hand for a request.
func (s *accountStock) take(now time.Duration, newProgram bool, program uint64) bool {
	if !s.Take(now, newProgram) {
		return false
	}
	if newProgram {
		s.began = append(s.began, program)
	}
	return true
}

// remove removes a waiter and reports whether it still waited.
func (s *accountStock) remove(w *accountWaiter) bool {
	i := slices.Index(s.waiters, w)
	if i < 0 {
		return false
	}
	s.waiters = slices.Delete(s.waiters, i, i+1)
	return true
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
