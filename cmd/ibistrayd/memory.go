package main

import (
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"ibistray.example/ibistray/internal/gateway"
	"ibistray.example/ibistray/internal/policy/memory"
	"ibistray.example/ibistray/platform"
)

const (
	flagHeldMemoryShare = "held-memory-share"
	flagUnreadTimeout   = "unread-timeout"
	flagConnectionShare = "connection-memory-share"
	// connectionBytes is what a connection without a request holds: a goroutine, a read buffer
	// and the descriptor.
	connectionBytes = 16 << 10
	// descriptorMargin is for what is not a connection of a client or to a backend server:
	// listeners, connections to state hosts, readiness checks, and connections that get a
	// refusal.
	descriptorMargin = 128
	// defaultHeldMemoryShare leaves room below memoryLimitShare for connections, the process
	// itself and garbage that is not collected yet.
	defaultHeldMemoryShare = 0.25
	// defaultConnectionShare is for connections without a request.
	defaultConnectionShare = 0.15
	// maxSharesTogether leaves a quarter of the memory limit for all else that counts toward
	// memoryLimitShare, such as the outputs of kept turns (see memory.OutputsLimit).
	maxSharesTogether = memoryLimitShare - 0.25
	// defaultUnreadTimeout is below the time for which backend servers keep an unread response,
	// which is some seconds.
	defaultUnreadTimeout = 3 * time.Second
)

// memorySettings divide the memory limit of an entry.
type memorySettings struct {
	heldShare       float64 // for running requests
	connectionShare float64 // for connections without a request
	unreadTimeout   time.Duration
}

// memoryFlags returns the flags of memorySettings. They have no effect on a host without a
// memory limit.
func memoryFlags() []cli.Flag {
	return []cli.Flag{
		&cli.FloatFlag{Name: flagHeldMemoryShare, Value: defaultHeldMemoryShare, Usage: "share of the memory limit for bodies, histories, unread responses and buffers of running requests; 0: not limited", Sources: cli.EnvVars("IBISTRAYD_HELD_MEMORY_SHARE")},
		&cli.FloatFlag{Name: flagConnectionShare, Value: defaultConnectionShare, Usage: "share of the memory limit for client connections; 0: only descriptors limit them", Sources: cli.EnvVars("IBISTRAYD_CONNECTION_MEMORY_SHARE")},
		&cli.DurationFlag{Name: flagUnreadTimeout, Value: defaultUnreadTimeout, Usage: "time after which a response ends of which the client takes nothing", Sources: cli.EnvVars("IBISTRAYD_UNREAD_TIMEOUT")},
	}
}

// readMemorySettings reads and checks the flags.
func readMemorySettings(cmd *cli.Command) (memorySettings, error) {
	s := memorySettings{
		heldShare:       cmd.Float(flagHeldMemoryShare),
		connectionShare: cmd.Float(flagConnectionShare),
		unreadTimeout:   cmd.Duration(flagUnreadTimeout),
	}
	valid := s.heldShare >= 0 && s.connectionShare >= 0 && s.heldShare+s.connectionShare <= maxSharesTogether
	if !valid {
		return s, fmt.Errorf("%s is %g and %s is %g, must not be negative nor exceed %g together",
			flagHeldMemoryShare, s.heldShare, flagConnectionShare, s.connectionShare, maxSharesTogether)
	}
	if s.unreadTimeout < 0 {
		return s, fmt.Errorf("%s is %s, must not be negative", flagUnreadTimeout, s.unreadTimeout)
	}
	return s, nil
}

// connections returns the limits of the connections of an entry on a host.
func (s memorySettings) connections(host *platform.Settings) memory.Limits {
	var limits memory.Limits
	if host.MemoryLimitBytes > 0 && s.connectionShare > 0 {
		limits.Clients = max(1, int(s.connectionShare*float64(host.MemoryLimitBytes)/connectionBytes))
	}
	if host.MaxDescriptors > 0 {
		limits.Total = max(1, host.MaxDescriptors-descriptorMargin)
	}
	return limits
}

// controlConnections returns the limits of the connections to the control address of a state host,
// which leave half of the descriptors to its files and to other processes.
func controlConnections(host *platform.Settings) memory.Limits {
	var limits memory.Limits
	if host.MemoryLimitBytes > 0 {
		limits.Clients = max(1, int(defaultConnectionShare*float64(host.MemoryLimitBytes)/connectionBytes))
	}
	if host.MaxDescriptors > 0 {
		limits.Total = max(1, host.MaxDescriptors/2)
	}
	return limits
}

// limits returns the limits of the running requests of an entry on a host.
func (s memorySettings) limits(host *platform.Settings) gateway.MemoryLimits {
	return gateway.MemoryLimits{
		HeldBytes:     int64(s.heldShare * float64(host.MemoryLimitBytes)),
		UnreadTimeout: s.unreadTimeout,
	}
}
