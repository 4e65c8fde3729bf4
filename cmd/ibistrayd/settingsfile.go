package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"reflect"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"ibistray.example/ibistray/internal/hosted"
	"ibistray.example/ibistray/internal/loop"
	"ibistray.example/ibistray/internal/panics"
	"ibistray.example/ibistray/platform"
)

const (
	// settingsReloadInterval is the interval between two reads of the settings file, which
	// may change without a signal.
	settingsReloadInterval = time.Second
	// settingsTimeout limits how long a process waits at its start for a file that it can use.
	settingsTimeout = 5 * time.Second
	// settingsSettleTime is the time between two reads that must agree.
	settingsSettleTime = 20 * time.Millisecond
)

var errIncompleteSettings = errors.New("the settings lack an address or the data directory of this role")

// settingsLoader loads the settings of a role, and fails if they lack something that the role needs.
type settingsLoader func() (*platform.Settings, error)

// await returns the settings once two reads in a row agree: a file that is being written may be
// missing, or cut off where it still is a valid document. After settingsTimeout it returns what the
// last read gave. It returns nil and no error if a signal asks the process to stop.
func (load settingsLoader) await(signals <-chan os.Signal, log hclog.Logger) (*platform.Settings, error) {
	end := time.Now().Add(settingsTimeout)
	var earlier *platform.Settings
	for waiting := false; ; {
		settings, err := load()
		if err == nil && reflect.DeepEqual(settings, earlier) || !time.Now().Before(end) {
			return settings, err
		}
		if err != nil && !waiting {
			log.Error("settings cannot be used yet: waiting", "for_ms", settingsTimeout.Milliseconds(), "error", err)
			waiting = true
		}
		earlier = settings
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				return nil, nil
			}
		case <-time.After(settingsSettleTime):
		}
	}
}

// newSettingsLoader returns a loader of a file. check returns an error if a role lacks a setting.
func newSettingsLoader(path string, check func(*platform.Settings) error) settingsLoader {
	return func() (*platform.Settings, error) {
		settings, err := platform.LoadSettings(path)
		if err == nil {
			err = check(settings)
		}
		if err != nil {
			return nil, err
		}
		return settings, nil
	}
}

func checkEntrySettings(s *platform.Settings) error {
	if s.ClientAddress == "" || s.ReadyAddress == "" {
		return fmt.Errorf("entry: %w", errIncompleteSettings)
	}
	return nil
}

func checkStateHostSettings(s *platform.Settings) error {
	if s.ControlAddress == "" || s.DataDir == "" {
		return fmt.Errorf("statehost: %w", errIncompleteSettings)
	}
	return nil
}

// watchSignals returns a channel that is closed at a signal that asks the process to stop. Until then,
// it reloads the settings file at SIGHUP and every settingsReloadInterval.
func watchSignals(signals <-chan os.Signal, path string, seeds *hosted.Seeds, log hclog.Logger) <-chan struct{} {
	stop := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	reload := loop.NewWaker()
	// The disk of the settings may hang, which must not delay a stop.
	go panics.Restart(ctx, log, "settings", func(ctx context.Context) {
		loop.EveryOrWoken(ctx, settingsReloadInterval, reload, func(context.Context) { reloadSettings(path, seeds, log) })
	})
	go func() {
		for s := range signals {
			if s != syscall.SIGHUP {
				cancel()
				close(stop)
				return
			}
			reload.Wake()
		}
	}()
	return stop
}

// reloadSettings updates the seeds from the settings file. A file that cannot be loaded
// changes nothing.
func reloadSettings(path string, seeds *hosted.Seeds, log hclog.Logger) {
	settings, err := platform.LoadSettings(path)
	if err != nil {
		log.Warn("settings not reloaded, the earlier ones stay in use", "error", err)
		return
	}
	if seeds.Replace(settings.SeedPeerAddresses()) {
		log.Info("settings reloaded", "seeds", seeds.Addresses())
	}
}
