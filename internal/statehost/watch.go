package statehost

import (
	"context"
	"slices"
	"time"

	"ibistray.example/ibistray/internal/fleet"
	"ibistray.example/ibistray/internal/fleetwatch"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/fleetpb"
	"ibistray.example/ibistray/proto/rpcpb"
)

const (
	// silentBeats is the number of missed heartbeats after which a backend server
	// counts as silent: entries then prefer the others.
	silentBeats = 4
	// gatherTime collects changes that come together into one update.
	gatherTime = 20 * time.Millisecond
)

// serveWatch sends what changed to one watcher until its stream ends. A stream
// without changes carries empty updates, so that a silent connection is noticed.
func (h *Host) serveWatch(ctx context.Context, stream *transport.Stream) error {
	req := new(fleetpb.WatchRequest)
	if err := stream.Recv(req); err != nil {
		return err
	}
	h.metrics.watchers.Inc()
	defer h.metrics.watchers.Dec()
	h.log.Info("watcher connected", "viewer", req.Viewer, "routes_version", req.RoutesVersion)
	w := watcher{host: h, peer: req.Peer, version: req.RoutesVersion}
	for {
		update, changed := w.next()
		if err := stream.SetDeadline(time.Now().Add(fleetwatch.SilenceTimeout)); err != nil {
			return transport.ErrBroken
		}
		if err := stream.Send(update); err != nil {
			h.log.Info("watcher disconnected", "viewer", req.Viewer, "error", err)
			return transport.ErrBroken
		}
		if err := awaitChange(ctx, changed); err != nil {
			return transport.Errorf(rpcpb.Code_CODE_STOPPING, "%s", err)
		}
	}
}

// awaitChange returns at a change, or when the next sign of life is due.
func awaitChange(ctx context.Context, changed [3]<-chan struct{}) error {
	timer := time.NewTimer(fleetwatch.KeepAliveInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	case <-changed[0]:
	case <-changed[1]:
	case <-changed[2]:
	}
	timer.Reset(gatherTime)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// watcher is what one watcher was sent.
type watcher struct {
	host     *Host
	peer     bool
	revision uint64 // of the servers
	crashes  uint64 // revision of the crash reports
	version  uint64
	control  []string
}

// next returns what the watcher does not have yet, and channels that are closed at
// the next change of servers, routes and
// crash reports.
func (w *watcher) next() (*fleetpb.Update, [3]<-chan struct{}) {
	h := w.host
	serversChanged := h.servers.Changed(w.peer)
	config, configChanged := h.config.read()
	update := new(fleetpb.Update)
	var changed []*fleet.Instance
	changed, w.revision = h.servers.ChangedSince(w.revision, w.peer)
	now := time.Now()
	for _, i := range changed {
		update.Instances = append(update.Instances, fleet.ToProto(i, now))
	}
	if config.Routes != nil && config.Routes.Version > w.version && !w.peer {
		update.Routes = config.Routes
		w.version = config.Routes.Version
	}
	if control := h.known(); !slices.Equal(control, w.control) {
		update.Control = control
		w.control = control
	}
	var crashesChanged <-chan struct{}
	if !w.peer {
		update.Crashes, w.crashes, crashesChanged = h.crashes.since(w.crashes, now)
	}
	return update, [3]<-chan struct{}{serversChanged, configChanged, crashesChanged}
}

// newPeerWatch returns the streams by which this host takes the heartbeats that
// other state hosts heard.
func (h *Host) newPeerWatch() *fleetwatch.Watcher {
	return fleetwatch.NewWatcher(fleetwatch.Options{
		Pool:       h.pool,
		Log:        h.log.Named("watch"),
		Addresses:  h.others,
		NewRequest: func() *fleetpb.WatchRequest { return &fleetpb.WatchRequest{Viewer: h.cfg.Name, Peer: true} },
		OnUpdate:   h.takeUpdate,
	})
}

func (h *Host) takeUpdate(_ string, update *fleetpb.Update) {
	now := time.Now()
	for _, m := range update.Instances {
		i := fleet.FromProto(m, now)
		i.Silent = false // each host judges by what it heard
		h.servers.Merge(i)
	}
	for _, address := range update.Control {
		h.hosts.learn(address)
	}
}
