package demo

import (
	"fmt"
	"net"
)

// freeAddresses returns loopback addresses that no process listens on.
func freeAddresses(n int) ([]string, error) {
	addresses := make([]string, 0, n)
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
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
