package gateway

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"ibistray.example/ibistray/internal/fleet"
	"ibistray.example/ibistray/internal/fleetwatch"
	"ibistray.example/ibistray/internal/routing"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/fleetpb"
)

// view is what this entry knows: the routes in force and the backend servers. A
// request reads one snapshot; only the watch replaces it.
type view struct {
	log    hclog.Logger
	decode func([]byte) (*routing.Document, error)
	seeds  func() []string
	set    *fleetwatch.Watcher
	// suspects takes in crash reports and starts of servers.
	suspects *suspects

	routes  atomic.Pointer[routing.Document]
	servers atomic.Pointer[serverIndex]

	mu      sync.Mutex // guards what follows
	table   *fleet.Table
	control []string
	changed chan struct{} // closed and replaced when a snapshot is replaced
}

// serverIndex holds the usable servers by service. It is not changed after it was
// made.
type serverIndex struct {
	byService map[string][]*fleet.Instance
}

func newView(cfg Config, log hclog.Logger, pool *transport.Pool, s *suspects) *view {
	v := &view{log: log, suspects: s, decode: cfg.DecodeRoutes, seeds: cfg.Seeds, table: fleet.NewTable(), changed: make(chan struct{})}
	v.servers.Store(&serverIndex{})
	v.set = fleetwatch.NewWatcher(fleetwatch.Options{
		Pool:       pool,
		Log:        log,
		Addresses:  v.stateHosts,
		NewRequest: func() *fleetpb.WatchRequest { return v.watchRequest(cfg.Name) },
		OnUpdate:   v.take,
	})
	return v
}

func (v *view) watchRequest(name string) *fleetpb.WatchRequest {
	req := &fleetpb.WatchRequest{Viewer: name}
	if doc := v.routes.Load(); doc != nil {
		req.RoutesVersion = doc.Version
	}
	return req
}

// stateHosts returns the state hosts that are known: those that others named, and
// the seeds.
func (v *view) stateHosts() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	list := append(slices.Clone(v.control), v.seeds()...)
	slices.Sort(list)
	return slices.Compact(list)
}

// take puts an update in force.
func (v *view) take(address string, update *fleetpb.Update) {
	if update.Routes != nil {
		v.takeRoutes(address, update.Routes)
	}
	if len(update.Crashes) > 0 {
		v.suspects.take(update.Crashes, time.Now())
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(update.Control) > 0 {
		v.control = update.Control
	}
	if len(update.Instances) == 0 {
		return
	}
	now := time.Now()
	for _, m := range update.Instances {
		i := fleet.FromProto(m, now)
		if v.table.Merge(i) {
			v.log.Info("backend server changed", "server", i.ID, "service", i.Service, "address", i.Address,
				"state", i.State.String(), "silent", i.Silent, "sequence", i.Sequence, "from", address)
		}
	}
	v.table.Sweep(now)
	v.index()
}

// takeRoutes puts routes in force if their version is the highest so far.
func (v *view) takeRoutes(address string, routes *fleetpb.Routes) {
	doc, err := v.decode(routes.Document)
	if err != nil {
		v.log.Error("routes not readable", "from", address, "version", routes.Version, "error", err)
		return
	}
	for {
		known := v.routes.Load()
		if known != nil && known.Version >= doc.Version {
			return
		}
		if v.routes.CompareAndSwap(known, doc) {
			v.log.Info("routes in force", "version", doc.Version, "from", address, "routes", len(doc.Routes))
			v.mu.Lock()
			v.notify()
			v.mu.Unlock()
			return
		}
	}
}

// index replaces the snapshot of the servers. The caller holds the mutex.
func (v *view) index() {
	next := &serverIndex{byService: make(map[string][]*fleet.Instance)}
	all := v.table.NewestByAddress()
	v.suspects.started(all, time.Now())
	for _, i := range all {
		if i.State == fleetpb.State_STATE_READY {
			next.byService[i.Service] = append(next.byService[i.Service], i)
		}
	}
	v.servers.Store(next)
	v.notify()
}

// notify wakes those who wait for another snapshot. The caller holds the mutex.
func (v *view) notify() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// await returns when done reports true or ctx ends; done is asked again after each
// change of the snapshots.
func (v *view) await(ctx context.Context, done func() bool) bool {
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

// usable returns the servers of a service that take requests.
func (v *view) usable(service string) []*fleet.Instance {
	return v.servers.Load().byService[service]
}

// fresh reports whether a state host was heard within limit.
func (v *view) fresh(limit time.Duration) bool {
	now := time.Now()
	for _, heard := range v.set.LastUpdates() {
		if now.Sub(heard) < limit {
			return true
		}
	}
	return false
}

func (v *view) run(ctx context.Context) {
	v.set.Run(ctx)
}
