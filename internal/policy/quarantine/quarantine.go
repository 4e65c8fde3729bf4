// Package quarantine finds the request that crashes backend servers. When a
// server dies, each request that ran on it becomes a suspect, by the
// fingerprint of its content. A suspect runs alone on a server; if a server
// dies under it then, it is quarantined, and if it ends, it is cleared.
//
// A request that runs on one server at a time costs at most MaxServersLost
// servers: one before it is known, one while it runs alone. If the same content
// runs n times at once, for example because its caller resends it under new call
// IDs, it costs at most n times as many. That holds for starts that know the
// record; each start at a process that it has not reached may cost one more.
// Other requests of the batch are cleared by their own run.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"time"
)

// MaxServersLost is the bound on servers lost to a request, for each of its
// copies that run at once.
const MaxServersLost = 2

// suspicionLifetime ends the suspicion of a request that never came back.
const suspicionLifetime = time.Hour

// Fingerprint identifies the content of a request, not the call that carries it.
type Fingerprint [sha256.Size]byte

// ComputeFingerprint returns the fingerprint of a request: its model or service, the
// digest of the history that it continues and its body.
func ComputeFingerprint(target string, historyDigest, body []byte) Fingerprint {
	h := sha256.New()
	writePart(h, []byte(target))
	writePart(h, historyDigest)
	writePart(h, body)
	return Fingerprint(h.Sum(nil))
}

// writePart writes the length first, so that no two lists of parts hash alike.
func writePart(h hash.Hash, part []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	_, _ = h.Write(length[:])
	_, _ = h.Write(part)
}

// Status is what is known of a fingerprint.
type Status uint8

// Statuses of a fingerprint.
const (
	StatusClear       Status = iota // nothing known
	StatusSuspect                   // a server died under it; it runs alone
	StatusQuarantined               // it does not run until an operator lifts it
)

// Record is the stored knowledge of one fingerprint. Records of StatusClear
// need not be stored.
type Record struct {
	Status Status
	Since  time.Duration
}

// StatusAt returns the status of the record at the given time: suspicion ends after
// an hour, quarantine does not end by itself.
func (r Record) StatusAt(now time.Duration) Status {
	if r.Status == StatusSuspect && now-r.Since >= suspicionLifetime {
		return StatusClear
	}
	return r.Status
}

// Run is a request that ran on a server when it died.
type Run struct {
	Fingerprint Fingerprint
	// StatusAtStart is the status under which the request was started.
	StatusAtStart Status
}

// Change is a new record of a fingerprint.
type Change struct {
	Fingerprint Fingerprint
	Record      Record
}

// ChangesAfterCrash returns the records that follow from the death of a server, given
// all requests that ran on it. A request is quarantined if it was the only one
// and had been a suspect before; all others become suspects.
func ChangesAfterCrash(runs []Run, now time.Duration) []Change {
	changes := make([]Change, 0, len(runs))
	for _, run := range runs {
		status := StatusSuspect
		if run.StatusAtStart == StatusQuarantined || run.StatusAtStart == StatusSuspect && alone(runs, run.Fingerprint) {
			status = StatusQuarantined
		}
		changes = append(changes, Change{run.Fingerprint, Record{Status: status, Since: now}})
	}
	return changes
}

func alone(runs []Run, f Fingerprint) bool {
	for _, run := range runs {
		if run.Fingerprint != f {
			return false
		}
	}
	return true
}

// StatusAfterRun returns the status after a request ended while its server lived on.
// A suspect that ended is clear again; a quarantined one stays so.
func StatusAfterRun(known Status) Status {
	if known == StatusSuspect {
		return StatusClear
	}
	return known
}

// MayStart reports whether a request of the given status may start on a server
// that runs the given number of other requests; suspectRunning says that one of
// them is a suspect. A suspect starts on an empty server only, and nothing joins
// it.
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
