package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/account"
)

// TestProgramThatBeganElsewhereIsNotNew has an account whose permits are nearly used up, and an
// entry that sees a program for the first time.
func TestProgramThatBeganElsewhereIsNotNew(t *testing.T) {
	limit := account.Limit{PerSecond: 10, Burst: 10}
	a := NewAllocator(Window{Period: 5 * time.Second, Excess: 0.1, Slack: 20}, 0)
	now := 10 * time.Second
	a.Ask(now, "customer", limit, Ask{Entry: "a"})
	now += 10 * time.Second
	g := a.Ask(now, "customer", limit, Ask{Entry: "a", Waiting: 100, Wanted: 100})
	assert.Assert(t, g.Permits > 0 && g.Permits < 100)
	a.Ask(now, "customer", limit, Ask{Entry: "a", Session: g.Session, Used: g.Permits})
	now += 300 * time.Millisecond
	const program = 7
	denied := a.Ask(now, "customer", limit, Ask{Entry: "b", Programs: []uint64{program}})
	assert.DeepEqual(t, denied.Admitted, []bool{false})
	a.Remember(now, "customer", []uint64{program})
	granted := a.Ask(now, "customer", limit, Ask{Entry: "b", Session: denied.Session, Programs: []uint64{program}})
	assert.DeepEqual(t, granted.Admitted, []bool{true})
}
