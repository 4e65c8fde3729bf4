package gateway

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"ibistray.example/ibistray/internal/clock"
	"ibistray.example/ibistray/internal/fleet"
	"ibistray.example/ibistray/internal/fleetwatch"
	"ibistray.example/ibistray/internal/policy/routeage"
	"ibistray.example/ibistray/internal/routesync"
	"ibistray.example/ibistray/internal/routing"
	"ibistray.example/ibistray/internal/telemetry"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/fleetpb"
)

// minSuspension is the shortest suspension after which an entry waits for an update. It covers
// the distance between the readings of two clocks.
const minSuspension = 200 * time.Millisecond

// view holds the routes in force and the backend servers that this entry knows.
// Requests read immutable snapshots, which updates from state hosts replace.
type view struct {
	log     hclog.Logger
	metrics *telemetry.Metrics
	decode  func([]byte) (*routing.Document, error)
	seeds   func() []string
	// systemStart is Config.SystemStart.
	systemStart func() *fleetpb.SystemStart
	watcher     *fleetwatch.Watcher
	watched     *watchedHosts
	fetcher     *routesync.Fetcher
	// crashDetector receives crash reports and the current servers.
	crashDetector *crashDetector

	routes  atomic.Pointer[routing.Document]
	servers atomic.Pointer[serverIndex]

	// Times of the latest update, and of the latest one from a host with contact to a
	// quorum, in nanoseconds by bootTime: the time of day may jump, and the clock of package
	// time does not count suspension.
	lastUpdate, lastQuorum atomic.Int64
	bootTime               func() time.Duration // clock.SinceBoot
	// suspension is the time for which the host had been suspended at the latest update, in
	// nanoseconds, up to a constant.
	suspension atomic.Int64
	started    time.Time
	routeAge   routeage.Tracker
	// maxSilence is the longest time without an update for which the view counts as current.
	maxSilence time.Duration

	mu             sync.Mutex // guards the fields below
	table          *fleet.Table
	announcedHosts []string      // state hosts named by the latest update
	changed        chan struct{} // closed and replaced when a snapshot is replaced
}

// serverIndex holds the usable servers by service. It is immutable.
type serverIndex struct {
	byService map[string][]*fleet.Instance
}

func newView(cfg Config, log hclog.Logger, metrics *telemetry.Metrics, pool *transport.Pool, detector *crashDetector) *view {
	v := &view{log: log, metrics: metrics, crashDetector: detector, decode: cfg.DecodeRoutes, seeds: cfg.Seeds, systemStart: cfg.SystemStart, bootTime: clock.SinceBoot, started: time.Now(), maxSilence: fleetwatch.SilenceTimeout, table: fleet.NewTable(), changed: make(chan struct{})}
	v.watched = newWatchedHosts(cfg.Name, cfg.ToleratedHostLosses)
	v.servers.Store(&serverIndex{})
	v.lastQuorum.Store(v.bootTime().Nanoseconds())
	v.suspension.Store(v.suspendedFor().Nanoseconds())
	v.watcher = fleetwatch.NewWatcher(fleetwatch.Options{
		Pool:       pool,
		Logger:     log,
		Addresses:  func() []string { return v.watched.choose(v.stateHosts(), time.Now()) },
		NewRequest: func() *fleetpb.WatchRequest { return v.watchRequest(cfg.Name) },
		OnUpdate:   v.apply,
	})
	v.fetcher = routesync.NewFetcher(routesync.Options{
		Logger: log,
		Fetch: func(ctx context.Context, address string, version uint64) (*fleetpb.Routes, error) {
			routes, err := fetchRoutes(ctx, pool, address, version)
			if err != nil {
				metrics.RoutesFailures.WithLabelValues("fetch").Inc()
			}
			return routes, err
		},
		InForce: v.routesVersion,
		Apply:   v.applyRoutes,
	})
	return v
}

// fetchRoutes fetches the routes of at least a version from a state host.
func fetchRoutes(ctx context.Context, pool *transport.Pool, address string, version uint64) (*fleetpb.Routes, error) {
	packed := new(fleetpb.Routes)
	if err := pool.Call(ctx, address, transport.MethodRoutesFetch, &fleetpb.Routes{Version: version}, packed); err != nil {
		return nil, err
	}
	document, err := routesync.Unpack(packed.Document)
	if err != nil {
		return nil, err
	}
	return &fleetpb.Routes{Version: packed.Version, Document: document}, nil
}

