package main

import (
	"slices"
	"time"
)

// failedLatency is the minimum latency recorded for a failed program, whose caller has
// to start it again by hand.
const failedLatency = 30 * time.Minute

// priorityClass is a range of priorities that share a column of the table.
type priorityClass int

const (
	classHigh priorityClass = iota
	classMiddle
	classLow
	classCount
)

func classOf(priority int32) priorityClass {
	switch {
	case priority >= 6:
		return classHigh
	case priority >= 3:
		return classMiddle
	default:
		return classLow
	}
}

// programRecord holds the measurements of one program and its children.
type programRecord struct {
	program      *program
	started      time.Duration
	measured     bool // started in the measured time
	failed       bool
	ended        bool    // finished or abandoned
	idealSeconds float64 // ideal engine time of the answers in the measured time
}

// metrics holds the results of one run, or the merged results of several.
type metrics struct {
	runs               int
	records            []*programRecord
	latencies          [classCount][]time.Duration
	calls              int
	retries            int
	failed             int            // programs
	programs           int            // finished or failed
	refusals           map[string]int // by reason
	retryStops         map[string]int // calls that are not retried any more, by reason
	recomputedTokens   float64        // prefix tokens that were computed again
	unusedTokenSeconds float64        // see prefixCache
	completedSeconds   float64        // ideal engine time of programs that did not fail
	availableSeconds   float64        // engine time less the time lost to faults
	fairnessIndexes    []float64      // of each run and kind of program
}

func newMetrics() *metrics {
	return &metrics{refusals: make(map[string]int), retryStops: make(map[string]int)}
}

// inMeasuredTime reports whether t is after the warm-up and before the last arrivals.
func inMeasuredTime(t time.Duration) bool { return t >= warmUpEnd && t < arrivalEnd }

func (m *metrics) recordStart(p *program, now time.Duration) *programRecord {
	r := &programRecord{program: p, started: now, measured: inMeasuredTime(now)}
	m.records = append(m.records, r)
	return r
}

// recordServed adds the ideal engine time of an answer to the program's record.
func (m *metrics) recordServed(r *programRecord, now time.Duration, idealSeconds float64) {
	if inMeasuredTime(now) {
		r.idealSeconds += idealSeconds
	}
}

func (m *metrics) recordRecomputed(now time.Duration, tokens int64) {
	if inMeasuredTime(now) {
		m.recomputedTokens += float64(tokens)
	}
}

func (m *metrics) recordFinish(r *programRecord, now time.Duration) {
	r.ended = true
	if r.measured {
		m.programs++
		c := classOf(r.program.kind.priority)
		m.latencies[c] = append(m.latencies[c], now-r.started)
	}
}

func (m *metrics) recordFailure(r *programRecord, now time.Duration) {
	r.failed = true
	if r.measured {
		m.programs++
		m.failed++
		c := classOf(r.program.kind.priority)
		m.latencies[c] = append(m.latencies[c], max(failedLatency, now-r.started))
	}
}

func (m *metrics) recordAbandoned(r *programRecord) { r.ended = true }

// finalize computes the totals of a run on the given number of engines, of whose time
// faults made lostEngineSeconds unavailable. Measured programs that
// have not ended are recorded as failed.
func (m *metrics) finalize(engines int, lostEngineSeconds float64) {
	m.runs = 1
	m.availableSeconds = float64(engines)*(arrivalEnd-warmUpEnd).Seconds() - lostEngineSeconds
	for _, r := range m.records {
		if !r.failed {
			m.completedSeconds += r.idealSeconds
		}
		if !r.failed && !r.ended && r.measured {
			m.recordFailure(r, runEnd) // unanswered at the end of the run
		}
	}
	m.fairnessIndexes = append(m.fairnessIndexes, jainIndexes(m.records)...)
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
	m.recomputedTokens += other.recomputedTokens
	m.unusedTokenSeconds += other.unusedTokenSeconds
	m.completedSeconds += other.completedSeconds
	m.availableSeconds += other.availableSeconds
	m.fairnessIndexes = append(m.fairnessIndexes, other.fairnessIndexes...)
	for reason, n := range other.refusals {
		m.refusals[reason] += n
	}
	for reason, n := range other.retryStops {
		m.retryStops[reason] += n
	}
}

// quantile returns the q-quantile, 0 to 1, of the latencies of the programs of the
// classes, 0 without programs.
func (m *metrics) quantile(q float64, classes ...priorityClass) time.Duration {
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

// goodput returns the ideal engine time of completed work, relative to the available
// engine time.
func (m *metrics) goodput() float64 { return m.completedSeconds / m.availableSeconds }

func (m *metrics) retriesPerCall() float64 { return float64(m.retries) / float64(max(m.calls, 1)) }

// failedShare returns the share of the programs that failed.
func (m *metrics) failedShare() float64 { return float64(m.failed) / float64(max(m.programs, 1)) }

// meanJainIndex returns the mean of fairnessIndexes.
func (m *metrics) meanJainIndex() float64 {
	sum := 0.0
	for _, index := range m.fairnessIndexes {
		sum += index
	}
	return sum / float64(max(len(m.fairnessIndexes), 1))
}

// jainIndexes returns Jain's fairness index for each kind of program that several
// customers run. It compares the programs that each customer completed with its max-min
// fair share of all completed programs.
func jainIndexes(records []*programRecord) []float64 {
	type customerCounts struct{ started, completed float64 }
	kinds := make(map[*programKind]map[string]*customerCounts)
	var order []*programKind
	for _, r := range records {
		kind := r.program.kind
		if !r.measured || len(kind.customers) < 2 {
			continue
		}
		if kinds[kind] == nil {
			kinds[kind] = make(map[string]*customerCounts)
			order = append(order, kind)
		}
		counts := kinds[kind][r.program.customer.name]
		if counts == nil {
			counts = &customerCounts{}
			kinds[kind][r.program.customer.name] = counts
		}
		counts.started++
		if !r.failed {
			counts.completed++
		}
	}
	var indexes []float64
	for _, kind := range order {
		var started, completed []float64
		for _, c := range kind.customers {
			if counts := kinds[kind][c.name]; counts != nil {
				started = append(started, counts.started)
				completed = append(completed, counts.completed)
			}
		}
		indexes = append(indexes, jainIndex(started, completed))
	}
	return indexes
}

// jainIndex returns Jain's index of the received amounts, each divided by the max-min
// fair share of their sum for its demand. 1 is perfectly fair.
func jainIndex(demands, received []float64) float64 {
	total := 0.0
	for _, amount := range received {
		total += amount
	}
	if total == 0 {
		return 1
	}
	fairShares := maxMinShares(demands, total)
	sum, squares := 0.0, 0.0
	for i := range received {
		x := received[i] / max(fairShares[i], 1e-9)
		sum += x
		squares += x * x
	}
	return sum * sum / (float64(len(received)) * squares)
}

// maxMinShares divides the total max-min fairly: no share exceeds its demand, and the
// smallest share is as large as possible.
func maxMinShares(demands []float64, total float64) []float64 {
	shares := make([]float64, len(demands))
	unsatisfied := len(demands)
	for unsatisfied > 0 && total > 1e-9 {
		equalShare := total / float64(unsatisfied)
		unsatisfied = 0
		for i, demand := range demands {
			increase := min(equalShare, demand-shares[i])
			shares[i] += increase
			total -= increase
			if shares[i] < demand {
				unsatisfied++
			}
		}
	}
	return shares
}
