// Package settings defines the flags and environment variables of the daemon with their
// defaults, and validates them.
package settings

import (
	"fmt"
	"time"
)

// Role is a function of the daemon. A process has one or more.
type Role string

// The roles.
const (
	RoleEntry   Role = "entry"   // accepts calls and the requests of operators
	RoleControl Role = "control" // replicates the configuration and the customer shards
	RoleSidecar Role = "sidecar" // runs attempts on one backend server
)

// Peer is a control process of the initial membership.
type Peer struct {
	ReplicaID     uint64
	Address       string
	FailureDomain string
}

// Settings are the validated settings of a daemon.
type Settings struct {
	Roles             []Role
	NodeID            string
	ListenAddress     string // for other processes of the system
	AdvertisedAddress string // at which other processes of the system reach ListenAddress
	HTTPAddress       string // for callers, operators and metrics
	Region            string
	FailureDomain     string
	LogLevel          string
	DrainTimeout      time.Duration // 0: wait until running calls end

	// Control role.
	DataDir         string
	ReplicaID       uint64
	ControlPeers    []Peer
	ReplacedAddress string // of the lost process that this one replaces, or ""
	Shards          uint32 // used by all roles
	OperatorKeyFile string // used by the entry role

	// Entry and sidecar roles.
	ControlAddresses []string

	// Sidecar role.
	ServerID        string
	BackendURL      string
	BackendKind     string // "engine" or "service"
	Models          []string
	Services        []string
	MaxRunning      int
	RetainIdleLimit time.Duration

	// HTTP address.
	MaxConnections  int
	MaxRequestBytes int64 // of all requests that arrive or run

	// Entry role.
	MaxBodyBytes    int
	MaxOutputTokens uint64

	// Mutual TLS between processes of the system: all three paths are set or none is.
	TLSCert string
	TLSKey  string
	TLSCA   string
}

// HasRole reports whether the process has the role.
func (s *Settings) HasRole(role Role) bool {
	for _, r := range s.Roles {
		if r == role {
			return true
		}
	}
	return false
}

// Error reports an invalid setting. Fix says how to correct it.
type Error struct {
	Flag    string // without the dashes
	Problem string
	Fix     string
}

func (e *Error) Error() string {
	return fmt.Sprintf("setting --%s: %s; %s", e.Flag, e.Problem, e.Fix)
}

// invalid returns an Error whose problem is formatted from format and args.
func invalid(flag, fix, format string, args ...any) *Error {
	return &Error{Flag: flag, Problem: fmt.Sprintf(format, args...), Fix: fix}
}
