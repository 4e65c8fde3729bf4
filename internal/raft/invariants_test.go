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

type committedEntry struct{ term, seenInTerm uint64 }

// checker checks the safety properties of Raft across all replicas and restarts.
type checker struct {
	sim            *sim
	leaderOf       map[uint64]uint64 // by term
	entryBodies    map[entryID]entryBody
	appliedEntries map[uint64]string         // applied entries by index
	committed      map[uint64]committedEntry // by index
	maxCommit      uint64
	leaseChecks    int // checks that saw a valid lease
}

func newChecker(s *sim) *checker {
	return &checker{
		sim:            s,
		leaderOf:       map[uint64]uint64{},
		entryBodies:    map[entryID]entryBody{},
		appliedEntries: map[uint64]string{},
		committed:      map[uint64]committedEntry{},
	}
}

// checkReplica checks election safety and leader completeness of a host's replica
// and records its newly committed entries.
func (c *checker) checkReplica(h *host) {
	n := h.node
	if n.role == RoleLeader {
		c.checkLeader(n)
	}
	for i := c.maxCommit + 1; i <= n.log.commit; i++ {
		term, ok := n.log.term(i)
		if !ok {
			break // compacted into a snapshot of entries that were recorded before
		}
		c.committed[i] = committedEntry{term: term, seenInTerm: n.term}
		c.maxCommit = i
	}
	if n.log.stable > n.log.last() {
		c.sim.fail("replica %d: durable index %d is beyond the last index %d", n.cfg.ID, n.log.stable, n.log.last())
	}
}

func (c *checker) checkLeader(n *Node) {
	id, known := c.leaderOf[n.term]
	if known && id != n.cfg.ID {
		c.sim.fail("term %d has leaders %d and %d", n.term, id, n.cfg.ID)
	}
	if known {
		return
	}
	c.leaderOf[n.term] = n.cfg.ID
	for index, entry := range c.committed {
		if index <= n.log.baseIndex || entry.seenInTerm >= n.term {
			continue
		}
		if term, ok := n.log.term(index); !ok || term != entry.term {
			c.sim.fail("leader %d of term %d lacks committed entry %d of term %d", n.cfg.ID, n.term, index, entry.term)
		}
	}
}

// checkEntries checks log matching: entries with the same index and term have the
// same data and the same term before them in every log.
func (c *checker) checkEntries(prevTerm uint64, entries []*raftpb.Entry) {
	for _, e := range entries {
		body := entryBody{prevTerm: prevTerm, data: string(e.Data)}
		key := entryID{e.Index, e.Term}
		if old, known := c.entryBodies[key]; known && old != body {
			c.sim.fail("entry %d of term %d differs between logs", e.Index, e.Term)
		}
		c.entryBodies[key] = body
		prevTerm = e.Term
	}
}

// checkApplied checks state machine safety: all replicas apply the same entry at
// an index.
func (c *checker) checkApplied(e *raftpb.Entry) {
	state := string(e.Data) + "@" + string(rune(e.Term))
	if old, known := c.appliedEntries[e.Index]; known && old != state {
		c.sim.fail("index %d applied as %q and as %q", e.Index, old, state)
	}
	c.appliedEntries[e.Index] = state
}

// checkLeases checks that at most one running replica has a valid lease. A paused
// host and one with an overdue tick do not count, because they cannot serve reads.
func (c *checker) checkLeases() {
	holder := uint64(0)
	for _, h := range c.sim.hosts {
		runs := h.node != nil && c.sim.now >= h.pausedUntil && h.nextTick > c.sim.now
		if !runs || !h.node.LeaseValid() {
			continue
		}
		if holder != 0 {
			c.sim.fail("replicas %d and %d both hold the lease", holder, h.id)
		}
		holder = h.id
		c.leaseChecks++
	}
}

// op is a read or write of a register by a client.
type op struct {
	key, value string
	write      bool
	term       uint64 // of the entry of a write
	call       int64  // time of the call
	client     int
	done       bool // has a reply
}

// history records operations for the linearizability check.
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

// linearizable reports whether the history is linearizable. A write without a
// reply may take effect at any later time.
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
