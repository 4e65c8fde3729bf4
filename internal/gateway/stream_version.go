package gateway

import (
	"context"
	"errors"
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

// streamVersion is the software version of the servers that run the stream of a call. The
// ledger records it before the first event is sent, so that any entry can resume the
// stream at the same version.
type streamVersion struct {
	resumes  string // call ID of the attempt that began the stream, "" for a new one
	resumed  bool   // the client holds events of an earlier attempt
	assigned bool   // version is known, and recorded unless the ledger failed
	version  string
	revision uint32 // of the next record
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
		HasOutput: c.stream.resumed || c.responseStarted,
		Assigned:  c.stream.assigned,
		Version:   c.stream.version,
		Named:     c.stream.resumes != "",
	}, versionsOf(servers))
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
		if c.stream.resumes == "" {
			return nil
		}
		return &ledgerpb.OpenStream{Account: c.accountName(), CallId: c.meta.ID, Resumes: c.stream.resumes}
	}
	server := c.g.loads.peek(c.newSelection(c.g.view.usableServers(c.service.Name)))
	if server == nil {
		return nil
	}
	return c.assignCommand(server.Version)
}

// assignCommand returns the command that assigns the call's stream to a version.
func (c *call) assignCommand(version string) *ledgerpb.OpenStream {
	return &ledgerpb.OpenStream{
		Account:     c.accountName(),
		CallId:      c.meta.ID,
		Version:     version,
		Revision:    c.stream.revision,
		RetentionMs: max(c.route.Timeout, c.meta.Timeout).Milliseconds(),
	}
}

// streamOpened stores the outcome of a command that the ledger has applied. version is that
// of the resumed stream.
func (c *call) streamOpened(command *ledgerpb.OpenStream, version string) {
	switch {
	case command == nil:
	case command.Resumes != "":
		c.stream.assigned, c.stream.version = true, version
	default:
		c.stream.assigned, c.stream.version = true, command.Version
		c.stream.revision = command.Revision + 1
	}
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
// there. A first record that fails is not required: without one, entries refuse to resume
// the stream. A record that replaces another one is.
func (c *call) recordVersion(ctx context.Context) error {
	version := c.server.Version
	if !c.route.ResumableStream() || c.stream.assigned && c.stream.version == version {
		return nil
	}
	if c.stream.resumed {
		// The client does not name the stream, and a single version serves.
		c.stream.assigned, c.stream.version = true, version
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, openStreamTimeout)
	defer cancel()
	command := c.assignCommand(version)
	if _, err := c.g.ledger.openStream(ctx, command); err != nil {
		if c.stream.revision > 0 {
			c.g.loads.release(c.server.ID, outcomeInconclusive, time.Now())
			return err
		}
		c.g.log.Warn("version of a stream not recorded: it cannot be resumed by its client", "request", c.meta.ID, "version", version, "error", err)
	}
	c.streamOpened(command, "")
	return nil
}
