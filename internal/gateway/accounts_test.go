package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/account"
	"ibistray.example/ibistray/proto/fleetpb"
)

// fakeAccountLeader answers the requests of an accountClient.
type fakeAccountLeader struct {
	mu       sync.Mutex
	err      error
	version  uint64
	permits  int // left to give out
	granted  uint64
	returned uint64
	retry    time.Duration
	asked    []*fleetpb.AccountsRequest
}

func (l *fakeAccountLeader) call(_ context.Context, req *fleetpb.AccountsRequest) (*fleetpb.AccountsResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return nil, l.err
	}
	l.asked = append(l.asked, req)
	resp := &fleetpb.AccountsResponse{RoutesVersion: l.version}
	for _, demand := range req.Demands {
		grant := &fleetpb.AccountGrant{Session: 1, Before: l.granted}
		before := l.permits
		l.returned = demand.Returned
		for range demand.Programs {
			grant.Admitted = append(grant.Admitted, l.permits > 0)
			l.permits = max(0, l.permits-1)
		}
		grant.Permits = uint32(min(l.permits, int(demand.Wanted)))
		l.permits -= int(grant.Permits)
		l.granted += uint64(before - l.permits)
		if grant.Permits < demand.Waiting || slices.Contains(grant.Admitted, false) {
			grant.RetryMs = l.retry.Milliseconds()
		}
		resp.Grants = append(resp.Grants, grant)
	}
	return resp, nil
}

func (l *fakeAccountLeader) set(change func(*fakeAccountLeader)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l)
}

// returnedPermits returns the permits that the entry gave back.
func (l *fakeAccountLeader) returnedPermits() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.returned
}

// withAccounts gives the routes of the fixture client accounts and runs the exchange with a
// leader that confirms them.
func (f *fixture) withAccounts(t *testing.T, accounts ...*account.Account) *fakeAccountLeader {
	t.Helper()
	leader := &fakeAccountLeader{version: 1, permits: 100, retry: 2 * time.Second}
	f.accounts.call = leader.call
	f.setAccounts(t, 1, accounts...)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.accounts.run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return leader
}

// setAccounts puts routes of a version with the accounts in force.
func (f *fixture) setAccounts(t *testing.T, version uint64, accounts ...*account.Account) {
	t.Helper()
	directory, err := account.NewDirectory(accounts)
	assert.NilError(t, err)
	doc := *f.view.routes.Load()
	doc.Version, doc.Accounts = version, directory
	f.view.routes.Store(&doc)
}

func newTestAccount(name, key string, limit account.Limit) *account.Account {
	return &account.Account{Name: name, Keys: []account.Digest{account.DigestOf(key)}, Limit: limit}
}

// respondAccount responds with the account that the entry named and the key that it passed on.
func respondAccount(w http.ResponseWriter, r *http.Request, _ string) {
	_, _ = w.Write([]byte(r.Header.Get("Account") + "|" + r.Header.Get("Key")))
}

func TestBackendServerHearsAccountAndNotItsKey(t *testing.T) {
	f := newFixture(t, newBackend(t, "a", respondAccount))
	f.withAccounts(t, newTestAccount("customer", "secret", account.Limit{}))
	got := f.send(t, http.MethodGet, "/safe/x", "", "Id", "1", "Key", "secret", "Account", "forged")
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, "customer|")
}

func TestUnknownKeyIsRefused(t *testing.T) {
	f := newFixture(t, newBackend(t, "a", respondOK))
	f.withAccounts(t, newTestAccount("customer", "secret", account.Limit{}))
	for _, key := range []string{"", "other"} {
		got := f.send(t, http.MethodGet, "/safe/x", "", "Id", "1", "Key", key)
		assert.Equal(t, got.status, http.StatusUnauthorized)
	}
}

