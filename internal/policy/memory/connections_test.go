package memory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestMostIsTheSmallerLimit checks Limits.Most, where 0 stands for no limit.
func TestMostIsTheSmallerLimit(t *testing.T) {
	for limits, most := range map[Limits]int{{}: 0, {Clients: 3}: 3, {Total: 4}: 4, {Clients: 3, Total: 4}: 3, {Clients: 5, Total: 4}: 4} {
		assert.Equal(t, limits.Most(), most, "%+v", limits)
	}
}

// TestClientsThatSendTheirRequestFindRoom replays clients that connect, send nothing and connect
// again 50 ms after they are closed, beside one that sends its request soon. The place of the oldest
// that may be closed goes to each new one.
func TestClientsThatSendTheirRequestFindRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		places := rapid.IntRange(10, 200).Draw(t, "places")
		sends := time.Duration(rapid.IntRange(0, 200).Draw(t, "ms until it sends")) * time.Millisecond
		var since []time.Duration // of silent connections, oldest first
		var admitted time.Duration = -1
		for now := time.Duration(0); now < 2*time.Second; now += time.Millisecond {
			for range rapid.IntRange(0, 5).Draw(t, "new ones") {
				if len(since) < places || MayClose(now-since[0]) {
					since = append(since, now)[max(0, len(since)+1-places):]
				}
			}
			if admitted < 0 && now > time.Second && (len(since) < places || MayClose(now-since[0])) {
				admitted = now
			}
			if admitted >= 0 && now == admitted+sends {
				assert.Assert(t, !MayClose(now-admitted), "closed before it has sent its request")
			}
		}
		assert.Assert(t, admitted >= 0, "never admitted")
	})
}

// TestConnectionsFarBeyondALimitAreClosed replays 800 clients at an entry whose descriptors allow 472
// connections: each got a refusal, and the entry held 662 descriptors of 600.
func TestConnectionsFarBeyondALimitAreClosed(t *testing.T) {
	limits := Limits{Clients: 614, Total: 472}
	for clients := range 800 {
		p := PlanConnections(Connections{Clients: clients, Servers: 10}, limits)
		assert.Equal(t, p.Refuse, clients+10 > 472)
		assert.Equal(t, p.Close, clients+10 > 472+refusedConnections)
	}
}
