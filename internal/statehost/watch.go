package statehost

import (
	"context"
	"errors"
	"iter"
	"slices"
	"sync"
	"time"
	"unicode/utf8"

	"google.golang.org/protobuf/proto"

	"ibistray.example/ibistray/internal/fleet"
	"ibistray.example/ibistray/internal/fleetwatch"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/fleetpb"
	"ibistray.example/ibistray/proto/rpcpb"
)

const (
	// maxMissedHeartbeats is the number of missed heartbeats after which a backend server
	// counts as silent. Entries then prefer other servers.
	maxMissedHeartbeats = 4
	// coalesceDelay combines changes in quick succession into one update.
	coalesceDelay = 20 * time.Millisecond
	// maxReportsPerUpdate limits the reports of backend servers in one update. With names of
	// the greatest length, an update of that many stays below transport.MaxMessageBytes.
	maxReportsPerUpdate = 4096
	// pushDelay is the time from the announcement of a large document until it is sent to a
	// watcher that does not say whether it fetches documents. Builds before that field fetch
	// them within this time, except for the oldest ones, which cannot.
	pushDelay = 250 * time.Millisecond
	// pushBytesPerSecond limits such documents of one host, most of which are not needed, so that
	// many changes during an upgrade do not fill its link.
	pushBytesPerSecond = 8 << 20
)

// handleWatch sends updates to one watcher until its stream ends. While nothing changes it
// sends empty updates, so that the watcher can detect a lost connection.
func (h *Host) handleWatch(ctx context.Context, stream *transport.Stream) error {
	req := new(fleetpb.WatchRequest)
	if err := stream.Recv(req); err != nil {
		return err
	}
	h.metrics.watchers.Inc()
	defer h.metrics.watchers.Dec()
	h.log.Info("watcher connected", "viewer", req.Viewer, "routes_version", req.RoutesVersion)
	w := watcher{host: h, peer: req.Peer, address: req.GetHost().GetAddress(), routesVersion: req.RoutesVersion, fetchesRoutes: req.FetchesRoutes}
	if w.address != "" {
		h.recordHost(req.Host)
	}
	if req.SystemStart != nil {
		h.systemStart.addViewer(req.Viewer, req.SystemStart)
	}
	for {
		update, changed := w.nextUpdate(ctx)
		if err := stream.SetDeadline(time.Now().Add(fleetwatch.SilenceTimeout)); err != nil {
			return transport.ErrInterrupted
		}
		if err := w.send(stream, update); err != nil {
			h.log.Info("watcher disconnected", "viewer", req.Viewer, "error", err)
			return transport.ErrInterrupted
		}
		if err := waitForChange(ctx, changed); err != nil {
			return transport.Errorf(rpcpb.Code_CODE_STOPPING, "%s", err)
		}
	}
}

