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
	Programs         int64        `json:"programs"` // finished
	Failed           int64        `json:"failed"`
	Skipped          int64        `json:"skipped"` // not started: too many were in flight
	Calls            int64        `json:"calls"`
	Requests         int64        `json:"sends"`
	PromptTokens     int64        `json:"prompt_tokens"`
	WastedTokens     int64        `json:"wasted_tokens"`
	Latency          Distribution `json:"latency_ms"`        // finished programs, pauses included
	SystemLatency    Distribution `json:"system_latency_ms"` // finished programs, without the programs' own pauses
	WastedPerProgram Distribution `json:"wasted_tokens_per_program"`

	latency, system, wasted *hdrhistogram.Histogram
}

// Distribution summarises a histogram.
type Distribution struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

const (
	// histogramDigits is the number of significant digits of a histogram.
	histogramDigits = 3
	// maxLatency is the highest latency that a histogram tells apart.
	maxLatency = time.Hour
	// maxTokens is the highest number of tokens that a histogram tells apart.
	maxTokens = 1 << 30
)

func newKindReport() *KindReport {
	return &KindReport{
		latency: hdrhistogram.New(1, maxLatency.Microseconds(), histogramDigits),
		system:  hdrhistogram.New(1, maxLatency.Microseconds(), histogramDigits),
		wasted:  hdrhistogram.New(1, maxTokens, histogramDigits),
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
	record(k.latency, latency.Microseconds())
	record(k.system, (latency - o.PauseTime).Microseconds())
	record(k.wasted, o.WastedTokens)
}

// record adds a value, limited to what the histogram can hold.
func record(h *hdrhistogram.Histogram, value int64) {
	value = max(0, min(value, h.HighestTrackableValue()))
	_ = h.RecordValue(value)
}

func (k *KindReport) summarise() {
	const microsecondsPerMillisecond = 1000
	k.Latency = distribution(k.latency, microsecondsPerMillisecond)
	k.SystemLatency = distribution(k.system, microsecondsPerMillisecond)
	k.WastedPerProgram = distribution(k.wasted, 1)
}

func distribution(h *hdrhistogram.Histogram, unit float64) Distribution {
	return Distribution{
		P50: float64(h.ValueAtPercentile(50)) / unit,
		P95: float64(h.ValueAtPercentile(95)) / unit,
		P99: float64(h.ValueAtPercentile(99)) / unit,
		Max: float64(h.Max()) / unit,
	}
}

// reportBuilder collects a report. It is safe for concurrent use.
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

// kind returns the report of a kind; the caller holds the mutex.
func (b *reportBuilder) kind(kind Kind) *KindReport {
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
	b.kind(kind).add(latency, o)
	b.report.All.add(latency, o)
	if o.Err != nil {
		b.report.Failures[reasonOf(o.Err)]++
	}
}

func (b *reportBuilder) addSkipped(kind Kind) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.kind(kind).Skipped++
	b.report.All.Skipped++
}

func (b *reportBuilder) addRetry(r Retry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.report.Retries[reasonOf(r.Err)]++
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

// Reasons of errors that the system did not give.
const (
	reasonIncomplete = "incomplete_answer"
	reasonIdle       = "idle"
	reasonTime       = "out_of_time"
	reasonConnection = "connection"
)

func reasonOf(err error) string {
	var callErr *CallError
	switch {
	case errors.As(err, &callErr):
		return callErr.Reason
	case errors.Is(err, ErrIncomplete):
		return reasonIncomplete
	case errors.Is(err, ErrIdle):
		return reasonIdle
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return reasonTime
	default:
		return reasonConnection
	}
}
