package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of a small deployment: one of six fronts is killed, a share of 0.17.
const (
	frontCount   = 6
	startTimeout = 20 * time.Second
)

// zoneNames are the zones of a deployment.
var zoneNames = []string{"zone-a", "zone-b", "zone-c"}

// streamDeployment is a deployment with three stores, one of whose fronts may be killed.
type streamDeployment struct {
	*deployment
	fronts  []*process
	workers []*worker
}

func (s *streamDeployment) close() {
	for _, w := range s.workers {
		w.close()
	}
	s.deployment.close()
}

// startStreams starts the processes and two workers of each service, and waits until the fronts serve
// the first config.
func startStreams(env *environment, services []string, events int, gap time.Duration, routes ...streamRoute) (*streamDeployment, error) {
	d, err := newDeployment(env.program, env.dir, tolerance{machines: 1}, env.record)
	if err != nil {
		return nil, err
	}
	s := &streamDeployment{deployment: d}
	for i, zone := range zoneNames {
		d.addStore(1+i, zone, true)
	}
	for i := range frontCount {
		s.fronts = append(s.fronts, d.addFront(11+i, zoneNames[i%len(zoneNames)]))
	}
	for _, front := range s.fronts[:len(zoneNames)] {
		d.addStandby(front)
	}
	if err := d.start(); err != nil {
		return s, err
	}
	for i, service := range services {
		for n := range 2 {
			w, err := startWorker(d, 2*i+n, service, "v1", events, gap)
			if err != nil {
				return s, err
			}
			s.workers = append(s.workers, w)
		}
	}
	if err := d.putConfig(startTimeout, 1, services, routes...); err != nil {
		return s, err
	}
	if err := d.awaitReady(startTimeout); err != nil {
		return s, err
	}
	// All reports of the workers have reached all fronts, and all machines are in touch.
	time.Sleep(4 * time.Second)
	return s, nil
}

// taken is a stream and how its client fared.
type taken struct {
	turn  *turn
	first *attempt
	again *attempt // the take-up, nil if the first attempt was not broken off
	end   time.Time
}

// victim returns the front that may be killed. Its machine has no standby, so that it is none of the core.
func (s *streamDeployment) victim() *process { return s.fronts[len(s.fronts)-1] }

// other returns one of the fronts that are not killed.
func (s *streamDeployment) other(n int) *process { return s.fronts[n%(len(s.fronts)-1)] }

// playStreams begins streams at the victim, calls disrupt after a while, and takes the streams that
// broke off up at the other fronts, each once.
func (s *streamDeployment) playStreams(turns []*turn, after time.Duration, disrupt func()) []*taken {
	list := make([]*taken, len(turns))
	var clients sync.WaitGroup
	for i, t := range turns {
		clients.Go(func() {
			k := &taken{turn: t, end: time.Now().Add(clientDeadline)}
			list[i] = k
			k.first = t.send(s.deployment, s.victim(), resumption{}, k.end)
			if k.first.complete || k.first.lastEvent == "" {
				return
			}
			front := s.other(i)
			k.again = t.send(s.deployment, front, resumption{resumes: k.first.id, lastEvent: k.first.lastEvent}, k.end)
		})
	}
	time.Sleep(after)
	disrupt()
	clients.Wait()
	return list
}

// beginStreams begins new streams at the fronts that are not killed, and returns how many began.
func (s *streamDeployment) beginStreams(turns []*turn) int {
	var clients sync.WaitGroup
	began := make([]bool, len(turns))
	for i, t := range turns {
		clients.Go(func() {
			front := s.other(i)
			began[i] = t.send(s.deployment, front, resumption{}, time.Now().Add(clientDeadline)).lastEvent != ""
		})
	}
	clients.Wait()
	count := 0
	for _, b := range began {
		if b {
			count++
		}
	}
	return count
}

// Streams of the cases about take-ups. The rule counts from 12 streams on.
const (
	takeUpStreams = 40
	takeUpLeast   = 12
)

// checkTakeUps checks LOST for streams that clients took up: the share that goes on must not be under
// half of the share of new streams that begin.
func (s *streamDeployment) checkTakeUps(list []*taken, events, began, begun int) error {
	takenUp, wentOn := 0, 0
	refusals := make(map[string]int)
	for _, k := range list {
		if k.again == nil {
			continue
		}
		takenUp++
		if k.again.lastEvent != "" {
			wentOn++
		} else {
			refusals[fmt.Sprintf("%d%s", k.again.status, k.again.reason)]++
		}
		if k.again.status == http.StatusOK && !k.again.wholeAt(events) {
			s.record.add("check: take-up %s did not end: up to %q", k.again.id, k.again.lastEvent)
		}
	}
	s.record.add("check: %d of %d streams taken up went on, %d of %d new streams began; refusals %v", wentOn, takenUp, began, begun, refusals)
	fmt.Printf("%d of %d streams taken up went on, %d of %d new streams began; refusals %v\n", wentOn, takenUp, began, begun, refusals)
	if began < begun/2 {
		return fmt.Errorf("only %d of %d new streams began: the case shows nothing", began, begun)
	}
	if takenUp < takeUpLeast {
		return nil
	}
	if float64(wentOn)/float64(takenUp) < 0.5*float64(began)/float64(begun) {
		return fmt.Errorf("%w: LOST: %d of %d streams taken up went on, while %d of %d new streams began", errBroken, wentOn, takenUp, began, begun)
	}
	return nil
}

// requireTakeUps returns an error if a disruption has broken off too few streams for the rule.
func requireTakeUps(list []*taken) error {
	takenUp := 0
	for _, k := range list {
		if k.again != nil {
			takenUp++
		}
	}
	if takenUp < takeUpLeast {
		return fmt.Errorf("only %d streams were broken off", takenUp)
	}
	return nil
}

