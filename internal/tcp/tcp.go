// Package tcp has the socket options that connections and listeners of all roles share. With
// them, an outgoing connection does not keep a process of this system from listening on its local
// port: the ports of a deployment may lie in the range from which the operating system takes the
// local ports of connections.
package tcp

import (
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Dialer returns a dialer whose connections leave their local ports to listeners of
// ListenConfig. The caller may set further fields.
func Dialer() *net.Dialer {
	return &net.Dialer{Control: reuseAddress}
}

// ListenConfig returns the configuration of a listener. The caller may set further fields.
// Listeners do not offer Multipath TCP: Linux gives such a listener no port that a connection has,
// whatever the options of the connection.
func ListenConfig() *net.ListenConfig {
	c := new(net.ListenConfig)
	c.SetMultipathTCP(false)
	return c
}

// reuseAddress sets SO_REUSEADDR, which package net sets for listeners only. Linux requires it on
// both sockets.
func reuseAddress(_, _ string, conn syscall.RawConn) error {
	var optionErr error
	err := conn.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	})
	if err == nil {
		err = optionErr
	}
	if err != nil {
		return fmt.Errorf("tcp: set SO_REUSEADDR: %w", err)
	}
	return nil
}
