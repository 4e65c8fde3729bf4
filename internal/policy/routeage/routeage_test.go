package routeage

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var limits = Limits{Age: 1400 * time.Millisecond, Silence: 1500 * time.Millisecond}

func TestDecide(t *testing.T) {
	const moment, long = 100 * time.Millisecond, 5 * time.Second
	cases := map[string]struct {
		state State
		want  Verdict
	}{
		"in contact":                             {State{SinceUpdate: moment, SinceQuorum: moment}, Current},
		"a newer version is being fetched":       {State{SinceUpdate: moment, SinceQuorum: moment, Behind: moment}, Unconfirmed},
		"a newer version does not arrive":        {State{SinceUpdate: moment, SinceQuorum: moment, Behind: long}, Outdated},
		"a newer version and no contact since":   {State{SinceUpdate: long, SinceQuorum: long, Behind: long}, Outdated},
		"only hosts without a quorum are heard":  {State{SinceUpdate: moment, SinceQuorum: long}, Outdated},
		"the quorum was lost a moment ago":       {State{SinceUpdate: moment, SinceQuorum: limits.Age}, Current},
		"no host is heard":                       {State{SinceUpdate: long, SinceQuorum: long}, Unconfirmed},
		"no host is heard for a moment":          {State{SinceUpdate: limits.Age, SinceQuorum: limits.Age}, Current},
		"stood still, a waiting update was read": {State{SinceUpdate: 0, SinceQuorum: long}, Outdated},
	}
	for name, c := range cases {
		assert.Equal(t, Decide(c.state, limits), c.want, name)
	}
}

// TestStormOfChangesWithSlowTransfers replays a change each 280 ms whose documents arrive after
// 200 ms, until the transfers stop: the entry serves all the while, and refuses once the first
// version that it lacks must be in force.
func TestStormOfChangesWithSlowTransfers(t *testing.T) {
	const step, interval, transfer, stop = 20 * time.Millisecond, 280 * time.Millisecond, 200 * time.Millisecond, 4 * time.Second
	var tracker Tracker
	var announced, inForce uint64
	var lacking time.Duration // when the first version was announced that never arrives
	for now := time.Duration(0); now < 8*time.Second; now += step {
		if now%interval == 0 {
			announced++
			tracker.Announce(announced, now)
			if now+transfer >= stop && lacking == 0 {
				lacking = now
			}
		}
		if now < stop && now%interval == transfer {
			inForce = announced
			tracker.Applied(inForce)
		}
		got := Decide(State{Behind: tracker.Behind(now)}, limits)
		switch {
		case lacking != 0 && now > lacking+limits.Age:
			assert.Equal(t, got, Outdated, "%s", now)
		case inForce == announced:
			assert.Equal(t, got, Current, "%s", now)
		default:
			assert.Equal(t, got, Unconfirmed, "%s", now)
		}
	}
	assert.Assert(t, lacking > 0)
}
