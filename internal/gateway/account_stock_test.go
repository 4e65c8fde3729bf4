package gateway

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/proto/fleetpb"
)

// TestRunningProgramTakenForNewOneWaits has the leader deny two programs that this entry sees for
// the first time, of which one runs already. The next grant has one permit.
func TestRunningProgramTakenForNewOneWaits(t *testing.T) {
	now := time.Minute
	stock := new(accountStock)
	running := &accountWaiter{program: 1, newProgram: true, left: time.Second, joined: now, outcome: make(chan error, 1)}
	begins := &accountWaiter{program: 2, newProgram: true, left: time.Second, joined: now, outcome: make(chan error, 1)}
	stock.waiters = []*accountWaiter{running, begins}
	exchange := func(grant *fleetpb.AccountGrant) *fleetpb.AccountDemand {
		demand, programs := stock.demand(now)
		stock.Add(now, now, grantFromProto(grant, len(programs)))
		askedStock{stock: stock, programs: programs}.serve(now, now, grant)
		return demand
	}
	exchange(&fleetpb.AccountGrant{Session: 1, Admitted: []bool{false, false}, Running: []bool{true, false}, ProgramRetryMs: 3000})
	var limited *accountLimitError
	assert.Assert(t, errors.As(<-begins.outcome, &limited))
	assert.Equal(t, limited.retryAfter, 3*time.Second)
	assert.Equal(t, len(running.outcome), 0, "the running program was refused")

	now += 50 * time.Millisecond
	demand := exchange(&fleetpb.AccountGrant{Session: 1, Permits: 1})
	assert.Equal(t, demand.Waiting, uint32(1))
	assert.NilError(t, <-running.outcome)
}
