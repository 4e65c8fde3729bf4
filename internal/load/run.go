package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// scheduledProgram is a program and its start time, relative to the start of the
// run.
type scheduledProgram struct {
	due      time.Duration
	customer int
	kind     Kind
	name     string
	seed     uint64
}

// schedule returns the programs of a run, in the order of their start times. The
// starts form a Poisson process.
func schedule(c Config) []scheduledProgram {
	random := rand.New(rand.NewPCG(c.Seed, 0))
	var programs []scheduledProgram
	for due := time.Duration(0); due < c.Duration; due += startInterval(random, c.Rate) {
		customer := random.IntN(len(c.Customers))
		kinds := c.Customers[customer].Kinds
		if len(kinds) == 0 {
			kinds = Kinds()
		}
		programs = append(programs, scheduledProgram{
			due:      due,
			customer: customer,
			kind:     kinds[random.IntN(len(kinds))],
			name:     fmt.Sprintf("%s-%d", c.RunID, len(programs)+1),
			seed:     random.Uint64(),
		})
	}
	return programs
}

func startInterval(random *rand.Rand, rate float64) time.Duration {
	return time.Duration(random.ExpFloat64() / rate * float64(time.Second))
}

// runner is the state of a run.
type runner struct {
	config   Config
	clients  []*Client // by customer
	report   *reportBuilder
	inFlight atomic.Int64
	wg       sync.WaitGroup
}

// Run generates programs, runs them and returns the measured results. The latency
// of a program counts from its scheduled start, so that delays of a slow system
// aren't omitted. Run returns when every program has finished or when the drain
// time is over; programs that haven't finished by then count as failed. It returns
// an error only if the run can't start.
func Run(ctx context.Context, config Config) (*Report, error) {
	if err := config.validate(); err != nil {
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
	r.runSchedule(ctx)
	return r.report.build(config), nil
}

func (r *runner) runSchedule(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.config.Duration+r.config.Drain)
	defer cancel()
	start := time.Now()
	for _, scheduled := range schedule(r.config) {
		due := start.Add(scheduled.due)
		if !sleep(ctx, time.Until(due)) {
			break
		}
		r.startProgram(ctx, scheduled, due)
	}
	r.wg.Wait()
}

// startProgram runs a program in the background, or skips it when the limit of
// programs in flight is reached.
func (r *runner) startProgram(ctx context.Context, scheduled scheduledProgram, due time.Time) {
	if r.inFlight.Load() >= int64(r.config.MaxPrograms) {
		r.report.addSkipped(scheduled.kind)
		return
	}
	r.inFlight.Add(1)
	r.wg.Go(func() {
		defer r.inFlight.Add(-1)
		outcome := r.newProgram(scheduled).Run(ctx)
		r.report.add(scheduled.kind, time.Since(due), outcome)
	})
}

func (r *runner) newProgram(scheduled scheduledProgram) *Program {
	random := rand.New(rand.NewPCG(scheduled.seed, 0))
	return &Program{
		Client:     r.clients[scheduled.customer],
		Name:       scheduled.name,
		Model:      r.config.Models[scheduled.kind],
		Steps:      GenerateSteps(scheduled.kind, scheduled.name, random),
		PauseScale: r.config.PauseScale,
		Observer:   r.config.Observer,
	}
}
