package gateway

import (
	"slices"
	"time"

	"ibistray.example/ibistray/internal/compare"
	"ibistray.example/ibistray/internal/policy/quota"
	"ibistray.example/ibistray/proto/fleetpb"
)

// accountStock is what this entry holds and wants of one account's limit.
type accountStock struct {
	quota.Stock
	waiters []*accountWaiter
	began   []uint64 // hashed IDs of programs that began with a permit in hand since the latest request
}

// accountWaiter is a request that waits for a permit.
type accountWaiter struct {
	program    uint64 // hashed ID of the program that it begins
	newProgram bool
	left       time.Duration // time for which its client waits
	joined     time.Duration
	outcome    chan error // receives nil with a permit, or an error that wraps errAccountLimit
}

// deniedFor returns for how long the leader has denied such requests, 0 if it has not.
func (s *accountStock) deniedFor(now time.Duration, newProgram bool) time.Duration {
	until := s.DeniedUntil()
	if newProgram {
		until = s.ProgramsDeniedUntil()
	}
	return max(0, until-now)
}

// mayAsk reports whether a request waits whose kind the leader has not denied.
func (s *accountStock) mayAsk(now time.Duration) bool {
	return slices.ContainsFunc(s.waiters, func(w *accountWaiter) bool { return s.deniedFor(now, w.newProgram) == 0 })
}

// demand returns what to ask for, and the waiters whose programs it names.
func (s *accountStock) demand(now time.Duration) (*fleetpb.AccountDemand, []*accountWaiter) {
	var programs []*accountWaiter
	var ids []uint64
	running := 0
	for _, w := range s.waiters {
		if !w.newProgram {
			running++
			continue
		}
		if s.deniedFor(now, true) > 0 {
			continue
		}
		programs = append(programs, w)
		ids = append(ids, w.program)
	}
	ask := s.Ask(now, running, ids)
	began := s.began
	s.began = nil
	return &fleetpb.AccountDemand{
		Running:  began,
		Session:  ask.Session,
		Used:     uint64(ask.Used),
		Returned: uint64(ask.Returned),
		Begun:    uint64(ask.Begun),
		Waiting:  uint32(ask.Waiting),
		Wanted:   uint32(ask.Wanted),
		Programs: ids,
	}, programs
}

// askedStock is a stock that a request names, with the waiters whose programs it names and the
// programs that it reports.
type askedStock struct {
	stock    *accountStock
	programs []*accountWaiter
	began    []uint64
}

// serve gives the permits of a grant to the waiters, running programs first, and refuses those
// that would wait for too long. A program that this entry took for a new one, but that runs,
// waits like other running ones.
func (s askedStock) serve(now, askedAt time.Duration, grant *fleetpb.AccountGrant) {
	named := make(map[*accountWaiter]bool, len(s.programs))
	for i, w := range s.programs {
		if i < len(grant.Running) && grant.Running[i] {
			w.newProgram = false
		} else {
			named[w] = true
		}
		if i >= len(grant.Admitted) || !grant.Admitted[i] || !quota.Valid(now, askedAt) {
			continue
		}
		if !s.stock.remove(w) {
			s.stock.Refund(now) // its client has left
			continue
		}
		w.outcome <- nil
	}
	slices.SortStableFunc(s.stock.waiters, func(a, b *accountWaiter) int { return compare.Bool(a.newProgram, b.newProgram) })
	s.stock.waiters = slices.DeleteFunc(s.stock.waiters, func(w *accountWaiter) bool {
		return s.stock.serveOne(now, w, !w.newProgram || named[w])
	})
}

// serveOne gives a waiter a permit in hand, or refuses it if it would wait for too long. It
// returns false if the waiter waits on. asked says that the leader was asked for it.
func (s *accountStock) serveOne(now time.Duration, w *accountWaiter, asked bool) bool {
	if s.take(now, w.newProgram, w.program) {
		w.outcome <- nil
		return true
	}
	retry := s.deniedFor(now, w.newProgram)
	if !asked || retry == 0 || quota.Wait(w.newProgram, retry, w.left-(now-w.joined)) {
		return false
	}
	w.outcome <- &accountLimitError{retryAfter: retry}
	return true
}

// take takes a permit in hand for a request.
func (s *accountStock) take(now time.Duration, newProgram bool, program uint64) bool {
	if !s.Take(now, newProgram) {
		return false
	}
	if newProgram {
		s.began = append(s.began, program)
	}
	return true
}

// remove removes a waiter and reports whether it still waited.
func (s *accountStock) remove(w *accountWaiter) bool {
	i := slices.Index(s.waiters, w)
	if i < 0 {
		return false
	}
	s.waiters = slices.Delete(s.waiters, i, i+1)
	return true
}

// grantFromProto returns the grant for a demand with a number of programs.
func grantFromProto(msg *fleetpb.AccountGrant, programs int) quota.Grant {
	return quota.Grant{
		Session:      msg.Session,
		Before:       int(msg.Before),
		Permits:      int(msg.Permits),
		Admitted:     msg.Admitted[:min(len(msg.Admitted), programs)],
		Running:      msg.Running[:min(len(msg.Running), programs)],
		Retry:        time.Duration(msg.RetryMs) * time.Millisecond,
		ProgramRetry: time.Duration(msg.ProgramRetryMs) * time.Millisecond,
		Open:         time.Duration(msg.OpenMs) * time.Millisecond,
	}
}
