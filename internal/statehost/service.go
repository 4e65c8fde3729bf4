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
	"ibistray.example/ibistray/internal/peer"
	"ibistray.example/ibistray/internal/replica"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/fleetpb"
	"ibistray.example/ibistray/proto/ledgerpb"
	"ibistray.example/ibistray/proto/rpcpb"
)

// Errors of operators' orders.
var (
	// ErrUnavailable says that no quorum answered: the order may or may not have
	// been accepted and can be sent again.
	ErrUnavailable = errors.New("statehost: no quorum answered")
	// ErrUnknownHost names a state host that was not heard of.
	ErrUnknownHost = errors.New("statehost: unknown host")
	// ErrTooFewHosts says that too few state hosts would be left.
	ErrTooFewHosts = errors.New("statehost: too few hosts would be left")
	// ErrIsolated says that this host is in touch with no other state host: what it
	// heard would not reach the entries.
	ErrIsolated = errors.New("statehost: no other state host is in reach")
	// ErrNoRoutes says that there are no routes yet.
	ErrNoRoutes = errors.New("statehost: no routes yet")
)

// orderTimeout bounds an operator's order: callers go to another host after a
// second without an answer.
const orderTimeout = 900 * time.Millisecond

// ApplyRoutes puts a document in force unless a higher version is; both are
// durable on a quorum when it returns. Errors: routing.ErrInvalid, ErrUnavailable.
func (h *Host) ApplyRoutes(ctx context.Context, document []byte) error {
	decoded, err := h.cfg.DecodeRoutes(document)
	if err != nil {
		h.order("routes", "invalid")
		h.log.Warn("routes refused", "error", err)
		return err
	}
	cmd := &fleetpb.ConfigCommand{Kind: &fleetpb.ConfigCommand_PutRoutes{
		PutRoutes: &fleetpb.Routes{Version: decoded.Version, Document: document},
	}}
	resp, err := h.callConfig(ctx, cmd)
	if err != nil {
		h.order("routes", "unavailable")
		h.log.Warn("routes not acknowledged", "version", decoded.Version, "error", err)
		return err
	}
	h.order("routes", "acknowledged")
	h.log.Info("routes acknowledged", "version", decoded.Version, "in_force", resp.GetRoutes().GetVersion())
	return nil
}

func (h *Host) order(kind, outcome string) {
	h.metrics.orders.WithLabelValues(kind, outcome).Inc()
}

// Routes returns the newest acknowledged document, confirmed by a quorum.
// Errors: ErrNoRoutes, ErrUnavailable.
func (h *Host) Routes(ctx context.Context) ([]byte, error) {
	resp, err := h.callConfig(ctx, nil)
	if err != nil {
		return nil, err
	}
	if resp.Routes == nil {
		return nil, ErrNoRoutes
	}
	return resp.Routes.Document, nil
}

// callConfig sends a command, or a read without one, to the leader of the
// configuration.
func (h *Host) callConfig(ctx context.Context, cmd *fleetpb.ConfigCommand) (*fleetpb.ConfigResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	resp := new(fleetpb.ConfigResponse)
	req := &fleetpb.ConfigRequest{Command: cmd}
	if err := h.leaders.Call(ctx, &h.configLeader, transport.MethodRoutes, 0, req, resp); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return resp, nil
}

// serveConfig serves the leader's side of callConfig.
func (h *Host) serveConfig(ctx context.Context, req *fleetpb.ConfigRequest) (*fleetpb.ConfigResponse, error) {
	if req.Command == nil {
		if err := h.replicas.ReadBarrier(ctx, ConfigGroup); err != nil {
			return nil, peer.RPCError(h.replicas, ConfigGroup, err)
		}
		resp, _ := h.config.read()
		return resp, nil
	}
	data, err := proto.Marshal(req.Command)
	if err != nil {
		return nil, transport.Errorf(rpcpb.Code_CODE_INVALID, "encode command: %s", err)
	}
	if _, err := h.replicas.Propose(ctx, ConfigGroup, data); err != nil {
		return nil, peer.RPCError(h.replicas, ConfigGroup, err)
	}
	resp, _ := h.config.read()
	return &fleetpb.ConfigResponse{Routes: &fleetpb.Routes{Version: resp.GetRoutes().GetVersion()}}, nil
}

