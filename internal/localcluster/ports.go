package localcluster

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// FreeAddresses returns n different TCP addresses on which no process listens. They share
// one random IP address in 127.0.0.0/8, so that neither another cluster on this machine
// nor an outgoing connection occupies one of them before it is used.
func FreeAddresses(n int) ([]string, error) {
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
