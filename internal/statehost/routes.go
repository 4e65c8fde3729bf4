package statehost

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"ibistray.example/ibistray/internal/peer"
	"ibistray.example/ibistray/internal/replica"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/fleetpb"
	"ibistray.example/ibistray/proto/rpcpb"
)

const (
	// operatorRequestTimeout limits a request of an operator, besides the transferTime of its
	// document. It is below the second after which callers try another host.
	operatorRequestTimeout = 900 * time.Millisecond
	// minTransferRate is the rate in bytes a second at which the time limits of a request allow its
	// document to be received, replicated and written.
	minTransferRate = 1 << 20
)

// transferTime returns the time that requests with so many bytes have in addition.
func transferTime(size int) time.Duration {
	return time.Duration(size) * time.Second / minTransferRate
}

// ApplyRoutes puts a routes document in force, unless the same or a higher version is in
// force. When it returns nil, the version in force is durable on a quorum. Errors:
// routing.ErrInvalid, ErrUnavailable.
func (h *Host) ApplyRoutes(ctx context.Context, document []byte) error {
	decoded, err := h.cfg.DecodeRoutes(document)
	if err == nil && decoded.Defect != nil {
		err = h.checkInForce(ctx, document, decoded.Defect)
	}
	switch {
	case errors.Is(err, ErrUnavailable):
		h.countOperatorRequest("routes", "unavailable")
		h.log.Warn("routes with a defect not compared with those in force", "version", decoded.Version, "error", err)
		return err
	case err != nil:
		h.countOperatorRequest("routes", "invalid")
		h.log.Warn("routes refused", "error", err)
		return err
	}
	if inForce := h.config.routesInForce(); inForce.GetVersion() >= decoded.Version && inForce != nil {
		h.countOperatorRequest("routes", "acknowledged")
		h.log.Info("routes acknowledged", "version", decoded.Version, "in_force", inForce.Version, "changed", false)
		return nil
	}
	cmd := &fleetpb.ConfigCommand{Kind: &fleetpb.ConfigCommand_PutRoutes{
		PutRoutes: &fleetpb.Routes{Version: decoded.Version, Document: document},
	}}
	resp, err := h.callConfig(ctx, cmd)
	if err != nil {
		h.countOperatorRequest("routes", "unavailable")
		h.log.Warn("routes not acknowledged", "version", decoded.Version, "error", err)
		return err
	}
	h.countOperatorRequest("routes", "acknowledged")
	h.log.Info("routes acknowledged", "version", decoded.Version, "in_force", resp.GetRoutes().GetVersion())
	return nil
}

// checkInForce returns the defect of a document unless the document is in force: an earlier build
// acknowledged it, so that it is acknowledged again. Error besides: ErrUnavailable.
func (h *Host) checkInForce(ctx context.Context, document []byte, defect error) error {
	inForce, err := h.Routes(ctx)
	switch {
	case errors.Is(err, ErrNoRoutes):
		return defect
	case err != nil:
		return err
	case !bytes.Equal(document, inForce):
		return defect
	}
	return nil
}

func (h *Host) countOperatorRequest(kind, outcome string) {
	h.metrics.operatorRequests.WithLabelValues(kind, outcome).Inc()
}

// Routes returns the newest acknowledged routes document, confirmed by a quorum.
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

// callConfig sends a command to the leader of the configuration group, or a read if cmd
// is nil.
func (h *Host) callConfig(ctx context.Context, cmd *fleetpb.ConfigCommand) (*fleetpb.ConfigResponse, error) {
	extra := transferTime(max(proto.Size(cmd), len(h.config.routesInForce().GetDocument())))
	ctx, cancel := context.WithTimeout(ctx, operatorRequestTimeout+extra)
	defer cancel()
	resp := new(fleetpb.ConfigResponse)
	req := &fleetpb.ConfigRequest{Command: cmd}
	if err := h.leaders.Call(ctx, &h.configLeader, transport.MethodRoutes, extra, req, resp); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return resp, nil
}

// handleConfig handles the requests of callConfig. Only the leader of the configuration
// group can respond.
func (h *Host) handleConfig(ctx context.Context, req *fleetpb.ConfigRequest) (*fleetpb.ConfigResponse, error) {
	if req.Command == nil {
		if err := h.replicas.ReadBarrier(ctx, ConfigGroup); err != nil {
			return nil, peer.RPCError(h.replicas, ConfigGroup, err)
		}
		resp, _ := h.config.read()
		return resp, nil
	}
	if req.Command.GetKind() == nil {
		return nil, transport.Errorf(rpcpb.Code_CODE_INVALID, "the kind of the command is not known here")
	}
	if err := h.proposeConfig(ctx, req.Command); err != nil {
		return nil, err
	}
	return &fleetpb.ConfigResponse{Routes: &fleetpb.Routes{Version: h.config.routesInForce().GetVersion()}}, nil
}

// proposeConfig proposes a command to the configuration group, unless it would change nothing.
func (h *Host) proposeConfig(ctx context.Context, cmd *fleetpb.ConfigCommand) error {
	put := cmd.GetPutRoutes()
	if inForce := h.config.routesInForce(); put != nil && inForce != nil && inForce.Version >= put.Version {
		return nil
	}
	data, err := proto.Marshal(cmd)
	if err != nil {
		return transport.Errorf(rpcpb.Code_CODE_INVALID, "encode command: %s", err)
	}
	key := fmt.Sprintf("config %d %x", put.GetVersion(), xxhash.Sum64(data))
	_, err = h.proposeOnce(ctx, ConfigGroup, key, func() (replica.Applied, error) { return h.propose(ConfigGroup, data) })
	return err
}