// serveLedger proposes a command to the ledger, as the leader.
func (h *Host) serveLedger(ctx context.Context, req *ledgerpb.Request) (*ledgerpb.Response, error) {
	if req.Command == nil {
		return nil, transport.Errorf(rpcpb.Code_CODE_INVALID, "request without a command")
	}
	req.Command.NowMs = time.Now().UnixMilli()
	data, err := proto.Marshal(req.Command)
	if err != nil {
		return nil, transport.Errorf(rpcpb.Code_CODE_INVALID, "encode command: %s", err)
	}
	kind := commandKind(req.Command)
	applied, err := h.proposeOnce(ctx, kind+" "+callOf(req.Command), data)
	if err != nil {
		h.metrics.commands.WithLabelValues(kind, "failed").Inc()
		return nil, err
	}
	result, ok := applied.Result.(ledger.Result)
	if !ok {
		return nil, transport.Errorf(rpcpb.Code_CODE_INTERNAL, "ledger returned %T", applied.Result)
	}
	h.metrics.commands.WithLabelValues(kind, result.Outcome.String()).Inc()
	if result.Outcome != ledgerpb.Outcome_OUTCOME_OK {
		h.logRefusal(req.Command, result.Outcome, applied.Index)
	}
	busy := h.replicas.SchedulingDelay() > busyLag
	if busy {
		h.metrics.busy.Inc()
	}
	return &ledgerpb.Response{Outcome: result.Outcome, Chain: result.PreviousTurns(), Busy: busy}, nil
}

const (
	// maxWaitingCommands bounds the commands that wait for a quorum here. What is beyond
	// them is refused at once: a leader that takes all that comes while it has no quorum
	// cannot work it off afterwards.
	maxWaitingCommands = 384
	// busyLag is the time that work waits for the processor above which entries are told
	// to send less: a twentieth of the time after which followers miss their leader.
	busyLag = electionTicks * tickInterval / 20
	// commandTimeout bounds the wait for a quorum, whoever still waits for the answer.
	commandTimeout = 2 * time.Second
)

// proposeOnce proposes a command of the ledger. A command that is sent again while its
// first copy waits shares the outcome of that one, so that impatient callers do not
// make the log longer.
func (h *Host) proposeOnce(ctx context.Context, key string, data []byte) (replica.Applied, error) {
	result := h.waiting.DoChan(key, func() (any, error) {
		if h.waitingCommands.Add(1) > maxWaitingCommands {
			h.waitingCommands.Add(-1)
			return nil, transport.Errorf(rpcpb.Code_CODE_UNAVAILABLE, "%d commands wait for a quorum", maxWaitingCommands)
		}
		defer h.waitingCommands.Add(-1)
		ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
		defer cancel()
		applied, err := h.replicas.Propose(ctx, LedgerGroup, data)
		if err != nil {
			return nil, peer.RPCError(h.replicas, LedgerGroup, err)
		}
		return applied, nil
	})
	select {
	case <-ctx.Done():
		return replica.Applied{}, peer.RPCError(h.replicas, LedgerGroup, ctx.Err())
	case r := <-result:
		if r.Err != nil {
			return replica.Applied{}, r.Err
		}
		return r.Val.(replica.Applied), nil
	}
}

// callOf returns the ID of the call that a command is about.
func callOf(cmd *ledgerpb.Command) string {
	return cmd.GetBegin().GetCallId() + cmd.GetFinish().GetCallId()
}

// logRefusal writes the line of a command that the ledger refused.
func (h *Host) logRefusal(cmd *ledgerpb.Command, outcome ledgerpb.Outcome, index uint64) {
	b, f := cmd.GetBegin(), cmd.GetFinish()
	h.log.Info("ledger refused", "request", b.GetCallId()+f.GetCallId(), "program", b.GetProgram()+f.GetProgram(),
		"previous", b.GetPrevious()+f.GetPrevious(), "outcome", outcome.String(),
		"max_tokens", b.GetMaxTokens(), "token_budget", b.GetTokenBudget(), "log_index", index)
}

func commandKind(cmd *ledgerpb.Command) string {
	if cmd.GetBegin() != nil {
		return "begin"
	}
	return "finish"
}

