package statehost

import (
	"github.com/prometheus/client_golang/prometheus"
)

// metrics are the figures of a state host.
type metrics struct {
	retries    *prometheus.CounterVec // by reason: requests to leaders made again
	heartbeats *prometheus.CounterVec // by outcome: taken, late, refused
	orders     *prometheus.CounterVec // by kind and outcome: operators' orders
	commands   *prometheus.CounterVec // by kind and outcome: commands to the ledger
	steps      *prometheus.CounterVec // by kind: membership changes
	busy       prometheus.Counter     // answers that told an entry to send less
	watchers   prometheus.Gauge
	programs   prometheus.Gauge
	turns      prometheus.Gauge
}

const namespace = "ibistray"

func newMetrics(registry prometheus.Registerer) *metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	}
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
	}
	m := &metrics{
		retries:    counter("leader_retries_total", "Requests to leaders made again, by reason.", "reason"),
		heartbeats: counter("heartbeats_total", "Heartbeats of backend servers, by outcome.", "outcome"),
		orders:     counter("orders_total", "Orders of operators, by kind and outcome.", "kind", "outcome"),
		commands:   counter("ledger_commands_total", "Commands to the program ledger, by kind and outcome.", "kind", "outcome"),
		steps:      counter("membership_steps_total", "Steps of membership changes, by kind.", "kind"),
		busy: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "ledger_busy_answers_total", Help: "Answers that told an entry to send less, since work waits for the processor.",
		}),
		watchers: gauge("watchers", "Processes that watch the backend servers and routes here."),
		programs: gauge("ledger_programs", "Programs in the ledger."),
		turns:    gauge("ledger_turns", "Kept turns in the ledger."),
	}
	registry.MustRegister(m.retries, m.heartbeats, m.orders, m.commands, m.steps, m.busy, m.watchers, m.programs, m.turns)
	return m
}
