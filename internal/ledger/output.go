package ledger

import (
	"cmp"
	"slices"

	"ibistray.example/ibistray/internal/policy/resume"
	"ibistray.example/ibistray/proto/ledgerpb"
)

const (
	// maxOutputBytes limits the recorded events of one stream, and maxOutputsBytes those of all.
	// Servers repeat what is not recorded.
	maxOutputBytes  = 1 << 20
	maxOutputsBytes = 8 << 20
	// keptOutputsBytes is what remains when the oldest outputs are removed for lack of room.
	keptOutputsBytes = maxOutputsBytes * 3 / 4
	// outputEventBytes is what an event takes besides its ID and data, outputBytes what an output
	// takes besides its events.
	outputEventBytes = 64
	outputBytes      = 200
)

// output holds the events of the stream of a kept turn that may be resumed. Each event is recorded
// before a client can hold it. Recorded events never change: a removed one is not overwritten, so
// that a Result may be read while later commands are applied.
type output struct {
	events    []*ledgerpb.OutputEvent
	bytes     int64
	recorder  string // call ID that may record: the latest one that ran a part of the stream
	sequence  uint32 // of its latest command
	expiresMs int64
}

// outputTable holds outputs by the key of the call that began the stream.
type outputTable struct {
	byOrigin map[key]*output
	bytes    int64
}

func newOutputTable() outputTable { return outputTable{byOrigin: make(map[key]*output)} }

func eventBytes(ev *ledgerpb.OutputEvent) int64 {
	return int64(len(ev.Id)+len(ev.Data)) + outputEventBytes
}

func (t *outputTable) put(k key, out *output) {
	out.bytes = outputBytes
	for _, ev := range out.events {
		out.bytes += eventBytes(ev)
	}
	t.byOrigin[k] = out
	t.bytes += out.bytes
}

func (t *outputTable) remove(k key) {
	t.bytes -= t.byOrigin[k].bytes
	delete(t.byOrigin, k)
}

// truncate removes all events of an output but the first n.
func (t *outputTable) truncate(out *output, n int) {
	for _, ev := range out.events[n:] {
		out.bytes -= eventBytes(ev)
		t.bytes -= eventBytes(ev)
	}
	out.events = out.events[:n:n]
}

func (t *outputTable) append(out *output, events []*ledgerpb.OutputEvent) {
	for _, ev := range events {
		out.bytes += eventBytes(ev)
		t.bytes += eventBytes(ev)
	}
	out.events = append(out.events, events...)
}

// expire removes the outputs that no client can resume any more.
func (t *outputTable) expire(nowMs int64) {
	for k, out := range t.byOrigin {
		if out.expiresMs < nowMs {
			t.remove(k)
		}
	}
}

// makeRoom removes the oldest outputs once all together exceed their limit.
func (t *outputTable) makeRoom() {
	if t.bytes <= maxOutputsBytes {
		return
	}
	oldest := sortedKeys(t.byOrigin)
	slices.SortStableFunc(oldest, func(a, b key) int { return cmp.Compare(t.byOrigin[a].expiresMs, t.byOrigin[b].expiresMs) })
	for _, k := range oldest {
		if t.bytes <= keptOutputsBytes {
			return
		}
		t.remove(k)
	}
}

// eventIDs returns the IDs of events in order.
func eventIDs(events []*ledgerpb.OutputEvent) []string {
	ids := make([]string, len(events))
	for i, ev := range events {
		ids[i] = string(ev.Id)
	}
	return ids
}

// resumeOutput returns the recorded events that the client of a resumed stream holds. At the first
// command of the resuming call, the later ones are removed, since the client gets those of that
// call, and only that call records from then on.
func (s *State) resumeOutput(account, origin string, o *ledgerpb.OpenStream, first bool) []*ledgerpb.OutputEvent {
	if len(o.LastEventId) == 0 {
		return nil
	}
	k := key{account, origin}
	out := s.outputs.byOrigin[k]
	if out == nil {
		out = new(output)
		s.outputs.put(k, out)
	}
	held := resume.Held(eventIDs(out.events), string(o.LastEventId))
	if first {
		s.outputs.truncate(out, held)
		out.recorder, out.sequence = o.CallId, 0
		out.expiresMs = max(out.expiresMs, s.nowMs+o.RetentionMs+retentionMargin.Milliseconds())
	}
	return out.events[:held:held]
}

// recordOutput records events of the stream of a call. The outcome is OUTCOME_UNKNOWN_STREAM if the
// call may not record: no version is recorded for it, a later call runs the stream, events before
// these are missing, or the output is too large.
func (s *State) recordOutput(r *ledgerpb.RecordOutput) Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	refused := Result{Outcome: ledgerpb.Outcome_OUTCOME_UNKNOWN_STREAM}
	st, found := s.streams.byCall[key{r.Account, r.CallId}]
	if !found {
		return refused
	}
	k := key{r.Account, st.originOf(r.CallId)}
	out := s.outputs.byOrigin[k]
	if out == nil {
		if r.CallId != k.id || r.First > 0 {
			return refused
		}
		out = &output{recorder: r.CallId}
		s.outputs.put(k, out)
	}
	switch {
	case out.recorder != r.CallId || int64(r.First) > int64(len(out.events)):
		return refused
	case r.Sequence <= out.sequence:
		return Result{} // a copy of an earlier command
	}
	size := out.bytes
	for _, ev := range r.Events {
		size += eventBytes(ev)
	}
	if size > maxOutputBytes {
		return refused
	}
	s.outputs.truncate(out, int(r.First))
	s.outputs.append(out, r.Events)
	out.sequence = r.Sequence
	out.expiresMs = max(out.expiresMs, s.nowMs+r.RetentionMs+retentionMargin.Milliseconds())
	s.outputs.makeRoom()
	return Result{}
}

func (out *output) record(k key) *ledgerpb.StreamOutput {
	return &ledgerpb.StreamOutput{Account: k.account, Origin: k.id, Recorder: out.recorder, Sequence: out.sequence, ExpiresMs: out.expiresMs, Events: out.events}
}

func restoreOutput(record *ledgerpb.StreamOutput) *output {
	return &output{events: record.Events, recorder: record.Recorder, sequence: record.Sequence, expiresMs: record.ExpiresMs}
}
