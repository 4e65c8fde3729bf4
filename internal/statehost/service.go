package statehost

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"ibistray.example/ibistray/internal/fleet"
	"ibistray.example/ibistray/internal/fleetwatch"
	"ibistray.example/ibistray/internal/leaderclient"
	"ibistray.example/ibistray/internal/ledger"
	"ibistray.example/ibistray/internal/panics"
	"ibistray.example/ibistray/internal/peer"
	"ibistray.example/ibistray/internal/replica"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/fleetpb"
	"ibistray.example/ibistray/proto/ledgerpb"
	"ibistray.example/ibistray/proto/rpcpb"
)

// Errors of operator requests and heartbeats.
var (
	// ErrUnavailable reports that no quorum responded. The request may or may not have
	// taken effect and can be repeated.
	ErrUnavailable = errors.New("statehost: no quorum responded")
	// ErrUnknownHost reports a state host that is not known.
	ErrUnknownHost = errors.New("statehost: unknown host")
	// ErrTooFewHosts reports that too few state hosts would be left.
	ErrTooFewHosts = errors.New("statehost: too few hosts would be left")
	// ErrIsolated reports that this host receives nothing from the other state hosts. The
	// heartbeats that it accepted would not reach the entries.
	ErrIsolated = errors.New("statehost: no other state host is reachable")
	// ErrNoRoutes reports that no routes have been applied yet.
	ErrNoRoutes = errors.New("statehost: no routes yet")
)

// handleLedger proposes a command to the ledger and returns its outcome. Only the leader of
// the ledger group can respond.
func (h *Host) handleLedger(ctx context.Context, req *ledgerpb.Request) (*ledgerpb.Response, error) {
	if req.GetCommand().GetKind() == nil {
		// A command whose kind only later builds know must not be acknowledged by this one.
		return nil, transport.Errorf(rpcpb.Code_CODE_INVALID, "request without a command of a known kind")
	}
	kind := commandKind(req.Command)
	if size := turnBytes(req.Command); size > h.maxTurnBytes() {
		h.metrics.ledgerCommands.WithLabelValues(kind, "too_large").Inc()
		return nil, transport.Errorf(rpcpb.Code_CODE_INVALID, "turn of %d bytes, limit %d", size, h.maxTurnBytes())
	}
	if h.lacksBeginning(req.Command.GetFinish()) {
		h.metrics.ledgerCommands.WithLabelValues(kind, "incomplete").Inc()
		return nil, transport.Errorf(rpcpb.Code_CODE_INVALID, "turn without the events of earlier calls of its stream")
	}
	if err := h.admitTurn(req); err != nil {
		h.metrics.ledgerCommands.WithLabelValues(kind, "no_room").Inc()
		return nil, err
	}
	req.Command.NowMs = h.ledgerClock.nowMs()
	data, err := proto.Marshal(req.Command)
	if err != nil {
		return nil, transport.Errorf(rpcpb.Code_CODE_INVALID, "encode command: %s", err)
	}
	if finish := req.Command.GetFinish(); finish != nil {
		finish.Input, finish.Output = nil, nil // the proposal holds a copy
	}
	applied, err := h.proposeToLedger(ctx, commandKey(req.Command), data)
	if err != nil {
		h.metrics.ledgerCommands.WithLabelValues(kind, "failed").Inc()
		return nil, err
	}
	result, ok := applied.Result.(ledger.Result)
	if !ok {
		return nil, transport.Errorf(rpcpb.Code_CODE_INTERNAL, "ledger returned %T", applied.Result)
	}
	h.metrics.ledgerCommands.WithLabelValues(kind, result.Outcome.String()).Inc()
	if result.Outcome != ledgerpb.Outcome_OUTCOME_OK {
		h.logRefusal(req.Command, result.Outcome, applied.Index)
	}
	busy := h.replicas.SchedulingDelay() > busySchedulingDelay
	if busy {
		h.metrics.busyResponses.Inc()
	}
	resp := &ledgerpb.Response{Outcome: result.Outcome, Server: result.PreviousServer(), StreamVersion: result.StreamVersion(), Output: result.Output(), Busy: busy}
	if err := h.addChain(ctx, resp, result, req.FetchesChain); err != nil {
		return nil, err
	}
	return resp, nil
}

