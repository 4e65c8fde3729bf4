package localcluster

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// FreeAddresses returns loopback addresses that no process listens on. They
// share one random IP number of 127.0.0.0/8, so that neither another cluster on
// this machine nor an outgoing connection takes one before it is used.
func FreeAddresses(n int) ([]string, error) {
	ip := net.IPv4(127, byte(1+rand.IntN(254)), byte(rand.IntN(256)), byte(1+rand.IntN(254)))
	addresses := make([]string, 0, n)
	for range n {
		listener, err := net.Listen("tcp", net.JoinHostPort(ip.String(), "0"))
		if err != nil {
			return nil, fmt.Errorf("find a free port: %w", err)
		}
		// All listeners stay open until the last address is found, so that no
		// address is found twice.
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}
