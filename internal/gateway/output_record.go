package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"ibistray.example/ibistray/internal/leaderclient"
	"ibistray.example/ibistray/internal/policy/resume"
	"ibistray.example/ibistray/proto/ledgerpb"
)

const (
	// outputRecordWait is how long events wait at most until the ledger has recorded them. Events
	// that were forwarded without a record are repeated by a server if their client resumes the
	// stream elsewhere.
	outputRecordWait = 100 * time.Millisecond
	// outputRecordPause is the time without records after one that failed.
	outputRecordPause = 500 * time.Millisecond
	// maxUnrecordedBytes limits the events that wait for a record. A stream that exceeds it is not
	// recorded any further.
	maxUnrecordedBytes = 256 << 10
)

// outputRecord is what the ledger has recorded of the events of a call's stream, so that the turn
// can be kept whole if the client resumes it through another entry.
type outputRecord struct {
	active       bool // events are recorded
	recorded     int  // events of the stream that the ledger holds
	pending      []*ledgerpb.OutputEvent
	pendingBytes int
	sequence     uint32     // of the latest command
	sent         int        // events of pending in the command that is in flight
	result       chan error // of that command, nil without one
	pausedUntil  time.Time
	// repeatUntil is the ID of the client's latest event while a server repeats events that the
	// client holds and the ledger does not; "" otherwise.
	repeatUntil string
}

// recordsOutput reports whether the turn is kept and its client may resume the stream.
func (c *call) recordsOutput() bool { return c.route.KeepTurns && c.route.ResumableStream() }

// restoreOutput takes over the recorded events of the stream that the call resumes. Servers repeat
// those that the client holds beyond them.
func (c *call) restoreOutput(events []*ledgerpb.OutputEvent) error {
	if !c.recordsOutput() {
		return nil
	}
	c.record = outputRecord{active: true, recorded: len(events)}
	if !c.stream.resumed {
		return nil
	}
	ids := make([]string, len(events))
	for i, ev := range events {
		ids[i] = string(ev.Id)
		if !ev.HasData {
			continue
		}
		if err := c.output.Append(ev.Data); err != nil {
			return fmt.Errorf("%w: recorded events of the stream: %w", errNoMemory, err)
		}
	}
	after, missing := resume.Start(ids, c.meta.LastEventID)
	if missing {
		c.record.repeatUntil = c.meta.LastEventID
		c.g.log.Info("servers repeat events of a resumed turn", "request", c.meta.ID, "resumes", c.stream.resumes, "after", after, "until", c.meta.LastEventID)
	}
	c.meta.LastEventID = after
	return nil
}

// repeats reports whether the client holds an event that a server has sent.
func (c *call) repeats(ev event) bool {
	return c.record.repeatUntil != "" && resume.Repeats(ev.id, c.record.repeatUntil)
}

// takeRepeated adds an event that the client holds to the output of the turn.
func (c *call) takeRepeated(ev event) error {
	if ev.id == c.record.repeatUntil {
		c.record.repeatUntil = ""
	}
	if ev.id != "" {
		c.meta.LastEventID = ev.id
	}
	if !ev.hasData {
		return nil
	}
	c.lastSentHasNoID = ev.id == ""
	return c.output.Append(ev.data)
}

// recordEvents records events before they are sent to the client. It returns at the latest after
// outputRecordWait, whether the ledger has answered or not.
func (c *call) recordEvents(events []event) {
	record := &c.record
	if !record.active {
		return
	}
	for _, ev := range events {
		if !ev.hasData && ev.id == "" {
			continue
		}
		record.pending = append(record.pending, &ledgerpb.OutputEvent{Id: []byte(ev.id), Data: ev.data, HasData: ev.hasData})
		record.pendingBytes += len(ev.raw)
	}
	if record.pendingBytes > maxUnrecordedBytes {
		c.stopRecording()
		return
	}
	timer := time.NewTimer(outputRecordWait)
	defer timer.Stop()
	for record.active && len(record.pending) > 0 && time.Now().After(record.pausedUntil) {
		if record.result == nil {
			c.sendRecord()
		}
		select {
		case err := <-record.result:
			c.recordAnswered(err)
		case <-timer.C:
			return
		}
	}
}

// sendRecord sends all events that are not recorded yet to the ledger, in the background.
func (c *call) sendRecord() {
	record := &c.record
	record.sequence++
	record.sent = len(record.pending)
	result := make(chan error, 1)
	record.result = result
	command := &ledgerpb.RecordOutput{
		Account:     c.accountName(),
		CallId:      c.meta.ID,
		Sequence:    record.sequence,
		First:       uint32(record.recorded),
		Events:      record.pending[:record.sent:record.sent],
		RetentionMs: c.streamRetention().Milliseconds(),
	}
	c.g.goTask("output record", func() {
		ctx, cancel := context.WithTimeout(context.Background(), openStreamTimeout)
		defer cancel()
		result <- c.g.ledger.recordOutput(ctx, command)
	})
}

// recordAnswered takes the answer to the command in flight.
func (c *call) recordAnswered(err error) {
	record := &c.record
	record.result = nil
	switch {
	case err == nil:
		record.recorded += record.sent
		record.pending = record.pending[record.sent:]
		record.pendingBytes = 0
		for _, ev := range record.pending {
			record.pendingBytes += len(ev.Id) + len(ev.Data)
		}
	case errors.Is(err, errUnknownStream), errors.Is(err, leaderclient.ErrRefused):
		// The stream goes on in another call, or the ledger has no room or no such command.
		c.g.log.Info("events of a turn are not recorded any further", "request", c.meta.ID, "recorded", record.recorded, "error", err)
		c.stopRecording()
	default:
		record.pausedUntil = time.Now().Add(outputRecordPause)
	}
}

func (c *call) stopRecording() {
	c.record.active = false
	c.record.pending = nil
}
