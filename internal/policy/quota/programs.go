package quota

import "time"

const (
	// horizon is the time within which admitted programs make most of their requests.
	horizon = 4 * time.Second
	// commitmentPeriod is the time constant at which programs that ended early are forgotten.
	commitmentPeriod = 10 * time.Second
	// programPeriod is the time constant of the expected requests of a program.
	programPeriod = 30 * time.Second
	// The requests of a program that are expected before any was observed, the number of
	// programs that this counts for, and the most that are expected.
	initialRequests = 10
	initialPrograms = 2
	maxRequests     = 200
	// knownPeriod is how long a program counts as running after it was admitted or named again,
	// and maxKnown the number of them that are remembered.
	knownPeriod = time.Minute
	maxKnown    = 4096
)

// programs is what is known of the programs of one account.
type programs struct {
	requests, begun decayingSum
	committed       decayingSum              // requests that admitted programs are expected to make yet
	known           map[uint64]time.Duration // admitted programs, when they were named last
}

// expected returns the number of requests that a program is expected to make.
func (p *programs) expected(now time.Duration) float64 {
	requests := p.requests.get(now, programPeriod) + initialRequests*initialPrograms
	count := p.begun.get(now, programPeriod) + initialPrograms
	return min(max(1, requests/count), maxRequests)
}

// begin records programs that began.
func (p *programs) begin(now time.Duration, count int) {
	p.committed.add(now, p.expected(now)*float64(count), commitmentPeriod)
	p.begun.add(now, float64(count), programPeriod)
}

// use records requests.
func (p *programs) use(now time.Duration, count int) {
	p.requests.add(now, float64(count), programPeriod)
	p.committed.add(now, -float64(count), commitmentPeriod)
	p.committed.value = max(0, p.committed.value)
}

// excess returns the requests, of admitted programs and of one more, that don't come in
// within the horizon.
func (p *programs) excess(now time.Duration, level, perSecond float64) float64 {
	return p.committed.get(now, commitmentPeriod) + p.expected(now) - level - perSecond*horizon.Seconds()
}

// running reports whether a program was admitted.
func (p *programs) running(now time.Duration, program uint64) bool {
	named, ok := p.known[program]
	if !ok || now-named > knownPeriod {
		return false
	}
	p.known[program] = now
	return true
}

// remember records that a program was admitted.
func (p *programs) remember(now time.Duration, program uint64) {
	if p.known == nil {
		p.known = make(map[uint64]time.Duration)
	}
	if len(p.known) >= maxKnown {
		p.forget(now)
	}
	if len(p.known) < maxKnown {
		p.known[program] = now
	}
}

// forget drops programs that were not named lately.
func (p *programs) forget(now time.Duration) {
	for program, named := range p.known {
		if now-named > knownPeriod {
			delete(p.known, program)
		}
	}
}
