package replica_test

import (
	"encoding/json"
	"io"
	"strings"
	"sync"
)

// kv is a state machine that maps keys to values. A command is "key=value"; its result
// is the previous value.
type kv struct {
	mu     sync.Mutex
	values map[string]string
	gate   chan struct{} // not nil: Apply waits until it is closed
	// failSnapshot is the error of the next Snapshot, nil: none.
	failSnapshot error
	panicOn      string // key whose next command makes Apply panic, "": none
}

// panicAt makes Apply panic at the next command for a key.
func (s *kv) panicAt(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.panicOn = key
}

// blockApply makes Apply wait until release is called.
func (s *kv) blockApply() (release func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	gate := make(chan struct{})
	s.gate = gate
	return func() { close(gate) }
}

// failNextSnapshot makes the next Snapshot fail with err.
func (s *kv) failNextSnapshot(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failSnapshot = err
}

func (s *kv) waitForGate() {
	s.mu.Lock()
	gate := s.gate
	s.mu.Unlock()
	if gate != nil {
		<-gate
	}
}

func newKV() *kv {
	return &kv{values: make(map[string]string)}
}

func (s *kv) Apply(_ uint64, data []byte) any {
	s.waitForGate()
	s.mu.Lock()
	defer s.mu.Unlock()
	key, value, _ := strings.Cut(string(data), "=")
	if key == s.panicOn && key != "" {
		s.panicOn = ""
		panic("cannot apply " + key)
	}
	before := s.values[key]
	s.values[key] = value
	return before
}

func (s *kv) Snapshot(w io.Writer) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.failSnapshot; err != nil {
		s.failSnapshot = nil
		return err
	}
	return json.NewEncoder(w).Encode(s.values)
}

func (s *kv) Restore(r io.Reader) error {
	values := make(map[string]string)
	if err := json.NewDecoder(r).Decode(&values); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values = values
	return nil
}

func (s *kv) get(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values[key]
}

func (s *kv) size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.values)
}
