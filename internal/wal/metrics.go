package wal

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

type metrics struct {
	syncs       prometheus.Counter
	bytes       prometheus.Counter
	syncSeconds prometheus.Histogram
	segments    prometheus.Gauge
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	factory := promauto.With(registerer)
	return &metrics{
		syncs: factory.NewCounter(prometheus.CounterOpts{
			Name: "ibistray_wal_syncs_total",
			Help: "Number of fsyncs of segments.",
		}),
		bytes: factory.NewCounter(prometheus.CounterOpts{
			Name: "ibistray_wal_written_bytes_total",
			Help: "Bytes written to segments.",
		}),
		syncSeconds: factory.NewHistogram(prometheus.HistogramOpts{
			Name:    "ibistray_wal_sync_seconds",
			Help:    "Duration of fsyncs of segments.",
			Buckets: prometheus.ExponentialBuckets(0.0001, 2, 16),
		}),
		segments: factory.NewGauge(prometheus.GaugeOpts{
			Name: "ibistray_wal_segments",
			Help: "Number of segments.",
		}),
	}
}

// recordSync records one fsync and the bytes that it made durable.
func (m *metrics) recordSync(duration time.Duration, bytes int) {
	m.syncs.Inc()
	m.bytes.Add(float64(bytes))
	m.syncSeconds.Observe(duration.Seconds())
}
