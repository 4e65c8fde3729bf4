// Package quarantine identifies requests that crash backend servers. When a server
// crashes, each request that ran on it becomes a suspect, identified by the
// fingerprint of its content. A suspect runs alone on a server: if that server
// crashes too, the request is quarantined; if the request ends, it is cleared.
//
// A request that runs on one server at a time crashes at most MaxServersLost
// servers: one before it is a suspect and one while it runs alone. If the same
// content runs n times concurrently, for example because its caller resends it
// under new call IDs, it crashes at most n times as many. The bound holds for
// starts at processes that have received the fingerprint's record; each start at
// another process may crash one more server. The other requests of the batch are
// cleared when they run alone and end.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"time"
)

// MaxServersLost is the maximum number of servers that a request crashes, per copy
// of it that runs concurrently.
const MaxServersLost = 2

// suspicionPeriod is the time after which a suspect that was not sent again is
// cleared.
const suspicionPeriod = time.Hour

// Fingerprint identifies the content of a request, not the call that carries it.
type Fingerprint [sha256.Size]byte

// ComputeFingerprint returns the fingerprint of a request, computed from its target
// (the model or service), the digest of the history that it continues and its body.
func ComputeFingerprint(target string, historyDigest, body []byte) Fingerprint {
	h := sha256.New()
	writePart(h, []byte(target))
	writePart(h, historyDigest)
	writePart(h, body)
	return Fingerprint(h.Sum(nil))
}

// writePart writes a part with its length in front, so that different lists of parts
// never give the same input to the hash.
func writePart(h hash.Hash, part []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	_, _ = h.Write(length[:])
	_, _ = h.Write(part)
}

// Status is the state of a fingerprint.
type Status uint8

// Statuses of a fingerprint.
const (
	StatusClear       Status = iota // no crash is recorded
	StatusSuspect                   // a server crashed while it ran: it must run alone
	StatusQuarantined               // it must not run until an operator lifts the quarantine
)

// Record is the stored status of a fingerprint. Records with StatusClear need not be
// stored.
type Record struct {
	Status Status
	Since  time.Duration // when the status was set
}

// StatusAt returns the status of the record at the given time: suspicion expires
// after an hour, quarantine does not expire.
func (r Record) StatusAt(now time.Duration) Status {
	if r.Status == StatusSuspect && now-r.Since >= suspicionPeriod {
		return StatusClear
	}
	return r.Status
}

// Run describes a request that was running on a server when the server crashed.
type Run struct {
	Fingerprint Fingerprint
	// StatusAtStart is the status with which the request was started.
	StatusAtStart Status
}

// Change sets the record of a fingerprint.
type Change struct {
	Fingerprint Fingerprint
	Record      Record
}

// ChangesAfterCrash returns the records to store after a server has crashed, given
// all requests that were running on it. A request is quarantined if it already was
// when it started, or if it started as a suspect and only copies of it were running.
// All others become suspects.
func ChangesAfterCrash(runs []Run, now time.Duration) []Change {
	changes := make([]Change, 0, len(runs))
	for _, run := range runs {
		status := StatusSuspect
		if run.StatusAtStart == StatusQuarantined || run.StatusAtStart == StatusSuspect && runsOnly(runs, run.Fingerprint) {
			status = StatusQuarantined
		}
		changes = append(changes, Change{run.Fingerprint, Record{Status: status, Since: now}})
	}
	return changes
}

// runsOnly reports whether all runs have the given fingerprint.
func runsOnly(runs []Run, f Fingerprint) bool {
	for _, run := range runs {
		if run.Fingerprint != f {
			return false
		}
	}
	return true
}

// StatusAfterRun returns the status of a request that ended without a crash, given
// the status with which it was started. A suspect is cleared; a quarantined request
// stays quarantined.
func StatusAfterRun(atStart Status) Status {
	if atStart == StatusSuspect {
		return StatusClear
	}
	return atStart
}

// MayStart reports whether a request with the given status may start on a server
// that is running the given number of other requests; suspectRunning says whether
// one of them is a suspect. A suspect starts only on an idle server, and no other
// request starts beside it.
func MayStart(status Status, running int, suspectRunning bool) bool {
	switch status {
	case StatusQuarantined:
		return false
	case StatusSuspect:
		return running == 0
	default:
		return !suspectRunning
	}
}
