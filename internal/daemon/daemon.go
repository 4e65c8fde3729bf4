// Package daemon runs the roles of a process: it creates and starts them, serves health
// checks and metrics, and stops the roles in order.
package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"ibistray.example/ibistray/internal/backend"
	"ibistray.example/ibistray/internal/configclient"
	"ibistray.example/ibistray/internal/entry"
	"ibistray.example/ibistray/internal/httpserver"
	"ibistray.example/ibistray/internal/leaderclient"
	"ibistray.example/ibistray/internal/listener"
	"ibistray.example/ibistray/internal/panics"
	"ibistray.example/ibistray/internal/security"
	"ibistray.example/ibistray/internal/settings"
	"ibistray.example/ibistray/internal/shardclient"
	"ibistray.example/ibistray/internal/sidecar"
	"ibistray.example/ibistray/internal/telemetry"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/internal/wal"
	"ibistray.example/ibistray/proto/rpcpb"
)

// bodyLimitFactor is the ratio of the HTTP server's body limit to that of the entry. A
// body between the two limits gets the entry's typed error; a larger one gets the
// server's plain 413.
const bodyLimitFactor = 4

// stopTimeout limits the shutdown of the HTTP server and the control role after the
// running calls have ended.
const stopTimeout = 5 * time.Second

// closeTimeout limits the wait for the background loops and for handlers, which a disk that hangs
// may delay.
const closeTimeout = time.Second

var errNotClosed = errors.New("daemon: not closed in time")

// within calls f and returns once it has ended, or errNotClosed after a timeout.
func within(timeout time.Duration, f func()) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	select {
	case <-done:
		return nil
	case <-time.After(timeout):
		return errNotClosed
	}
}

// Daemon is a process with its roles and the resources that they share.
type Daemon struct {
	settings    *settings.Settings
	log         hclog.Logger
	metrics     *telemetry.Metrics
	credentials *security.Credentials // nil: plain TCP between processes

	pool   *transport.Pool
	server *transport.Server
	http   *httpserver.Server
	shards *shardclient.Client

	configuration *configclient.Client

	control *controlLoop
	fs      wal.FS // of the control role; nil: that of the operating system
	entry   *entry.Entry
	sidecar *sidecar.Sidecar

	loops     sync.WaitGroup
	stopLoops context.CancelFunc
	failures  chan error
}

// Start starts the roles that are enabled in the settings. When it returns without an
// error, the process accepts connections. While an address is in use, it waits until ctx
// ends and then returns the error of ctx.
func Start(ctx context.Context, s *settings.Settings, log hclog.Logger) (*Daemon, error) {
	return startWithFS(ctx, s, log, nil)
}

// startWithFS is like Start, with a file system for the log and the snapshots of the control role.
func startWithFS(ctx context.Context, s *settings.Settings, log hclog.Logger, fs wal.FS) (*Daemon, error) {
	credentials, err := awaitFiles(ctx, log, func() (*security.Credentials, error) { return loadCredentials(s, log) })
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		settings:    s,
		log:         log,
		metrics:     telemetry.NewMetrics(),
		credentials: credentials,
		pool:        transport.NewPool(dialFunc(credentials)),
		server:      transport.NewServer(log.Named("transport")),
		failures:    make(chan error, 2),
		fs:          fs,
	}
	if err := d.start(ctx); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

func (d *Daemon) start(ctx context.Context) error {
	listeners, err := listener.Config{Log: d.log.Named("listener")}.Listen(ctx, d.settings.ListenAddress, d.settings.HTTPAddress)
	if err != nil {
		return fmt.Errorf("daemon: listen: %w", err)
	}
	internal := listeners[0]
	if d.credentials != nil {
		internal = tls.NewListener(internal, d.credentials.ServerConfig())
	}
	d.http = httpserver.New(listeners[1], httpserver.Limits{
		BodyBytes:    bodyLimitFactor * d.settings.MaxBodyBytes,
		RequestBytes: d.settings.MaxRequestBytes,
		Connections:  d.settings.MaxConnections,
	})
	if err := d.createRoles(ctx); err != nil {
		listener.CloseAll(listeners)
		return err
	}
	d.registerHealth()
	d.startLoops()
	go func() { d.failures <- d.server.Serve(internal) }()
	d.http.Start()
	go d.watchHTTP()
	d.log.Info("started", "roles", d.settings.Roles, "listen", d.settings.ListenAddress, "http", d.settings.HTTPAddress)
	return nil
}

