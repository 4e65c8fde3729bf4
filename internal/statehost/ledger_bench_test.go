package statehost

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/leaderclient"
	"ibistray.example/ibistray/internal/routing"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/ledgerpb"
)

// servedHosts starts state hosts that found their groups, on loopback, and returns
// their addresses.
func servedHosts(b *testing.B, count int) []string {
	b.Helper()
	listeners := make([]net.Listener, count)
	addresses := make([]string, count)
	for i := range listeners {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(b, err)
		listeners[i], addresses[i] = listener, listener.Addr().String()
	}
	for i, listener := range listeners {
		pool := transport.NewPool(transport.DialWithin(time.Second))
		cfg := Config{
			Name: fmt.Sprintf("host-%d", i), Address: addresses[i], DataDir: b.TempDir(),
			Bootstrap: true, Tolerance: (count - 1) / 2,
			Seeds:             func() []string { return addresses },
			Decode:            func([]byte) (*routing.Document, error) { return &routing.Document{Version: 1}, nil },
			HeartbeatInterval: time.Second,
		}
		h, err := New(cfg, hclog.NewNullLogger(), prometheus.NewRegistry(), pool, func(err error) { b.Error(err) })
		assert.NilError(b, err)
		server := transport.NewServer(hclog.NewNullLogger())
		h.Register(server)
		go server.Serve(listener)
		h.Run()
		b.Cleanup(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			if err := h.Stop(ctx); err != nil {
				b.Error(err)
			}
			server.Close()
			pool.Close()
		})
	}
	return addresses
}

// BenchmarkLedger reports what a command of the ledger costs on all hosts and at its
// caller together, with few and with many commands under way.
func BenchmarkLedger(b *testing.B) {
	for _, callers := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			addresses := servedHosts(b, 3)
			pool := transport.NewPool(transport.DialWithin(time.Second))
			defer pool.Close()
			client := leaderclient.NewWithOptions(pool, leaderclient.Options{
				Addresses:      func() []string { return addresses },
				AttemptTimeout: time.Second,
				OnRetry:        func(string) {},
				Shared:         true,
			})
			var leader leaderclient.Leader
			call := func(id string) {
				resp := new(ledgerpb.Response)
				req := &ledgerpb.Request{Command: &ledgerpb.Command{Kind: &ledgerpb.Command_Begin{Begin: &ledgerpb.Begin{
					CallId: id, Program: id, MaxTokens: 1, TokenBudget: 10, Limited: true,
				}}}}
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				if err := client.Call(ctx, &leader, transport.MethodLedger, 0, req, resp); err != nil {
					b.Error(err)
				}
			}
			call("first")
			before := processorTime(b)
			b.ResetTimer()
			work := make(chan int)
			done := make(chan struct{})
			for range callers {
				go func() {
					for i := range work {
						call(fmt.Sprint(i))
					}
					done <- struct{}{}
				}()
			}
			for i := range b.N {
				work <- i
			}
			close(work)
			for range callers {
				<-done
			}
			b.StopTimer()
			b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
}

// processorTime returns what this process has used.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
