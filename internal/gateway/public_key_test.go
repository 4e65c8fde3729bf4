package gateway

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/account"
)

// publicFixture returns an entry whose chat route is public, and the leader of its accounts.
func publicFixture(t *testing.T) (*fixture, *fakeAccountLeader) {
	f := newFixture(t, newBackend(t, "a", streamEvents(1, 2, true)))
	f.accounts.lease.duration = 300 * time.Millisecond
	leader := f.withAccounts(t, newTestAccount("customer", "secret", account.Limit{}))
	f.view.routes.Load().Match("h", "/chat/x").Public = true
	return f, leader
}

// TestPublicRequestKeepsItsAccountWithoutAConfirmation guards against a program whose turns are
// kept for its account, and looked up without one while the accounts are not confirmed: the
// client was told that its previous turn is unknown.
func TestPublicRequestKeepsItsAccountWithoutAConfirmation(t *testing.T) {
	f, leader := publicFixture(t)
	assert.Equal(t, f.send(t, http.MethodPost, "/chat/x", "in", "Id", "1", "Program", "p", "Key", "secret").status, http.StatusOK)
	leader.set(func(l *fakeAccountLeader) { l.err = errors.New("the entry stood still") })
	time.Sleep(f.accounts.lease.duration)
	assert.Assert(t, !f.accounts.current())
	time.AfterFunc(viewTimeout/4, func() { leader.set(func(l *fakeAccountLeader) { l.err = nil }) })
	assert.Equal(t, f.send(t, http.MethodPost, "/chat/x", "in", "Id", "2", "Program", "p", "Previous", "1", "Key", "secret").status, http.StatusOK)
	assert.DeepEqual(t, f.ledger.accounts, []string{"customer", "customer"})
}

// TestPublicRequestWithKeyIsRefusedWithoutAConfirmation has an entry that reaches no leader. A
// request without a key does not wait for one.
func TestPublicRequestWithKeyIsRefusedWithoutAConfirmation(t *testing.T) {
	f, leader := publicFixture(t)
	leader.set(func(l *fakeAccountLeader) { l.err = errors.New("no leader") })
	time.Sleep(f.accounts.lease.duration)
	got := f.send(t, http.MethodPost, "/chat/x", "in", "Id", "1", "Program", "p", "Key", "secret")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.body, reasonUnconfirmed+"\n")
	assert.Equal(t, len(f.ledger.accounts), 0)
	start := time.Now()
	assert.Equal(t, f.send(t, http.MethodPost, "/chat/x", "in", "Id", "2", "Program", "q").status, http.StatusOK)
	assert.Assert(t, time.Since(start) < viewTimeout/2, "a request without a key waited")
	assert.DeepEqual(t, f.ledger.accounts, []string{""})
}
