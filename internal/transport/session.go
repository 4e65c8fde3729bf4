package transport

import (
	"io"
	"log"
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
