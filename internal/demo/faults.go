package demo

import (
	"context"
	"time"

	"ibistray.example/ibistray/internal/backendtest"
	"ibistray.example/ibistray/internal/load"
	"ibistray.example/ibistray/internal/localcluster"
)

// sidecarDowntime is the time between killing and restarting a sidecar.
const sidecarDowntime = time.Second

// injectFaults kills the entry that serves the berth booking while the booking is in
// progress. Then it kills and restarts the sidecar of the engine that runs the shipping
// conversation.
func injectFaults(ctx context.Context, c *localcluster.Cluster, probe *localcluster.Probe, obs *observer) error {
	select {
	case <-obs.halfway:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	err := probe.WaitFor(ctx, "the booking", func() bool { return countBookings(ctx, c, probe) > 0 })
	if err != nil {
		return err
	}
	entry := c.Nodes[0]
	entry.Kill()
	obs.printf("*** kill -9 %s (entry and control) while it serves the booking", entry.Name)
	return restartSidecar(ctx, c, probe, obs)
}

// countBookings returns the number of recorded berth bookings, or 0 if the service does
// not respond.
func countBookings(ctx context.Context, c *localcluster.Cluster, probe *localcluster.Probe) int {
	effects, err := probe.Effects(ctx, c)
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

// restartSidecar kills the sidecar that serves the shipping conversation during a call,
// and starts it again after sidecarDowntime.
func restartSidecar(ctx context.Context, c *localcluster.Cluster, probe *localcluster.Probe, obs *observer) error {
	var server *localcluster.Server
	err := probe.WaitFor(ctx, "a call of "+programShipping, func() bool {
		server = findShippingEngine(ctx, c, probe)
		return server != nil
	})
	if err != nil {
		return err
	}
	server.Sidecar.Kill()
	obs.printf("*** kill -9 %s while it serves a call", server.Sidecar.Name)
	select {
	case <-time.After(sidecarDowntime):
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	if err := server.Sidecar.Start(); err != nil {
		return err
	}
	obs.printf("*** %s restarted", server.Sidecar.Name)
	return nil
}

// findShippingEngine returns the engine that runs a call and has the shipping conversation
// in its cache, or nil if there is none.
func findShippingEngine(ctx context.Context, c *localcluster.Cluster, probe *localcluster.Probe) *localcluster.Server {
	for _, s := range c.Engines {
		cached, err := probe.CachedPrograms(ctx, s)
		if err != nil || cached[customerWharf+"/"+programShipping] == 0 {
			continue
		}
		stats, err := probe.Stats(ctx, s)
		if err == nil && stats.Running > 0 {
			return s
		}
	}
	return nil
}
