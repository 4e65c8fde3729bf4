package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record is the file record.txt of a case: what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(dir string) (*record, error) {
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now()}, nil
}

// line writes a line with the time since the start of the case.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}
