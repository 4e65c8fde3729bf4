package localcluster

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"syscall"
)

// FreeAddresses returns n different TCP addresses on which no process listens. They share
// one random IP address in 127.0.0.0/8, so that neither another cluster on this machine
// nor an outgoing connection occupies one of them before it is used.
func FreeAddresses(n int) ([]string, error) {
	// Between fork and exec, a child process holds copies of the listeners. No child is
	// forked while they are open, or it could hold them when the addresses are used. The
	// child by which the os package probes the kernel is forked without the lock, once,
	// and before any process is found.
	if _, err := os.FindProcess(os.Getpid()); err != nil {
		return nil, fmt.Errorf("find this process: %w", err)
	}
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	ip := net.IPv4(127, byte(1+rand.IntN(254)), byte(rand.IntN(256)), byte(1+rand.IntN(254)))
	addresses := make([]string, 0, n)
	for range n {
		listener, err := net.Listen("tcp", net.JoinHostPort(ip.String(), "0"))
		if err != nil {
			return nil, fmt.Errorf("find a free port on %s: %w", ip, err)
		}
		// All listeners stay open until the last address is found, so that the kernel
		// does not assign the same port twice.
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}
