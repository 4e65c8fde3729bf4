package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the protocol of a case: what was sent, answered and run, with seconds since its start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

// now returns the time since the start of the record.
func (r *record) now() time.Duration { return time.Since(r.start) }

// add writes one line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", r.now().Seconds(), fmt.Sprintf(format, args...))
}
