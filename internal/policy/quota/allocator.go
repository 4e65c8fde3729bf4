package quota

import (
	"hash/fnv"
	"math"
	"time"

	"ibistray.example/ibistray/internal/account"
)

const (
	// prefetchReserve is the share of the capacity that is left to requests that wait when
	// entries ask for what they expect.
	prefetchReserve = 0.4
	// programReserve is the share of the capacity that new programs leave to running ones.
	programReserve = 0.2
	// fullMargin is the share of the capacity below which a bucket counts as full.
	fullMargin = 0.1
	// fullPeriod is the time between programs that are admitted because the bucket is full, and
	// permits that come in would be lost.
	fullPeriod = 100 * time.Millisecond
	// New programs may begin without being named while openLevel of the capacity is available
	// and the use is at most openUse of the rate.
	openLevel = 0.3
	openUse   = 0.8
	maxOpen   = time.Second
	// minRetry and maxRetry limit the time after which denied requests are asked for again, and
	// retrySpread is the share by which it differs between entries.
	minRetry    = 50 * time.Millisecond
	maxRetry    = 5 * time.Second
	retrySpread = 0.25
	// idlePeriod is the time after which an entry or an account that did not ask is dropped.
	idlePeriod = 30 * time.Second
)

// Allocator gives out the permits of accounts during one leadership. It is not safe for
// concurrent use.
type Allocator struct {
	window   Window
	started  time.Duration
	accounts map[string]*accountState
	running  map[string][]uint64 // programs that ran before, of accounts that are not in accounts yet
}

// accountState is one account's permits and the demand for them.
type accountState struct {
	bucket   *bucket
	programs programs
	use      decayingSum // of all entries
	entries  map[string]*entryState
	asked    time.Duration
	denied   time.Duration // until when requests that were denied ask again
	filled   time.Duration // when a program was last admitted because the bucket was full
}

// entryState is what is known of an entry.
type entryState struct {
	session     *session
	use         decayingSum
	asked       time.Duration
	unmet       int // requests that were denied
	deniedUntil time.Duration
}

// NewAllocator returns the allocator of a leadership that begins at started. No other
// allocator may grant anything after that. It begins without permits, and earlier ones' are
// taken to be valid until PermitLifetime has passed. running holds the programs that are known
// to run, hashed, by account: after a loss of all hosts no entry remembers them, and they would
// be denied like new ones while permits are scarce.
func NewAllocator(w Window, started time.Duration, running map[string][]uint64) *Allocator {
	return &Allocator{window: w, started: started, accounts: make(map[string]*accountState), running: running}
}

// Ask handles what an entry reports and wants. The limit applies from then on. PerSecond must
// be positive.
func (a *Allocator) Ask(now time.Duration, name string, limit account.Limit, ask Ask) Grant {
	state := a.accounts[name]
	if state == nil {
		state = &accountState{bucket: newBucket(a.window, a.started, limit), entries: make(map[string]*entryState)}
		a.accounts[name] = state
		for _, program := range a.running[name] {
			state.programs.remember(now, program)
		}
		delete(a.running, name)
	}
	state.asked = now
	state.bucket.advance(now)
	state.programs.drain(now, limit.PerSecond)
	state.bucket.limit = limit
	state.bucket.refill(now)
	entry := state.entry(now, ask)
	grant := Grant{Session: entry.session.id, Before: entry.session.granted}
	state.serveWaiting(now, entry, ask, &grant)
	state.servePrograms(now, entry, ask, &grant)
	state.prefetch(now, entry, ask, &grant)
	grant.Open = state.open(now)
	return grant
}

// Remember records that programs of an account run which began without being named in an ask. An
// entry that sees one of them for the first time takes it for a new one.
func (a *Allocator) Remember(now time.Duration, name string, programs []uint64) {
	state := a.accounts[name]
	if state == nil {
		return
	}
	for _, program := range programs {
		state.programs.remember(now, program)
	}
}

// entry returns the state of the entry that asks, with its report recorded. A report of an
// unknown session counts for nothing, since its permits are of another allocator, or were
// granted in a response that the entry did not receive.
func (s *accountState) entry(now time.Duration, ask Ask) *entryState {
	e := s.entries[ask.Entry]
	if e == nil {
		e = new(entryState)
		s.entries[ask.Entry] = e
	}
	e.asked = now
	if e.session == nil || e.session.id != ask.Session {
		e.session = newSession()
		return e
	}
	if begun := ask.Begun - e.session.begun; begun > 0 {
		e.session.begun = ask.Begun
		s.programs.begin(now, begun)
	}
	if used := s.bucket.report(now, e.session, ask); used > 0 {
		s.programs.requests.add(now, float64(used), programPeriod)
		s.use.add(now, float64(used), ratePeriod)
		e.use.add(now, float64(used), ratePeriod)
	}
	return e
}

