package capacity

import (
	"fmt"
	"runtime"
	"strconv"

	"google.golang.org/protobuf/proto"

	"ibistray.example/ibistray/internal/pathbench"
	"ibistray.example/ibistray/internal/shard"
	"ibistray.example/ibistray/proto/shardpb"
)

const memoryNowMs = 1_000_000_000

// memoryState is a shard's state without its bodies, driven by commands.
type memoryState struct {
	state *shard.State
	index uint64
}

func newMemoryState() *memoryState {
	return &memoryState{state: shard.New(pathbench.NewRecentBodies())}
}

func (m *memoryState) apply(command *shardpb.Command) (*shardpb.Result, error) {
	data, err := proto.Marshal(command)
	if err != nil {
		return nil, err
	}
	m.index++
	result, ok := m.state.Apply(m.index, data).(*shardpb.Result)
	if !ok || result.GetRefusal() != nil {
		return nil, fmt.Errorf("command refused: %v", result.GetRefusal())
	}
	return result, nil
}

func (m *memoryState) call(c pathbench.Call) error {
	begun, err := m.apply(pathbench.BeginCommand(c, memoryNowMs))
	if err != nil {
		return err
	}
	_, err = m.apply(pathbench.CommitCommand(c, begun.GetBegin(), memoryNowMs))
	return err
}

func (m *memoryState) contract(i int) error {
	_, err := m.apply(pathbench.ApplyContractCommand(pathbench.Customer(i), memoryNowMs))
	return err
}

// programs makes programs of one customer with the given number of calls each.
func (m *memoryState) programs(count, turns int) error {
	for p := range count {
		for turn := range turns {
			c := pathbench.Call{Customer: pathbench.Customer(0), Program: "p-" + strconv.Itoa(p), Turn: turn + 1}
			if err := m.call(c); err != nil {
				return err
			}
		}
	}
	return nil
}

// heapOf returns the growth of the heap by what build made and keeps.
func heapOf(build func(*memoryState) error) (float64, error) {
	before := heapBytes()
	m := newMemoryState()
	if err := build(m); err != nil {
		return 0, err
	}
	after := heapBytes()
	runtime.KeepAlive(m)
	return after - before, nil
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// measureMemory measures the memory of a shard's records.
func measureMemory() ([]Slope, error) {
	const turns = 1
	programs, err := heapSlope(ProgramMemory, []float64{1000, 4000, 16000},
		"heap of one shard's state with programs of one call each, bodies elsewhere; one call record is taken off",
		func(m *memoryState, size int) error {
			if err := m.contract(0); err != nil {
				return err
			}
			return m.programs(size, turns)
		})
	if err != nil {
		return nil, err
	}
	calls, err := heapSlope(CallMemory, []float64{16, 32, 64},
		"heap of one shard's state with 500 programs, for each further call of a program, bodies elsewhere",
		func(m *memoryState, size int) error {
			if err := m.contract(0); err != nil {
				return err
			}
			return m.programs(memoryPrograms, size)
		})
	if err != nil {
		return nil, err
	}
	calls.Value /= memoryPrograms
	programs.Value -= calls.Value
	contracts, err := heapSlope(ContractMemory, []float64{500, 2000, 8000}, "heap of one shard's state with contracts",
		func(m *memoryState, size int) error {
			for i := range size {
				if err := m.contract(i); err != nil {
					return err
				}
			}
			return nil
		})
	if err != nil {
		return nil, err
	}
	return []Slope{programs, calls, contracts}, nil
}

// memoryPrograms is the number of programs when call records are measured.
const memoryPrograms = 500

func heapSlope(name Name, sizes []float64, method string, build func(m *memoryState, size int) error) (Slope, error) {
	s := Slope{Name: name, Unit: unitBytes, Sizes: sizes, Method: method}
	for _, size := range sizes {
		var repeats []float64
		for range memoryRepeats {
			heap, err := heapOf(func(m *memoryState) error { return build(m, int(size)) })
			if err != nil {
				return Slope{}, fmt.Errorf("%s at %.0f: %w", name, size, err)
			}
			repeats = append(repeats, heap)
		}
		s.Readings = append(s.Readings, median(repeats))
	}
	s.Value = Fit(s.Sizes, s.Readings).Slope
	return s, nil
}

const memoryRepeats = 3
