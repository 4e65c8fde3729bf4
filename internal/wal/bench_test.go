package wal_test

import (
	"fmt"
	"path/filepath"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/wal"
	"ibistray.example/ibistray/proto/raftpb"
)

const benchEntryBytes = 256

// BenchmarkAppend keeps the given number of appends in flight on a real file system and
// reports the fsyncs and the written bytes per append.
func BenchmarkAppend(b *testing.B) {
	for _, callers := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) { benchAppend(b, callers) })
	}
}

func benchAppend(b *testing.B, callers int) {
	registry := prometheus.NewRegistry()
	dir := filepath.Join(b.TempDir(), "data")
	log, _, err := wal.Open(wal.Options{Dir: dir, Registerer: registry})
	assert.NilError(b, err)
	inFlight := make(chan struct{}, callers)
	failures := make(chan error, 1)
	syncsBefore := counterValue(b, registry, "ibistray_wal_syncs_total")
	writtenBefore := counterValue(b, registry, "ibistray_wal_written_bytes_total")
	b.ResetTimer()
	for i := range b.N {
		inFlight <- struct{}{}
		log.AppendAsync(benchUpdates(i, callers), func(err error) {
			if err != nil {
				failures <- err
			}
			<-inFlight
		})
	}
	for range callers {
		inFlight <- struct{}{}
	}
	b.StopTimer()
	b.ReportMetric((counterValue(b, registry, "ibistray_wal_syncs_total")-syncsBefore)/float64(b.N), "syncs/op")
	b.ReportMetric((counterValue(b, registry, "ibistray_wal_written_bytes_total")-writtenBefore)/float64(b.N), "written-B/op")
	assert.Equal(b, len(failures), 0)
	assert.NilError(b, log.Close())
}

func benchUpdates(i, callers int) []wal.Update {
	group := uint64(i % callers)
	index := uint64(i/callers + 1)
	entry := &raftpb.Entry{Term: 1, Index: index, Data: make([]byte, benchEntryBytes)}
	return []wal.Update{{Group: group, Entries: []*raftpb.Entry{entry}}}
}

func counterValue(b *testing.B, registry *prometheus.Registry, name string) float64 {
	b.Helper()
	families, err := registry.Gather()
	assert.NilError(b, err)
	for _, family := range families {
		if family.GetName() == name {
			return family.GetMetric()[0].GetCounter().GetValue()
		}
	}
	b.Fatalf("metric %s not found", name)
	return 0
}
