package replica

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestLagHoldsThePeakAndDecays(t *testing.T) {
	var l lag
	h := &Host{}
	l.record(100 * time.Millisecond)
	l.record(time.Millisecond)
	assert.Equal(t, time.Duration(l.value.Load()), 80*time.Millisecond)
	for range 20 {
		l.record(time.Millisecond)
	}
	assert.Equal(t, time.Duration(l.value.Load()), time.Millisecond)
	h.lag.record(time.Second)
	assert.Equal(t, h.SchedulingDelay(), time.Second)
}
