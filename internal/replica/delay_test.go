package replica

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestSchedulingDelayKeepsPeakAndDecays(t *testing.T) {
	var d schedulingDelay
	h := &Host{}
	d.record(100 * time.Millisecond)
	d.record(time.Millisecond)
	assert.Equal(t, time.Duration(d.value.Load()), 80*time.Millisecond)
	for range 20 {
		d.record(time.Millisecond)
	}
	assert.Equal(t, time.Duration(d.value.Load()), time.Millisecond)
	h.delay.record(time.Second)
	assert.Equal(t, h.SchedulingDelay(), time.Second)
}
