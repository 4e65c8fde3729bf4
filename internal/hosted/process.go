// Package hosted runs the roles of a deployment with pass-through routes: it binds
// the addresses, follows changes of the settings and stops gracefully.
package hosted

import (
	"context"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"ibistray.example/ibistray/internal/gateway"
	"ibistray.example/ibistray/internal/statehost"
	"ibistray.example/ibistray/internal/telemetry"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/internal/wal"
)

const (
	metricsPath = "/metrics"
	// peerDialTimeout is several ways between the regions of a deployment.
	peerDialTimeout = 300 * time.Millisecond
	// headerTimeout bounds the time in which a client sends a header.
	headerTimeout = 10 * time.Second
	// clientIdle is kept longer than any client reuses an idle connection.
	clientIdle = 120 * time.Second
	// rotationTime is how long the balancer may send new connections after the entry
	// is not ready any more: two checks a second apart, and some margin.
	rotationTime = 3 * time.Second
	// diskRetry is the pause between two attempts to open a data folder on a full disk.
	diskRetry = 300 * time.Millisecond
	dirMode   = 0o700
	// stopMargin is left between the end of the wait for requests and the kill.
	stopMargin = 700 * time.Millisecond
	// Probes of client connections find those that went silent.
	clientProbeIdle     = 5 * time.Second
	clientProbeInterval = 2 * time.Second
	clientProbeCount    = 3
)

// Options are what the roles have in common.
type Options struct {
	Log            hclog.Logger
	MetricsAddress string // "" for none
	Seeds          *Seeds
	GracePeriod    time.Duration // from the stop signal until the process is killed
}

// Seeds are the state hosts that the settings name; they change while the process
// runs.
type Seeds struct {
	list atomic.Pointer[[]string]
}

// NewSeeds returns seeds that can be replaced.
func NewSeeds(addresses []string) *Seeds {
	s := new(Seeds)
	s.list.Store(&addresses)
	return s
}

// Addresses returns the present seeds.
func (s *Seeds) Addresses() []string { return *s.list.Load() }

// Replace puts other seeds in force and reports whether they differ.
func (s *Seeds) Replace(addresses []string) bool {
	if slices.Equal(addresses, s.Addresses()) {
		return false
	}
	s.list.Store(&addresses)
	return true
}

// process is what each role runs.
type process struct {
	opts    Options
	metrics *telemetry.Metrics
	pool    *transport.Pool
	failed  chan error
	work    sync.WaitGroup
	servers []*http.Server
}

func newProcess(opts Options) *process {
	return &process{
		opts:    opts,
		metrics: telemetry.NewMetrics(),
		pool:    transport.NewPool(transport.DialTCPTimeout(peerDialTimeout)),
		failed:  make(chan error, 4),
	}
}

// fail ends the process.
func (p *process) fail(err error) {
	select {
	case p.failed <- err:
	default:
	}
}

// serveHTTP serves an address in the background.
func (p *process) serveHTTP(address string, handler http.Handler) (*http.Server, error) {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: clientProbeIdle, Interval: clientProbeInterval, Count: clientProbeCount,
	}}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("hosted: listen: %w", err)
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       clientIdle,
		ErrorLog:          log.New(p.opts.Log.Named("http").StandardWriter(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}), "", 0),
	}
	p.servers = append(p.servers, server)
	p.work.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			p.fail(fmt.Errorf("hosted: serve %s: %w", address, err))
		}
	})
	return server, nil
}

func (p *process) serveMetrics() error {
	if p.opts.MetricsAddress == "" {
		return nil
	}
	mux := http.NewServeMux()
	mux.Handle(metricsPath, promhttp.HandlerFor(p.metrics.Registry, promhttp.HandlerOpts{}))
	_, err := p.serveHTTP(p.opts.MetricsAddress, mux)
	return err
}

func (p *process) close() {
	for _, server := range p.servers {
		server.Close()
	}
	p.pool.Close()
	p.work.Wait()
}

// Addresses are what a role listens on.
type Addresses struct {
	Clients string // entry
	Ready   string // entry
	Control string // state host: operators and backend servers
	Peers   string // state host: processes of the system
}

// RunEntry runs an entry until stop is closed or the process fails.
func RunEntry(cfg gateway.Config, addresses Addresses, ready func(func() bool) http.Handler, opts Options, stop <-chan struct{}) error {
	p := newProcess(opts)
	defer p.close()
	cfg.Seeds = opts.Seeds.Addresses
	hedgePool := transport.NewPool(transport.DialTCPTimeout(peerDialTimeout))
	defer hedgePool.Close()
	g := gateway.New(cfg, opts.Log.Named("gateway"), p.metrics, p.pool, hedgePool)
	clients, err := p.serveHTTP(addresses.Clients, g)
	if err != nil {
		return err
	}
	if _, err := p.serveHTTP(addresses.Ready, ready(g.Ready)); err != nil {
		return err
	}
	if err := p.serveMetrics(); err != nil {
		return err
	}
	g.Start()
	opts.Log.Info("started", "role", "entry", "clients", addresses.Clients, "seeds", opts.Seeds.Addresses())
	select {
	case err := <-p.failed:
		return err
	case <-stop:
	}
	return p.stopEntry(g, clients)
}