const (
	// maxPendingCommands limits the ledger commands that wait for a quorum on this host.
	// Further commands are refused at once: a leader that accepts everything while it
	// has no quorum cannot work off the backlog afterwards.
	maxPendingCommands = 384
	// busySchedulingDelay is the scheduling delay, the time that work waits for the
	// processor, above which entries are told to send less. It is a twentieth of the
	// shortest election timeout.
	busySchedulingDelay = electionTicks * tickInterval / 20
	// commandTimeout limits the wait of a command for a quorum, besides its transferTime.
	commandTimeout = 2 * time.Second
)

// largeRequestShare is the part of the memory limit for large requests that are handled at the same
// time, and for the largest turn. A turn has several copies on its way: in the request, the log
// entry, the write to the log and the messages to the other replicas.
const largeRequestShare = 16

// LargeRequestBytes returns the limit of the large requests that may be handled at the same time.
func (h *Host) LargeRequestBytes() int64 { return h.cfg.memoryBytes() / largeRequestShare }

// maxTurnBytes returns the largest input and output of a turn that is kept.
func (h *Host) maxTurnBytes() int64 { return h.cfg.memoryBytes() / largeRequestShare }

// turnBytes returns the size of the input and output that a command keeps.
func turnBytes(cmd *ledgerpb.Command) int64 {
	finish := cmd.GetFinish()
	return int64(len(finish.GetInput()) + len(finish.GetOutput()))
}

// lacksBeginning reports whether a turn that is to be kept has only the events of its call, which
// resumed a stream: entries of earlier builds do not know the others. Their client gets no end of
// the response, so that no program continues from a turn with a hole.
func (h *Host) lacksBeginning(f *ledgerpb.Finish) bool {
	return f.GetKeep() && !f.Whole && h.ledger.Resumed(f.Account, f.CallId)
}

// proposeToLedger proposes a command to the ledger, like proposeOnce.
func (h *Host) proposeToLedger(ctx context.Context, key string, data []byte) (replica.Applied, error) {
	return h.proposeOnce(ctx, LedgerGroup, key, func() (replica.Applied, error) {
		if h.pendingCommands.Add(1) > maxPendingCommands {
			h.pendingCommands.Add(-1)
			return replica.Applied{}, transport.Errorf(rpcpb.Code_CODE_UNAVAILABLE, "%d commands already wait for a quorum", maxPendingCommands)
		}
		defer h.pendingCommands.Add(-1)
		return h.propose(LedgerGroup, data)
	})
}

// proposeOnce proposes a command to a group. A command with the key of a pending one is not
// proposed but shares its outcome, so that retries do not add entries to the log.
func (h *Host) proposeOnce(ctx context.Context, group uint64, key string, propose func() (replica.Applied, error)) (replica.Applied, error) {
	result := h.pendingProposals.DoChan(key, func() (result any, err error) {
		if panicked := panics.Contain(h.log, "proposal", func() { result, err = propose() }); panicked != nil {
			return nil, panicked
		}
		return result, err
	})
	select {
	case <-ctx.Done():
		return replica.Applied{}, peer.RPCError(h.replicas, group, ctx.Err())
	case r := <-result:
		if r.Err != nil {
			return replica.Applied{}, r.Err
		}
		return r.Val.(replica.Applied), nil
	}
}

// propose proposes a command to a group and waits for the quorum, independently of the callers that
// wait for its outcome.
func (h *Host) propose(group uint64, data []byte) (replica.Applied, error) {
	if err := h.holdPending(len(data)); err != nil {
		return replica.Applied{}, err
	}
	defer h.releasePending(len(data))
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout+transferTime(len(data)))
	defer cancel()
	applied, err := h.replicas.Propose(ctx, group, data)
	if err != nil {
		return replica.Applied{}, peer.RPCError(h.replicas, group, err)
	}
	return applied, nil
}

// holdPending counts the bytes of a command that waits for a quorum. It refuses the command if it
// exceeds its share of the memory together with the commands that wait already.
func (h *Host) holdPending(size int) error {
	limit := h.cfg.memoryBytes() / pendingMemoryShare
	if held := h.pendingBytes.Add(int64(size)); held > limit && held > int64(size) {
		h.releasePending(size)
		return transport.Errorf(rpcpb.Code_CODE_UNAVAILABLE, "commands of %d bytes already wait for a quorum, limit %d", held-int64(size), limit)
	}
	return nil
}

func (h *Host) releasePending(size int) { h.pendingBytes.Add(-int64(size)) }

