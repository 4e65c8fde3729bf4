package capacity

import (
	"fmt"
	"path/filepath"
	"runtime"

	"ibistray.example/ibistray/internal/history"
)

// smallBodyBytes is the length of each stored body. Bodies are kept on disk only, so the
// heap grows by their index entries alone.
const smallBodyBytes = 64

// measureBodies measures the heap that the on-disk store uses for each body.
func measureBodies(dir string) ([]Slope, error) {
	s := Slope{
		Name: BodyMemory, Unit: unitBytes, Sizes: []float64{10_000, 40_000, 160_000},
		Method: "heap of a store on disk with bodies of 64 bytes, slope",
	}
	for _, size := range s.Sizes {
		heap, err := bodyStoreHeap(filepath.Join(dir, fmt.Sprintf("bodies-%.0f", size)), int(size))
		if err != nil {
			return nil, err
		}
		s.Readings = append(s.Readings, heap)
	}
	s.Value = Fit(s.Sizes, s.Readings).Slope
	return []Slope{s}, nil
}

// bodyStoreHeap returns the heap growth in bytes of a store in dir that holds the
// given number of bodies.
func bodyStoreHeap(dir string, bodies int) (float64, error) {
	before := heapBytes()
	store, err := history.Open(dir)
	if err != nil {
		return 0, err
	}
	defer store.Close()
	for i := range bodies {
		if err := store.Put(uint64(i)+1, make([]byte, smallBodyBytes)); err != nil {
			return 0, err
		}
	}
	if err := store.Sync(); err != nil {
		return 0, err
	}
	after := heapBytes()
	runtime.KeepAlive(store)
	return after - before, nil
}
