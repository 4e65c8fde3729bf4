// Package hosted runs an entry or a state host of a deployment with pass-through
// routes: it listens on the addresses, applies changes of the seeds and shuts down
// gracefully.
package hosted

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"ibistray.example/ibistray/internal/gateway"
	"ibistray.example/ibistray/internal/listener"
	"ibistray.example/ibistray/internal/policy/memory"
	"ibistray.example/ibistray/internal/reopen"
	"ibistray.example/ibistray/internal/requestlimit"
	"ibistray.example/ibistray/internal/spill"
	"ibistray.example/ibistray/internal/statehost"
	"ibistray.example/ibistray/internal/telemetry"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/internal/wal"
)

const (
	// peerDialTimeout is several times the one-way delay between the regions of a
	// deployment.
	peerDialTimeout = 300 * time.Millisecond
	// deregistrationDelay is how long the load balancer may send new connections after the
	// entry stops being ready: two checks one second apart, plus a margin.
	deregistrationDelay = 3 * time.Second
	// takenAddressTimeout limits how long a state host that is open waits for its addresses.
	takenAddressTimeout = time.Second
	// maxFailures is the number of failures that are kept; the first one ends the process.
	maxFailures = 4
	// shutdownMargin is the time reserved before the process is killed for the rest of the
	// shutdown, after the wait for running requests.
	shutdownMargin = 700 * time.Millisecond
	// responseMargin is the time for the responses of requests that an entry ends when it stops,
	// before shutdownMargin.
	responseMargin = 200 * time.Millisecond
	// requestEndTimeout limits the wait for requests in progress when a process closes its
	// servers. It is a part of shutdownMargin.
	requestEndTimeout = 500 * time.Millisecond
	// hungStopMargin is the time that a state host has for its stop beyond the wait for its requests,
	// before a disk is taken as hung, and exitMargin the time before the process is killed at which it
	// ends all the same. They are parts of shutdownMargin.
	hungStopMargin = 50 * time.Millisecond
	exitMargin     = 150 * time.Millisecond
	// firstRequestTimeout limits how long an entry that stops waits for the first request on a
	// connection that it has accepted: it may be on its way.
	firstRequestTimeout = 500 * time.Millisecond
)

// Options are common to all roles.
type Options struct {
	Logger         hclog.Logger
	MetricsAddress string // "" for none
	Seeds          *Seeds
	GracePeriod    time.Duration // from the stop signal until the process is killed
	Connections    memory.Limits // of clients; the zero value sets none
	MemoryBytes    int64         // memory limit of the process; 0: none
	UnprovenPeers  int           // connections of peers that have not sent a frame; 0: the default
}

// Seeds holds the addresses of the state hosts that a process contacts first. They can
// be replaced while the process runs. Seeds is safe for concurrent use.
type Seeds struct {
	list atomic.Pointer[[]string]
}

// NewSeeds returns seeds with the given addresses.
func NewSeeds(addresses []string) *Seeds {
	s := new(Seeds)
	s.list.Store(&addresses)
	return s
}

// Addresses returns the current addresses. The caller must not change them.
func (s *Seeds) Addresses() []string { return *s.list.Load() }

// Replace sets the addresses and reports whether they differ from the previous ones.
func (s *Seeds) Replace(addresses []string) bool {
	if slices.Equal(addresses, s.Addresses()) {
		return false
	}
	s.list.Store(&addresses)
	return true
}

// process holds what the processes of all roles have in common.
type process struct {
	opts       Options
	metrics    *telemetry.Metrics
	pool       *transport.Pool
	heads      *requestlimit.Memory // of unfinished requests on all listeners
	failed     failures
	goroutines sync.WaitGroup
	servers    []*httpServer
	closers    []func() // called by close
}

func newProcess(opts Options) *process {
	return &process{
		opts:    opts,
		metrics: telemetry.NewMetrics(),
		pool:    transport.NewPool(transport.DialTCPTimeout(peerDialTimeout)),
		heads:   requestlimit.NewMemory(memory.HeadsLimit(opts.MemoryBytes)),
		failed:  newFailures(),
	}
}

// fail makes the process end with err.
func (p *process) fail(err error) { p.failed.report(err) }