// commandKey returns the key under which copies of a command share one proposal.
func commandKey(cmd *ledgerpb.Command) string {
	key := fmt.Sprintf("%s %q %q", commandKind(cmd), accountOf(cmd), callID(cmd))
	if open := cmd.GetOpenStream(); open != nil {
		key += fmt.Sprintf(" %d", open.Revision)
	}
	if record := cmd.GetRecordOutput(); record != nil {
		key += fmt.Sprintf(" %d", record.Sequence)
	}
	return key
}

// callID returns the ID of the call that the command begins or finishes, or whose stream
// it opens or records.
func callID(cmd *ledgerpb.Command) string {
	return cmd.GetBegin().GetCallId() + cmd.GetFinish().GetCallId() + cmd.GetOpenStream().GetCallId() + cmd.GetRecordOutput().GetCallId()
}

// accountOf returns the client account of the call.
func accountOf(cmd *ledgerpb.Command) string {
	return cmd.GetBegin().GetAccount() + cmd.GetFinish().GetAccount() + cmd.GetOpenStream().GetAccount() + cmd.GetRecordOutput().GetAccount()
}

// logRefusal logs a command that the ledger refused.
func (h *Host) logRefusal(cmd *ledgerpb.Command, outcome ledgerpb.Outcome, index uint64) {
	begin, finish := cmd.GetBegin(), cmd.GetFinish()
	h.log.Info("ledger refused", "request", callID(cmd), "account", accountOf(cmd), "program", begin.GetProgram()+finish.GetProgram(),
		"previous", begin.GetPrevious()+finish.GetPrevious(),
		"resumes", begin.GetStream().GetResumes()+cmd.GetOpenStream().GetResumes(), "outcome", outcome.String(),
		"max_tokens", begin.GetMaxTokens(), "token_budget", begin.GetTokenBudget(), "log_index", index)
}

func commandKind(cmd *ledgerpb.Command) string {
	switch cmd.Kind.(type) {
	case *ledgerpb.Command_Begin:
		return "begin"
	case *ledgerpb.Command_OpenStream:
		return "open_stream"
	case *ledgerpb.Command_RecordOutput:
		return "record_output"
	}
	return "finish"
}

// Heartbeat records the report of a backend server. Errors: fleet.ErrInvalid, and
// ErrIsolated, after which the server should report to another host. On an error the
// report is not recorded.
func (h *Host) Heartbeat(instance *fleet.Instance) error {
	if h.isIsolated(time.Now()) {
		h.metrics.heartbeats.WithLabelValues("isolated").Inc()
		return ErrIsolated
	}
	if err := instance.Validate(); err != nil {
		h.metrics.heartbeats.WithLabelValues("refused").Inc()
		h.log.Warn("heartbeat refused", "server", instance.ID, "error", err)
		return err
	}
	if !h.servers.Receive(instance) {
		h.metrics.heartbeats.WithLabelValues("late").Inc()
		return nil
	}
	h.metrics.heartbeats.WithLabelValues("taken").Inc()
	if instance.State != fleetpb.State_STATE_READY || instance.Sequence <= 1 {
		h.log.Info("backend server reported", "server", instance.ID, "service", instance.Service, "address", instance.Address,
			"state", instance.State.String(), "born", instance.StartUnixMs, "sequence", instance.Sequence)
	}
	return nil
}

// isIsolated reports whether there are other state hosts but none of them has sent an
// update within fleetwatch.SilenceTimeout.
func (h *Host) isIsolated(now time.Time) bool {
	if len(h.peerAddresses()) == 0 {
		return false
	}
	for _, lastUpdate := range h.peerWatcher.LastUpdates() {
		if now.Sub(lastUpdate) < fleetwatch.SilenceTimeout {
			return false
		}
	}
	return true
}

// Deregister records that a backend server leaves. A startUnixMs of 0 stands for its latest
// start. Errors: fleet.ErrInvalid, ErrIsolated.
func (h *Host) Deregister(id string, startUnixMs int64) error {
	if h.isIsolated(time.Now()) {
		h.metrics.heartbeats.WithLabelValues("isolated").Inc()
		return ErrIsolated
	}
	if err := fleet.ValidateID(id); err != nil {
		h.metrics.heartbeats.WithLabelValues("refused").Inc()
		return err
	}
	known := h.servers.MarkGone(id, startUnixMs, time.Now())
	h.log.Info("backend server leaves", "server", id, "born", startUnixMs, "known", known)
	return nil
}

