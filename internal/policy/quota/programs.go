package quota

import "time"

const (
	// programPeriod is the time constant of the expected requests of a program.
	programPeriod = 30 * time.Second
	// deniedPeriod is the time constant at which denied programs count as ahead of others.
	deniedPeriod = time.Second
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
	committed       float64                  // expected requests of admitted programs for which permits must come in yet
	drained         time.Duration            // when committed was current
	denied          decayingSum              // programs
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
	p.committed += p.expected(now) * float64(count)
	p.begun.add(now, float64(count), programPeriod)
}

// drain takes what came in since the last call off the commitment.
func (p *programs) drain(now time.Duration, perSecond float64) {
	p.committed = max(0, p.committed-perSecond*max(0, now-p.drained).Seconds())
	p.drained = max(p.drained, now)
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
