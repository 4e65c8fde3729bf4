package shard

import (
	"errors"
	"fmt"
	"sync"

	"google.golang.org/protobuf/proto"

	"ibistray.example/ibistray/proto/shardpb"
)

// ErrNoBody is returned for a body that a body store does not hold.
var ErrNoBody = errors.New("shard: body not found")

// BodyStore stores the bodies of calls and answers outside of the state's
// memory. The state allocates the IDs, counting from 1, and they are the same on
// each replica. Get may be called concurrently with all other methods.
type BodyStore interface {
	// Put stores a body. A second Put of an ID replaces the first.
	Put(id uint64, body []byte) error
	// Get returns a body, or ErrNoBody. The caller must not change the body.
	Get(id uint64) ([]byte, error)
	// Retain drops all bodies except the given ones. It returns ErrNoBody if one
	// of them is missing.
	Retain(ids []uint64) error
	// Drop releases a body that is no longer needed.
	Drop(id uint64)
	// Sync blocks until all bodies that were put are durable.
	Sync() error
	// Reset drops all bodies.
	Reset() error
}

// BodyError reports a failed operation on a body. Apply panics with it, because
// the state cannot apply further commands without the body.
type BodyError struct {
	Op  string
	ID  uint64
	Err error
}

// Error implements error.
func (e *BodyError) Error() string {
	return fmt.Sprintf("shard: %s body %d: %v", e.Op, e.ID, e.Err)
}

// Unwrap returns the store's error.
func (e *BodyError) Unwrap() error { return e.Err }

// putBody stores a body under a new ID and returns the ID.
func (s *State) putBody(body []byte) uint64 {
	s.lastBodyID++
	if err := s.bodies.Put(s.lastBodyID, body); err != nil {
		panic(&BodyError{Op: "put", ID: s.lastBodyID, Err: err})
	}
	return s.lastBodyID
}

func (s *State) getBody(id uint64) []byte {
	body, err := s.bodies.Get(id)
	if err != nil {
		panic(&BodyError{Op: "get", ID: id, Err: err})
	}
	return body
}

func (s *State) dropBody(id uint64) {
	if id != 0 {
		s.bodies.Drop(id)
	}
}

func (s *State) putAnswer(answer *shardpb.Answer) uint64 {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(answer)
	if err != nil {
		panic(&BodyError{Op: "encode", ID: s.lastBodyID + 1, Err: err})
	}
	return s.putBody(data)
}

// loadAnswer reads the recorded answer of a finished call.
func (s *State) loadAnswer(c *call) *shardpb.Answer {
	answer, err := decodeAnswer(s.getBody(c.answer))
	if err != nil {
		panic(&BodyError{Op: "decode", ID: c.answer, Err: err})
	}
	return answer
}

func decodeAnswer(data []byte) (*shardpb.Answer, error) {
	answer := new(shardpb.Answer)
	if err := proto.Unmarshal(data, answer); err != nil {
		return nil, fmt.Errorf("shard: decode answer: %w", err)
	}
	return answer, nil
}

// MemoryBodies is a BodyStore that holds all bodies in memory.
type MemoryBodies struct {
	mu     sync.RWMutex
	bodies map[uint64][]byte
}

// NewMemoryBodies returns an empty store.
func NewMemoryBodies() *MemoryBodies {
	return &MemoryBodies{bodies: make(map[uint64][]byte)}
}

// Put implements BodyStore.
func (m *MemoryBodies) Put(id uint64, body []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bodies[id] = body
	return nil
}

// Get implements BodyStore.
func (m *MemoryBodies) Get(id uint64) ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	body, ok := m.bodies[id]
	if !ok {
		return nil, ErrNoBody
	}
	return body, nil
}

// Retain implements BodyStore.
func (m *MemoryBodies) Retain(ids []uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	kept := make(map[uint64][]byte, len(ids))
	for _, id := range ids {
		body, ok := m.bodies[id]
		if !ok {
			return ErrNoBody
		}
		kept[id] = body
	}
	m.bodies = kept
	return nil
}

// Drop implements BodyStore.
func (m *MemoryBodies) Drop(id uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.bodies, id)
}

// Sync implements BodyStore.
func (m *MemoryBodies) Sync() error { return nil }

// Reset implements BodyStore.
func (m *MemoryBodies) Reset() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.bodies)
	return nil
}
