package main

import (
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/platform"
)

// TestSettingsAreTakenOnceTheyAreWritten reads a file while it is written. The document that is cut off
// before its last fields is valid, but says that the host must not create the groups.
func TestSettingsAreTakenOnceTheyAreWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		load := settingsLoader(func() (*platform.Settings, error) {
			switch after := time.Since(start); {
			case after < time.Second:
				return nil, platform.ErrSettings
			case after < time.Second+settingsSettleTime:
				return &platform.Settings{Host: "a"}, nil
			}
			return &platform.Settings{Host: "a", Bootstrap: true}, nil
		})
		settings, err := load.await(nil, hclog.NewNullLogger())
		assert.NilError(t, err)
		assert.Assert(t, settings.Bootstrap)
		assert.Equal(t, time.Since(start), time.Second+2*settingsSettleTime)
	})
}

func TestUnusableSettingsEndTheWaitAfterItsTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		load := settingsLoader(func() (*platform.Settings, error) { return nil, platform.ErrSettings })
		_, err := load.await(nil, hclog.NewNullLogger())
		assert.ErrorIs(t, err, platform.ErrSettings)
		assert.Equal(t, time.Since(start), settingsTimeout)
		assert.Equal(t, exitCode(err), exitBadSetting)
	})
}

// TestChangingSettingsAreTakenAfterTheTimeout has a file that changes all the time.
func TestChangingSettingsAreTakenAfterTheTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reads := 0
		load := settingsLoader(func() (*platform.Settings, error) {
			reads++
			return &platform.Settings{MaxDescriptors: reads}, nil
		})
		settings, err := load.await(nil, hclog.NewNullLogger())
		assert.NilError(t, err)
		assert.Equal(t, settings.MaxDescriptors, reads)
	})
}

func TestStopEndsTheWaitForSettings(t *testing.T) {
	signals := make(chan os.Signal, 2)
	signals <- syscall.SIGHUP
	signals <- syscall.SIGTERM
	load := settingsLoader(func() (*platform.Settings, error) { return nil, platform.ErrSettings })
	settings, err := load.await(signals, hclog.NewNullLogger())
	assert.NilError(t, err)
	assert.Assert(t, settings == nil)
}
