package replica

import (
	"sync/atomic"
	"time"
)

// lagDecay is what each tick leaves of an earlier lag, in percent.
const lagDecay = 80

// lag is how long work waits for the processor: the highest of the latest ticks, by the
// time between the moment at which a tick was due and its work. It is safe for
// concurrent use; one goroutine records.
type lag struct {
	value atomic.Int64
}

func (l *lag) record(late time.Duration) {
	l.value.Store(max(int64(late), l.value.Load()*lagDecay/100))
}

// SchedulingDelay returns the recent delay with which this host's ticks were
// handled. A slow disk or network does not increase it.
func (h *Host) SchedulingDelay() time.Duration {
	return time.Duration(h.lag.value.Load())
}