func TestPublicRouteNeedsNoKey(t *testing.T) {
	f := newFixture(t, newBackend(t, "a", respondAccount))
	f.withAccounts(t, newTestAccount("customer", "secret", account.Limit{}))
	f.view.routes.Load().Match("h", "/safe/x").Public = true
	for key, want := range map[string]string{"": "|", "other": "|", "secret": "customer|"} {
		got := f.send(t, http.MethodGet, "/safe/x", "", "Id", "1", "Key", key)
		assert.Equal(t, got.status, http.StatusOK)
		assert.Equal(t, got.body, want)
	}
}

// TestKeyIsRefusedOnceItMayHaveBeenTakenAway has an entry that reaches no leader any more.
func TestKeyIsRefusedOnceItMayHaveBeenTakenAway(t *testing.T) {
	f := newFixture(t, newBackend(t, "a", respondOK))
	f.accounts.lease.duration = 300 * time.Millisecond
	leader := f.withAccounts(t, newTestAccount("customer", "secret", account.Limit{}))
	assert.Equal(t, f.send(t, http.MethodGet, "/safe/x", "", "Id", "1", "Key", "secret").status, http.StatusOK)
	leader.set(func(l *fakeAccountLeader) { l.err = errors.New("no leader") })
	time.Sleep(f.accounts.lease.duration)
	got := f.send(t, http.MethodGet, "/safe/x", "", "Id", "2", "Key", "secret")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.body, reasonUnconfirmed+"\n")
	assert.Assert(t, got.close, "the client reaches another entry")
	assert.Assert(t, !f.accounts.current())

	leader.set(func(l *fakeAccountLeader) { l.err = nil })
	assert.Equal(t, f.send(t, http.MethodGet, "/safe/x", "", "Id", "3", "Key", "secret").status, http.StatusOK, "it waits for the leader")
}

// TestKeyThatWasJustAddedIsNotUnknown has a key in routes that this entry has not received yet. The
// request waits for viewTimeout at most, so a refusal does not count if the process itself stood still
// for half of it.
func TestKeyThatWasJustAddedIsNotUnknown(t *testing.T) {
	const attempts = 6
	for attempt := 1; ; attempt++ {
		stop := longestStandstill()
		got := sendAddedKey(t)
		standstill := stop()
		if got.status == http.StatusOK {
			return
		}
		t.Logf("attempt %d: %d %s, the process stood still for %s", attempt, got.status, got.body, standstill)
		assert.Assert(t, standstill > viewTimeout/2 && attempt < attempts, "the key is refused")
	}
}

// sendAddedKey sends a request with a key, and then the routes that have the key and no longer an
// earlier one.
func sendAddedKey(t *testing.T) clientResponse {
	t.Helper()
	f := newFixture(t, newBackend(t, "a", respondOK))
	leader := f.withAccounts(t, newTestAccount("customer", "secret", account.Limit{}))
	leader.set(func(l *fakeAccountLeader) { l.version = 2 })
	time.AfterFunc(200*time.Millisecond, func() {
		f.setAccounts(t, 2, newTestAccount("customer", "new", account.Limit{}))
	})
	got := f.send(t, http.MethodGet, "/safe/x", "", "Id", "1", "Key", "new")
	if got.status == http.StatusOK {
		assert.Equal(t, f.send(t, http.MethodGet, "/safe/x", "", "Id", "2", "Key", "secret").status, http.StatusUnauthorized)
	}
	return got
}

// TestEntryWithOlderRoutesDoesNotAcceptKeys has a leader that confirms routes that this entry has
// not received yet.
func TestEntryWithOlderRoutesDoesNotAcceptKeys(t *testing.T) {
	f := newFixture(t, newBackend(t, "a", respondOK))
	f.accounts.lease.duration = 5 * time.Second
	leader := f.withAccounts(t, newTestAccount("customer", "secret", account.Limit{}))
	leader.set(func(l *fakeAccountLeader) { l.version = 2 })
	got := f.send(t, http.MethodGet, "/safe/x", "", "Id", "1", "Key", "secret")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	f.setAccounts(t, 2, newTestAccount("customer", "new", account.Limit{}))
	assert.Equal(t, f.send(t, http.MethodGet, "/safe/x", "", "Id", "2", "Key", "secret").status, http.StatusUnauthorized)
	assert.Equal(t, f.send(t, http.MethodGet, "/safe/x", "", "Id", "3", "Key", "new").status, http.StatusOK)
}

