package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"

	"ibistray.example/ibistray/internal/clock"
	"ibistray.example/ibistray/internal/fleetwatch"
	"ibistray.example/ibistray/internal/gateway"
	"ibistray.example/ibistray/internal/hosted"
	"ibistray.example/ibistray/internal/statehost"
	"ibistray.example/ibistray/internal/telemetry"
	"ibistray.example/ibistray/platform"
	"ibistray.example/ibistray/proto/fleetpb"
)

const (
	flagMetricsPort    = "metrics-port"
	flagHostedLogLevel = "hosted-log-level"
	flagStandby        = "standby"
	// memoryLimitShare is the part of the memory limit that the Go runtime is told to stay
	// below. The rest is for memory that the runtime does not count, such as bytes that wait
	// in sockets.
	memoryLimitShare = 0.65
	// gcPercent keeps the heap close to the size of the live objects at the cost of more
	// collections. A hosted process uses only a few percent of a core.
	gcPercent = 30
)

// hostedCommands returns the commands of the roles on hosts whose platform writes a
// settings file.
func hostedCommands() []*cli.Command {
	flags := []cli.Flag{
		&cli.Uint16Flag{Name: flagMetricsPort, Usage: "port of the HTTP endpoint /metrics; 0: none", Sources: cli.EnvVars("IBISTRAYD_METRICS_PORT")},
		&cli.StringFlag{Name: flagHostedLogLevel, Value: "info", Usage: "minimum level of logged messages: trace, debug, info, warn, error", Sources: cli.EnvVars("IBISTRAYD_HOSTED_LOG_LEVEL")},
	}
	stateHostFlags := []cli.Flag{
		&cli.BoolFlag{Name: flagStandby, Usage: "hold replicas only while too few other state hosts can", Sources: cli.EnvVars("IBISTRAYD_STANDBY")},
	}
	return []*cli.Command{
		{Name: "entry", Usage: "serve clients on a host of the platform", Flags: append(memoryFlags(), flags...), Action: runHosted(hostedRole{checkEntrySettings, runEntry})},
		{Name: "statehost", Usage: "store replicated state on a host of the platform", Flags: append(stateHostFlags, flags...), Action: runHosted(hostedRole{checkStateHostSettings, runStateHost})},
	}
}

// hostedProcess holds the inputs of a hosted role.
type hostedProcess struct {
	settings *platform.Settings
	options  hosted.Options
	standby  bool                 // state host: see statehost.Config
	memory   memorySettings       // entry
	age      func() time.Duration // since the start of the process, with the time for which it was suspended
	stop     <-chan struct{}      // closed when the process must stop
}

// hostedRole is a role on hosts whose platform writes a settings file.
type hostedRole struct {
	check func(*platform.Settings) error // an error says that the role lacks a setting
	run   func(hostedProcess) error
}

// runHosted returns an action that loads the settings of the platform, prepares the process
// and runs a role.
func runHosted(role hostedRole) cli.ActionFunc {
	return func(_ context.Context, cmd *cli.Command) error {
		started := clock.SinceBoot()
		signals := make(chan os.Signal, 4)
		signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
		memory, err := readMemorySettings(cmd)
		if err != nil {
			return err
		}
		output := telemetry.NewAsyncWriter(os.Stdout)
		defer output.Close()
		log, err := telemetry.NewLogger("ibistrayd", cmd.String(flagHostedLogLevel), output)
		if err != nil {
			return err
		}
		path := os.Getenv(platform.SettingsPathEnvVar)
		if path == "" {
			return fmt.Errorf("%w: %s is not set", platform.ErrSettings, platform.SettingsPathEnvVar)
		}
		settings, err := newSettingsLoader(path, role.check).await(signals, log)
		if settings == nil {
			return err
		}
		log = log.With("node", settings.Host)
		hclog.SetDefault(log)
		limitRuntime(settings)
		p := hostedProcess{settings: settings, options: hosted.Options{
			Logger:      log,
			Seeds:       hosted.NewSeeds(settings.SeedPeerAddresses()),
			GracePeriod: settings.GracePeriod,
			MemoryBytes: settings.MemoryLimitBytes,
		}, standby: cmd.Bool(flagStandby), memory: memory, age: func() time.Duration { return clock.SinceBoot() - started }}
		if port := cmd.Uint16(flagMetricsPort); port != 0 {
			p.options.MetricsAddress = fmt.Sprintf("%s:%d", settings.IP, port)
		}
		p.stop = watchSignals(signals, path, p.options.Seeds, log)
		if err := role.run(p); err != nil {
			log.Error("process ends", "error", err)
			return &runError{err: err}
		}
		return nil
	}
}

// limitRuntime limits the Go runtime to one core and to a share of the memory limit, since
// such hosts have one core and little memory.
func limitRuntime(s *platform.Settings) {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	if s.MemoryLimitBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryLimitBytes)))
	}
}

func runEntry(p hostedProcess) error {
	s := p.settings
	cfg := gateway.Config{
		Name:                s.Host,
		FailureDomain:       s.FailureDomain,
		DecodeRoutes:        platform.DecodeRoutes,
		Codec:               platform.HeaderCodec{},
		RoutesTimeout:       s.RoutesTimeout,
		ToleratedHostLosses: s.ToleratedHostLosses,
		Memory:              p.memory.limits(s),
		LinkBytesPerS:       s.LinkBytesPerS,

		KeyRevocationTimeout: s.KeyRevocationTimeout,
	}
	if seeds := s.SeedPeerAddresses(); s.Bootstrap {
		cfg.SystemStart = func() *fleetpb.SystemStart { return fleetwatch.NewSystemStart(p.age(), seeds) }
	}
	p.options.Connections = p.memory.connections(s)
	addresses := hosted.Addresses{Clients: s.ClientAddress, Ready: s.ReadyAddress}
	return hosted.RunEntry(cfg, addresses, platform.NewReadyHandler, p.options, p.stop)
}

func runStateHost(p hostedProcess) error {
	s := p.settings
	cfg := statehost.Config{
		Name:              s.Host,
		Address:           s.PeerAddress(),
		PublicAddress:     s.ControlAddress,
		FailureDomain:     s.FailureDomain,
		DataDir:           s.DataDir,
		Bootstrap:         s.Bootstrap,
		ProcessAge:        p.age,
		FaultTolerance:    s.ToleratedHostLosses,
		Standby:           p.standby,
		DiskBytes:         s.DiskBytes,
		MemoryBytes:       s.MemoryLimitBytes,
		DecodeRoutes:      platform.DecodeRoutes,
		HeartbeatInterval: s.HeartbeatInterval,
		AccountWindow:     s.AccountWindow,
	}
	control := func(h *statehost.Host) http.Handler {
		return platform.NewControlHandler(h, p.options.Logger.Named("control"))
	}
	p.options.Connections, p.options.UnprovenPeers = controlConnections(s), s.MaxDescriptors/4
	addresses := hosted.Addresses{Control: s.ControlAddress, Peers: s.PeerAddress()}
	return hosted.RunStateHost(cfg, addresses, control, p.options, p.stop)
}