// Heartbeat takes the report of a backend server. Errors: fleet.ErrInvalid, and
// ErrIsolated, after which the server reports to another host. Nothing changed then.
func (h *Host) Heartbeat(i *fleet.Instance) error {
	if h.isolated(time.Now()) {
		h.metrics.heartbeats.WithLabelValues("isolated").Inc()
		return ErrIsolated
	}
	if err := i.Validate(); err != nil {
		h.metrics.heartbeats.WithLabelValues("refused").Inc()
		h.log.Warn("heartbeat refused", "server", i.ID, "error", err)
		return err
	}
	if !h.servers.Merge(i) {
		h.metrics.heartbeats.WithLabelValues("late").Inc()
		return nil
	}
	h.metrics.heartbeats.WithLabelValues("taken").Inc()
	if i.State != fleetpb.State_STATE_READY || i.Sequence <= 1 {
		h.log.Info("backend server reported", "server", i.ID, "service", i.Service, "address", i.Address,
			"state", i.State.String(), "born", i.StartUnixMs, "sequence", i.Sequence)
	}
	return nil
}

// isolated reports whether this host hears no other state host, although there are
// some.
func (h *Host) isolated(now time.Time) bool {
	if len(h.others()) == 0 {
		return false
	}
	for _, heard := range h.peerWatch.LastUpdates() {
		if now.Sub(heard) < fleetwatch.SilenceTimeout {
			return false
		}
	}
	return true
}

// Leave takes the report of a backend server that leaves. Error: ErrIsolated.
func (h *Host) Leave(id string, born int64) error {
	if h.isolated(time.Now()) {
		h.metrics.heartbeats.WithLabelValues("isolated").Inc()
		return ErrIsolated
	}
	known := h.servers.MarkGone(id, born, time.Now())
	h.log.Info("backend server leaves", "server", id, "born", born, "known", known)
	return nil
}

// StartRetirement asks that a state host gives up its replicas. It is accepted when
// one host more stays than may be lost at once; the replicas move when a host is
// there that can take them. Errors: ErrUnknownHost, ErrTooFewHosts, ErrUnavailable.
func (h *Host) StartRetirement(ctx context.Context, name string) error {
	host := h.hosts.byName(name)
	if host == nil && time.Since(h.started) < lostAfter {
		return fmt.Errorf("%w: this host has just started and may not know %s yet", ErrUnavailable, name)
	}
	if host == nil {
		return fmt.Errorf("%w: %s", ErrUnknownHost, name)
	}
	config, err := h.callConfig(ctx, nil)
	if err != nil {
		h.order("retire", "unavailable")
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
	if h.staying(retiring) < h.cfg.FaultTolerance+1 {
		h.order("retire", "too_few")
		return fmt.Errorf("%w: %s", ErrTooFewHosts, name)
	}
	cmd := &fleetpb.ConfigCommand{Kind: &fleetpb.ConfigCommand_Retire{
		Retire: &fleetpb.Retirement{Name: name, Address: host.Address},
	}}
	if _, err := h.callConfig(ctx, cmd); err != nil {
		h.order("retire", "unavailable")
		return err
	}
	h.order("retire", "acknowledged")
	h.log.Info("retirement accepted", "host", name, "address", host.Address)
	return nil
}

// staying returns how many hosts answer and are not asked to retire.
func (h *Host) staying(retiring map[string]bool) int {
	count := 0
	now := time.Now()
	for _, heard := range h.hosts.all() {
		if !retiring[heard.host.Address] && now.Sub(heard.heard) < lostAfter {
			count++
		}
	}
	return count
}

// Retired reports whether a state host that was asked to retire holds no replica
// any longer. Errors: ErrUnknownHost, ErrUnavailable.
func (h *Host) Retired(ctx context.Context, name string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	config, err := h.callConfig(ctx, nil)
	if err != nil {
		return false, err
	}
	for _, retirement := range config.Retirements {
		if retirement.Name == name {
			return h.emptied(ctx, retirement.Address)
		}
	}
	return false, fmt.Errorf("%w: %s was not asked to retire", ErrUnknownHost, name)
}

// emptied reports whether the host at an address is a member of no group.
func (h *Host) emptied(ctx context.Context, address string) (bool, error) {
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
		if slices.Contains(resp.Addresses, address) {
			return false, nil
		}
	}
	return true, nil
}