// waitForChange returns coalesceDelay after a change, or when the next keep-alive is due.
// It returns an error only when the context ends.
func waitForChange(ctx context.Context, changed [3]<-chan struct{}) error {
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
	timer.Reset(coalesceDelay)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// watcher is the state of one watch stream: what the watcher has already received.
type watcher struct {
	host             *Host
	peer             bool      // the watcher is another state host
	address          string    // of another state host, for calls between processes
	serversRevision  uint64    // revision of the server table
	crashesRevision  uint64    // revision of the crash log
	routesVersion    uint64    // of the routes that were announced or sent
	fetchesRoutes    bool      // the watcher says that it fetches large documents
	pushAt           time.Time // when the document is sent that was announced, zero: not
	controlAddresses []string
}

// send sends an update as one message or, if it has more than maxReportsPerUpdate reports of
// backend servers, as several. Records that cannot be encoded are left out.
func (w *watcher) send(stream *transport.Stream, update *fleetpb.Update) error {
	metrics := w.host.metrics
	for part := range parts(update) {
		err := stream.Send(part)
		if err != nil && !errors.Is(err, transport.ErrInterrupted) {
			metrics.updatesUnsendable.Inc()
			w.host.log.Error("update cannot be encoded: records are left out", "error", err)
			err = stream.Send(withoutUnsendable(part))
		}
		if err != nil {
			return err
		}
		metrics.reportsSent.WithLabelValues(w.kind()).Add(float64(len(part.Instances)))
		metrics.updatesSent.WithLabelValues(w.kind()).Inc()
	}
	return nil
}

// parts returns an update as messages of at most maxReportsPerUpdate reports of backend
// servers. Everything else is in the first one, but for the state of the sender, which each
// message has.
func parts(update *fleetpb.Update) iter.Seq[*fleetpb.Update] {
	return func(yield func(*fleetpb.Update) bool) {
		rest := update.Instances
		part := update
		for {
			n := min(len(rest), maxReportsPerUpdate)
			part.Instances, rest = rest[:n], rest[n:]
			if !yield(part) || len(rest) == 0 {
				return
			}
			part = &fleetpb.Update{Quorum: update.Quorum, SystemStart: update.SystemStart}
		}
	}
}

// withoutUnsendable returns an update without the records that cannot be encoded.
func withoutUnsendable(update *fleetpb.Update) *fleetpb.Update {
	update.Instances = sendable(update.Instances)
	update.Crashes = sendable(update.Crashes)
	update.Retirements = sendable(update.Retirements)
	update.Control = slices.DeleteFunc(slices.Clone(update.Control), func(address string) bool { return !utf8.ValidString(address) })
	return update
}

// sendable returns the records that can be encoded.
func sendable[M proto.Message](records []M) []M {
	return slices.DeleteFunc(slices.Clone(records), func(record M) bool {
		_, err := proto.Marshal(record)
		return err != nil
	})
}

// kind returns the kind of the watcher as a label of metrics.
func (w *watcher) kind() string {
	if w.peer {
		return watcherPeer
	}
	return watcherEntry
}

// nextUpdate returns what the watcher has not received yet, and channels that are closed
// at the next change of the servers, the configuration and the crash reports. The last
// channel is nil for other state hosts, which receive no crash reports.
func (w *watcher) nextUpdate(ctx context.Context) (*fleetpb.Update, [3]<-chan struct{}) {
	h := w.host
	serversChanged := h.servers.Changed(w.peer)
	config, configChanged := h.config.read()
	update := new(fleetpb.Update)
	var changed []*fleet.Instance
	changed, w.serversRevision = h.servers.ChangedSince(w.serversRevision, w.peer)
	now := time.Now()
	for _, instance := range changed {
		update.Instances = append(update.Instances, fleet.ToProto(instance, now))
	}
	if config.Routes != nil && !w.peer {
		update.Routes = w.nextRoutes(config.Routes, now)
	}
	if control := h.knownAddresses(); !slices.Equal(control, w.controlAddresses) {
		update.Control = control
		w.controlAddresses = control
	}
	if w.peer {
		update.Sender = h.describeSelf()
		update.SystemStart = h.describeSystemStart()
		update.Retirements = h.config.retirementList()
		update.Stale = h.staleReplicas(ctx, w.address)
	}
	update.Quorum = h.knowsConfigLeader()
	var crashesChanged <-chan struct{}
	if !w.peer {
		update.Crashes, w.crashesRevision, crashesChanged = h.crashes.since(w.crashesRevision, now)
	}
	return update, [3]<-chan struct{}{serversChanged, configChanged, crashesChanged}
}

// nextRoutes returns what the watcher is to receive of the routes in force, nil if nothing. The
// keep-alive updates bring a document that is due.
func (w *watcher) nextRoutes(routes *fleetpb.Routes, now time.Time) *fleetpb.Routes {
	if !w.pushAt.IsZero() && !now.Before(w.pushAt) && w.host.pushes.take(len(routes.Document), now) {
		w.routesVersion, w.pushAt = routes.Version, time.Time{}
		return routes
	}
	if routes.Version <= w.routesVersion {
		return nil
	}
	w.routesVersion = routes.Version
	announced := announcement(routes)
	if len(announced.Document) == 0 && !w.fetchesRoutes && w.pushAt.IsZero() {
		w.pushAt = now.Add(pushDelay)
	}
	return announced
}

// pushLimiter limits the documents that are sent to watchers which may not need them. It is safe
// for concurrent use.
type pushLimiter struct {
	mu   sync.Mutex
	next time.Time // when the next document may be sent
}

// take reports whether a document of a size may be sent now, and counts it if so.
func (l *pushLimiter) take(size int, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.next) {
		return false
	}
	l.next = now.Add(time.Duration(size) * time.Second / pushBytesPerSecond)
	return true
}

// knowsConfigLeader reports whether this host holds a replica of the configuration that
// has recent contact with a leader. Without, it may miss changes that were acknowledged.
func (h *Host) knowsConfigLeader() bool { return h.replicas.Leader(ConfigGroup) != "" }

// newPeerWatcher returns the watcher that receives the heartbeats of backend servers from
// the other state hosts.
func (h *Host) newPeerWatcher() *fleetwatch.Watcher {
	return fleetwatch.NewWatcher(fleetwatch.Options{
		Pool:      h.pool,
		Logger:    h.log.Named("watch"),
		Addresses: h.peerAddresses,
		NewRequest: func() *fleetpb.WatchRequest {
			return &fleetpb.WatchRequest{Viewer: h.cfg.Name, Peer: true, Host: h.describeSelf(), SystemStart: h.describeSystemStart()}
		},
		OnUpdate: h.mergePeerUpdate,
	})
}

// mergePeerUpdate merges what another state host sent: its description, the servers, hosts
// and retirements that it knows, and which replicas of this host must be replaced.
func (h *Host) mergePeerUpdate(address string, update *fleetpb.Update) {
	h.systemStart.addHost(address, update.Quorum, update.SystemStart)
	if update.Sender != nil {
		h.recordHost(update.Sender)
	}
	h.hosts.addRetirements(update.Retirements)
	for _, stale := range update.Stale {
		h.background.Go(func() { h.replicas.Contain(func() { h.replaceReplica(stale) }) })
	}
	now := time.Now()
	for _, m := range update.Instances {
		instance := fleet.FromProto(m, now)
		if instance.Silent {
			h.servers.Resend(instance)
		}
		instance.Silent = false // each host decides this from the heartbeats that it knows
		h.servers.Merge(instance)
	}
	h.addHosts(update.Control)
}
