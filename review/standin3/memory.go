package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// privateMemoryMB returns the memory of the process that is its own, 0 if it has ended.
func (m *machineProcess) privateMemoryMB() float64 {
	m.mu.Lock()
	pid := m.cmd.Process.Pid
	m.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, found := strings.CutPrefix(line, "RssAnon:"); found {
			kb, err := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 64)
			if err == nil {
				return kb / 1024
			}
		}
	}
	return 0
}

// limitMemory does what the platform does: a process that uses more than memory_mb is killed, and
// started again after a short delay. It returns when stop is closed.
func (m *machineProcess) limitMemory(stop <-chan struct{}) (most float64, kills int) {
	for {
		select {
		case <-stop:
			return most, kills
		case <-time.After(10 * time.Millisecond):
		}
		used := m.privateMemoryMB()
		most = max(most, used)
		if used <= float64(m.memoryLimit()) {
			continue
		}
		m.signal(syscall.SIGKILL)
		m.kill()
		kills++
		m.system.record.add("platform: %s used %.0f MB of %d MB and was killed", m.name, used, m.memoryLimit())
		time.Sleep(300 * time.Millisecond)
		if err := m.start(false); err != nil {
			m.system.record.add("platform: %s", err)
			return most, kills
		}
	}
}
