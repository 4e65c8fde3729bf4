package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// start is one program that is due at a time after the beginning of the run.
type start struct {
	due      time.Duration
	customer int
	kind     Kind
	name     string
	seed     uint64
}

// schedule returns the programs of a run with exponential gaps between starts.
func schedule(c Config) []start {
	random := rand.New(rand.NewPCG(c.Seed, 0))
	var starts []start
	for due := time.Duration(0); due < c.Duration; due += gap(random, c.Rate) {
		customer := random.IntN(len(c.Customers))
		kinds := c.Customers[customer].Kinds
		if len(kinds) == 0 {
			kinds = Kinds()
		}
		starts = append(starts, start{
			due:      due,
			customer: customer,
			kind:     kinds[random.IntN(len(kinds))],
			name:     fmt.Sprintf("%s-%d", c.RunID, len(starts)+1),
			seed:     random.Uint64(),
		})
	}
	return starts
}

func gap(random *rand.Rand, rate float64) time.Duration {
	return time.Duration(random.ExpFloat64() / rate * float64(time.Second))
}

// runner is one run in progress.
type runner struct {
	config   Config
	clients  []*Client // by customer
	report   *reportBuilder
	inFlight atomic.Int64
	wg       sync.WaitGroup
}

// Run replays programs and reports what they measured. Program latency counts
// from the time at which a program was due, so that a slow system does not hide
// its own delay. Run returns once every program has finished or the drain time
// is over; programs that did not finish count as failures. An error means that
// the run could not start.
func Run(ctx context.Context, config Config) (*Report, error) {
	if err := config.check(); err != nil {
		return nil, err
	}
	r := &runner{config: config, report: newReportBuilder()}
	for _, customer := range config.Customers {
		client, err := NewClient(ClientConfig{
			BaseURLs:    config.BaseURLs,
			Key:         customer.Key,
			IdleTimeout: config.IdleTimeout,
			OnRetry:     r.report.addRetry,
		})
		if err != nil {
			return nil, fmt.Errorf("load: %w", err)
		}
		defer client.Close()
		r.clients = append(r.clients, client)
	}
	r.replay(ctx)
	return r.report.build(config), nil
}

func (r *runner) replay(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.config.Duration+r.config.Drain)
	defer cancel()
	began := time.Now()
	for _, s := range schedule(r.config) {
		due := began.Add(s.due)
		if !sleep(ctx, time.Until(due)) {
			break
		}
		r.launch(ctx, s, due)
	}
	r.wg.Wait()
}

// launch starts a program without waiting for it.
func (r *runner) launch(ctx context.Context, s start, due time.Time) {
	if r.inFlight.Load() >= int64(r.config.MaxPrograms) {
		r.report.addSkipped(s.kind)
		return
	}
	r.inFlight.Add(1)
	r.wg.Go(func() {
		defer r.inFlight.Add(-1)
		outcome := r.program(s).Run(ctx)
		r.report.add(s.kind, time.Since(due), outcome)
	})
}

func (r *runner) program(s start) *Program {
	random := rand.New(rand.NewPCG(s.seed, 0))
	return &Program{
		Client:     r.clients[s.customer],
		Name:       s.name,
		Model:      r.config.Models[s.kind],
		Steps:      GenerateSteps(s.kind, s.name, random),
		PauseScale: r.config.PauseScale,
		Observer:   r.config.Observer,
	}
}