// routesVersion returns the version of the routes in force, 0 if there are none.
func (v *view) routesVersion() uint64 {
	if doc := v.routes.Load(); doc != nil {
		return doc.Version
	}
	return 0
}

// watchRequest returns the request that watches updates.
func (v *view) watchRequest(name string) *fleetpb.WatchRequest {
	req := &fleetpb.WatchRequest{Viewer: name, RoutesVersion: v.routesVersion(), FetchesRoutes: true}
	if v.systemStart != nil {
		req.SystemStart = v.systemStart()
	}
	return req
}

// stateHosts returns the addresses of the known state hosts: those named by updates and
// the seeds.
func (v *view) stateHosts() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	list := append(slices.Clone(v.announcedHosts), v.seeds()...)
	slices.Sort(list)
	return slices.Compact(list)
}

// apply applies an update from the state host at address.
func (v *view) apply(address string, update *fleetpb.Update) {
	heard := v.bootTime()
	if v.watched.recordUpdate(address, update.Quorum, time.Now()) {
		v.watcher.Refresh()
	}
	if update.Routes != nil {
		v.routeAge.Announce(update.Routes.Version, v.bootTime())
		v.metrics.RoutesVersion.WithLabelValues("announced").Set(float64(update.Routes.Version))
	}
	switch {
	case update.Routes == nil:
	case len(update.Routes.Document) == 0:
		v.fetcher.Announce(address, update.Routes.Version)
	default:
		v.applyRoutes(address, update.Routes)
	}
	if len(update.Crashes) > 0 {
		v.crashDetector.mergeReports(update.Crashes, time.Now())
	}
	v.applyServers(address, update)
	v.recordUpdate(heard, update.Quorum)
}

// applyServers applies the state hosts and backend servers of an update.
func (v *view) applyServers(address string, update *fleetpb.Update) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(update.Control) > 0 {
		v.announcedHosts = update.Control
		v.watcher.Refresh()
	}
	if len(update.Instances) == 0 {
		return
	}
	now := time.Now()
	for _, msg := range update.Instances {
		i := fleet.FromProto(msg, now)
		if v.table.Merge(i) {
			v.log.Info("backend server changed", "server", i.ID, "service", i.Service, "address", i.Address, "version", i.Version,
				"state", i.State.String(), "silent", i.Silent, "sequence", i.Sequence, "limited", i.Limited(), "leaving_source", i.LeavingSource, "from", address)
		}
	}
	v.table.Sweep(now)
	v.rebuildIndex()
}

// applyRoutes puts routes in force if their version is higher than the current one. Their version is
// the one under which state hosts hold them: an earlier build may have read another one in the
// document.
func (v *view) applyRoutes(address string, routes *fleetpb.Routes) {
	doc, err := v.decode(routes.Document)
	if err != nil {
		v.metrics.RoutesFailures.WithLabelValues("decode").Inc()
		v.log.Error("cannot decode routes", "from", address, "version", routes.Version, "error", err)
		return
	}
	doc.Version = routes.Version
	v.putInForce(address, doc)
}

// putInForce puts a document in force if its version is higher than the current one.
func (v *view) putInForce(address string, doc *routing.Document) {
	for {
		known := v.routes.Load()
		if known != nil && known.Version >= doc.Version {
			return
		}
		if v.routes.CompareAndSwap(known, doc) {
			v.routeAge.Applied(doc.Version)
			v.metrics.RoutesVersion.WithLabelValues("in_force").Set(float64(doc.Version))
			v.log.Info("routes in force", "version", doc.Version, "from", address, "routes", len(doc.Routes))
			v.refreshIndex()
			return
		}
	}
}

func (v *view) refreshIndex() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.rebuildIndex()
}

// isNamed reports whether the routes in force have a service, or there are none yet.
func (v *view) isNamed(service string) bool {
	doc := v.routes.Load()
	return doc == nil || doc.Services[service] != nil
}