// failures receives the errors that end a process.
type failures chan error

func newFailures() failures { return make(chan error, maxFailures) }

// report adds an error. Errors after the first few are dropped.
func (f failures) report(err error) {
	select {
	case f <- err:
	default:
	}
}

// close ends the process's servers and connections. Requests that were accepted get their
// response, within requestEndTimeout.
func (p *process) close() {
	ctx, cancel := context.WithTimeout(context.Background(), requestEndTimeout)
	defer cancel()
	var ending sync.WaitGroup
	for _, server := range p.servers {
		ending.Go(func() {
			if server.Shutdown(ctx) != nil {
				server.Close()
			}
		})
	}
	ending.Wait()
	for _, closeServer := range p.closers {
		closeServer()
	}
	p.pool.Close()
	p.goroutines.Wait()
}

// Addresses are the addresses on which a role listens.
type Addresses struct {
	Clients string // entry: requests of clients
	Ready   string // entry: readiness checks of the load balancer
	Control string // state host: operators and backend servers
	Peers   string // state host: other processes of the system
}

// RunEntry runs an entry until stop is closed, then shuts it down and returns nil. It
// returns an error if the entry cannot start or fails. While an address is in use, the
// entry waits for it and is not ready. newReadyHandler makes the handler of the readiness checks.
func RunEntry(cfg gateway.Config, addresses Addresses, newReadyHandler func(func() bool) http.Handler, opts Options, stop <-chan struct{}) error {
	p := newProcess(opts)
	defer p.close()
	ctx, cancel := untilStopped(stop)
	defer cancel()
	listeners, err := p.listen(ctx, addresses.Clients, addresses.Ready)
	if ctx.Err() != nil {
		listener.CloseAll(listeners)
		return nil
	}
	if err != nil {
		return err
	}
	cfg.Seeds = opts.Seeds.Addresses
	hedgePool := transport.NewPool(transport.DialTCPTimeout(peerDialTimeout))
	defer hedgePool.Close()
	g := gateway.New(cfg, opts.Logger.Named("gateway"), p.metrics, p.pool, hedgePool)
	connections := p.limitConnections(g)
	clients := p.serveHTTP(listeners[0], service{handler: g, limits: clientLimits(g), connections: connections})
	p.serveHTTP(listeners[1], service{handler: newReadyHandler(g.Ready), limits: requestlimit.Limits{HeadBytes: headBytes(smallHeadBytes), Connections: readyConnections}, timeout: readyTimeout})
	p.serveMetrics()
	g.Start()
	opts.Logger.Info("started", "role", "entry", "clients", addresses.Clients, "seeds", opts.Seeds.Addresses())
	select {
	case err := <-p.failed:
		return err
	case <-stop:
	}
	return p.stopEntry(g, clients, connections)
}

// clientLimits returns the limits of requests that the routes name.
func clientLimits(g *gateway.Gateway) requestlimit.Limits {
	return requestlimit.Limits{
		HeadBytes:   func() int { return g.ClientLimits().HeaderBytes },
		HeadTimeout: func() time.Duration { return g.ClientLimits().HeaderTimeout },
	}
}

