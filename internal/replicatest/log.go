// Package replicatest has a replica.Log for tests: one process, nothing
// durable, each proposal applied at once.
package replicatest

import (
	"context"
	"sync"

	"ibistray.example/ibistray/internal/replica"
)

// Log applies proposals to the state machines of its groups. It is safe for
// concurrent use.
type Log struct {
	mu      sync.Mutex
	groups  map[uint64]replica.StateMachine
	indexes map[uint64]uint64
	err     error
	leader  string
}

var _ replica.Log = (*Log)(nil)

// New returns a log of the given groups.
func New(groups map[uint64]replica.StateMachine) *Log {
	return &Log{groups: groups, indexes: make(map[uint64]uint64)}
}

// Fail makes each later call return err, and Leader name another host; nil
// ends that.
func (l *Log) Fail(err error, leader string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.err = err
	l.leader = leader
}

// Propose implements replica.Log.
func (l *Log) Propose(_ context.Context, group uint64, data []byte) (replica.Applied, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return replica.Applied{}, l.err
	}
	sm, ok := l.groups[group]
	if !ok {
		return replica.Applied{}, replica.ErrUnknownGroup
	}
	l.indexes[group]++
	index := l.indexes[group]
	return replica.Applied{Index: index, Result: sm.Apply(index, data)}, nil
}

// ReadBarrier implements replica.Log.
func (l *Log) ReadBarrier(_ context.Context, group uint64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return l.err
	}
	if _, ok := l.groups[group]; !ok {
		return replica.ErrUnknownGroup
	}
	return nil
}

// Leader implements replica.Log.
func (l *Log) Leader(uint64) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leader
}
