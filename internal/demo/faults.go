package demo

import (
	"context"
	"time"

	"ibistray.example/ibistray/internal/backendtest"
	"ibistray.example/ibistray/internal/load"
	"ibistray.example/ibistray/internal/localcluster"
)

// sidecarPause is the time between a sidecar's death and its restart.
const sidecarPause = time.Second

// injectFaults kills the entry through which the berth booking runs while the
// booking is in progress, then the sidecar of the engine that runs the shipping
// conversation, and restarts that sidecar.
func injectFaults(ctx context.Context, c *localcluster.Cluster, p *localcluster.Probe, book *ledger) error {
	select {
	case <-book.halfway:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	err := p.WaitFor(ctx, "the booking", func() bool { return countBookings(ctx, c, p) > 0 })
	if err != nil {
		return err
	}
	entry := c.Nodes[0]
	entry.Kill()
	book.say("*** kill -9 %s (entry and control) while the booking runs through it", entry.Name)
	return replaceSidecar(ctx, c, p, book)
}

func countBookings(ctx context.Context, c *localcluster.Cluster, p *localcluster.Probe) int {
	effects, err := p.Effects(ctx, c)
	if err != nil {
		return 0
	}
	return countEffects(effects, load.ServiceBerths, load.OperationBook)
}

func countEffects(effects []backendtest.Effect, service, operation string) int {
	n := 0
	for _, effect := range effects {
		if effect.Service == service && effect.Operation == operation {
			n++
		}
	}
	return n
}

// replaceSidecar kills the sidecar that runs the shipping conversation during
// a call, and starts it again.
func replaceSidecar(ctx context.Context, c *localcluster.Cluster, p *localcluster.Probe, book *ledger) error {
	var victim *localcluster.Server
	err := p.WaitFor(ctx, "a call of "+programShipping, func() bool {
		victim = runningEngine(ctx, c, p)
		return victim != nil
	})
	if err != nil {
		return err
	}
	victim.Sidecar.Kill()
	book.say("*** kill -9 %s while a call runs through it", victim.Sidecar.Name)
	select {
	case <-time.After(sidecarPause):
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	if err := victim.Sidecar.Start(); err != nil {
		return err
	}
	book.say("*** %s starts again", victim.Sidecar.Name)
	return nil
}

// runningEngine returns the engine that runs something and has the shipping
// conversation in its cache, nil when there is none.
func runningEngine(ctx context.Context, c *localcluster.Cluster, p *localcluster.Probe) *localcluster.Server {
	for _, s := range c.Engines {
		cached, err := p.CachedPrograms(ctx, s)
		if err != nil || cached[customerWharf+"/"+programShipping] == 0 {
			continue
		}
		stats, err := p.Stats(ctx, s)
		if err == nil && stats.Running > 0 {
			return s
		}
	}
	return nil
}