// serveWaiting grants permits for requests of running programs that wait, as far as there are
// any. While requests wait at other entries too, this one gets its share.
func (s *accountState) serveWaiting(now time.Duration, e *entryState, ask Ask, g *Grant) {
	waiting := min(ask.Waiting, ask.Wanted)
	e.unmet, e.deniedUntil = 0, 0
	available := math.Floor(s.bucket.level)
	if others := s.ahead(now); others > 0 {
		available = min(available, max(1, math.Ceil(available*float64(waiting)/float64(others+waiting))))
	}
	g.Permits = min(waiting, int(available))
	s.bucket.grant(now, e.session, g.Permits)
	if g.Permits >= waiting {
		return
	}
	g.Retry = s.retry(ask.Entry, float64(1+s.ahead(now))-s.bucket.level)
	e.unmet, e.deniedUntil = waiting-g.Permits, now+g.Retry
	s.denied = max(s.denied, e.deniedUntil)
}

// ahead returns the number of requests that were denied and wait.
func (s *accountState) ahead(now time.Duration) int {
	if now >= s.denied {
		return 0
	}
	ahead := 0
	for _, e := range s.entries {
		if now < e.deniedUntil {
			ahead += e.unmet
		}
	}
	return ahead
}

// servePrograms admits new programs while enough is left for running ones, and no faster than
// the permits for their expected requests come in.
func (s *accountState) servePrograms(now time.Duration, e *entryState, ask Ask, g *Grant) {
	for _, program := range ask.Programs {
		running := s.programs.running(now, program)
		missing := s.missing(now, running)
		g.Admitted = append(g.Admitted, missing <= 0)
		g.Running = append(g.Running, running)
		if missing > 0 && running {
			continue // it asks again as a request that waits
		}
		if missing > 0 {
			missing += s.programs.denied.get(now, deniedPeriod) * s.programs.expected(now)
			s.programs.denied.add(now, 1, deniedPeriod)
			g.ProgramRetry = max(g.ProgramRetry, s.retry(ask.Entry, missing))
			continue
		}
		s.bucket.grant(now, e.session, 1)
		if !running {
			s.programs.begin(now, 1)
			s.programs.remember(now, program)
		}
	}
	if g.Retry == 0 {
		g.Retry = g.ProgramRetry
	}
}

// missing returns the number of permits that must come in until a program may begin, 0 or
// less if it may begin now.
func (s *accountState) missing(now time.Duration, running bool) float64 {
	missing := 1 - s.bucket.level
	if running {
		return missing
	}
	if s.bucket.full(now) && now-s.filled >= fullPeriod {
		s.filled = now
		return missing
	}
	if !s.bucket.early(now) {
		missing += programReserve * s.bucket.capacity(now)
	}
	return missing + max(float64(s.ahead(now)), s.programs.committed-s.programs.expected(now))
}

// prefetch grants permits for what the entry expects, at most its share of what is above the
// reserve, by the latest use.
func (s *accountState) prefetch(now time.Duration, e *entryState, ask Ask, g *Grant) {
	spare := s.bucket.level - prefetchReserve*s.bucket.capacity(now)
	wanted := ask.Wanted - g.Permits
	if spare < 1 || wanted <= 0 || g.Permits < ask.Waiting {
		return
	}
	share := 1.0
	if total := s.use.get(now, ratePeriod); total > 0 {
		share = min(1, e.use.get(now, ratePeriod)/total)
	}
	permits := min(wanted, int(max(1, spare*share)))
	s.bucket.grant(now, e.session, permits)
	g.Permits += permits
}

// open returns for how long programs may begin without being named: while the account is far
// below its limit.
func (s *accountState) open(now time.Duration) time.Duration {
	rate := s.use.get(now, ratePeriod) / ratePeriod.Seconds()
	spare := 1 - rate/s.bucket.limit.PerSecond
	if spare < 1-openUse || s.bucket.level < openLevel*s.bucket.window.capacity(s.bucket.limit) || now < s.denied {
		return 0
	}
	return min(maxOpen, time.Duration(2*spare*float64(time.Second)))
}

// retry returns the time in which a number of permits comes in, longer for some entries.
func (s *accountState) retry(entry string, missing float64) time.Duration {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(entry))
	spread := 1 + retrySpread*float64(hash.Sum32())/math.MaxUint32
	seconds := min(max(missing, 0)/s.bucket.limit.PerSecond*spread, maxRetry.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), minRetry)
}

// Prune drops the entries that did not ask lately, and the accounts that nobody asked for
// lately, as soon as their permits are what a new account begins with.
func (a *Allocator) Prune(now time.Duration) {
	for name, s := range a.accounts {
		s.bucket.advance(now)
		s.programs.forget(now)
		for entry, e := range s.entries {
			if now-e.asked > idlePeriod {
				delete(s.entries, entry)
			}
		}
		b := s.bucket
		if now-s.asked > idlePeriod && b.outstanding == 0 && b.level >= b.capacity(now) {
			delete(a.accounts, name)
		}
	}
}
