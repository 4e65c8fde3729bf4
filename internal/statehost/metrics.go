package statehost

import (
	"github.com/prometheus/client_golang/prometheus"
)

// metrics are the Prometheus metrics of a state host.
type metrics struct {
	retries           *prometheus.CounterVec // by reason: retried requests to leaders
	heartbeats        *prometheus.CounterVec // by outcome: taken, late, refused, isolated
	operatorRequests  *prometheus.CounterVec // by kind and outcome: requests of operators
	ledgerCommands    *prometheus.CounterVec // by kind and outcome: commands to the ledger
	membershipSteps   *prometheus.CounterVec // by kind: membership changes
	reportsSent       *prometheus.CounterVec // by watcher, watcherPeer or watcherEntry: reports of backend servers
	updatesSent       *prometheus.CounterVec // by watcher: updates, empty ones included
	updatesUnsendable prometheus.Counter     // updates with records that could not be encoded
	unknownRecords    prometheus.Counter     // commands and snapshot records of kinds that only later builds know
	permits           *prometheus.CounterVec // by outcome, granted or denied: permits to send to servers with a limit
	accountPermits    *prometheus.CounterVec // by outcome, granted, denied or programs_denied: permits of client accounts
	busyResponses     prometheus.Counter     // responses that told an entry to send less
	watchers          prometheus.Gauge
	programs          prometheus.Gauge
	streams           prometheus.Gauge
	outputBytes       prometheus.Gauge
	turns             prometheus.Gauge
	turnBytes         prometheus.Gauge
	turnMemoryBytes   prometheus.Gauge
	turnSpilledBytes  prometheus.Gauge
	spillFailures     prometheus.Counter     // turns that the disk did not take
	roomLevel         *prometheus.GaugeVec   // by resource, disk or memory: retention.Level at the leader
	roomUsed          *prometheus.GaugeVec   // by resource: bytes
	roomCapacity      *prometheus.GaugeVec   // by resource: bytes
	refusedTurns      *prometheus.CounterVec // by resource: first turns for which there is no room
	routesVersion     prometheus.Gauge       // of the routes that this host has applied
}

const namespace = "ibistray"

// Kinds of watchers, as labels of metrics.
const (
	watcherPeer  = "statehost"
	watcherEntry = "entry"
)

func newMetrics(registry prometheus.Registerer) *metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	}
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
	}
	gauges := func(name, help string, labels ...string) *prometheus.GaugeVec {
		return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, labels)
	}
	m := &metrics{
		retries:          counter("leader_retries_total", "Retried requests to leaders, by reason.", "reason"),
		heartbeats:       counter("heartbeats_total", "Heartbeats of backend servers, by outcome.", "outcome"),
		operatorRequests: counter("orders_total", "Requests of operators, by kind and outcome.", "kind", "outcome"),
		ledgerCommands:   counter("ledger_commands_total", "Commands to the program ledger, by kind and outcome.", "kind", "outcome"),
		membershipSteps:  counter("membership_steps_total", "Membership change steps, by kind.", "kind"),
		reportsSent:      counter("watch_reports_total", "Reports of backend servers sent to watchers, by kind of watcher.", "watcher"),
		updatesSent:      counter("watch_updates_total", "Updates sent to watchers, empty ones included, by kind of watcher.", "watcher"),
		updatesUnsendable: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "watch_updates_unsendable_total", Help: "Updates with records that could not be encoded, which were left out.",
		}),
		unknownRecords: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "unknown_records_total", Help: "Commands and snapshot records of kinds that only later builds know, which were ignored.",
		}),
		permits:        counter("permits_total", "Permits to send to backend servers with a limit, by outcome.", "outcome"),
		accountPermits: counter("account_permits_total", "Permits of client accounts: granted ones, and requests and programs that were denied.", "outcome"),
		busyResponses: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "ledger_busy_answers_total", Help: "Responses that told an entry to send less because work waits for the processor.",
		}),
		watchers:         gauge("watchers", "Processes that watch the backend servers and routes here."),
		programs:         gauge("ledger_programs", "Programs in the ledger."),
		streams:          gauge("ledger_streams", "Streams in the ledger that clients can resume."),
		outputBytes:      gauge("ledger_output_bytes", "Recorded events of streams whose turns are kept."),
		turns:            gauge("ledger_turns", "Kept turns in the ledger."),
		turnBytes:        gauge("ledger_turn_bytes", "Size of the input and output of the kept turns in the ledger."),
		turnMemoryBytes:  gauge("ledger_turn_memory_bytes", "Part of the size of the kept turns that is in memory."),
		turnSpilledBytes: gauge("ledger_turn_spilled_bytes", "Size of the input and output of turns that are on disk and not in memory."),
		spillFailures: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "ledger_spill_failures_total", Help: "Turns that stay in memory beyond its share because the disk did not take them.",
		}),
		roomLevel:     gauges("ledger_room_level", "Shortage of room for kept turns at the leader of the ledger, by resource: 0 free, 1 low, 2 full.", "resource"),
		roomUsed:      gauges("ledger_room_used_bytes", "Use of the room for kept turns, by resource.", "resource"),
		roomCapacity:  gauges("ledger_room_capacity_bytes", "Room for kept turns, by resource; 0: not limited.", "resource"),
		refusedTurns:  counter("ledger_refused_turns_total", "First turns that were refused for lack of room, by resource.", "resource"),
		routesVersion: gauge("routes_applied_version", "Version of the routes that this state host has applied."),
	}
	registry.MustRegister(m.retries, m.heartbeats, m.operatorRequests, m.ledgerCommands, m.membershipSteps, m.reportsSent, m.updatesSent, m.updatesUnsendable, m.unknownRecords, m.permits, m.accountPermits, m.busyResponses, m.watchers, m.programs, m.streams, m.outputBytes, m.turns, m.turnBytes, m.turnMemoryBytes, m.turnSpilledBytes, m.spillFailures, m.roomLevel, m.roomUsed, m.roomCapacity, m.refusedTurns, m.routesVersion)
	return m
}
