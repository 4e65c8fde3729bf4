// Package daemon puts the roles of one process together: it starts them, serves
// health and metrics, and stops them in order.
package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"ibistray.example/ibistray/internal/backend"
	"ibistray.example/ibistray/internal/configclient"
	"ibistray.example/ibistray/internal/entry"
	"ibistray.example/ibistray/internal/httpserver"
	"ibistray.example/ibistray/internal/leaderclient"
	"ibistray.example/ibistray/internal/security"
	"ibistray.example/ibistray/internal/settings"
	"ibistray.example/ibistray/internal/shardclient"
	"ibistray.example/ibistray/internal/sidecar"
	"ibistray.example/ibistray/internal/telemetry"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/rpcpb"
)

// bodyLimitFactor is what the HTTP server reads of a body beyond the limit of the
// entry, so that a body that is somewhat too large gets a typed refusal. Far larger
// ones get the server's plain 413.
const bodyLimitFactor = 4

// stopTimeout bounds the end of connections after the running calls are over.
const stopTimeout = 5 * time.Second

// Daemon is one process.
type Daemon struct {
	settings *settings.Settings
	log      hclog.Logger
	metrics  *telemetry.Metrics
	keys     *security.Keys // nil: plain TCP between processes

	pool   *transport.Pool
	server *transport.Server
	http   *httpserver.Server
	shards *shardclient.Client

	configuration *configclient.Client

	control *controlRole
	entry   *entry.Entry
	sidecar *sidecar.Sidecar

	loops      sync.WaitGroup
	stopLoops  context.CancelFunc
	serveError chan error
}

// Start starts the roles that the settings name. The process serves when Start
// returns without an error.
func Start(s *settings.Settings, log hclog.Logger) (*Daemon, error) {
	keys, err := loadKeys(s, log)
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		settings:   s,
		log:        log,
		metrics:    telemetry.NewMetrics(),
		keys:       keys,
		pool:       transport.NewPool(dialFunc(keys)),
		server:     transport.NewServer(log.Named("transport")),
		serveError: make(chan error, 2),
	}
	if err := d.start(); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

func (d *Daemon) start() error {
	listener, err := net.Listen("tcp", d.settings.Listen)
	if err != nil {
		return fmt.Errorf("daemon: listen: %w", err)
	}
	if d.keys != nil {
		listener = tls.NewListener(listener, d.keys.ServerConfig())
	}
	httpListener, err := net.Listen("tcp", d.settings.HTTP)
	if err != nil {
		listener.Close()
		return fmt.Errorf("daemon: listen for HTTP: %w", err)
	}
	d.http = httpserver.New(httpListener, bodyLimitFactor*d.settings.MaxBodyBytes)
	if err := d.makeRoles(); err != nil {
		listener.Close()
		httpListener.Close()
		return err
	}
	d.registerHealth()
	d.startLoops()
	go func() { d.serveError <- d.server.Serve(listener) }()
	d.http.Start()
	go d.watchHTTP()
	d.log.Info("started", "roles", d.settings.Roles, "listen", d.settings.Listen, "http", d.settings.HTTP)
	return nil
}

// loadKeys reads the certificates that the settings name, or returns nil.
func loadKeys(s *settings.Settings, log hclog.Logger) (*security.Keys, error) {
	if s.TLSCert == "" {
		return nil, nil
	}
	return security.Load(security.Files{Cert: s.TLSCert, Key: s.TLSKey, CA: s.TLSCA}, log.Named("security"))
}

func dialFunc(keys *security.Keys) transport.DialFunc {
	if keys == nil {
		return transport.DialTCP
	}
	return keys.Dial
}

func (d *Daemon) makeRoles() error {
	s := d.settings
	retried := func(reason string) { d.metrics.Retries.WithLabelValues(reason).Inc() }
	if len(s.Control) > 0 {
		leaders := leaderclient.New(d.pool, s.Control, retried)
		d.shards = shardclient.New(leaders, s.Shards)
		d.configuration = configclient.New(leaders)
	}
	if s.Has(settings.RoleControl) {
		role, err := newControlRole(s, d.log.Named("control"), d.metrics, d.pool, d.fail)
		if err != nil {
			return err
		}
		d.control = role
		role.register(d.server)
	}
	if s.Has(settings.RoleEntry) {
		if err := d.makeEntry(); err != nil {
			return err
		}
	}
	if s.Has(settings.RoleSidecar) {
		return d.makeSidecar()
	}
	return nil
}

