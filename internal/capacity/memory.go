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

// commandTimeMs is the timestamp of all commands, in Unix milliseconds.
const commandTimeMs = 1_000_000_000

// shardState is the state of one shard, to which commands are applied directly,
// without a log. Of the message bodies only the newest are kept, so that they hardly
// count in the measured heap.
type shardState struct {
	state *shard.State
	index uint64
}

func newShardState() *shardState {
	return &shardState{state: shard.New(pathbench.NewRecentBodies())}
}

// apply applies a command as the next log entry. It fails if the shard refuses the
// command.
func (s *shardState) apply(command *shardpb.Command) (*shardpb.Result, error) {
	data, err := proto.Marshal(command)
	if err != nil {
		return nil, err
	}
	s.index++
	result, ok := s.state.Apply(s.index, data).(*shardpb.Result)
	if !ok || result.GetRefusal() != nil {
		return nil, fmt.Errorf("command refused: %v", result.GetRefusal())
	}
	return result, nil
}

// addCall begins and commits a call.
func (s *shardState) addCall(c pathbench.Call) error {
	begun, err := s.apply(pathbench.BeginCommand(c, commandTimeMs))
	if err != nil {
		return err
	}
	_, err = s.apply(pathbench.CommitCommand(c, begun.GetBegin(), commandTimeMs))
	return err
}

// addContract creates the contract of customer i.
func (s *shardState) addContract(i int) error {
	_, err := s.apply(pathbench.ApplyContractCommand(pathbench.Customer(i), commandTimeMs))
	return err
}

// addPrograms adds count programs of customer 0 with the given number of calls each.
func (s *shardState) addPrograms(count, turns int) error {
	for p := range count {
		for turn := range turns {
			c := pathbench.Call{Customer: pathbench.Customer(0), Program: "p-" + strconv.Itoa(p), Turn: turn + 1}
			if err := s.addCall(c); err != nil {
				return err
			}
		}
	}
	return nil
}

// heapGrowth returns by how many bytes a shard state filled by build grows the heap.
func heapGrowth(build func(*shardState) error) (float64, error) {
	before := heapBytes()
	s := newShardState()
	if err := build(s); err != nil {
		return 0, err
	}
	after := heapBytes()
	runtime.KeepAlive(s)
	return after - before, nil
}

// heapBytes returns the size of the live heap after garbage collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// measureMemory measures the memory of the programs, call records and contracts of
// a shard.
func measureMemory() ([]Slope, error) {
	const turns = 1
	programs, err := measureHeapSlope(ProgramMemory, []float64{1000, 4000, 16000},
		"heap of one shard's state with programs of one call each, bodies elsewhere; one call record is taken off",
		func(s *shardState, size int) error {
			if err := s.addContract(0); err != nil {
				return err
			}
			return s.addPrograms(size, turns)
		})
	if err != nil {
		return nil, err
	}
	calls, err := measureHeapSlope(CallRecordMemory, []float64{16, 32, 64},
		"heap of one shard's state with 500 programs, for each further call of a program, bodies elsewhere",
		func(s *shardState, size int) error {
			if err := s.addContract(0); err != nil {
				return err
			}
			return s.addPrograms(callRecordPrograms, size)
		})
	if err != nil {
		return nil, err
	}
	calls.Value /= callRecordPrograms
	programs.Value -= calls.Value
	contracts, err := measureHeapSlope(ContractMemory, []float64{500, 2000, 8000}, "heap of one shard's state with contracts",
		func(s *shardState, size int) error {
			for i := range size {
				if err := s.addContract(i); err != nil {
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

// callRecordPrograms is the number of programs with which call records are measured.
const callRecordPrograms = 500

// measureHeapSlope measures the heap of shard states that build fills at each size
// and returns the growth per unit of size.
func measureHeapSlope(name SlopeName, sizes []float64, method string, build func(s *shardState, size int) error) (Slope, error) {
	s := Slope{Name: name, Unit: unitBytes, Sizes: sizes, Method: method}
	for _, size := range sizes {
		var repeats []float64
		for range heapRepeats {
			heap, err := heapGrowth(func(s *shardState) error { return build(s, int(size)) })
			if err != nil {
				return Slope{}, fmt.Errorf("measure %s at size %.0f: %w", name, size, err)
			}
			repeats = append(repeats, heap)
		}
		s.Readings = append(s.Readings, median(repeats))
	}
	s.Value = Fit(s.Sizes, s.Readings).Slope
	return s, nil
}

// heapRepeats is the number of measurements at each size; the median counts.
const heapRepeats = 3
