package shard

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/proto/shardpb"
)

// newBenchFixture returns a fixture whose contract limits are too high for the
// benchmarks to reach.
func newBenchFixture(b *testing.B) *fixture {
	f := newFixture(b)
	f.changeContract("wide", func(c *shardpb.Contract) {
		c.Budget = &shardpb.Budget{Tokens: 1 << 40}
		c.MaxTurns = 100_000
		c.MaxProgramTokens = 1 << 40
		c.MaxConcurrentCalls = 100_000
		c.ProgramIdleMs = 1 << 34
	})
	return f
}

// BenchmarkBeginCommit measures Apply of one Begin and one Commit on programs of 20
// calls, with bodies in memory.
func BenchmarkBeginCommit(b *testing.B) {
	f := newBenchFixture(b)
	entries := make([][]byte, 0, 2*b.N)
	for i := range b.N {
		program, call := fmt.Sprintf("program-%d", i/20), fmt.Sprintf("call-%d", i%20)
		index := f.index + uint64(2*(i-i%20)) + 1 // not negative
		commit := &shardpb.Commit{Key: testCall(program, call), Epoch: index, Attempt: 1, Answer: testAnswer("answer", 40, 10)}
		entries = append(entries,
			encodeCommand(b, &shardpb.Command{NowMs: f.nowMs, Op: &shardpb.Command_Begin{Begin: modelCall(program, call)}}),
			encodeCommand(b, &shardpb.Command{NowMs: f.nowMs, Op: &shardpb.Command_Commit{Commit: commit}}))
	}
	b.ReportAllocs()
	b.ResetTimer()
	for _, entry := range entries {
		f.index++
		if result := f.state.Apply(f.index, entry).(*shardpb.Result); result.GetRefusal() != nil {
			b.Fatal(result)
		}
	}
}

func encodeCommand(b *testing.B, cmd *shardpb.Command) []byte {
	b.Helper()
	data, err := proto.Marshal(cmd)
	assert.NilError(b, err)
	return data
}

// discardBodies is a body store that discards all bodies, so that a benchmark
// measures the memory of the records alone.
type discardBodies struct{ *MemoryBodies }

func (discardBodies) Put(uint64, []byte) error { return nil }

// BenchmarkMemory reports the bytes of memory per customer, program and call
// record, and the bytes of a snapshot per call, all without bodies.
func BenchmarkMemory(b *testing.B) {
	const customers, programs, calls = 1_000, 2_000, 20
	for range b.N {
		f := newBenchFixture(b)
		f.state = New(discardBodies{NewMemoryBodies()})
		f.applyContract(testContract(testCustomer), 0, "create")
		f.changeContract("wide", func(c *shardpb.Contract) { c.Budget.Tokens, c.MaxTurns, c.MaxProgramTokens = 1<<40, 100, 1<<40 })
		before := heapBytes()
		for i := range customers {
			f.applyContract(testContract(fmt.Sprintf("customer-%d", i)), 0, "create")
		}
		b.ReportMetric(float64(heapBytes()-before)/customers, "B/customer")
		oneCall := f.fillPrograms(programs, "one", 1)
		manyCalls := f.fillPrograms(programs, "many", calls)
		perCall := (manyCalls - oneCall) / (calls - 1)
		b.ReportMetric(perCall, "B/call")
		b.ReportMetric(oneCall-perCall, "B/program")
		var snapshot bytes.Buffer
		assert.NilError(b, f.state.SnapshotLocal(&snapshot))
		b.ReportMetric(float64(snapshot.Len())/(programs*(calls+1)), "snapshot-B/call")
		runtime.KeepAlive(f)
	}
}

// fillPrograms creates programs with the given number of finished calls and
// returns the heap growth in bytes per program.
func (f *fixture) fillPrograms(programs int, prefix string, calls int) float64 {
	before := heapBytes()
	for i := range programs {
		for c := range calls {
			f.exchange(fmt.Sprintf("%s-%d", prefix, i), fmt.Sprintf("call-%d", c))
		}
	}
	return float64(heapBytes()-before) / float64(programs)
}

// heapBytes returns the bytes in use on the heap after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
