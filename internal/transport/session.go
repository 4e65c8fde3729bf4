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

// DialFunc opens a connection to the address of a process.
type DialFunc func(address string) (net.Conn, error)

const dialTimeout = 2 * time.Second

// DialTCP is the DialFunc of plain TCP.
func DialTCP(address string) (net.Conn, error) {
	return net.DialTimeout("tcp", address, dialTimeout)
}

// DialTCPTimeout returns a DialFunc of plain TCP that gives up after limit. A host that
// was down drops the first packet, which is sent again only after a second: a
// limit below that finds a host sooner that has come back.
func DialTCPTimeout(limit time.Duration) DialFunc {
	return func(address string) (net.Conn, error) {
		return net.DialTimeout("tcp", address, limit)
	}
}