// StartRetirement asks a state host to give up its replicas. The request is accepted if
// at least FaultTolerance+1 other hosts remain. The replicas move when enough hosts are
// available that can take them, standby hosts included. Errors: ErrUnknownHost, ErrTooFewHosts, ErrUnavailable.
func (h *Host) StartRetirement(ctx context.Context, name string) error {
	host := h.hosts.byName(name)
	if host == nil && time.Since(h.started) < hostLossTimeout {
		return fmt.Errorf("%w: this host has just started and may not know %s yet", ErrUnavailable, name)
	}
	if host == nil {
		return fmt.Errorf("%w: %s", ErrUnknownHost, name)
	}
	config, err := h.callConfig(ctx, nil)
	if err != nil {
		h.countOperatorRequest("retire", "unavailable")
		return err
	}
	retiring := make(map[string]bool, len(config.Retirements))
	for _, retirement := range config.Retirements {
		retiring[retirement.Address] = true
	}
	if retiring[host.Address] {
		return nil
	}
	retiring[host.Address] = true
	if h.countRemainingHosts(retiring) < h.cfg.FaultTolerance+1 {
		h.countOperatorRequest("retire", "too_few")
		return fmt.Errorf("%w: %s cannot retire, %d other hosts must remain", ErrTooFewHosts, name, h.cfg.FaultTolerance+1)
	}
	cmd := &fleetpb.ConfigCommand{Kind: &fleetpb.ConfigCommand_Retire{
		Retire: &fleetpb.Retirement{Name: name, Address: host.Address},
	}}
	if _, err := h.callConfig(ctx, cmd); err != nil {
		h.countOperatorRequest("retire", "unavailable")
		return err
	}
	h.countOperatorRequest("retire", "acknowledged")
	h.log.Info("retirement accepted", "host", name, "address", host.Address)
	return nil
}

// countRemainingHosts returns the number of hosts that are neither silent nor retiring.
func (h *Host) countRemainingHosts(retiring map[string]bool) int {
	count := 0
	now := time.Now()
	for _, known := range h.hosts.all() {
		if !retiring[known.host.Address] && now.Sub(known.lastHeard) < hostLossTimeout {
			count++
		}
	}
	return count
}

// Retired reports whether a state host that was asked to retire holds no replica and other
// hosts have taken its place. If the name has been given to a further host since, it must have
// been asked, too. Errors: ErrUnknownHost, ErrUnavailable.
func (h *Host) Retired(ctx context.Context, name string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorRequestTimeout)
	defer cancel()
	config, err := h.callConfig(ctx, nil)
	if err != nil {
		return false, err
	}
	addresses := retiredAddresses(config.Retirements, h.hosts.byName(name), name)
	if len(addresses) == 0 {
		return false, fmt.Errorf("%w: %s was not asked to retire", ErrUnknownHost, name)
	}
	for _, address := range addresses {
		if replaced, err := h.isReplaced(ctx, address); !replaced || err != nil {
			return false, err
		}
	}
	return true, nil
}

// retiredAddresses returns the addresses of all hosts of a name that were asked to retire, or none
// if the host that has the name now was not.
func retiredAddresses(retirements []*fleetpb.Retirement, current *fleetpb.Host, name string) []string {
	var addresses []string
	for _, retirement := range retirements {
		if retirement.Name == name {
			addresses = append(addresses, retirement.Address)
		}
	}
	if current != nil && !slices.Contains(addresses, current.Address) {
		return nil
	}
	return addresses
}

// isReplaced reports whether the host at the address is not a member of any group and all
// groups have the wanted number of voters.
func (h *Host) isReplaced(ctx context.Context, address string) (bool, error) {
	leaders := [...]struct {
		group  uint64
		leader *leaderclient.LeaderCache
	}{{ConfigGroup, &h.configLeader}, {LedgerGroup, &h.ledgerLeader}}
	for _, l := range leaders {
		resp := new(fleetpb.MembersResponse)
		req := &fleetpb.MembersRequest{Group: l.group}
		if err := h.leaders.Call(ctx, l.leader, transport.MethodHostMembers, 0, req, resp); err != nil {
			return false, fmt.Errorf("%w: group %d: %w", ErrUnavailable, l.group, err)
		}
		if slices.Contains(resp.Addresses, address) || int(resp.Voters) < h.wantedVoters() {
			return false, nil
		}
	}
	return true, nil
}