// limitConnections returns the connections of clients. Idle ones are closed after the timeouts of
// the routes if there are limits.
func (p *process) limitConnections(g *gateway.Gateway) *connections {
	c := newConnections(p.opts.Connections, g, p.metrics)
	if p.opts.Connections == (memory.Limits{}) {
		return c
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.closers = append(p.closers, cancel)
	p.goroutines.Go(func() { c.run(ctx) })
	return c
}

// stopEntry reports the entry as not ready, keeps serving until the load balancer sends
// no new connections, and waits for the running requests. Those that would run longer end with
// a response.
func (p *process) stopEntry(g *gateway.Gateway, clients *httpServer, connections *connections) error {
	start := time.Now()
	end := start.Add(p.opts.GracePeriod - shutdownMargin)
	g.Drain(end.Add(-responseMargin))
	p.opts.Logger.Info("stopping", "role", "entry", "grace_ms", p.opts.GracePeriod.Milliseconds())
	time.Sleep(min(deregistrationDelay, p.opts.GracePeriod/2))
	clients.stopAccepting()
	connections.stop()
	connections.awaitFirstRequests(min(firstRequestTimeout, time.Until(end)))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	err := g.Stop(ctx)
	p.opts.Logger.Info("stopped", "role", "entry", "after_ms", time.Since(start).Milliseconds(), "error", err)
	return nil
}

// RunStateHost runs a state host until stop is closed, then shuts it down and returns
// nil. When its storage fails, its disk is full or its replicas panic, the state host is closed and
// opened again once the disk can be written: the process does not end, and the other hosts hold all
// acknowledged data meanwhile. It returns an error if the state host cannot start or fails otherwise.
// A disk that hangs does not delay its return beyond the grace period: the process must exit then.
// newControlHandler makes the handler of the control address.
func RunStateHost(cfg statehost.Config, addresses Addresses, newControlHandler func(*statehost.Host) http.Handler, opts Options, stop <-chan struct{}) error {
	return endWithin(opts.GracePeriod-exitMargin, stop, opts.Logger, func() error {
		probe := reopen.NewProbe(cfg.FS, cfg.DataDir)
		return reopenConfig(cfg, opts.Logger, stop).OnFailure(probe.Writable, reopenReason, func() error {
			err := runStateHost(cfg, addresses, newControlHandler, opts, stop)
			// The disk may be empty at the next opening, and the votes that it held lost.
			cfg.Bootstrap, cfg.ProcessAge = false, nil
			return err
		})
	})
}

// endWithin returns the result of run, or nil after a timeout from the close of stop on, also if run
// goes on then.
func endWithin(timeout time.Duration, stop <-chan struct{}, log hclog.Logger, run func() error) error {
	ended := make(chan error, 1)
	go func() { ended <- run() }()
	select {
	case err := <-ended:
		return err
	case <-stop:
	}
	select {
	case err := <-ended:
		return err
	case <-time.After(timeout):
		log.Error("the process ends although its disk hangs", "after_ms", timeout.Milliseconds())
		return nil
	}
}

// runStateHost runs a state host until stop is closed or it fails.
func runStateHost(cfg statehost.Config, addresses Addresses, newControlHandler func(*statehost.Host) http.Handler, opts Options, stop <-chan struct{}) error {
	p := newProcess(opts)
	defer p.close()
	ctx, cancel := untilStopped(stop)
	defer cancel()
	cfg.Seeds = opts.Seeds.Addresses
	open := func(cfg statehost.Config) (*statehost.Host, error) { return p.openStateHost(ctx, cfg, addresses) }
	host, err := openWithRetries(cfg, open, opts.Logger, stop)
	if host == nil {
		return err
	}
	if err := p.serveStateHost(ctx, host, addresses, newControlHandler); err != nil {
		err = errors.Join(err, closeNow(host))
		if ctx.Err() != nil {
			return nil
		}
		return err
	}
	host.Run()
	opts.Logger.Info("started", "role", "state host", "peers", addresses.Peers, "control", addresses.Control,
		"bootstrap", cfg.Bootstrap, "standby", cfg.Standby, "seeds", opts.Seeds.Addresses())
	select {
	case err := <-p.failed:
		return errors.Join(err, closeNow(host))
	case <-stop:
	}
	return p.stopStateHost(host)
}

// errAddressTaken means that an address of a state host was taken while it was opened.
var errAddressTaken = errors.New("hosted: address taken meanwhile")

// serveStateHost listens on the addresses for peers and for control, and serves them. It waits for
// them for takenAddressTimeout at most, since no replica should run that its peers cannot reach. Error:
// errAddressTaken.
func (p *process) serveStateHost(ctx context.Context, host *statehost.Host, addresses Addresses, newControlHandler func(*statehost.Host) http.Handler) error {
	ctx, cancel := context.WithTimeout(ctx, takenAddressTimeout)
	defer cancel()
	listeners, err := p.listen(ctx, addresses.Peers, addresses.Control)
	if err != nil {
		return fmt.Errorf("%w: %w", errAddressTaken, err)
	}
	server := transport.NewServer(p.opts.Logger.Named("transport"))
	p.closers = append(p.closers, server.Close, func() { listener.CloseAll(listeners) })
	server.LimitLargeRequests(host.LargeRequestBytes())
	if unproven := p.opts.UnprovenPeers; unproven > 0 {
		server.LimitUnproven(unproven)
	}
	host.Register(server)
	p.goroutines.Go(func() {
		if err := server.Serve(listeners[0]); err != nil {
			p.fail(err)
		}
	})
	p.serveHTTP(listeners[1], service{
		handler: newControlHandler(host),
		limits:  requestlimit.Limits{HeadBytes: headBytes(controlHeadBytes), Connections: p.opts.Connections.Most()},
		timeout: controlTimeout,
	})
	p.serveMetrics()
	return nil
}

// closeNow closes a state host without handing its leaderships over.
func closeNow(host *statehost.Host) error {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return host.Stop(ctx)
}

// openStateHost opens the state host once the addresses for peers and for control are free: a process
// that still has them may use the data directory, too, and no replica should run that its peers cannot
// reach. Nothing listens while the state host is opened, so that clients are refused at once.
//
// Each attempt gets a new metrics registry, because a failed one may already have registered
// metrics, and a new channel of failures, because the storage of a failed one may report its failure
// late. If ctx ends before, it returns nil and no error.
func (p *process) openStateHost(ctx context.Context, cfg statehost.Config, addresses Addresses) (*statehost.Host, error) {
	listeners, err := p.listen(ctx, addresses.Peers, addresses.Control)
	listener.CloseAll(listeners)
	if ctx.Err() != nil {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	p.metrics = telemetry.NewMetrics()
	p.failed = newFailures()
	return statehost.New(cfg, p.opts.Logger.Named("statehost"), p.metrics.Registry, p.pool, p.failed.report)
}

// openWithRetries opens a state host, see reopen.Open. If stop is closed before the host is open, it
// returns nil and no error.
func openWithRetries(cfg statehost.Config, open func(statehost.Config) (*statehost.Host, error), log hclog.Logger, stop <-chan struct{}) (*statehost.Host, error) {
	setAside := func() error {
		cfg.Bootstrap, cfg.ProcessAge = false, nil
		return setDataAside(cfg.DataDir)
	}
	return reopen.Open(reopenConfig(cfg, log, stop), setAside, func() (*statehost.Host, error) { return open(cfg) })
}

func reopenConfig(cfg statehost.Config, log hclog.Logger, stop <-chan struct{}) reopen.Config {
	return reopen.Config{What: "state host", Dir: cfg.DataDir, DiskBytes: cfg.DiskBytes, Log: log, Stop: stop}
}

// reopenReason names a failure after which a state host is opened again, or returns "": those of
// package reopen, and an address that was taken while it was opened.
func reopenReason(err error) string {
	switch {
	case errors.Is(err, errAddressTaken) && !errors.Is(err, wal.ErrLocked):
		return "address was taken"
	case reopen.Possible(err):
		return reopen.Reason(err)
	}
	return ""
}

// setDataAside moves the contents of a data directory aside, except bodies that no opening reads.
func setDataAside(dir string) error {
	if err := spill.RemoveFiles(statehost.SpillDir(dir)); err != nil {
		return fmt.Errorf("hosted: set damaged data aside: %w", err)
	}
	return reopen.SetAside(dir)
}

// stopStateHost transfers leadership to other hosts and closes the state host.
func (p *process) stopStateHost(host *statehost.Host) error {
	start := time.Now()
	p.opts.Logger.Info("stopping", "role", "state host")
	ctx, cancel := context.WithTimeout(context.Background(), p.opts.GracePeriod-shutdownMargin)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- host.Stop(ctx) }()
	var err error
	select {
	case err = <-stopped:
	case <-time.After(p.opts.GracePeriod - shutdownMargin + hungStopMargin):
		err = errDiskHangs
	}
	p.opts.Logger.Info("stopped", "role", "state host", "after_ms", time.Since(start).Milliseconds(), "error", err)
	return nil
}

// errDiskHangs means that a state host has not stopped in time.
var errDiskHangs = errors.New("hosted: disk hangs")
