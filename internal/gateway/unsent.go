package gateway

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// maxUnsentBytes limits the bytes that the kernel holds for a client and has not sent. Without a
// limit a blocked write goes on only once a third of a send buffer of megabytes is free, so that a
// client which reads slowly seems to take nothing for seconds.
const maxUnsentBytes = 64 << 10

// LimitUnsent limits the unsent bytes of the connection of a client. On connections other than TCP
// and on systems without such a limit it does nothing.
func LimitUnsent(conn net.Conn) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsentBytes)
	})
}
