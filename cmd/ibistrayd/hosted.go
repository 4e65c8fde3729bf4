package main

import (
	"context"
	"errors"
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

	"ibistray.example/ibistray/internal/gateway"
	"ibistray.example/ibistray/internal/hosted"
	"ibistray.example/ibistray/internal/statehost"
	"ibistray.example/ibistray/internal/telemetry"
	"ibistray.example/ibistray/platform"
)

const (
	flagMetrics     = "metrics-port"
	flagHostedLevel = "hosted-log-level"
	// heapShare of the memory limit is what the garbage collector aims to stay below;
	// the rest is for stacks and for bytes that wait in sockets.
	heapShare = 0.65
	// collectorPercent trades processor time, of which a hosted process uses a few
	// percent of a core, for a heap close to what is live.
	collectorPercent = 30
	// settingsInterval is how often the settings file is read again: it may change
	// without a signal.
	settingsInterval = time.Second
)

// hostedCommands are the roles on hosts whose platform writes a settings file.
func hostedCommands() []*cli.Command {
	flags := []cli.Flag{
		&cli.Uint16Flag{Name: flagMetrics, Usage: "port of /metrics, 0 for none", Sources: cli.EnvVars("IBISTRAYD_METRICS_PORT")},
		&cli.StringFlag{Name: flagHostedLevel, Value: "info", Usage: "log level", Sources: cli.EnvVars("IBISTRAYD_HOSTED_LOG_LEVEL")},
	}
	return []*cli.Command{
		{Name: "entry", Usage: "serve clients on a host of the platform", Flags: flags, Action: runHosted(runEntry)},
		{Name: "statehost", Usage: "hold state on a host of the platform", Flags: flags, Action: runHosted(runStateHost)},
	}
}

// hostedRun is what one process of a hosted role gets.
type hostedRun struct {
	settings *platform.Settings
	options  hosted.Options
	stop     <-chan struct{}
}

func runHosted(run func(hostedRun) error) cli.ActionFunc {
	return func(_ context.Context, cmd *cli.Command) error {
		path := os.Getenv(platform.SettingsPathEnvVar)
		settings, err := platform.LoadSettings(path)
		if err != nil {
			return err
		}
		output := telemetry.NewAsyncWriter(os.Stdout)
		defer output.Close()
		log, err := telemetry.NewLogger("ibistrayd", cmd.String(flagHostedLevel), output)
		if err != nil {
			return err
		}
		log = log.With("node", settings.Host)
		limitRuntime(settings)
		r := hostedRun{settings: settings, options: hosted.Options{
			Log:         log,
			Seeds:       hosted.NewSeeds(settings.SeedPeerAddresses()),
			GracePeriod: settings.GracePeriod,
		}}
		if port := cmd.Uint16(flagMetrics); port != 0 {
			r.options.MetricsAddress = fmt.Sprintf("%s:%d", settings.IP, port)
		}
		r.stop = watchSignals(path, r.options.Seeds, log)
		if err := run(r); err != nil {
			log.Error("process ends", "error", err)
			return &runError{err: err}
		}
		return nil
	}
}

// limitRuntime fits the runtime to a host with one core and little memory.
func limitRuntime(s *platform.Settings) {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(collectorPercent)
	if s.MemoryLimitBytes > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(s.MemoryLimitBytes)))
	}
}

// watchSignals closes the returned channel at SIGTERM or SIGINT and follows changes
// of the settings file.
func watchSignals(path string, seeds *hosted.Seeds, log hclog.Logger) <-chan struct{} {
	stop := make(chan struct{})
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		ticker := time.NewTicker(settingsInterval)
		defer ticker.Stop()
		for {
			select {
			case s := <-signals:
				if s != syscall.SIGHUP {
					close(stop)
					return
				}
				reloadSettings(path, seeds, log)
			case <-ticker.C:
				reloadSettings(path, seeds, log)
			}
		}
	}()
	return stop
}

func reloadSettings(path string, seeds *hosted.Seeds, log hclog.Logger) {
	settings, err := platform.LoadSettings(path)
	if err != nil {
		log.Warn("settings not reloaded: the earlier ones stay", "error", err)
		return
	}
	if seeds.Replace(settings.SeedPeerAddresses()) {
		log.Info("settings reloaded", "seeds", seeds.Addresses())
	}
}

var errNoAddress = errors.New("the settings name no address for this role")

func runEntry(r hostedRun) error {
	s := r.settings
	if s.ClientAddress == "" || s.ReadyAddress == "" {
		return fmt.Errorf("entry: %w", errNoAddress)
	}
	cfg := gateway.Config{
		Name:          s.Host,
		FailureDomain: s.FailureDomain,
		DecodeRoutes:  platform.DecodeRoutes,
		Codec:         platform.HeaderCodec{},
	}
	addresses := hosted.Addresses{Clients: s.ClientAddress, Ready: s.ReadyAddress}
	return hosted.RunEntry(cfg, addresses, platform.NewReadyHandler, r.options, r.stop)
}

func runStateHost(r hostedRun) error {
	s := r.settings
	if s.ControlAddress == "" || s.DataDir == "" {
		return fmt.Errorf("statehost: %w", errNoAddress)
	}
	cfg := statehost.Config{
		Name:              s.Host,
		Address:           s.PeerAddress(),
		PublicAddress:     s.ControlAddress,
		FailureDomain:     s.FailureDomain,
		DataDir:           s.DataDir,
		Bootstrap:         s.Bootstrap,
		FaultTolerance:    s.ToleratedHostLosses,
		DecodeRoutes:      platform.DecodeRoutes,
		HeartbeatInterval: s.HeartbeatInterval,
	}
	control := func(h *statehost.Host) http.Handler {
		return platform.NewControlHandler(h, r.options.Log.Named("control"))
	}
	addresses := hosted.Addresses{Control: s.ControlAddress, Peers: s.PeerAddress()}
	return hosted.RunStateHost(cfg, addresses, control, r.options, r.stop)
}
