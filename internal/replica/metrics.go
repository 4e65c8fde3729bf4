package replica

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Values of the label "outcome" of proposals and reads.
const (
	outcomeApplied      = "applied"
	outcomeNotLeader    = "not_leader"
	outcomeUnavailable  = "unavailable"
	outcomeUncertain    = "uncertain"
	outcomeRefused      = "refused"
	outcomeStopped      = "stopped"
	outcomeUnknownGroup = "unknown_group"
	outcomeCanceled     = "canceled"
	readByLease         = "lease"
	readByQuorum        = "round"
)

type metrics struct {
	proposals     *prometheus.CounterVec
	reads         *prometheus.CounterVec
	messages      prometheus.Counter
	batches       prometheus.Counter
	dropped       *prometheus.CounterVec
	snapshots     *prometheus.CounterVec
	leaderChanges prometheus.Counter
	groups        prometheus.Gauge
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	factory := promauto.With(registerer)
	return &metrics{
		proposals: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "ibistray_replica_proposals_total",
			Help: "Proposals by outcome.",
		}, []string{"outcome"}),
		reads: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "ibistray_replica_reads_total",
			Help: "Read barriers by path or reason of refusal.",
		}, []string{"outcome"}),
		messages: factory.NewCounter(prometheus.CounterOpts{
			Name: "ibistray_replica_messages_sent_total",
			Help: "Messages sent to other hosts.",
		}),
		batches: factory.NewCounter(prometheus.CounterOpts{
			Name: "ibistray_replica_batches_sent_total",
			Help: "Batches of messages sent to other hosts.",
		}),
		dropped: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "ibistray_replica_messages_dropped_total",
			Help: "Received messages that were dropped, by reason.",
		}, []string{"reason"}),
		snapshots: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "ibistray_replica_snapshots_total",
			Help: "Snapshots by event: taken, failed, sent, send_failed, received, restored.",
		}, []string{"event"}),
		leaderChanges: factory.NewCounter(prometheus.CounterOpts{
			Name: "ibistray_replica_leader_changes_total",
			Help: "Changes of the known leader, over all groups of the host.",
		}),
		groups: factory.NewGauge(prometheus.GaugeOpts{
			Name: "ibistray_replica_groups",
			Help: "Groups with a replica on this host.",
		}),
	}
}
