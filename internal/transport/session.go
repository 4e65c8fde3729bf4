package transport

import (
	"io"
	"log"
	"net"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	heartbeatInterval = time.Second
	heartbeatTimeout  = 2 * time.Second
	streamOpenTimeout = 5 * time.Second
	streamBacklog     = 1024
)

func sessionConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.AcceptBacklog = streamBacklog
	cfg.EnableKeepAlive = true
	cfg.KeepAliveInterval = heartbeatInterval
	cfg.ConnectionWriteTimeout = heartbeatTimeout
	cfg.StreamOpenTimeout = streamOpenTimeout
	cfg.StreamCloseTimeout = streamOpenTimeout
	cfg.LogOutput = nil
	cfg.Logger = log.New(io.Discard, "", 0)
	return cfg
}

// DialFunc opens a connection to the process at an address.
type DialFunc func(address string) (net.Conn, error)

const dialTimeout = 2 * time.Second

// DialTCP is a DialFunc for plain TCP with a timeout of dialTimeout.
func DialTCP(address string) (net.Conn, error) {
	return net.DialTimeout("tcp", address, dialTimeout)
}

// DialTCPTimeout returns a DialFunc for plain TCP with a timeout. TCP retransmits the
// SYN that a host missed while it was down only after a second. With a timeout below
// that, new attempts reach a host sooner after it restarts.
func DialTCPTimeout(timeout time.Duration) DialFunc {
	return func(address string) (net.Conn, error) {
		return net.DialTimeout("tcp", address, timeout)
	}
}
