package replica

import (
	"sync/atomic"
	"time"
)

// delayRetainedPercent is the percentage of an earlier delay that remains after a tick.
const delayRetainedPercent = 80

// schedulingDelay measures how long work waits for a processor, as a decaying
// maximum of the time between the due time of a tick and its handling. It is safe
// for concurrent use by one goroutine that records and any that read.
type schedulingDelay struct {
	value atomic.Int64 // nanoseconds
}

func (d *schedulingDelay) record(delay time.Duration) {
	d.value.Store(max(int64(delay), d.value.Load()*delayRetainedPercent/100))
}

// SchedulingDelay returns how long work recently waited for a processor on this
// host. A slow disk or network does not increase it.
func (h *Host) SchedulingDelay() time.Duration {
	return time.Duration(h.delay.value.Load())
}
