package statehost

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/ledger"
	"ibistray.example/ibistray/proto/ledgerpb"
)

// stepsOfTheTimeOfDay guards against turns and budgets that are lost when the time of day jumps
// ahead on a leader, and against turns that are kept for long after it has jumped back.
func stepsOfTheTimeOfDay(t *testing.T, c *cluster) {
	l := c.caller()
	defer l.pool.Close()
	l.keepFirstState(t, c)
	for i, step := range []time.Duration{40 * time.Minute, -time.Hour, 24 * time.Hour} {
		for j, address := range c.addresses() {
			c.nodes[address].clockStep.Store(int64(step) * int64(j+1))
		}
		time.Sleep(10 * time.Second)
		turn, next := fmt.Sprint("turn ", i+1), fmt.Sprint("turn ", i+2)
		l.keepTurn(t, next, "p", turn)
		leader := c.nodes["a"].host.replicas.Leader(LedgerGroup)
		c.powerOff(leader)
		time.Sleep(time.Second)
		c.start(leader)
		time.Sleep(catchUpDelay)
	}
	resp, err := l.call(t, recoveryTimeout, beginCommand("over", "p", "turn 4", 1000, 1000))
	assert.NilError(t, err)
	assert.Equal(t, resp.Outcome, ledgerpb.Outcome_OUTCOME_BUDGET_SPENT)
	time.Sleep(100 * time.Second)
	l.keepTurn(t, "other", "r", "") // the time stamp of a command makes records expire
	resp, err = l.call(t, recoveryTimeout, beginCommand("late", "q", "turn 4", 1, 10))
	assert.NilError(t, err)
	assert.Equal(t, resp.Outcome, ledgerpb.Outcome_OUTCOME_UNKNOWN_TURN)
}

func TestLedgerClock(t *testing.T) {
	state := ledger.New()
	elapsed, timeOfDay := 5*time.Second, time.UnixMilli(1_000_000)
	c := newLedgerClock(Config{
		Clock:     func() time.Duration { return elapsed },
		TimeOfDay: func() time.Time { return timeOfDay },
	}, state)
	apply := func(nowMs int64) {
		data, err := proto.Marshal(&ledgerpb.Command{NowMs: nowMs})
		assert.NilError(t, err)
		state.Apply(1, data)
	}
	assert.Equal(t, c.nowMs(), int64(1_000_000), "a new ledger begins with the time of day")
	apply(1_000_000)
	assert.Equal(t, c.nowMs(), int64(1_000_000))
	timeOfDay = timeOfDay.Add(time.Hour)
	elapsed += time.Second
	assert.Equal(t, c.nowMs(), int64(1_001_000), "the time of day has no effect later")
	apply(2_000_000) // of an earlier build
	elapsed += time.Second
	assert.Equal(t, c.nowMs(), int64(2_000_000), "the time is at least that of the latest command")
	elapsed += time.Second
	apply(1_500_000)
	assert.Equal(t, c.nowMs(), int64(2_001_000))
}
