package shard

import (
	"fmt"
	"io"
	"slices"

	"ibistray.example/ibistray/proto/shardpb"
)

// snapshotFormat is the version of the snapshot format.
const snapshotFormat = 1

// Snapshot writes the whole state with all bodies. Replicas that applied the same
// log entries write the same bytes.
func (s *State) Snapshot(w io.Writer) error {
	return s.writeSnapshot(w, true)
}

// SnapshotLocal writes the state without its bodies, after it has made them
// durable in the body store. Only a State with the same body store can restore
// the snapshot.
func (s *State) SnapshotLocal(w io.Writer) error {
	if err := s.bodies.Sync(); err != nil {
		return fmt.Errorf("shard: sync bodies: %w", err)
	}
	return s.writeSnapshot(w, false)
}

func (s *State) writeSnapshot(w io.Writer, withBodies bool) error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	f := newFrameWriter(w)
	if err := f.write(s.headerRecord(withBodies)); err != nil {
		return err
	}
	if err := s.writeCustomers(f); err != nil {
		return err
	}
	if withBodies {
		if err := s.writeBodies(f); err != nil {
			return err
		}
	}
	return f.close()
}

func (s *State) headerRecord(withBodies bool) *shardpb.SnapshotRecord {
	header := &shardpb.SnapshotHeader{
		Format:     snapshotFormat,
		NowMs:      s.nowMs,
		LastBody:   s.lastBodyID,
		WithBodies: withBodies,
	}
	return &shardpb.SnapshotRecord{Record: &shardpb.SnapshotRecord_Header{Header: header}}
}

func (s *State) writeCustomers(f *frameWriter) error {
	for _, name := range sortedKeys(s.customers) {
		c := s.customers[name]
		if err := f.write(customerRecord(c)); err != nil {
			return err
		}
		for _, program := range sortedKeys(c.programs) {
			if err := f.write(programRecord(c.programs[program])); err != nil {
				return err
			}
		}
	}
	return nil
}

// writeBodies writes all bodies in the order of their IDs.
func (s *State) writeBodies(f *frameWriter) error {
	for _, id := range s.bodyIDs() {
		data, err := s.bodies.Get(id)
		if err != nil {
			return fmt.Errorf("shard: snapshot body %d: %w", id, err)
		}
		body := &shardpb.BodyRecord{Id: id, Data: data}
		if err := f.write(&shardpb.SnapshotRecord{Record: &shardpb.SnapshotRecord_Body{Body: body}}); err != nil {
			return err
		}
	}
	return nil
}

// bodyIDs returns the IDs of all bodies in use, sorted.
func (s *State) bodyIDs() []uint64 {
	var ids []uint64
	for _, c := range s.customers {
		for _, p := range c.programs {
			ids = p.appendBodyIDs(ids)
		}
	}
	slices.Sort(ids)
	return ids
}

func (p *program) appendBodyIDs(ids []uint64) []uint64 {
	for i := range p.calls {
		if id := p.calls[i].input; id != 0 {
			ids = append(ids, id)
		}
		if id := p.calls[i].answer; id != 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

func customerRecord(c *customer) *shardpb.SnapshotRecord {
	record := &shardpb.CustomerRecord{
		Contract:      c.contract,
		ContractIndex: c.contractIndex,
		Period:        c.budget.period,
		PeriodStartMs: c.budget.startMs,
		PeriodEndMs:   c.budget.endMs,
		Used:          c.budget.used,
		Reserved:      c.budget.reserved,
		ClampedTokens: c.budget.clampedTokens,
		Quarantined:   quarantineRecords(c.quarantined),
	}
	for i := range c.changes.entries {
		change := &c.changes.entries[i]
		record.Changes = append(record.Changes, &shardpb.ChangeRecord{
			ChangeId: change.id,
			Digest:   change.digest[:],
			Result:   change.result,
		})
	}
	return &shardpb.SnapshotRecord{Record: &shardpb.SnapshotRecord_Customer{Customer: record}}
}

func programRecord(p *program) *shardpb.SnapshotRecord {
	record := &shardpb.ProgramRecord{
		Customer:       p.customer.contract.GetCustomer(),
		Name:           p.name,
		Epoch:          p.epoch,
		Parent:         p.parent,
		ParentEpoch:    p.parentEpoch,
		CountedTurns:   p.countedTurns,
		HistoryTokens:  p.historyTokens,
		HistoryDigest:  p.historyDigest,
		AttainedTokens: p.attainedTokens,
		StartedMs:      p.startedMs,
		LastActivityMs: p.lastActivityMs,
		EndedMs:        p.endedMs,
		LastTarget:     p.lastTarget,
		History:        p.history,
		Open:           openCallRecord(p.open),
		Hold:           holdRecord(p.hold),
	}
	for i := range p.calls {
		record.Calls = append(record.Calls, callRecord(&p.calls[i]))
	}
	return &shardpb.SnapshotRecord{Record: &shardpb.SnapshotRecord_Program{Program: record}}
}

func callRecord(c *call) *shardpb.CallRecord {
	return &shardpb.CallRecord{
		Id:          c.id,
		Fingerprint: c.fingerprint[:],
		State:       shardpb.CallState(c.state),
		Kind:        shardpb.CallKind(c.kind),
		Repeatable:  c.repeatable,
		Attempt:     uint64(c.attempt),
		Input:       c.input,
		Answer:      c.answer,
		Failure:     c.failure,
	}
}

func openCallRecord(o *openCall) *shardpb.OpenCallRecord {
	if o == nil {
		return nil
	}
	return &shardpb.OpenCallRecord{
		Target:            o.target,
		Reserved:          o.reserved,
		Period:            o.period,
		NewInputTokensMax: o.newInputTokensMax,
		MaxOutputTokens:   o.maxOutputTokens,
		DeadlineMs:        o.deadlineMs,
		BegunMs:           o.begunMs,
		MayHaveRun:        o.mayHaveRun,
		InputDigest:       o.inputDigest[:],
	}
}

func holdRecord(h *hold) *shardpb.HoldRecord {
	if h == nil {
		return nil
	}
	return &shardpb.HoldRecord{Target: h.target, Tokens: h.tokens, UntilMs: h.untilMs}
}
