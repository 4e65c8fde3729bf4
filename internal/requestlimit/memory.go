package requestlimit

import "sync/atomic"

// Memory limits what unfinished requests hold together. It is safe for concurrent use. A nil Memory
// has no limit.
type Memory struct {
	limit int64
	held  atomic.Int64
}

// NewMemory returns a limit in bytes.
func NewMemory(limit int64) *Memory { return &Memory{limit: limit} }

// Held returns the bytes that are held.
func (m *Memory) Held() int64 {
	if m == nil {
		return 0
	}
	return m.held.Load()
}

// grow takes bytes. It takes nothing and returns false if the limit does not leave them. A request
// that is alone fits, however large it is.
func (m *Memory) grow(own, bytes int64) bool {
	if m == nil || bytes <= 0 {
		return true
	}
	if held := m.held.Add(bytes); held > m.limit && held > own+bytes {
		m.held.Add(-bytes)
		return false
	}
	return true
}

func (m *Memory) release(bytes int64) {
	if m != nil {
		m.held.Add(-bytes)
	}
}
