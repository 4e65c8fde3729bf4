// Package quota decides which requests of a client account run, so that the account's limit
// holds over all entries together.
//
// It answers accounts of a few to some hundred requests a second whose load reaches up to
// hundreds of entries unevenly, on a platform that counts requests in sliding windows. A fixed
// share for each entry would leave most of a limit unused or refuse requests that lie below
// it. So one Allocator gives out permits, each entry keeps a Stock of a few of them for what it
// expects, and a permit is valid for PermitLifetime only, so that an entry that is lost or out
// of touch can't exceed the limit later. When an account reaches its limit, its running
// programs come first: a program that loses one request has used the others for nothing.
//
// In any sliding window of Window.Period, the requests that take a permit are at most
//
//	(PerSecond*Period + Burst) * (1 + Excess) + Slack
//
// whatever messages are lost, late, duplicated or out of order, and however often the
// allocator changes. Decisions are pure functions of their inputs; they read no clock.
package quota

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"ibistray.example/ibistray/internal/account"
)

// PermitLifetime is how long permits are valid after the entry asked for them, on a clock that
// counts suspension.
const PermitLifetime = 2 * time.Second

const (
	// A denied request of a running program waits if it gets its permit within runningWaitShare
	// of its time left, one that begins a program within newProgramWaitShare: the callers need
	// the rest to be served.
	runningWaitShare    = 0.4
	newProgramWaitShare = 0.1
	// ratePeriod is the time constant of the rates at which entries use permits.
	ratePeriod = 4 * time.Second
)

// Window says how limits are measured: in sliding windows of Period, with a tolerance of a
// share Excess and a number Slack of requests. Half of the tolerance together with the burst
// must be at least one request, otherwise nothing is granted.
type Window struct {
	Period        time.Duration
	Excess, Slack float64
}

// tolerance returns the number of requests that a window may hold beyond a limit.
func (w Window) tolerance(limit account.Limit) float64 {
	return w.Excess*(limit.PerSecond*w.Period.Seconds()+limit.Burst) + w.Slack
}

// capacity returns the most permits that may be available or in hand at a time. The rest of
// the tolerance is for what several allocators give out within PermitLifetime.
func (w Window) capacity(limit account.Limit) float64 {
	return limit.Burst + w.tolerance(limit)/2
}

// earlyCapacity is the capacity of an allocator of an age below PermitLifetime, when permits of
// earlier ones may still be valid. It is proportional to the age, so that any number of
// allocators that follow one another within PermitLifetime share half of the tolerance.
func (w Window) earlyCapacity(limit account.Limit, age time.Duration) float64 {
	return min(w.capacity(limit), w.tolerance(limit)/2*max(0, age.Seconds())/PermitLifetime.Seconds())
}

// Ask is what an entry reports and wants of one account's limit. Used, Returned and Begun are
// sums since the session began, so that asks may be lost, duplicated or late.
type Ask struct {
	Entry    string
	Session  uint64   // from the latest Grant, 0: none
	Used     int      // permits used in the session
	Returned int      // permits of the session given back unused (expired or surplus)
	Begun    int      // programs that began in the session without being named in Programs
	Waiting  int      // requests of running programs that wait for a permit
	Wanted   int      // permits for the requests that wait and for expected use
	Programs []uint64 // hashed IDs of programs that want to begin
}

// Grant is the response to an Ask.
type Grant struct {
	Session  uint64 // to name in the next Ask
	Before   int    // permits that were granted in the session before
	Permits  int
	Admitted []bool // one for each of Ask.Programs; each admitted one has a permit of its own (not counted in Permits)
	// Running has one element for each of Ask.Programs: the program has begun before. If it was
	// not admitted, its request waits like others of running programs.
	Running []bool
	// Retry is the time until what was denied may be granted, 0 if nothing was denied. If both
	// requests and programs were denied, it is that of the requests.
	Retry        time.Duration
	ProgramRetry time.Duration // the time until programs may be admitted, 0 if none was denied
	Open         time.Duration // for how long programs may begin with permits in hand, without being named in an ask
}

// HashProgram returns the number that stands for the ID of a program in asks.
func HashProgram(id string) uint64 { return xxhash.Sum64String(id) }

// Wait reports whether a request that was denied waits at the entry rather than being refused
// at once: whether it may be granted, after retry, early enough in its time left.
func Wait(newProgram bool, retry, left time.Duration) bool {
	share := runningWaitShare
	if newProgram {
		share = newProgramWaitShare
	}
	return left > 0 && retry.Seconds() <= share*left.Seconds()
}

// decayingSum is a sum whose parts lose weight over time.
type decayingSum struct {
	value float64
	at    time.Duration
}

// add adds an amount.
func (d *decayingSum) add(now time.Duration, amount float64, timeConstant time.Duration) {
	d.value = d.get(now, timeConstant) + amount
	d.at = max(d.at, now)
}

// get returns the sum at a time.
func (d *decayingSum) get(now, timeConstant time.Duration) float64 {
	return d.value * math.Exp(-max(0, now-d.at).Seconds()/timeConstant.Seconds())
}
