package shed

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestAllProgramsAreAdmittedWithoutShortage(t *testing.T) {
	var l Level
	for priority := range 3 {
		assert.Assert(t, l.Admit(0, true, priority, 0.999))
	}
}

func TestLessUrgentProgramsAreRefusedFirst(t *testing.T) {
	var l Level
	for i := range 4 {
		l.RecordShortage(time.Duration(i) * decreaseInterval)
	}
	now := 4 * decreaseInterval
	const draw = 0.5
	assert.Assert(t, l.Admit(now, true, 0, draw))
	assert.Assert(t, !l.Admit(now, true, 1, draw))
	assert.Assert(t, l.Admit(now, true, 1, 0.001), "no kind of program is refused altogether")
}

func TestShortageOfOneMomentCountsOnce(t *testing.T) {
	var many, one Level
	one.RecordShortage(0)
	for range 100 {
		many.RecordShortage(0)
	}
	assert.Equal(t, many.value(0), one.value(0))
}

func TestLevelRecoversAfterShortage(t *testing.T) {
	var l Level
	for i := range 100 {
		l.RecordShortage(time.Duration(i) * decreaseInterval)
	}
	end := 100 * decreaseInterval
	assert.Assert(t, l.RetryAfter(end) > time.Second)
	recovered := end + time.Duration((1-minLevel)/increasePerSecond*float64(time.Second)) + time.Second
	assert.Assert(t, l.Admit(recovered, true, 1, 0.999))
	assert.Equal(t, l.RetryAfter(recovered), minRetryAfter)
}

func TestLevelStaysWithinItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Level
		now := time.Duration(0)
		for range rapid.IntRange(1, 100).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			if rapid.Bool().Draw(t, "shortage") {
				l.RecordShortage(now)
			}
			value, retry := l.value(now), l.RetryAfter(now)
			if value < minLevel*0.999 || value > 1 || retry < minRetryAfter || retry > maxRetryAfter {
				t.Fatalf("level %g, retry after %s", value, retry)
			}
		}
	})
}

func TestManyStrainedTurnsAreAShortage(t *testing.T) {
	var few, many Level
	for i := range 200 {
		now := time.Duration(i) * 20 * time.Millisecond
		few.RecordTurn(now, true, i%20 == 0)
		many.RecordTurn(now, true, i%4 == 0)
	}
	end := 200 * 20 * time.Millisecond
	assert.Assert(t, few.Admit(end, true, 1, 0.999), "one turn of twenty under strain")
	assert.Assert(t, !many.Admit(end, true, 1, 0.5), "one turn of four under strain")
}

// TestSlowServersWithoutLimitRefuseNobody replays ten seconds in which three of twelve servers
// are slow and none names a limit.
func TestSlowServersWithoutLimitRefuseNobody(t *testing.T) {
	var l Level
	for i := range 2400 {
		now := time.Duration(i) * time.Second / 240
		l.RecordTurn(now, false, i%12 < 3)
		assert.Assert(t, l.Admit(now, false, 1, 0.999))
	}
	assert.Assert(t, l.Admit(10*time.Second, true, 1, 0.999), "a limit that begins now")
}
