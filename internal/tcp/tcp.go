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

// LimitReceived limits what may arrive on each connection that a listener accepts later and is not
// read, to about the given number of bytes. It has no effect on listeners that are no sockets.
func LimitReceived(l net.Listener, bytes int) {
	socket, ok := l.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
	})
}

// SetReceived changes the limit of LimitReceived for one connection.
func SetReceived(conn syscall.Conn, bytes int) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
		// The window keeps the limit of the listener otherwise.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, bytes)
	})
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