// rebuildIndex replaces the snapshot of the servers. The caller holds the mutex.
func (v *view) rebuildIndex() {
	next := &serverIndex{byService: make(map[string][]*fleet.Instance)}
	all := v.table.NewestByAddress(v.isNamed)
	v.crashDetector.updateServers(all, time.Now())
	for _, i := range all {
		if i.State == fleetpb.State_STATE_READY {
			next.byService[i.Service] = append(next.byService[i.Service], i)
		}
	}
	v.servers.Store(next)
	v.notify()
}

// notify wakes callers of waitUntil. The caller holds the mutex.
func (v *view) notify() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// waitUntil waits until done returns true or ctx ends, and reports whether done returned
// true. It calls done first at once and then after each change of a snapshot.
func (v *view) waitUntil(ctx context.Context, done func() bool) bool {
	for {
		v.mu.Lock()
		changed := v.changed
		v.mu.Unlock()
		if done() {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

// usableServers returns the servers of a service that accept requests.
func (v *view) usableServers(service string) []*fleet.Instance {
	return v.servers.Load().byService[service]
}

// latest returns the usable server that is the same start as server, nil if there is none.
func (v *view) latest(server *fleet.Instance) *fleet.Instance {
	start := startOf(server)
	for _, known := range v.usableServers(server.Service) {
		if startOf(known) == start {
			return known
		}
	}
	return nil
}

// note stores what a server said about itself and reports whether that changed the routing
// of requests.
func (v *view) note(notice fleet.Notice) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	server, changed := v.table.Note(notice, time.Now())
	if server != nil {
		v.rebuildIndex()
	}
	return changed
}

// isFresh reports whether a state host sent an update within maxAge.
func (v *view) isFresh(maxAge time.Duration) bool {
	if v.since(&v.lastUpdate) >= maxAge || v.wasSuspended() {
		return false
	}
	now := time.Now()
	for _, updated := range v.watcher.LastUpdates() {
		if now.Sub(updated) < maxAge {
			return true
		}
	}
	return false
}

// isCurrent reports whether a state host has sent an update lately, so that a server which has
// started anew would be known as such.
func (v *view) isCurrent() bool { return v.since(&v.lastUpdate) < v.maxSilence }

// suspendedFor returns for how long the host has been suspended, up to a constant.
func (v *view) suspendedFor() time.Duration {
	return v.bootTime() - time.Since(v.started)
}

// recordUpdate records that an update has been applied, which was received at heard. quorum says
// whether its sender has contact to a quorum.
func (v *view) recordUpdate(heard time.Duration, quorum bool) {
	suspended, outdated := v.wasSuspended(), !v.isCurrent()
	v.suspension.Store(v.suspendedFor().Nanoseconds())
	v.lastUpdate.Store(heard.Nanoseconds())
	if quorum {
		v.lastQuorum.Store(heard.Nanoseconds())
	}
	if suspended || outdated {
		v.log.Info("updated after a silence", "suspended", suspended)
		v.mu.Lock()
		v.notify()
		v.mu.Unlock()
	}
}

// wasSuspended reports whether the host has been suspended since the latest update, so that
// routes and servers may have changed unseen.
func (v *view) wasSuspended() bool {
	return v.suspendedFor()-time.Duration(v.suspension.Load()) > minSuspension
}

// since returns the time since lastUpdate or lastQuorum.
func (v *view) since(event *atomic.Int64) time.Duration {
	return v.bootTime() - time.Duration(event.Load())
}

// lacksRoutes reports whether a newer version is known than the routes in force.
func (v *view) lacksRoutes() bool { return v.routeAge.Behind(v.bootTime()) > 0 }

// routesVerdict returns what the routes in force may be used for. limit is the time within which an
// acknowledged version must be in force.
func (v *view) routesVerdict(limit time.Duration) routeage.Verdict {
	now := v.bootTime()
	return routeage.Decide(
		routeage.State{
			SinceUpdate: now - time.Duration(v.lastUpdate.Load()),
			SinceQuorum: now - time.Duration(v.lastQuorum.Load()),
			Behind:      v.routeAge.Behind(now),
		},
		routeage.Limits{Age: limit, Silence: fleetwatch.SilenceTimeout},
	)
}