// loadCredentials loads the certificates that are named in the settings. It returns nil
// if there are none.
func loadCredentials(s *settings.Settings, log hclog.Logger) (*security.Credentials, error) {
	if s.TLSCert == "" {
		return nil, nil
	}
	return security.Load(security.Files{Cert: s.TLSCert, Key: s.TLSKey, CA: s.TLSCA}, log.Named("security"))
}

// dialFunc returns the DialFunc for connections to other processes: TLS with keys,
// plain TCP without.
func dialFunc(credentials *security.Credentials) transport.DialFunc {
	if credentials == nil {
		return transport.DialTCP
	}
	return credentials.Dial
}

func (d *Daemon) createRoles(ctx context.Context) error {
	s := d.settings
	countRetry := func(reason string) { d.metrics.Retries.WithLabelValues(reason).Inc() }
	if len(s.ControlAddresses) > 0 {
		leaders := leaderclient.New(d.pool, s.ControlAddresses, countRetry)
		d.shards = shardclient.New(leaders, s.Shards)
		d.configuration = configclient.New(leaders)
	}
	if s.HasRole(settings.RoleControl) {
		if err := d.openControl(ctx); err != nil {
			return err
		}
	}
	if s.HasRole(settings.RoleEntry) {
		if err := d.createEntry(ctx); err != nil {
			return err
		}
	}
	if s.HasRole(settings.RoleSidecar) {
		return d.createSidecar()
	}
	return nil
}

func (d *Daemon) createEntry(ctx context.Context) error {
	s := d.settings
	operatorKeys, err := awaitFiles(ctx, d.log, func() (*entry.OperatorKeys, error) { return entry.LoadOperatorKeys(s.OperatorKeyFile) })
	if err != nil {
		return err
	}
	cfg := entry.Config{
		Name:            s.NodeID,
		Control:         s.ControlAddresses,
		MaxBodyBytes:    s.MaxBodyBytes,
		MaxOutputTokens: s.MaxOutputTokens,
		OperatorKeys:    operatorKeys,
	}
	d.entry = entry.New(cfg, d.log.Named("entry"), d.metrics, d.pool, d.shards, d.configuration)
	d.entry.RegisterCallerRoutes(d.http.Hertz)
	d.entry.RegisterAdminRoutes(d.http.Hertz)
	return nil
}

func (d *Daemon) createSidecar() error {
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
		Address:         s.AdvertisedAddress,
		Region:          s.Region,
		FailureDomain:   s.FailureDomain,
		Kind:            kind,
		Models:          s.Models,
		Services:        s.Services,
		MaxRunning:      s.MaxRunning,
		RetainIdleLimit: s.RetainIdleLimit,
		Control:         s.ControlAddresses,
	}
	d.sidecar = sidecar.New(cfg, d.log.Named("sidecar"), d.metrics, client, d.shards, d.configuration, d.pool)
	d.sidecar.Register(d.server)
	return nil
}

func (d *Daemon) startLoops() {
	ctx, cancel := context.WithCancel(context.Background())
	d.stopLoops = cancel
	if d.credentials != nil {
		d.loops.Go(func() { panics.Restart(ctx, d.log, "credentials", d.credentials.Watch) })
	}
	if d.control != nil {
		go d.control.run()
	}
	if d.entry != nil {
		d.loops.Go(func() { panics.Restart(ctx, d.log, "entry", d.entry.Run) })
	}
	if d.sidecar != nil {
		d.loops.Go(func() { d.sidecar.Run(ctx) })
	}
}

// watchHTTP makes the process end when its HTTP server fails.
func (d *Daemon) watchHTTP() {
	d.fail(<-d.http.Failed())
}

// fail reports an error after which the process must end.
func (d *Daemon) fail(err error) {
	select {
	case d.failures <- err:
	default:
	}
}

// Failed returns a channel that receives the error of a failed listener, or of a control role that
// cannot be opened again. The process should then end.
func (d *Daemon) Failed() <-chan error {
	return d.failures
}

// Stop refuses new work, waits for the running calls and stops the roles: first the
// entry and the sidecar, then the control role. The context limits only the wait for
// running calls.
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
		errs = append(errs, d.control.close(stopCtx))
	}
	errs = append(errs, within(closeTimeout, d.close))
	err := errors.Join(errs...)
	d.log.Info("stopped", "error", err)
	return err
}

// close stops the background loops and closes all connections between processes.
func (d *Daemon) close() {
	if d.stopLoops != nil {
		d.stopLoops()
		d.loops.Wait()
	}
	d.server.Close()
	d.pool.Close()
}