func streamTurns(path string, count, events int, programs bool) []*turn {
	turns := make([]*turn, count)
	for i := range turns {
		turns[i] = &turn{path: path, input: fmt.Sprintf("plan %d;", i), maxTokens: events * stride}
		if programs {
			turns[i].program = fmt.Sprintf("%06x", 0x3fa800+int(attempts.Add(1)))
		}
	}
	return turns
}

// splitResumed kills a front while streams run on a route that is split between three services, and has
// their clients take them up. The requests belong to no program.
func splitResumed(env *environment) error {
	const events, gap = 12, 200 * time.Millisecond
	services := []string{"huvo11a", "wuno96b", "dele69a"}
	route := streamRoute{prefix: "/lohu930/", split: []share{{services[0], 1}, {services[1], 1}, {services[2], 1}}, resumable: true}
	s, err := startStreams(env, services, events, gap, route)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return err
	}
	list := s.playStreams(streamTurns("/lohu930/2f", takeUpStreams, events, false), 1200*time.Millisecond, func() {
		if env.trouble {
			s.victim().kill()
		}
	})
	began := s.beginStreams(streamTurns("/lohu930/2f", takeUpStreams, events, false))
	if env.trouble {
		if err := requireTakeUps(list); err != nil {
			return err
		}
	}
	return s.checkTakeUps(list, events, began, takeUpStreams)
}

// weightsMoved moves the weights of a split route from one service to another while streams of programs
// run, then kills a front, and has their clients take the streams up. Both services stay in the route,
// and all their workers serve.
func weightsMoved(env *environment) error {
	const events, gap = 18, 250 * time.Millisecond
	services := []string{"huvo11a", "wuno96b"}
	route := func(first, second float64) streamRoute {
		return streamRoute{prefix: "/lohu930/", split: []share{{services[0], first}, {services[1], second}}, resumable: true}
	}
	s, err := startStreams(env, services, events, gap, route(90, 10))
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return err
	}
	var configErr error
	list := s.playStreams(streamTurns("/lohu930/2f", takeUpStreams, events, true), 300*time.Millisecond, func() {
		if !env.trouble {
			return
		}
		configErr = s.putConfig(2*time.Second, 2, services, route(10, 90))
		time.Sleep(2200 * time.Millisecond) // config_ms is 2,000
		s.victim().kill()
	})
	if configErr != nil {
		return configErr
	}
	began := s.beginStreams(streamTurns("/lohu930/2f", takeUpStreams, events, true))
	if env.trouble {
		if err := requireTakeUps(list); err != nil {
			return err
		}
	}
	return s.checkTakeUps(list, events, began, takeUpStreams)
}

// keptResumed kills a front while turns run on a route whose turns are kept and whose streams may be
// resumed, has their clients take the streams up, and continues the programs from the turns.
func keptResumed(env *environment) error {
	const events, gap, programs = 12, 150 * time.Millisecond, 24
	s, err := startStreams(env, []string{"huvo11a"}, events, gap, streamRoute{prefix: "/pufi791/", backend: "huvo11a", retain: true, resumable: true})
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return err
	}
	turns := streamTurns("/pufi791/4b", programs, events, true)
	list := s.playStreams(turns, 900*time.Millisecond, func() {
		if env.trouble {
			s.victim().kill()
		}
	})
	type next struct {
		turn     *turn
		previous *taken
		ids      []string
	}
	var seconds []*next
	for i, k := range list {
		whole := k.first
		if k.again != nil {
			whole = k.again
		}
		if !whole.wholeAt(events) {
			continue
		}
		n := &next{previous: k, turn: &turn{path: k.turn.path, program: k.turn.program, previous: whole.id, input: fmt.Sprintf("agreed %d;", i), maxTokens: events * stride}}
		seconds = append(seconds, n)
	}
	var clients sync.WaitGroup
	for i, n := range seconds {
		clients.Go(func() {
			end := time.Now().Add(clientDeadline)
			for try := range 2 {
				a := n.turn.send(s.deployment, s.other(i+try), resumption{}, end)
				n.ids = append(n.ids, a.id)
				if a.status != http.StatusServiceUnavailable {
					return
				}
			}
		})
	}
	clients.Wait()
	var output strings.Builder
	for i := 1; i <= events; i++ {
		output.WriteString(eventText(i) + "\n")
	}
	runs := runsOf(s.workers)
	taken, ran, wrong, example := 0, 0, 0, ""
	for _, n := range seconds {
		if n.previous.again != nil {
			taken++
		}
		want := n.previous.turn.input + output.String() + n.turn.input
		for _, id := range n.ids {
			for _, r := range runs[id] {
				ran++
				if r.body != want {
					wrong++
					example = fmt.Sprintf("request %s, Previous-Turn %s: worker %s got %q instead of %q", id, n.turn.previous, r.worker, r.body, want)
					env.record.add("check: wrong body: %s", example)
				}
			}
		}
	}
	env.record.add("check: %d of %d first turns ended whole, %d of them after a take-up; %d second turns ran, %d with a wrong body", len(seconds), programs, taken, ran, wrong)
	fmt.Printf("%d of %d first turns ended whole, %d of them after a take-up; %d second turns ran, %d with a wrong body\n", len(seconds), programs, taken, ran, wrong)
	if wrong > 0 {
		return fmt.Errorf("%w: UNASKED: %d of %d second turns ran with a body that isn't the chain's: %s", errBroken, wrong, ran, example)
	}
	if ran == 0 || env.trouble && taken == 0 {
		return fmt.Errorf("%d second turns ran, %d after a take-up: the case shows nothing", ran, taken)
	}
	return nil
}
