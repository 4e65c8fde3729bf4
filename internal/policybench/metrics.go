package main

import (
	"slices"
	"time"
)

// lostLatency is the latency that counts for a program that failed: its caller
// starts again by hand.
const lostLatency = 30 * time.Minute

// class groups the priorities in the table.
type class int

const (
	classHigh class = iota
	classMiddle
	classLow
	classCount
)

func classOf(priority int32) class {
	switch {
	case priority >= 6:
		return classHigh
	case priority >= 3:
		return classMiddle
	default:
		return classLow
	}
}

// record is what a run keeps of one program.
type record struct {
	program  *program
	started  time.Duration
	measured bool
	failed   bool
	done     bool
	work     float64 // ideal engine seconds of its answers in the measured time
}

// metrics collects one run, or several once merged.
type metrics struct {
	runs       int
	records    []*record
	latencies  [classCount][]time.Duration
	calls      int
	retries    int
	failed     int
	programs   int
	refusals   map[string]int
	stops      map[string]int
	recomputed float64 // prefix tokens
	vain       float64 // token-seconds
	work       float64 // ideal engine seconds of programs that did not fail
	available  float64 // engine seconds
	fairness   []float64
}

func newMetrics() *metrics {
	return &metrics{refusals: make(map[string]int), stops: make(map[string]int)}
}

func inWindow(at time.Duration) bool { return at >= warmUp && at < arrivalEnd }

func (m *metrics) begin(p *program, now time.Duration) *record {
	r := &record{program: p, started: now, measured: inWindow(now)}
	m.records = append(m.records, r)
	return r
}

func (m *metrics) served(r *record, now time.Duration, ideal float64) {
	if inWindow(now) {
		r.work += ideal
	}
}

func (m *metrics) recompute(now time.Duration, tokens int64) {
	if inWindow(now) {
		m.recomputed += float64(tokens)
	}
}

func (m *metrics) finish(r *record, now time.Duration) {
	r.done = true
	if r.measured {
		m.programs++
		c := classOf(r.program.kind.priority)
		m.latencies[c] = append(m.latencies[c], now-r.started)
	}
}

func (m *metrics) fail(r *record, now time.Duration) {
	r.failed = true
	if r.measured {
		m.programs++
		m.failed++
		c := classOf(r.program.kind.priority)
		m.latencies[c] = append(m.latencies[c], max(lostLatency, now-r.started))
	}
}

func (m *metrics) abandon(r *record) { r.done = true }

// close sums up a run on the given number of engines, of which faults took the
// given engine seconds.
func (m *metrics) close(engines int, lost float64) {
	m.runs = 1
	m.available = float64(engines)*(arrivalEnd-warmUp).Seconds() - lost
	for _, r := range m.records {
		if !r.failed {
			m.work += r.work
		}
		if !r.failed && !r.done && r.measured {
			m.fail(r, runEnd) // unanswered at the end of the run
		}
	}
	m.fairness = append(m.fairness, fairness(m.records)...)
	m.records = nil
}

func (m *metrics) merge(other *metrics) {
	for c := range m.latencies {
		m.latencies[c] = append(m.latencies[c], other.latencies[c]...)
	}
	m.runs += other.runs
	m.calls += other.calls
	m.retries += other.retries
	m.failed += other.failed
	m.programs += other.programs
	m.recomputed += other.recomputed
	m.vain += other.vain
	m.work += other.work
	m.available += other.available
	m.fairness = append(m.fairness, other.fairness...)
	for k, n := range other.refusals {
		m.refusals[k] += n
	}
	for k, n := range other.stops {
		m.stops[k] += n
	}
}

// quantile returns the latency that the share q of the programs of the classes
// stay within.
func (m *metrics) quantile(q float64, classes ...class) time.Duration {
	var all []time.Duration
	for _, c := range classes {
		all = append(all, m.latencies[c]...)
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[min(int(q*float64(len(all))), len(all)-1)]
}

func (m *metrics) goodput() float64 { return m.work / m.available }

func (m *metrics) retriesPerCall() float64 { return float64(m.retries) / float64(max(m.calls, 1)) }

// lostShare returns the share of the programs that got no answer.
func (m *metrics) lostShare() float64 { return float64(m.failed) / float64(max(m.programs, 1)) }

// jain returns the mean of Jain's index over the runs.
func (m *metrics) jain() float64 {
	sum := 0.0
	for _, f := range m.fairness {
		sum += f
	}
	return sum / float64(max(len(m.fairness), 1))
}

// fairness returns, for each kind of program that several customers run, Jain's
// index of the work that each got in proportion to its max-min fair part.
func fairness(records []*record) []float64 {
	type demand struct{ asked, got float64 }
	kinds := make(map[*programKind]map[string]*demand)
	var order []*programKind
	for _, r := range records {
		kind := r.program.kind
		if !r.measured || len(kind.customers) < 2 {
			continue
		}
		if kinds[kind] == nil {
			kinds[kind] = make(map[string]*demand)
			order = append(order, kind)
		}
		d := kinds[kind][r.program.customer.name]
		if d == nil {
			d = &demand{}
			kinds[kind][r.program.customer.name] = d
		}
		d.asked++
		if !r.failed {
			d.got++
		}
	}
	var indexes []float64
	for _, kind := range order {
		var asked, got []float64
		for _, c := range kind.customers {
			if d := kinds[kind][c.name]; d != nil {
				asked = append(asked, d.asked)
				got = append(got, d.got)
			}
		}
		indexes = append(indexes, jainIndex(asked, got))
	}
	return indexes
}

// jainIndex compares what each customer got with the max-min fair division of
// the sum.
func jainIndex(asked, got []float64) float64 {
	total := 0.0
	for _, g := range got {
		total += g
	}
	if total == 0 {
		return 1
	}
	fair := maxMin(asked, total)
	sum, squares := 0.0, 0.0
	for i := range got {
		x := got[i] / max(fair[i], 1e-9)
		sum += x
		squares += x * x
	}
	return sum * sum / (float64(len(got)) * squares)
}

// maxMin divides the total so that no demand is exceeded and the smallest part
// is as large as possible.
func maxMin(demands []float64, total float64) []float64 {
	parts := make([]float64, len(demands))
	open := len(demands)
	for open > 0 && total > 1e-9 {
		equal := total / float64(open)
		open = 0
		for i, demand := range demands {
			part := min(equal, demand-parts[i])
			parts[i] += part
			total -= part
			if parts[i] < demand {
				open++
			}
		}
	}
	return parts
}
