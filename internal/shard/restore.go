package shard

import (
	"container/heap"
	"fmt"
	"io"

	"ibistray.example/ibistray/proto/shardpb"
)

// Restore replaces the state by one that Snapshot or SnapshotLocal wrote, and
// notifies all watchers. After an error the state must not be used until another
// Restore succeeds, because its body store may be empty or partly filled.
// Errors: ErrInvalidSnapshot, ErrNoBody when a body of a local snapshot is missing,
// and those of the body store.
func (s *State) Restore(r io.Reader) error {
	next := New(s.bodies)
	if err := next.readSnapshot(newFrameReader(r)); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nowMs = next.nowMs
	s.customers = next.customers
	s.due = next.due
	s.lastBodyID = next.lastBodyID
	s.notifyAll()
	return nil
}

// readSnapshot fills an empty state from a snapshot.
func (s *State) readSnapshot(f *frameReader) error {
	record, err := f.read()
	if err != nil {
		return err
	}
	header := record.GetHeader()
	if header == nil || header.GetFormat() != snapshotFormat {
		return fmt.Errorf("%w: it does not start with a header of format %d", ErrInvalidSnapshot, snapshotFormat)
	}
	s.nowMs = header.GetNowMs()
	s.lastBodyID = header.GetLastBody()
	if header.GetWithBodies() {
		if err := s.bodies.Reset(); err != nil {
			return fmt.Errorf("shard: restore: %w", err)
		}
	}
	if err := s.readRecords(f); err != nil {
		return err
	}
	if err := s.bodies.Retain(s.bodyIDs()); err != nil {
		return fmt.Errorf("shard: restore: %w", err)
	}
	return nil
}

func (s *State) readRecords(f *frameReader) error {
	for {
		record, err := f.read()
		if err != nil {
			return err
		}
		if record == nil {
			return nil
		}
		if err := s.readRecord(record); err != nil {
			return err
		}
	}
}

func (s *State) readRecord(record *shardpb.SnapshotRecord) error {
	switch r := record.GetRecord().(type) {
	case *shardpb.SnapshotRecord_Customer:
		return s.readCustomer(r.Customer)
	case *shardpb.SnapshotRecord_Program:
		return s.readProgram(r.Program)
	case *shardpb.SnapshotRecord_Body:
		if err := s.bodies.Put(r.Body.GetId(), r.Body.GetData()); err != nil {
			return fmt.Errorf("shard: restore body %d: %w", r.Body.GetId(), err)
		}
		return nil
	default:
		return fmt.Errorf("%w: unknown record type %T", ErrInvalidSnapshot, r)
	}
}

func (s *State) readCustomer(record *shardpb.CustomerRecord) error {
	name := record.GetContract().GetCustomer()
	if name == "" || s.customers[name] != nil {
		return fmt.Errorf("%w: customer %q has no name or appears twice", ErrInvalidSnapshot, name)
	}
	c := newCustomer()
	c.contract = record.GetContract()
	c.contractIndex = record.GetContractIndex()
	c.budget = budgetAccount{
		period:        record.GetPeriod(),
		startMs:       record.GetPeriodStartMs(),
		endMs:         record.GetPeriodEndMs(),
		used:          record.GetUsed(),
		reserved:      record.GetReserved(),
		clampedTokens: record.GetClampedTokens(),
	}
	for _, r := range record.GetChanges() {
		restored := change{id: r.GetChangeId(), result: r.GetResult()}
		copy(restored.digest[:], r.GetDigest())
		c.changes.entries = append(c.changes.entries, restored)
	}
	c.quarantined = quarantinedFromRecords(record.GetQuarantined())
	s.customers[name] = c
	return nil
}

func (s *State) readProgram(record *shardpb.ProgramRecord) error {
	c := s.customers[record.GetCustomer()]
	if c == nil || c.programs[record.GetName()] != nil {
		return fmt.Errorf("%w: program %q of customer %q has no customer record or appears twice",
			ErrInvalidSnapshot, record.GetName(), record.GetCustomer())
	}
	p := programFromRecord(c, record)
	for _, r := range record.GetCalls() {
		p.appendCall(callFromRecord(r))
	}
	if err := checkRestoredProgram(p); err != nil {
		return err
	}
	if p.open != nil {
		c.openCalls++
	}
	if p.hold != nil {
		c.heldTokens += p.hold.tokens
	}
	c.programs[p.name] = p
	p.dueMs = p.dueTime()
	heap.Push(&s.due, p)
	return nil
}

// checkRestoredProgram checks that the program's open call, call IDs and history
// match its call records.
func checkRestoredProgram(p *program) error {
	isOpen := len(p.calls) > 0 && !p.openRecord().final()
	if isOpen != (p.open != nil) || len(p.byID) != len(p.calls) {
		return fmt.Errorf("%w: the calls of program %q are inconsistent", ErrInvalidSnapshot, p.name)
	}
	for _, pos := range p.history {
		if int(pos) >= len(p.calls) {
			return fmt.Errorf("%w: the history of program %q refers to call %d of %d", ErrInvalidSnapshot, p.name, pos, len(p.calls))
		}
	}
	return nil
}

func programFromRecord(c *customer, record *shardpb.ProgramRecord) *program {
	return &program{
		customer:       c,
		name:           record.GetName(),
		epoch:          record.GetEpoch(),
		parent:         record.GetParent(),
		parentEpoch:    record.GetParentEpoch(),
		countedTurns:   record.GetCountedTurns(),
		history:        record.GetHistory(),
		historyTokens:  record.GetHistoryTokens(),
		historyDigest:  record.GetHistoryDigest(),
		attainedTokens: record.GetAttainedTokens(),
		startedMs:      record.GetStartedMs(),
		lastActivityMs: record.GetLastActivityMs(),
		endedMs:        record.GetEndedMs(),
		lastTarget:     record.GetLastTarget(),
		open:           openCallFromRecord(record.GetOpen()),
		hold:           holdFromRecord(record.GetHold()),
	}
}

func callFromRecord(r *shardpb.CallRecord) call {
	c := call{
		id:         r.GetId(),
		failure:    r.GetFailure(),
		input:      r.GetInput(),
		answer:     r.GetAnswer(),
		attempt:    uint32(r.GetAttempt()),  // at most MaxAttempts
		state:      callState(r.GetState()), // written from a callState
		kind:       callKind(r.GetKind()),   // written from a callKind
		repeatable: r.GetRepeatable(),
	}
	copy(c.fingerprint[:], r.GetFingerprint())
	return c
}

func openCallFromRecord(r *shardpb.OpenCallRecord) *openCall {
	if r == nil {
		return nil
	}
	o := &openCall{
		target:            r.GetTarget(),
		reserved:          r.GetReserved(),
		period:            r.GetPeriod(),
		newInputTokensMax: r.GetNewInputTokensMax(),
		maxOutputTokens:   r.GetMaxOutputTokens(),
		deadlineMs:        r.GetDeadlineMs(),
		begunMs:           r.GetBegunMs(),
		mayHaveRun:        r.GetMayHaveRun(),
	}
	copy(o.inputDigest[:], r.GetInputDigest())
	return o
}

func holdFromRecord(r *shardpb.HoldRecord) *hold {
	if r == nil {
		return nil
	}
	return &hold{target: r.GetTarget(), tokens: r.GetTokens(), untilMs: r.GetUntilMs()}
}
