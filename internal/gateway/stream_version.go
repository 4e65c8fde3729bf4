package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"time"

	"ibistray.example/ibistray/internal/fleet"
	"ibistray.example/ibistray/internal/policy/streampin"
	"ibistray.example/ibistray/proto/ledgerpb"
)

// errUnknownStream says that the ledger has no record of the stream that a request resumes.
var errUnknownStream = errors.New("gateway: the version that began the resumed stream is not recorded")

// openStreamTimeout limits the wait for a record on routes that need the ledger for
// nothing else.
const openStreamTimeout = ledgerTimeout

// streamVersion is the service and the software version of the servers that run the stream of a call. The
// ledger records it before the first event is sent, so that any entry can resume the
// stream at the same version.
type streamVersion struct {
	resumes   string // call ID of the resumed attempt, "" if the client does not name it
	resumed   bool   // the client holds events of an earlier attempt
	assigned  bool   // version is known, and recorded unless the ledger failed
	withdrawn bool   // the route sends no requests to the service that began the resumed stream
	version   string
	revision  uint32 // of the next record
}

// newStreamVersion returns the state before the first attempt.
func newStreamVersion(meta *RequestMeta) streamVersion {
	if meta.LastEventID == "" {
		return streamVersion{}
	}
	return streamVersion{resumes: meta.Resumes, resumed: true}
}

// pin returns the versions that may run the call's stream. Errors are those of
// streampin.Decide.
func (c *call) pin(servers []*fleet.Instance) (streampin.Constraint, error) {
	if !c.route.ResumableStream() {
		return streampin.Constraint{}, nil
	}
	return streampin.Decide(streampin.Stream{
		HasOutput:   c.stream.resumed || c.responseStarted,
		Assigned:    c.stream.assigned,
		Version:     c.stream.version,
		Withdrawn:   c.stream.withdrawn,
		NeedsRecord: c.route.ProgramTurns,
	}, streampin.View{Serving: versionsOf(servers), Current: c.g.view.isCurrent()})
}

// versionsOf returns the distinct versions of servers.
func versionsOf(servers []*fleet.Instance) []string {
	var versions []string
	for _, server := range servers {
		if !slices.Contains(versions, server.Version) {
			versions = append(versions, server.Version)
		}
	}
	return versions
}

// openStreamCommand returns the command that opens the call's stream, or nil on routes whose
// streams cannot be resumed. A new stream is assigned to the version of the server that
// would be selected now.
func (c *call) openStreamCommand() *ledgerpb.OpenStream {
	if !c.route.ResumableStream() {
		return nil
	}
	if c.stream.resumed {
		return c.resumeCommand()
	}
	server := c.g.loads.peek(c.newSelection(c.g.view.usableServers(c.service.Name)))
	if server == nil {
		return nil
	}
	return c.assignCommand(server.Version)
}

// resumeCommand returns the command that looks up the version of the resumed stream, by the
// attempt that the client names, else by the content of the request. It returns nil if the
// version cannot be known.
func (c *call) resumeCommand() *ledgerpb.OpenStream {
	content := c.contentID()
	if c.stream.resumes == "" && content == 0 {
		return nil
	}
	command := &ledgerpb.OpenStream{
		Account:     c.accountName(),
		CallId:      c.meta.ID,
		Resumes:     c.stream.resumes,
		Resumed:     true,
		Content:     content,
		RetentionMs: c.streamRetention().Milliseconds(),
	}
	if c.recordsOutput() {
		command.LastEventId = []byte(c.meta.LastEventID)
	}
	return command
}

// contentID identifies the content of the request among those of its client account. It is 0
// on routes without program turns: there a stream may run without a record, so that the
// record of an earlier request with the same content could be of another version.
func (c *call) contentID() uint64 {
	if !c.route.ProgramTurns {
		return 0
	}
	fingerprint := c.fingerprint()
	digest := sha256.Sum256(fmt.Appendf(nil, "%x %q %q", fingerprint, c.meta.Program, c.meta.PreviousTurn))
	return max(1, binary.BigEndian.Uint64(digest[:]))
}

// streamRetention returns the time after which no client resumes the stream.
func (c *call) streamRetention() time.Duration { return max(c.route.Timeout, c.meta.Timeout) }

// assignCommand returns the command that assigns the call's stream to a version.
func (c *call) assignCommand(version string) *ledgerpb.OpenStream {
	return &ledgerpb.OpenStream{
		Account:     c.accountName(),
		CallId:      c.meta.ID,
		Version:     streampin.Record(c.service.Name, version),
		Revision:    c.stream.revision,
		Content:     c.contentID(),
		RetentionMs: c.streamRetention().Milliseconds(),
	}
}

// streamOpened stores the outcome of a command that the ledger has applied. resumed is the record
// of the resumed stream, "" for a new one.
func (c *call) streamOpened(command *ledgerpb.OpenStream, resumed string) {
	if command == nil {
		return
	}
	c.stream.assigned = true
	if command.Resumed {
		c.followStream(resumed)
		return
	}
	c.stream.revision = command.Revision + 1
	_, c.stream.version, _ = streampin.Locate(command.Version, []string{c.service.Name})
}

// followStream moves the call to the service that began the resumed stream, whichever one the
// weights of the route have chosen for the call.
func (c *call) followStream(record string) {
	service, version, found := streampin.Locate(record, c.route.ServingServices())
	if !found {
		c.stream.withdrawn = true
		return
	}
	c.service, c.stream.version = c.routes.Services[service], version
}

// lookUpStream reads the version of the resumed stream on routes that need the ledger for
// nothing else.
func (c *call) lookUpStream(ctx context.Context) error {
	if !c.stream.resumed {
		return nil
	}
	command := c.openStreamCommand()
	if command == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, openStreamTimeout)
	defer cancel()
	version, err := c.g.ledger.openStream(ctx, command)
	if err != nil {
		return err
	}
	c.streamOpened(command, version)
	return nil
}

// recordVersion records the version of the selected server before the request is sent
// there. On routes without program turns, a first record that fails is not required: without
// one, entries refuse to resume the stream. Other records are.
func (c *call) recordVersion(ctx context.Context) error {
	version := c.server.Version
	if !c.route.ResumableStream() || c.stream.assigned && c.stream.version == version {
		return nil
	}
	if !c.g.view.isCurrent() {
		// The record could name a version that the server no longer has.
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, openStreamTimeout)
	defer cancel()
	command := c.assignCommand(version)
	if _, err := c.g.ledger.openStream(ctx, command); err != nil {
		if c.stream.revision > 0 || c.route.ProgramTurns {
			c.g.loads.release(c.server.ID, outcomeInconclusive, time.Now())
			return err
		}
		c.g.log.Warn("version of a stream not recorded: it cannot be resumed by its client", "request", c.meta.ID, "version", version, "error", err)
	}
	c.streamOpened(command, "")
	return nil
}
