package main

import (
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"ibistray.example/ibistray/internal/gateway"
	"ibistray.example/ibistray/platform"
)

const (
	flagHeldMemoryShare = "held-memory-share"
	flagUnreadTimeout   = "unread-timeout"
	// defaultHeldMemoryShare leaves room below memoryLimitShare for connections, the process
	// itself and garbage that is not collected yet.
	defaultHeldMemoryShare = 0.2
	// maxHeldMemoryShare leaves a quarter of the memory limit for all else that counts toward
	// memoryLimitShare.
	maxHeldMemoryShare = memoryLimitShare - 0.25
	// defaultUnreadTimeout is below the time for which backend servers keep an unread response,
	// which is some seconds.
	defaultUnreadTimeout = 3 * time.Second
)

// memorySettings divide the memory limit of an entry.
type memorySettings struct {
	heldShare     float64 // for running requests
	unreadTimeout time.Duration
}

// memoryFlags returns the flags of memorySettings. They have no effect on a host without a
// memory limit.
func memoryFlags() []cli.Flag {
	return []cli.Flag{
		&cli.FloatFlag{Name: flagHeldMemoryShare, Value: defaultHeldMemoryShare, Usage: "share of the memory limit for bodies, histories, unread responses and buffers of running requests; 0: not limited", Sources: cli.EnvVars("IBISTRAYD_HELD_MEMORY_SHARE")},
		&cli.DurationFlag{Name: flagUnreadTimeout, Value: defaultUnreadTimeout, Usage: "time after which a response ends of which the client takes nothing", Sources: cli.EnvVars("IBISTRAYD_UNREAD_TIMEOUT")},
	}
}

// readMemorySettings reads and checks the flags.
func readMemorySettings(cmd *cli.Command) (memorySettings, error) {
	s := memorySettings{heldShare: cmd.Float(flagHeldMemoryShare), unreadTimeout: cmd.Duration(flagUnreadTimeout)}
	if !(s.heldShare >= 0 && s.heldShare <= maxHeldMemoryShare) {
		return s, fmt.Errorf("%s is %g, must be from 0 to %g", flagHeldMemoryShare, s.heldShare, maxHeldMemoryShare)
	}
	if s.unreadTimeout < 0 {
		return s, fmt.Errorf("%s is %s, must not be negative", flagUnreadTimeout, s.unreadTimeout)
	}
	return s, nil
}

// limits returns the limits of an entry on a host.
func (s memorySettings) limits(host *platform.Settings) gateway.MemoryLimits {
	return gateway.MemoryLimits{
		HeldBytes:     int64(s.heldShare * float64(host.MemoryLimitBytes)),
		UnreadTimeout: s.unreadTimeout,
	}
}
