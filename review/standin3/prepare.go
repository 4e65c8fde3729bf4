package main

import (
	"sync"
	"time"
)

var (
	runningMu sync.Mutex
	running   []*system
)

// prepare starts a system whose processes closeAll ends.
func prepare(rec *record, more int) (*system, error) {
	s, err := newSystem(rec, more)
	if err != nil {
		return nil, err
	}
	runningMu.Lock()
	running = append(running, s)
	runningMu.Unlock()
	return s, s.start()
}

func closeAll() {
	runningMu.Lock()
	defer runningMu.Unlock()
	for _, s := range running {
		s.close()
	}
}

// limits are the limits of clients in a config.
func limits() map[string]any {
	return map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
}

// serveConfig puts a config in force and waits until the machines are in touch.
func (s *system) serveConfig(config map[string]any) error {
	if err := s.putConfig(config); err != nil {
		return err
	}
	if err := s.awaitReady(); err != nil {
		return err
	}
	time.Sleep(contactTime + time.Second)
	return nil
}
