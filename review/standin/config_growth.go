package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// addedRoutes is the number of routes by which the configuration grows, growths times.
	addedRoutes = 1700
	growths     = 3
	// Storms of changes follow: one each changePause at the most, for stormFor, then stormPause.
	changes     = 600
	changePause = 60 * time.Millisecond
	stormFor    = 1500 * time.Millisecond
	stormPause  = time.Second
	lengthLimit = 92 * time.Second // of the changes
	// endsLimit is the number of times that the processes of a machine may end by themselves, and
	// machinesLimit the number of machines on which they may do so.
	endsLimit     = 3
	machinesLimit = 2
)

// memoryLimits are those of the settings, in bytes.
var memoryLimits = map[string]int64{"statehost": 144 << 20, "standby": 134 << 20, "entry": 134 << 20}

// configGrowth makes the configuration grow by many routes and changes a time-out hundreds of
// times. The platform kills a process that uses more than its memory limit, and starts it again.
func configGrowth(s *system, trouble bool) (bool, error) {
	if err := s.start(); err != nil {
		return false, err
	}
	w := &worker{id: "i-1", service: "app", zone: zones[0], slots: 6, queue: 6, work: func(*http.Request) time.Duration { return 20 * time.Millisecond }}
	if _, err := startWorker(s, w, s.net+".40"); err != nil {
		return false, err
	}
	time.Sleep(settleTime / 2)
	o := operator{system: s}
	services := []any{plainService("app")}
	if _, err := o.putConfig(1, []any{plainRoute("first", "/first/", "safe", "app", 1500)}, services); err != nil {
		return false, err
	}
	time.Sleep(settleTime / 2)
	stop, killed := make(chan struct{}), make(chan map[string]int, 1)
	watcher := &memoryWatcher{system: s, most: make(map[*process]int64), ends: make(map[string]int)}
	go func() { killed <- watcher.run(stop) }()
	limit := time.Now().Add(lengthLimit)
	storm := time.Now()
	for version := 2; version < 2+changes && time.Now().Before(limit) && !watcher.broken.Load(); version++ {
		routes := []any{plainRoute("first", "/first/", "safe", "app", 1500+version)}
		for i := 0; trouble && i < addedRoutes*min(version-1, growths); i++ {
			routes = append(routes, plainRoute(fmt.Sprintf("r-%07d", i), fmt.Sprintf("/added-%05d/", i), "safe", "app", 1500))
		}
		next := time.Now().Add(changePause)
		if _, err := o.putConfig(version, routes, services); err != nil {
			s.record.line("no ack of version %d: %v", version, err)
			break
		}
		time.Sleep(time.Until(next))
		if time.Since(storm) >= stormFor {
			time.Sleep(stormPause)
			storm = time.Now()
		}
	}
	close(stop)
	for name, ends := range <-killed {
		s.record.line("%s: processes ended by themselves %d times", name, ends)
	}
	s.record.line("%d machines on which processes ended by themselves %d times or more", watcher.machines(), endsLimit)
	return watcher.broken.Load(), nil
}

// memoryWatcher does what the platform does: it kills each process that uses more than its limit,
// and starts it again.
type memoryWatcher struct {
	system *system
	most   map[*process]int64
	ends   map[string]int // by machine
	broken atomic.Bool    // machinesLimit is reached
}

// machines returns the number of machines on which processes ended endsLimit times or more.
func (w *memoryWatcher) machines() int {
	n := 0
	for _, ends := range w.ends {
		if ends >= endsLimit {
			n++
		}
	}
	return n
}

// run watches the processes until stop is closed, and returns how often they ended, by machine.
func (w *memoryWatcher) run(stop <-chan struct{}) map[string]int {
	s := w.system
	for tick := 0; ; tick++ {
		select {
		case <-stop:
			for _, p := range s.all() {
				s.record.line("%s %s: at most %d MB of %d MB", p.name, p.role, w.most[p]>>20, memoryLimits[p.role]>>20)
			}
			return w.ends
		case <-time.After(100 * time.Millisecond):
		}
		for _, p := range s.all() {
			used := p.memory()
			w.most[p] = max(w.most[p], used)
			if tick%50 == 0 && p.role == "statehost" {
				s.record.line("%s %s uses %d MB", p.name, p.role, used>>20)
			}
			if used > memoryLimits[p.role] {
				w.restart(p, used)
			}
		}
	}
}

// restart kills a process that uses too much, and starts it again after a short delay.
func (w *memoryWatcher) restart(p *process, used int64) {
	w.ends[p.name]++
	w.broken.Store(w.machines() >= machinesLimit)
	w.system.record.line("the platform kills %s %s: it uses %d MB, its limit is %d MB", p.name, p.role, used>>20, memoryLimits[p.role]>>20)
	p.kill()
	time.Sleep(300 * time.Millisecond)
	if err := p.start(false); err != nil {
		w.system.record.line("not started: %v", err)
	}
}

// memory returns the resident memory of the process that is no page of a file, in bytes.
func (p *process) memory() int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if text, found := strings.CutPrefix(line, "RssAnon:"); found {
			kilobytes, _ := strconv.ParseInt(strings.Fields(text)[0], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}
