package raft

import (
	"math"

	"github.com/anishathalye/porcupine"

	"ibistray.example/ibistray/proto/raftpb"
)

type entryID struct{ index, term uint64 }

type entryBody struct {
	prevTerm uint64
	data     string
}

type committedEntry struct{ term, byTerm uint64 }

// checker holds what must be true across all replicas and restarts.
type checker struct {
	s         *sim
	leaders   map[uint64]uint64 // by term
	bodies    map[entryID]entryBody
	states    map[uint64]string         // applied entries by index
	committed map[uint64]committedEntry // by index
	maxCommit uint64
	leased    int // checks that saw a valid lease
}

func newChecker(s *sim) *checker {
	return &checker{
		s:         s,
		leaders:   map[uint64]uint64{},
		bodies:    map[entryID]entryBody{},
		states:    map[uint64]string{},
		committed: map[uint64]committedEntry{},
	}
}

// replica checks election safety and leader completeness and notes commits.
func (c *checker) replica(h *host) {
	n := h.node
	if n.role == RoleLeader {
		c.leader(n)
	}
	for i := c.maxCommit + 1; i <= n.log.commit; i++ {
		term, ok := n.log.term(i)
		if !ok {
			break // only by a snapshot of entries that were noted before
		}
		c.committed[i] = committedEntry{term: term, byTerm: n.term}
		c.maxCommit = i
	}
	if n.log.stable > n.log.last() {
		c.s.fail("replica %d: durable up to %d of %d", n.cfg.ID, n.log.stable, n.log.last())
	}
}

func (c *checker) leader(n *Node) {
	id, known := c.leaders[n.term]
	if known && id != n.cfg.ID {
		c.s.fail("term %d has leaders %d and %d", n.term, id, n.cfg.ID)
	}
	if known {
		return
	}
	c.leaders[n.term] = n.cfg.ID
	for index, entry := range c.committed {
		if index <= n.log.baseIndex || entry.byTerm >= n.term {
			continue
		}
		if term, ok := n.log.term(index); !ok || term != entry.term {
			c.s.fail("leader %d of term %d lacks the committed entry %d of term %d", n.cfg.ID, n.term, index, entry.term)
		}
	}
}

// entries checks log matching: an index and a term stand for one entry that
// always follows the same entry.
func (c *checker) entries(prevTerm uint64, entries []*raftpb.Entry) {
	for _, e := range entries {
		body := entryBody{prevTerm: prevTerm, data: string(e.Data)}
		key := entryID{e.Index, e.Term}
		if old, known := c.bodies[key]; known && old != body {
			c.s.fail("entry %d of term %d differs between logs", e.Index, e.Term)
		}
		c.bodies[key] = body
		prevTerm = e.Term
	}
}

// applied checks state machine safety.
func (c *checker) applied(e *raftpb.Entry) {
	state := string(e.Data) + "@" + string(rune(e.Term))
	if old, known := c.states[e.Index]; known && old != state {
		c.s.fail("index %d applied as %q and as %q", e.Index, old, state)
	}
	c.states[e.Index] = state
}

// leases checks that at most one replica that runs now has a valid lease.
func (c *checker) leases() {
	holder := uint64(0)
	for _, h := range c.s.hosts {
		runs := h.node != nil && c.s.now >= h.frozenUntil && h.nextTick > c.s.now
		if !runs || !h.node.LeaseValid() {
			continue
		}
		if holder != 0 {
			c.s.fail("replicas %d and %d both hold the lease", holder, h.id)
		}
		holder = h.id
		c.leased++
	}
}

// op is one operation of a client on a register.
type op struct {
	key, value string
	write      bool
	term       uint64
	call       int64
	client     int
	done       bool
}

// history records operations for the check of linearizability.
type history struct {
	pending []*op
	ops     []porcupine.Operation
	clients int
}

func (hi *history) begin(s *sim, o *op) *op {
	hi.clients++
	o.client, o.call = hi.clients, s.now
	hi.pending = append(hi.pending, o)
	return o
}

func (hi *history) finish(s *sim, o *op, output string) {
	if !o.done {
		o.done = true
		hi.ops = append(hi.ops, porcupine.Operation{ClientId: o.client, Input: o, Call: o.call, Output: output, Return: s.now})
	}
}

// linearizable checks the history. A write without an answer may take effect at
// any later time.
func (hi *history) linearizable() bool {
	ops := hi.ops
	for _, o := range hi.pending {
		if !o.done && o.write {
			ops = append(ops, porcupine.Operation{ClientId: o.client, Input: o, Call: o.call, Return: math.MaxInt64})
		}
	}
	return porcupine.CheckOperations(registerModel, ops)
}

var registerModel = porcupine.Model{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, o := range ops {
			key := o.Input.(*op).key
			byKey[key] = append(byKey[key], o)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		if o := input.(*op); o.write {
			return true, o.value
		}
		return output == state, state
	},
}
