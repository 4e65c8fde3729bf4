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

// BenchmarkAppend appends entries from concurrent callers to files and reports
// the syncs and the bytes written per append.
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
	slots := make(chan struct{}, callers)
	failed := make(chan error, 1)
	syncs := counter(b, registry, "ibistray_wal_syncs_total")
	written := counter(b, registry, "ibistray_wal_written_bytes_total")
	b.ResetTimer()
	for i := range b.N {
		slots <- struct{}{}
		log.AppendAsync(benchUpdates(i, callers), func(err error) {
			if err != nil {
				failed <- err
			}
			<-slots
		})
	}
	for range callers {
		slots <- struct{}{}
	}
	b.StopTimer()
	b.ReportMetric((counter(b, registry, "ibistray_wal_syncs_total")-syncs)/float64(b.N), "syncs/op")
	b.ReportMetric((counter(b, registry, "ibistray_wal_written_bytes_total")-written)/float64(b.N), "written-B/op")
	assert.Equal(b, len(failed), 0)
	assert.NilError(b, log.Close())
}

func benchUpdates(i, callers int) []wal.Update {
	group := uint64(i % callers)
	index := uint64(i/callers + 1)
	entry := &raftpb.Entry{Term: 1, Index: index, Data: make([]byte, benchEntryBytes)}
	return []wal.Update{{Group: group, Entries: []*raftpb.Entry{entry}}}
}

func counter(b *testing.B, registry *prometheus.Registry, name string) float64 {
	b.Helper()
	families, err := registry.Gather()
	assert.NilError(b, err)
	for _, family := range families {
		if family.GetName() == name {
			return family.GetMetric()[0].GetCounter().GetValue()
		}
	}
	b.Fatalf("no metric %s", name)
	return 0
}
