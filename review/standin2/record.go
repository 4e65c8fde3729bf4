package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file, one line an event. It is safe for
// concurrent use.
type record struct {
	started time.Time

	mu   sync.Mutex
	file *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{started: time.Now(), file: file}, nil
}

// add writes a line with the time since the start of the case.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() error { return r.file.Close() }

// brief returns a body as it is recorded, which is cut off if it is long.
func brief(body string) string {
	const whole, beginning = 400, 40
	if len(body) <= whole {
		return fmt.Sprintf("%q", body)
	}
	return fmt.Sprintf("%q and further %d bytes", body[:beginning], len(body)-beginning)
}