func TestRequestsBeyondTheLimitAreRefusedAtOnce(t *testing.T) {
	f := newFixture(t, newBackend(t, "a", respondOK))
	leader := f.withAccounts(t, newTestAccount("customer", "secret", account.Limit{PerSecond: 10, Burst: 1}))
	leader.set(func(l *fakeAccountLeader) { l.permits = 1 })
	assert.Equal(t, f.send(t, http.MethodGet, "/safe/x", "", "Id", "1", "Key", "secret").status, http.StatusOK)
	start := time.Now()
	got := f.send(t, http.MethodGet, "/safe/x", "", "Id", "2", "Key", "secret", "Timeout-Ms", "2000")
	assert.Equal(t, got.status, http.StatusTooManyRequests)
	assert.Equal(t, got.body, reasonAccountLimit+"\n")
	retryAfter, err := time.ParseDuration(got.header.Get("Retry-After"))
	assert.NilError(t, err)
	assert.Assert(t, retryAfter > time.Second, "the limit bears no earlier one: %s", retryAfter)
	assert.Assert(t, time.Since(start) < time.Second)
}

func TestNoLeaderIsNotTheFaultOfTheAccount(t *testing.T) {
	f := newFixture(t, newBackend(t, "a", respondOK))
	leader := f.withAccounts(t, newTestAccount("customer", "secret", account.Limit{PerSecond: 10, Burst: 1}))
	leader.set(func(l *fakeAccountLeader) { l.err = errors.New("no leader") })
	got := f.send(t, http.MethodGet, "/safe/x", "", "Id", "1", "Key", "secret", "Timeout-Ms", "500")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.body, reasonNoAccountPermit+"\n")
}

// TestRequestThatRanNowhereGivesItsPermitBack has no server that could run the second request.
func TestRequestThatRanNowhereGivesItsPermitBack(t *testing.T) {
	b := newBackend(t, "a", respondOK)
	f := newFixture(t, b)
	leader := f.withAccounts(t, newTestAccount("customer", "secret", account.Limit{PerSecond: 10, Burst: 1}))
	for _, id := range []string{"1", "2"} {
		assert.Equal(t, f.send(t, http.MethodGet, "/safe/x", "", "Id", id, "Key", "secret").status, http.StatusOK)
	}
	f.view.apply("test", &fleetpb.Update{Instances: []*fleetpb.Instance{{Id: "a", Service: "s", Address: instanceOf(b).Address, BornMs: 1, Sequence: 2, State: fleetpb.State_STATE_GONE}}})
	assert.Equal(t, f.send(t, http.MethodGet, "/safe/x", "", "Id", "3", "Key", "secret", "Timeout-Ms", "100").status, http.StatusServiceUnavailable)
	deadline := time.Now().Add(10 * time.Second)
	for leader.returnedPermits() == 0 {
		assert.Assert(t, time.Now().Before(deadline), "the permit does not come back")
		time.Sleep(10 * time.Millisecond)
	}
}

func TestPriorityOfAccountGoesBeforeThatOfRoute(t *testing.T) {
	f := newFixture(t)
	urgent, patient := 0, 2
	route := *f.view.routes.Load().Match("h", "/safe/x")
	priorities := func(accountPriority *int, routePriority int) (rank, engine int) {
		route := route
		route.Priority = routePriority
		c := &call{route: &route, account: &account.Account{Priority: accountPriority}}
		return c.priority(), c.enginePriority()
	}
	urgentRank, urgentEngine := priorities(&urgent, 5)
	patientRank, patientEngine := priorities(&patient, 0)
	assert.Assert(t, urgentRank < patientRank && urgentEngine < patientEngine)
	rank, engine := priorities(nil, 1)
	assert.Equal(t, rank, 1)
	assert.Equal(t, engine, 4)
}