// stopEntry stops being ready, serves on until the balancer sends no new
// connections, and waits for the requests that run.
func (p *process) stopEntry(g *gateway.Gateway, clients *http.Server) error {
	begun := time.Now()
	g.Drain()
	p.opts.Log.Info("stopping", "role", "entry", "grace_ms", p.opts.GracePeriod.Milliseconds())
	time.Sleep(min(rotationTime, p.opts.GracePeriod/2))
	ctx, cancel := context.WithDeadline(context.Background(), begun.Add(p.opts.GracePeriod-stopMargin))
	defer cancel()
	err := errors.Join(clients.Shutdown(ctx), g.Stop(ctx))
	p.opts.Log.Info("stopped", "role", "entry", "after_ms", time.Since(begun).Milliseconds(), "error", err)
	return nil
}

// RunStateHost runs a state host until stop is closed or the process fails.
func RunStateHost(cfg statehost.Config, addresses Addresses, control func(*statehost.Host) http.Handler, opts Options, stop <-chan struct{}) error {
	p := newProcess(opts)
	defer p.close()
	cfg.Seeds = opts.Seeds.Addresses
	host, err := openPatiently(cfg, p.openStateHost, opts.Log, stop)
	if host == nil {
		return err
	}
	server := transport.NewServer(opts.Log.Named("transport"))
	defer server.Close()
	host.Register(server)
	listener, err := net.Listen("tcp", addresses.Peers)
	if err != nil {
		return fmt.Errorf("hosted: listen: %w", err)
	}
	p.work.Go(func() {
		if err := server.Serve(listener); err != nil {
			p.fail(err)
		}
	})
	if _, err := p.serveHTTP(addresses.Control, control(host)); err != nil {
		return err
	}
	if err := p.serveMetrics(); err != nil {
		return err
	}
	host.Run()
	opts.Log.Info("started", "role", "state host", "peers", addresses.Peers, "control", addresses.Control,
		"bootstrap", cfg.Bootstrap, "seeds", opts.Seeds.Addresses())
	select {
	case err := <-p.failed:
		return err
	case <-stop:
	}
	return p.stopStateHost(host)
}

// openStateHost opens the state host with metrics of its own.
func (p *process) openStateHost(cfg statehost.Config) (*statehost.Host, error) {
	p.metrics = telemetry.NewMetrics()
	return statehost.New(cfg, p.opts.Log.Named("statehost"), p.metrics.Registry, p.pool, p.fail)
}

// openPatiently opens a state host. While its disk takes no bytes it tries again: a
// process that ended would find the same disk. Damaged data is set aside once, as if
// the disk were lost: the other hosts have what was acknowledged. It returns nil
// without an error when stop is closed meanwhile.
func openPatiently(cfg statehost.Config, open func(statehost.Config) (*statehost.Host, error), log hclog.Logger, stop <-chan struct{}) (*statehost.Host, error) {
	waiting, aside := false, false
	for {
		host, err := open(cfg)
		switch {
		case errors.Is(err, syscall.ENOSPC):
			if !waiting {
				log.Error("disk is full: the state host waits", "error", err)
			}
			waiting = true
		case errors.Is(err, wal.ErrCorrupt) && !aside:
			aside = true
			log.Error("stored data is damaged: it is set aside and fetched from other hosts", "error", err)
			if err := setAside(cfg.DataDir); err != nil {
				return nil, err
			}
			cfg.Bootstrap = false
		default:
			return host, err
		}
		select {
		case <-stop:
			return nil, nil
		case <-time.After(diskRetry):
		}
	}
}

// damagedPrefix begins the name of a folder with damaged data.
const damagedPrefix = "damaged-"

// setAside moves the contents of a data folder into a folder of their own.
func setAside(dir string) error {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return fmt.Errorf("hosted: set damaged data aside: %w", err)
	}
	target := filepath.Join(dir, fmt.Sprintf("%s%d", damagedPrefix, time.Now().UnixMilli()))
	if err := os.Mkdir(target, dirMode); err != nil {
		return fmt.Errorf("hosted: set damaged data aside: %w", err)
	}
	for _, entry := range entries {
		if strings.HasPrefix(entry.Name(), damagedPrefix) {
			continue
		}
		if err := os.Rename(filepath.Join(dir, entry.Name()), filepath.Join(target, entry.Name())); err != nil {
			return fmt.Errorf("hosted: set damaged data aside: %w", err)
		}
	}
	return nil
}

// stopStateHost hands leadership over before the process ends.
func (p *process) stopStateHost(host *statehost.Host) error {
	begun := time.Now()
	p.opts.Log.Info("stopping", "role", "state host")
	ctx, cancel := context.WithTimeout(context.Background(), p.opts.GracePeriod-stopMargin)
	defer cancel()
	err := host.Stop(ctx)
	p.opts.Log.Info("stopped", "role", "state host", "after_ms", time.Since(begun).Milliseconds(), "error", err)
	return nil
}
