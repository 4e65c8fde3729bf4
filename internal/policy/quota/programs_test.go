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
	a := NewAllocator(Window{Period: 5 * time.Second, Excess: 0.1, Slack: 20}, 0, nil)
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

// TestRunningProgramsGoOnAfterALossOfAllHosts replays the first two seconds of a leadership in
// which no entry remembers a program: clients of 12 programs that run and of 12 new ones return
// at once, through six entries, and give up after half a second without a permit.
func TestRunningProgramsGoOnAfterALossOfAllHosts(t *testing.T) {
	limit := account.Limit{PerSecond: 20, Burst: 20}
	var running []uint64
	for program := range uint64(12) {
		running = append(running, program)
	}
	a := NewAllocator(Window{Period: 5 * time.Second, Excess: 0.1, Slack: 20}, 0, map[string][]uint64{"customer": running})
	served, refused := 0, 0
	waiting := make(map[string]int)
	sessions := make(map[string]Grant)
	for now := 20 * time.Millisecond; now < 2*time.Second; now += 50 * time.Millisecond {
		for entry := range uint64(6) {
			name := string(rune('a' + entry))
			ask := Ask{Entry: name, Session: sessions[name].Session, Used: sessions[name].Before, Waiting: waiting[name], Wanted: waiting[name]}
			if now < 50*time.Millisecond {
				ask.Programs = []uint64{2 * entry, 2*entry + 1, 100 + 2*entry, 101 + 2*entry}
			}
			g := a.Ask(now, "customer", limit, ask)
			for i, ok := range g.Admitted {
				switch {
				case ok && g.Running[i]:
					served++
				case g.Running[i]:
					waiting[name]++
				case ask.Programs[i] < 100:
					refused++
				}
			}
			served, waiting[name] = served+g.Permits, waiting[name]-g.Permits
			sessions[name] = Grant{Session: g.Session, Before: g.Before + g.Permits}
		}
	}
	assert.Equal(t, refused, 0)
	assert.Equal(t, served, len(running))
}
