package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"ibistray.example/ibistray/internal/account"
	"ibistray.example/ibistray/internal/policy/quota"
)

const (
	// accountRouteLevels is the number of route priorities that are told apart within the
	// priority of an account; less urgent routes are treated as the last one.
	accountRouteLevels = 3
	// permitWaitPercent is the share of a request's timeout for which it may wait for the leader
	// that gives out permits. The client needs the rest to retry at another entry.
	permitWaitPercent = 45
)

// Errors of requests whose client account is not known.
var (
	errUnknownKey         = errors.New("gateway: no client account holds the key")
	errAccountUnconfirmed = errors.New("gateway: this entry cannot show that its client accounts are current")
)

// identify finds the client account of the request by its key. Errors: errUnknownKey, errNoRoute
// if the route was dropped meanwhile, and errAccountUnconfirmed while a key may have been taken
// away or added without this entry knowing. Requests of public routes need no key. One that bears
// the key of an account counts for it like any other: its program's turns and budget are those of
// the account.
func (c *call) identify() error {
	if c.routes.Accounts == nil || c.route.Public && c.meta.Key == "" {
		return nil
	}
	// After a start or a suspension the confirmation arrives sooner than a refused client could
	// retry.
	if !c.g.accounts.current() {
		if err := c.waitForAccounts(c.g.accounts.current); err != nil {
			return err
		}
	}
	if c.findAccount() {
		return nil
	}
	// The key may have been added a moment ago, and a client does not retry after this refusal.
	arrived := c.g.accounts.now()
	if err := c.waitForAccounts(func() bool { return c.g.accounts.confirmedSince(arrived) }); err != nil {
		return err
	}
	if c.findAccount() || c.routes.Accounts == nil || c.route.Public {
		return nil
	}
	return errUnknownKey
}

// findAccount looks the account of the request's key up and reports whether there is one.
func (c *call) findAccount() bool {
	if c.meta.Key != "" && c.routes.Accounts != nil {
		c.account = c.routes.Accounts.ByKey(c.meta.Key)
	}
	return c.account != nil
}

// waitForAccounts waits until done returns true, for viewTimeout at most, and then uses the
// routes in force. Errors: errAccountUnconfirmed, upon which the client should go to another
// entry, and errNoRoute.
func (c *call) waitForAccounts(done func() bool) error {
	ctx, cancel := context.WithTimeout(c.r.Context(), viewTimeout)
	defer cancel()
	if !c.g.accounts.waitUntil(ctx, done) {
		c.w.Header().Set("Connection", "close")
		return errAccountUnconfirmed
	}
	c.routes = c.g.view.routes.Load()
	return c.findRoute()
}

// accountName returns the name of the request's account, "" if it has none.
func (c *call) accountName() string {
	if c.account == nil {
		return ""
	}
	return c.account.Name
}

// priority returns the priority of the request, 0 being the most urgent. The priority of an
// account goes before that of the route.
func (c *call) priority() int {
	if c.account == nil || c.account.Priority == nil {
		return c.route.Priority
	}
	return max(0, *c.account.Priority)*accountRouteLevels + min(max(c.route.Priority, 0), accountRouteLevels-1)
}

// enginePriority maps the priority to the range of model engines, in which 0 is the most
// urgent and 9 the least.
func (c *call) enginePriority() int {
	if c.account == nil || c.account.Priority == nil {
		return min(9, 2+2*c.route.Priority)
	}
	return min(9, 1+c.priority())
}

// limitedAccount returns the account of the request if it has a limit, else nil.
func (c *call) limitedAccount() *account.Account {
	if c.account == nil || !c.account.Limit.Limited() {
		return nil
	}
	return c.account
}

// takeAccountPermit takes a permit of the request's account, if that has a limit. Errors:
// *accountLimitError, errAccountUnavailable.
func (c *call) takeAccountPermit(ctx context.Context) error {
	acct := c.limitedAccount()
	if acct == nil {
		return nil
	}
	left := time.Until(c.deadline)
	ctx, cancel := context.WithTimeout(ctx, left*permitWaitPercent/100)
	defer cancel()
	err := c.g.accounts.acquire(ctx, acct, c.newProgram, quota.HashProgram(c.meta.Program), left)
	c.hasPermit, c.permitTakenAt = err == nil, c.g.accounts.now()
	c.g.metrics.AccountRequests.Inc(acct.Name, accountOutcome(err))
	return err
}

// accountOutcome returns the label of the outcome of a request for a permit.
func accountOutcome(err error) string {
	switch {
	case err == nil:
		return accountAdmitted
	case errors.Is(err, errAccountLimit):
		return accountOverLimit
	}
	return accountUnavailable
}

// returnAccountPermit gives the permit of the request's account back if no server may have run
// the request.
func (c *call) returnAccountPermit() {
	if c.hasPermit && c.possibleRuns == 0 && !c.responseStarted {
		c.g.accounts.refund(c.account, c.permitTakenAt)
	}
}

// spread adds a random part to the time after which a refused client should retry, so that
// clients that were refused together do not return together.
func spread(after time.Duration) time.Duration {
	return after + rand.N(after/2+time.Millisecond)
}
