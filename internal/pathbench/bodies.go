package pathbench

import (
	"sync"

	"ibistray.example/ibistray/internal/shard"
)

// recentBodies is how many bodies a RecentBodies holds.
const recentBodies = 256

// RecentBodies is a shard.BodyStore that keeps the newest bodies only. It takes
// the place of a store on disk where the memory of the index is measured.
type RecentBodies struct {
	mu     sync.RWMutex
	bodies map[uint64][]byte
}

// NewRecentBodies returns an empty store.
func NewRecentBodies() *RecentBodies {
	return &RecentBodies{bodies: make(map[uint64][]byte)}
}

// Put implements shard.BodyStore.
func (r *RecentBodies) Put(id uint64, body []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bodies[id] = body
	if id > recentBodies {
		delete(r.bodies, id-recentBodies)
	}
	return nil
}

// Get implements shard.BodyStore.
func (r *RecentBodies) Get(id uint64) ([]byte, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	body, ok := r.bodies[id]
	if !ok {
		return nil, shard.ErrNoBody
	}
	return body, nil
}

// Has implements shard.BodyStore. It reports true for bodies that were let go,
// too, because a store on disk would have them.
func (r *RecentBodies) Has(uint64) bool { return true }

// Retain implements shard.BodyStore.
func (r *RecentBodies) Retain([]uint64) error { return nil }

// Drop implements shard.BodyStore.
func (r *RecentBodies) Drop(uint64) {}

// Sync implements shard.BodyStore.
func (r *RecentBodies) Sync() error { return nil }

// Reset implements shard.BodyStore.
func (r *RecentBodies) Reset() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.bodies)
	return nil
}
