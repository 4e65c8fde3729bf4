package load

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is the result of a run. It marshals to JSON.
type Report struct {
	Rate     float64              `json:"programs_per_second"`
	Duration float64              `json:"duration_seconds"`
	Kinds    map[Kind]*KindReport `json:"kinds"`
	All      *KindReport          `json:"all"`
	Retries  map[string]int64     `json:"retries"`  // by reason
	Failures map[string]int64     `json:"failures"` // by reason
}

// KindReport is the result of the programs of one kind.
type KindReport struct {
	Programs         int64        `json:"programs"` // that finished
	Failed           int64        `json:"failed"`
	Skipped          int64        `json:"skipped"` // not started because of Config.MaxPrograms
	Calls            int64        `json:"calls"`   // answered, also of failed programs
	Requests         int64        `json:"sends"`   // HTTP requests for these calls
	PromptTokens     int64        `json:"prompt_tokens"`
	WastedTokens     int64        `json:"wasted_tokens"`
	Latency          Distribution `json:"latency_ms"`        // of finished programs, including pauses
	SystemLatency    Distribution `json:"system_latency_ms"` // of finished programs, without pauses between calls
	WastedPerProgram Distribution `json:"wasted_tokens_per_program"`

	// The latency histograms are in microseconds.
	latencyHistogram, systemHistogram, wastedHistogram *hdrhistogram.Histogram
}

// Distribution holds percentiles and the maximum of a histogram.
type Distribution struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

const (
	// histogramDigits is the number of significant decimal digits of a histogram.
	histogramDigits = 3
	// maxHistogramLatency is the highest latency that a histogram can record.
	maxHistogramLatency = time.Hour
	// maxHistogramTokens is the highest number of tokens that a histogram can record.
	maxHistogramTokens = 1 << 30
)

func newKindReport() *KindReport {
	return &KindReport{
		latencyHistogram: hdrhistogram.New(1, maxHistogramLatency.Microseconds(), histogramDigits),
		systemHistogram:  hdrhistogram.New(1, maxHistogramLatency.Microseconds(), histogramDigits),
		wastedHistogram:  hdrhistogram.New(1, maxHistogramTokens, histogramDigits),
	}
}

func (k *KindReport) add(latency time.Duration, o Outcome) {
	k.Calls += int64(o.Calls)
	k.Requests += int64(o.Requests)
	k.PromptTokens += o.PromptTokens
	k.WastedTokens += o.WastedTokens
	if o.Err != nil {
		k.Failed++
		return
	}
	k.Programs++
	record(k.latencyHistogram, latency.Microseconds())
	record(k.systemHistogram, (latency - o.PauseTime).Microseconds())
	record(k.wastedHistogram, o.WastedTokens)
}

// record adds a value to a histogram, clamped to the range that it can record.
func record(h *hdrhistogram.Histogram, value int64) {
	value = max(0, min(value, h.HighestTrackableValue()))
	_ = h.RecordValue(value)
}

func (k *KindReport) summarise() {
	const microsecondsPerMillisecond = 1000
	k.Latency = newDistribution(k.latencyHistogram, microsecondsPerMillisecond)
	k.SystemLatency = newDistribution(k.systemHistogram, microsecondsPerMillisecond)
	k.WastedPerProgram = newDistribution(k.wastedHistogram, 1)
}

func newDistribution(h *hdrhistogram.Histogram, unit float64) Distribution {
	return Distribution{
		P50: float64(h.ValueAtPercentile(50)) / unit,
		P95: float64(h.ValueAtPercentile(95)) / unit,
		P99: float64(h.ValueAtPercentile(99)) / unit,
		Max: float64(h.Max()) / unit,
	}
}

// reportBuilder accumulates the results of a run. It is safe for concurrent use.
type reportBuilder struct {
	mu     sync.Mutex
	report Report
}

func newReportBuilder() *reportBuilder {
	return &reportBuilder{report: Report{
		Kinds:    make(map[Kind]*KindReport),
		All:      newKindReport(),
		Retries:  make(map[string]int64),
		Failures: make(map[string]int64),
	}}
}

// kindReport returns the report of a kind, and creates it if there is none. The
// caller must hold the mutex.
func (b *reportBuilder) kindReport(kind Kind) *KindReport {
	k := b.report.Kinds[kind]
	if k == nil {
		k = newKindReport()
		b.report.Kinds[kind] = k
	}
	return k
}

func (b *reportBuilder) add(kind Kind, latency time.Duration, o Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.kindReport(kind).add(latency, o)
	b.report.All.add(latency, o)
	if o.Err != nil {
		b.report.Failures[errorReason(o.Err)]++
	}
}

func (b *reportBuilder) addSkipped(kind Kind) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.kindReport(kind).Skipped++
	b.report.All.Skipped++
}

func (b *reportBuilder) addRetry(r Retry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.report.Retries[errorReason(r.Err)]++
}

func (b *reportBuilder) build(c Config) *Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.report.Rate = c.Rate
	b.report.Duration = c.Duration.Seconds()
	b.report.All.summarise()
	for _, k := range b.report.Kinds {
		k.summarise()
	}
	return &b.report
}

// Reasons in the report for errors that aren't a CallError.
const (
	reasonIncomplete = "incomplete_answer"
	reasonIdle       = "idle"
	reasonTimeout    = "out_of_time"
	reasonConnection = "connection"
)

func errorReason(err error) string {
	var callErr *CallError
	switch {
	case errors.As(err, &callErr):
		return callErr.Reason
	case errors.Is(err, ErrIncomplete):
		return reasonIncomplete
	case errors.Is(err, ErrIdle):
		return reasonIdle
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return reasonTimeout
	default:
		return reasonConnection
	}
}