func (d *Daemon) makeEntry() error {
	s := d.settings
	keys, err := entry.LoadOperatorKeys(s.OperatorKeyFile)
	if err != nil {
		return err
	}
	cfg := entry.Config{
		Name:            s.NodeID,
		Control:         s.Control,
		MaxBodyBytes:    s.MaxBodyBytes,
		MaxOutputTokens: s.MaxOutputTokens,
		OperatorKeys:    keys,
	}
	d.entry = entry.New(cfg, d.log.Named("entry"), d.metrics, d.pool, d.shards, d.configuration)
	d.entry.RegisterCallerRoutes(d.http.Hertz)
	d.entry.RegisterAdminRoutes(d.http.Hertz)
	return nil
}

func (d *Daemon) makeSidecar() error {
	s := d.settings
	client, err := backend.New(s.BackendURL)
	if err != nil {
		return err
	}
	kind := rpcpb.ServerKind_SERVER_KIND_ENGINE
	if s.BackendKind == "service" {
		kind = rpcpb.ServerKind_SERVER_KIND_SERVICE
	}
	cfg := sidecar.Config{
		Server:          s.ServerID,
		Host:            s.NodeID,
		Address:         s.Advertise,
		Region:          s.Region,
		FailureDomain:   s.FailureDomain,
		Kind:            kind,
		Models:          s.Models,
		Services:        s.Services,
		MaxRunning:      s.MaxRunning,
		RetainIdleLimit: s.RetainIdleLimit,
		Control:         s.Control,
	}
	d.sidecar = sidecar.New(cfg, d.log.Named("sidecar"), d.metrics, client, d.shards, d.configuration, d.pool)
	d.sidecar.Register(d.server)
	return nil
}

func (d *Daemon) startLoops() {
	ctx, cancel := context.WithCancel(context.Background())
	d.stopLoops = cancel
	if d.keys != nil {
		d.loops.Go(func() { d.keys.Watch(ctx) })
	}
	if d.control != nil {
		d.loops.Go(func() { d.control.run(ctx) })
	}
	if d.entry != nil {
		d.loops.Go(func() { d.entry.Run(ctx) })
	}
	if d.sidecar != nil {
		d.loops.Go(func() { d.sidecar.Run(ctx) })
	}
}

// watchHTTP ends the process when its HTTP listener ends by itself.
func (d *Daemon) watchHTTP() {
	d.fail(<-d.http.Failed())
}

// fail ends the process after its storage failed: what was acknowledged is on
// other replicas, and this one must not go on.
func (d *Daemon) fail(err error) {
	select {
	case d.serveError <- err:
	default:
	}
}

// Failed gives the error of a listener that ended by itself, or of the storage.
func (d *Daemon) Failed() <-chan error {
	return d.serveError
}

// Stop refuses new work, waits for the running calls and ends the process's
// roles: first those that callers see, control last. The context bounds the
// wait for running calls.
func (d *Daemon) Stop(ctx context.Context) error {
	d.log.Info("stopping")
	var errs []error
	if d.entry != nil {
		errs = append(errs, d.entry.Drain(ctx))
	}
	if d.sidecar != nil {
		errs = append(errs, d.sidecar.Drain(ctx))
	}
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	errs = append(errs, d.http.Stop(stopCtx))
	if d.control != nil {
		errs = append(errs, d.control.stop(stopCtx))
	}
	d.close()
	err := errors.Join(errs...)
	d.log.Info("stopped", "error", err)
	return err
}

func (d *Daemon) close() {
	if d.stopLoops != nil {
		d.stopLoops()
		d.loops.Wait()
	}
	d.server.Close()
	d.pool.Close()
}
