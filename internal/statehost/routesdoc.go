package statehost

import (
	"context"
	"sync"

	"ibistray.example/ibistray/internal/routesync"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/fleetpb"
	"ibistray.example/ibistray/proto/rpcpb"
)

// packedRoutes keeps the compressed document of the routes in force, which all entries
// fetch at about the same time. It is safe for concurrent use.
type packedRoutes struct {
	mu     sync.Mutex
	routes *fleetpb.Routes // with the compressed document; nil: none yet
}

// of returns the compressed form of routes.
func (p *packedRoutes) of(routes *fleetpb.Routes) (*fleetpb.Routes, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.routes != nil && p.routes.Version == routes.Version {
		return p.routes, nil
	}
	document, err := routesync.Pack(routes.Document)
	if err != nil {
		return nil, err
	}
	packed := &fleetpb.Routes{Version: routes.Version, Document: document}
	if p.routes == nil || p.routes.Version < routes.Version {
		p.routes = packed
	}
	return packed, nil
}

// handleRoutesFetch returns the routes in force here with their compressed document. The
// request names the version that the entry has learned of.
func (h *Host) handleRoutesFetch(_ context.Context, req *fleetpb.Routes) (*fleetpb.Routes, error) {
	config, _ := h.config.read()
	if config.Routes == nil || config.Routes.Version < req.Version {
		return nil, transport.Errorf(rpcpb.Code_CODE_UNAVAILABLE, "version %d is not in force here", req.Version)
	}
	packed, err := h.packed.of(config.Routes)
	if err != nil {
		return nil, transport.Errorf(rpcpb.Code_CODE_INTERNAL, "%s", err)
	}
	return packed, nil
}

// announcement returns what a watcher receives when routes come into force: the routes, or
// only their version if the document is large.
func announcement(routes *fleetpb.Routes) *fleetpb.Routes {
	if len(routes.Document) <= routesync.MaxPushedBytes {
		return routes
	}
	return &fleetpb.Routes{Version: routes.Version}
}
