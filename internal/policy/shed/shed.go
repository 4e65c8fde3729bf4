// Package shed decides which new programs are refused while running programs lack servers.
//
// It answers a service whose servers name limits below the load for seconds. A program needs all of its turns and calls: if each request is refused
// with the same probability, nearly every program loses one, and the work of the others is
// lost with it; if each waits, nearly every program is late. So requests of running programs
// that wait or are refused lower the share of new programs that are admitted, until the
// running ones are served. Without a limit nobody is refused: turns that are late or slow then
// come from faults of some servers, and refusing programs would not mend them.
package shed

import (
	"math"
	"time"
)

const (
	// decreaseFactor multiplies the level when a request of a running program lacks a server, at
	// most once in decreaseInterval.
	decreaseFactor   = 0.8
	decreaseInterval = 100 * time.Millisecond
	// increasePerSecond is by how much the level grows while no such request lacks one.
	increasePerSecond = 0.1
	// strainSmoothing is the weight of a turn in the moving share of those under strain, and
	// maxStrainedShare the share above which the servers as a whole are overloaded, rather than
	// some of them.
	strainSmoothing  = 0.05
	maxStrainedShare = 0.1
	// toleratedLevel is the level above which all programs are admitted: one request that waits
	// is no shortage.
	toleratedLevel = 0.75
	// minLevel keeps some programs of each kind.
	minLevel = 0.05
	// minRetryAfter and maxRetryAfter limit when refused programs may return.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

// Level is the share of new programs of one service that is admitted, between minLevel and 1. It is not
// safe for concurrent use.
type Level struct {
	missing     float64 // of a full level
	updated     time.Duration
	decreasedAt time.Duration
	decreased   bool    // decreasedAt is set
	strained    float64 // moving share of turns under strain
}

// value returns the level at a time.
func (l *Level) value(now time.Duration) float64 {
	return min(1, 1-l.missing+increasePerSecond*max(0, now-l.updated).Seconds())
}

// RecordShortage records that a request of a running program waited, or was refused, since its
// service lacks servers.
func (l *Level) RecordShortage(now time.Duration) {
	if l.decreased && now-l.decreasedAt < decreaseInterval {
		return
	}
	l.missing = 1 - max(minLevel, l.value(now)*decreaseFactor)
	l.updated, l.decreasedAt, l.decreased = now, now, true
}

// RecordTurn records how a turn of a running program was served. It was under strain if its
// server refused it or responded late or slowly. Many such turns are a shortage while servers
// of the service name limits; without a limit, the turn counts for nothing.
func (l *Level) RecordTurn(now time.Duration, limited, strained bool) {
	if !limited {
		return
	}
	observed := 0.0
	if strained {
		observed = 1
	}
	l.strained += strainSmoothing * (observed - l.strained)
	if strained && l.strained > maxStrainedShare {
		l.RecordShortage(now)
	}
}

// Admit reports whether a program that begins on a route of the given priority is admitted,
// 0 being the most urgent. limited says that a server of the service names a limit; without
// one, all programs are admitted. draw is a random number between 0 and 1. Less urgent
// programs are refused first.
func (l *Level) Admit(now time.Duration, limited bool, priority int, draw float64) bool {
	level := l.value(now)
	if !limited || level > toleratedLevel {
		return true
	}
	return draw < math.Pow(level, exponent(priority))
}

// exponent returns the power of the level with which programs of a priority are admitted.
func exponent(priority int) float64 {
	if priority <= 0 {
		return 0.5
	}
	return 2
}

// RetryAfter returns after which time a refused program may return: half of the time in which
// the level would recover.
func (l *Level) RetryAfter(now time.Duration) time.Duration {
	recovery := time.Duration((1 - l.value(now)) / increasePerSecond / 2 * float64(time.Second))
	return min(max(recovery, minRetryAfter), maxRetryAfter)
}
