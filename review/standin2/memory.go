package main

import (
	"bufio"
	"fmt"
	"maps"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// memoryPoll is the interval at which the platform looks at the memory of processes.
	memoryPoll = 10 * time.Millisecond
	// restartDelay is the short delay after which the platform starts a process again.
	restartDelay = time.Second
)

// memoryKB returns the memory of a process that no file backs.
func (p *process) memoryKB() int {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var kb int
		if n, _ := fmt.Sscanf(lines.Text(), "RssAnon: %d kB", &kb); n == 1 {
			return kb
		}
	}
	return 0
}

// memoryGuard is the part of the platform that kills processes above their memory limit and starts
// them again.
type memoryGuard struct {
	deployment *deployment
	stop       chan struct{}
	done       sync.WaitGroup

	mu     sync.Mutex
	peakKB map[string]int
	kills  map[string]int // by machine
}

func guardMemory(d *deployment) *memoryGuard {
	g := &memoryGuard{deployment: d, stop: make(chan struct{}), peakKB: make(map[string]int), kills: make(map[string]int)}
	for _, p := range d.processes {
		g.done.Go(func() { g.watch(p) })
	}
	return g
}

func (g *memoryGuard) watch(p *process) {
	limit := p.memoryLimitMB() << 10
	for {
		select {
		case <-g.stop:
			return
		case <-time.After(memoryPoll):
		}
		kb := p.memoryKB()
		g.mu.Lock()
		g.peakKB[p.name] = max(g.peakKB[p.name], kb)
		over := kb > limit
		if over {
			g.kills[p.ip]++
		}
		g.mu.Unlock()
		if !over {
			continue
		}
		g.deployment.record.add("platform: %s uses %d kB, limit %d kB", p.name, kb, limit)
		p.kill()
		time.Sleep(restartDelay)
		if err := p.start(false); err != nil {
			g.deployment.record.add("platform: %s: %s", p.name, err)
			return
		}
	}
}

func (g *memoryGuard) close() {
	close(g.stop)
	g.done.Wait()
}

// Figures of the sheets: the most turns of a program, the largest input of a turn in bytes, and how
// many times the usual traffic a burst brings.
const (
	historyTurns  = 21
	inputBytes    = 26_000
	burstPercent  = 230
	burstLength   = 5 // seconds
	bursts        = 7
	burstPause    = 4 // seconds between two bursts
	usualTurns    = 64
	memoryTurns   = 4 // events of each turn
	programsAtAll = 64
)

// memoryBurst has programs with long histories run more turns at the same moment than usual.
func memoryBurst(env *environment) error {
	const gap = 150 * time.Millisecond
	s, err := startStreams(env, []string{"huvo11a"}, memoryTurns, gap, streamRoute{prefix: "/pufi791/", backend: "huvo11a", retain: true})
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return err
	}
	g := guardMemory(s.deployment)
	defer g.close()
	last, err := s.buildHistories()
	if err != nil {
		return err
	}
	env.record.add("check: histories are kept; memory %v kB", g.peaks())
	served := new(atomic.Int64)
	failed := new(atomic.Int64)
	var clients sync.WaitGroup
	next := 0
	second := func(turns int) {
		for range turns {
			i := next % programsAtAll
			front := s.fronts[next%len(s.fronts)]
			next++
			clients.Go(func() {
				t := &turn{path: "/pufi791/4b", program: fmt.Sprintf("p%d", i), previous: last[i], input: "and now?", maxTokens: memoryTurns * stride}
				a := t.send(s.deployment, front, resumption{}, time.Now().Add(clientDeadline))
				if a.wholeAt(memoryTurns) {
					served.Add(1)
				} else {
					failed.Add(1)
				}
			})
		}
		time.Sleep(time.Second)
	}
	for range bursts {
		for range burstPause {
			second(usualTurns)
		}
		turns := usualTurns
		if env.trouble {
			turns = usualTurns * burstPercent / 100
		}
		for range burstLength {
			second(turns)
		}
	}
	clients.Wait()
	kills := g.killed()
	env.record.add("check: %d turns served, %d not; processes killed for their memory, by machine: %v; most memory: %v kB", served.Load(), failed.Load(), kills, g.peaks())
	fmt.Printf("%d turns served, %d not; processes killed for their memory, by machine: %v; most memory: %v kB\n", served.Load(), failed.Load(), kills, g.peaks())
	machines := 0
	for _, n := range kills {
		if n >= 3 {
			machines++
		}
	}
	if machines >= 2 {
		return fmt.Errorf("%w: Fault: processes on %d machines ended three times or more, over their memory: %v", errBroken, machines, kills)
	}
	return nil
}

// buildHistories runs the turns before the last one of each program, and returns the last ones.
func (s *streamDeployment) buildHistories() ([]string, error) {
	last := make([]string, programsAtAll)
	input := strings.Repeat("what was agreed. ", inputBytes/17)
	var clients sync.WaitGroup
	var mu sync.Mutex
	var failure error
	for i := range last {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			for n := range historyTurns {
				t := &turn{path: "/pufi791/4b", program: fmt.Sprintf("p%d", i), previous: last[i], input: fmt.Sprintf("%d: %s", n, input), maxTokens: memoryTurns * stride}
				whole := false
				for try := range 3 {
					a := t.send(s.deployment, s.fronts[(i+try)%len(s.fronts)], resumption{}, time.Now().Add(clientDeadline))
					if whole = a.wholeAt(memoryTurns); whole {
						last[i] = a.id
						break
					}
					time.Sleep(300 * time.Millisecond)
				}
				if !whole {
					mu.Lock()
					failure = fmt.Errorf("turn %d of program %d was not served", n, i)
					mu.Unlock()
					return
				}
			}
		})
	}
	clients.Wait()
	return last, failure
}

// peaks returns the most memory of each process so far, in kB.
func (g *memoryGuard) peaks() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.peakKB)
}

// killed returns how often processes were killed, by machine.
func (g *memoryGuard) killed() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.kills)
}
