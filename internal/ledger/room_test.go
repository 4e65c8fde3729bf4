package ledger

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRoom covers programs that run, that are kept and that have expired, and when space is freed.
func TestRoom(t *testing.T) {
	const period = 5 * time.Second
	s := New()
	assert.DeepEqual(t, s.Room(period).FreedAfter(1), expirySlot)
	keep := func(nowMs int64, id, program string) {
		apply(t, s, nowMs, begin(id, program, "", 10, 100))
		apply(t, s, nowMs, storeTurn(id, program, "", "input of ", "a turn", 1))
	}
	keep(startMs, "a", "p")
	keep(startMs+20_000, "b", "q")
	keep(startMs+20_000, "c", "q")
	apply(t, s, startMs+30_000, begin("d", "r", "", 10, 100))
	room := s.Room(period)
	assert.Equal(t, room.Bytes, int64(3*15))
	assert.Equal(t, room.Programs, int64(3))
	assert.Equal(t, room.Running, int64(1))
	longest := s.turns[key{"", "b"}].expiresMs - s.nowMs
	assert.Equal(t, room.FreedAfter(15), time.Duration(longest)*time.Millisecond-20*time.Second+2*expirySlot)
	assert.Equal(t, room.FreedAfter(16), time.Duration(longest)*time.Millisecond+2*expirySlot)
	assert.Assert(t, s.Begun("", "r", "d") && s.Begun("", "p", "a") && !s.Begun("", "p", "d") && !s.Begun("", "x", "a"))
	apply(t, s, startMs+61_000, begin("e", "s", "", 10, 100))
	assert.Equal(t, s.Room(period).Running, int64(2), "a turn that runs")
	apply(t, s, startMs+95_000, begin("e", "s", "", 10, 100))
	assert.Equal(t, s.Room(period).Running, int64(1), "a turn without an end")
}
