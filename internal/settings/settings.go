// Package settings defines the settings of the daemon: flags, environment
// variables, defaults and the checks at start.
package settings

import (
	"fmt"
	"time"
)

// Role is a job of the daemon; one process may have several.
type Role string

// The roles.
const (
	RoleEntry   Role = "entry"
	RoleControl Role = "control"
	RoleSidecar Role = "sidecar"
)

// Peer is one control process of the static first membership.
type Peer struct {
	ReplicaID     uint64
	Address       string
	FailureDomain string
}

// Settings are the checked settings of one daemon.
type Settings struct {
	Roles             []Role
	NodeID            string
	ListenAddress     string // address for the system's own processes
	AdvertisedAddress string // address at which the system's own processes reach Listen
	HTTPAddress       string // address for callers, operators and metrics
	Region            string
	FailureDomain     string
	LogLevel          string
	DrainTimeout      time.Duration // 0: running calls are never cut off

	// Control role.
	DataDir         string
	ReplicaID       uint64
	ControlPeers    []Peer
	ReplacedAddress string // address of a lost process whose place this one takes, or ""
	Shards          uint32
	OperatorKeyFile string

	// Entry and sidecar roles.
	ControlAddresses []string // addresses of control processes

	// Sidecar role.
	ServerID        string
	BackendURL      string
	BackendKind     string // "engine" or "service"
	Models          []string
	Services        []string
	MaxRunning      int
	RetainIdleLimit time.Duration

	// Entry role.
	MaxBodyBytes    int
	MaxOutputTokens uint64

	// Mutual TLS between the system's processes; all three or none.
	TLSCert string
	TLSKey  string
	TLSCA   string
}

// HasRole reports whether the process has the role.
func (s *Settings) HasRole(r Role) bool {
	for _, have := range s.Roles {
		if have == r {
			return true
		}
	}
	return false
}

// Error is a setting that stops the process at start.
type Error struct {
	Flag    string // without the dashes
	Problem string
	Fix     string
}

func (e *Error) Error() string {
	return fmt.Sprintf("setting --%s: %s; %s", e.Flag, e.Problem, e.Fix)
}

func invalid(flag, fix, format string, args ...any) *Error {
	return &Error{Flag: flag, Problem: fmt.Sprintf(format, args...), Fix: fix}
}
