package pathbench

import (
	"sync"

	"ibistray.example/ibistray/internal/shard"
)

// maxRecentBodies is the number of bodies that a RecentBodies keeps.
const maxRecentBodies = 256

// RecentBodies is a shard.BodyStore that keeps only the newest bodies in memory. It
// replaces a store on disk in measurements of the memory of the shard's index.
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
	if id > maxRecentBodies {
		delete(r.bodies, id-maxRecentBodies)
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

// Has reports true for every ID, also for discarded bodies, because a store on disk
// would keep them.
func (r *RecentBodies) Has(uint64) bool { return true }

// Retain implements shard.BodyStore. It does nothing.
func (r *RecentBodies) Retain([]uint64) error { return nil }

// Drop implements shard.BodyStore. It does nothing.
func (r *RecentBodies) Drop(uint64) {}

// Sync implements shard.BodyStore. It does nothing.
func (r *RecentBodies) Sync() error { return nil }

// Reset implements shard.BodyStore.
func (r *RecentBodies) Reset() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.bodies)
	return nil
}
