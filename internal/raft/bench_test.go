package raft

import (
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
)

// newBenchGroup returns a group of three replicas. The first one leads.
func newBenchGroup(b *testing.B, cfg Config) []*Node {
	var nodes []*Node
	for id := range uint64(3) {
		cfg.Group, cfg.ID = 1, id+1
		n, err := New(cfg, Bootstrap(membershipOf(1, 2, 3)))
		assert.NilError(b, err)
		nodes = append(nodes, n)
	}
	for nodes[0].role != RoleLeader {
		for _, n := range nodes[1:] {
			n.ticksSinceLeader = cfg.ElectionTicks + DefaultElectionTicks
		}
		nodes[0].Tick()
		deliverAll(b, nodes)
	}
	return nodes
}

// deliverAll persists, delivers and applies the output of all replicas until there
// is none.
func deliverAll(b *testing.B, nodes []*Node) {
	for busy := true; busy; {
		busy = false
		for _, n := range nodes {
			if !n.HasReady() {
				continue
			}
			busy = true
			rd := n.Ready()
			n.ReportPersisted(rd.Receipt)
			for _, m := range append(rd.Messages, rd.MessagesAfterPersist...) {
				assert.NilError(b, nodes[m.To-1].Step(m))
			}
			n.ReportApplied(n.log.applying)
		}
	}
}

func compactAll(b *testing.B, nodes []*Node) {
	for _, n := range nodes {
		meta, err := n.SnapshotMeta(n.log.applied)
		assert.NilError(b, err)
		assert.NilError(b, n.Compact(meta, Retention{}))
	}
}

// BenchmarkProposeCommit measures proposing and committing one command at a time
// on three replicas.
func BenchmarkProposeCommit(b *testing.B) {
	nodes := newBenchGroup(b, Config{})
	data := make([]byte, 256)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		_, _, err := nodes[0].Propose(data)
		assert.NilError(b, err)
		deliverAll(b, nodes)
		if i%1000 == 999 {
			compactAll(b, nodes)
		}
	}
}

// BenchmarkProposeCommitBatch64 measures one command when 64 are proposed before
// messages are exchanged.
func BenchmarkProposeCommitBatch64(b *testing.B) {
	nodes := newBenchGroup(b, Config{})
	data := make([]byte, 256)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		_, _, err := nodes[0].Propose(data)
		assert.NilError(b, err)
		if i%64 == 63 {
			deliverAll(b, nodes)
		}
		if i%1024 == 1023 {
			compactAll(b, nodes)
		}
	}
}

// BenchmarkIdleTick measures one tick of all three replicas of an idle group.
func BenchmarkIdleTick(b *testing.B) {
	for name, cfg := range map[string]Config{"quiesced": {}, "heartbeats": {DisableQuiesce: true}} {
		b.Run(name, func(b *testing.B) {
			nodes := newBenchGroup(b, cfg)
			tick := func() {
				for _, n := range nodes {
					n.Tick()
				}
				deliverAll(b, nodes)
			}
			for range 100 {
				tick()
			}
			assert.Equal(b, nodes[0].Quiesced(), !cfg.DisableQuiesce)
			b.ReportAllocs()
			for b.Loop() {
				tick()
			}
		})
	}
}

// BenchmarkIdleGroupMemory measures the heap bytes per replica of idle groups with
// compacted logs.
func BenchmarkIdleGroupMemory(b *testing.B) {
	const groups = 1000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		live := make([][]*Node, groups)
		for i := range live {
			live[i] = newBenchGroup(b, Config{})
			compactAll(b, live[i])
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(3*groups), "bytes/replica")
		runtime.KeepAlive(live)
	}
}
