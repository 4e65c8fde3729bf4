package statehost

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/leaderclient"
	"ibistray.example/ibistray/internal/raft"
	"ibistray.example/ibistray/internal/routing"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/ledgerpb"
)

// servedHost is a state host on loopback.
type servedHost struct {
	*Host
	dir    string
	server *transport.Server
	pool   *transport.Pool
}

// serveHost starts a state host.
func serveHost(b *testing.B, address, dir string, seeds []string, founds bool) *servedHost {
	b.Helper()
	listener, err := net.Listen("tcp", address)
	assert.NilError(b, err)
	s := &servedHost{dir: dir, server: transport.NewServer(hclog.NewNullLogger()), pool: transport.NewPool(transport.DialTCPTimeout(time.Second))}
	s.Host, err = New(Config{
		Name: address, Address: address, DataDir: dir, Bootstrap: founds, FaultTolerance: (len(seeds) - 1) / 2,
		Seeds:             func() []string { return seeds },
		DecodeRoutes:      func([]byte) (*routing.Document, error) { return &routing.Document{Version: 1}, nil },
		HeartbeatInterval: time.Second,
	}, hclog.NewNullLogger(), prometheus.NewRegistry(), s.pool, func(err error) { b.Error(err) })
	assert.NilError(b, err)
	s.Register(s.server)
	go func() {
		if err := s.server.Serve(listener); err != nil {
			b.Error(err)
		}
	}()
	s.Run()
	return s
}

func (s *servedHost) end(b *testing.B) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := s.Stop(ctx); err != nil {
		b.Error(err)
	}
	s.server.Close()
	s.pool.Close()
}

// servedHosts starts state hosts that found their groups.
func servedHosts(b *testing.B, count int) ([]string, []*servedHost) {
	b.Helper()
	addresses := make([]string, count)
	for i := range addresses {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(b, err)
		addresses[i] = listener.Addr().String()
		assert.NilError(b, listener.Close())
	}
	var hosts []*servedHost
	for _, address := range addresses {
		hosts = append(hosts, serveHost(b, address, b.TempDir(), addresses, true))
	}
	return addresses, hosts
}

// ledgerLoad sends commands to the ledger.
type ledgerLoad struct {
	pool   *transport.Pool
	client *leaderclient.Client
	leader leaderclient.LeaderCache
}

func newLedgerLoad(addresses []string) *ledgerLoad {
	pool := transport.NewPool(transport.DialTCPTimeout(time.Second))
	return &ledgerLoad{pool: pool, client: leaderclient.NewWithOptions(pool, leaderclient.Options{
		Addresses:      func() []string { return addresses },
		AttemptTimeout: time.Second,
		OnRetry:        func(string) {},
		SharedStream:   true,
	})}
}

// send sends count commands from several callers.
func (l *ledgerLoad) send(b *testing.B, callers, count int, command func(i int) *ledgerpb.Command) {
	var next atomic.Int64
	var work sync.WaitGroup
	for range callers {
		work.Go(func() {
			for i := next.Add(1); i <= int64(count); i = next.Add(1) {
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				req := &ledgerpb.Request{Command: command(int(i))}
				err := l.client.Call(ctx, &l.leader, transport.MethodLedger, 0, req, new(ledgerpb.Response))
				cancel()
				if err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	work.Wait()
}

// BenchmarkLedger reports what a command of the ledger costs on all hosts and at its
// caller together, with few and with many commands under way.
func BenchmarkLedger(b *testing.B) {
	for _, callers := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			addresses, hosts := servedHosts(b, 3)
			load := newLedgerLoad(addresses)
			begin := func(i int) *ledgerpb.Command { return beginCommand(fmt.Sprint(i), fmt.Sprint(i), "", 1, 10) }
			load.send(b, 1, 1, begin)
			before := processorTime(b)
			b.ResetTimer()
			load.send(b, callers, b.N, begin)
			b.StopTimer()
			b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(b.N), "cpu-us/op")
			load.pool.Close()
			for _, h := range hosts {
				h.end(b)
			}
		})
	}
}

// BenchmarkCatchUp reports how long a host that lost its disk takes until it votes again
// in the ledger, by the kept turns in the state.
func BenchmarkCatchUp(b *testing.B) {
	for _, turns := range []int{1_000, 10_000, 40_000} {
		b.Run(fmt.Sprintf("turns=%d", turns), func(b *testing.B) {
			addresses, hosts := servedHosts(b, 3)
			load := newLedgerLoad(addresses)
			load.send(b, 64, turns, largeTurn)
			b.ResetTimer()
			for range b.N {
				victim := slices.IndexFunc(hosts, func(h *servedHost) bool { return !leads(b, h) })
				b.StopTimer()
				hosts[victim].end(b)
				b.StartTimer()
				hosts[victim] = serveHost(b, addresses[victim], b.TempDir(), addresses, false)
				for !votes(b, hosts[victim]) {
					time.Sleep(10 * time.Millisecond)
				}
			}
			b.StopTimer()
			load.pool.Close()
			for _, h := range hosts {
				h.end(b)
			}
		})
	}
}

// largeTurn keeps a turn of 1.6 KB.
func largeTurn(i int) *ledgerpb.Command {
	cmd := keepCommand(fmt.Sprint(i), fmt.Sprint(i/10), "", 1)
	f := cmd.GetFinish()
	f.Input, f.Output = make([]byte, 1000), make([]byte, 600)
	f.RetentionMs = time.Hour.Milliseconds()
	return cmd
}

// BenchmarkRestart reports how long a host takes to open its data folder after a loss
// of power, by the kept turns in the log.
func BenchmarkRestart(b *testing.B) {
	for _, turns := range []int{1_000, 10_000} {
		b.Run(fmt.Sprintf("turns=%d", turns), func(b *testing.B) {
			addresses, hosts := servedHosts(b, 3)
			load := newLedgerLoad(addresses)
			load.send(b, 64, turns, largeTurn)
			load.pool.Close()
			for _, h := range hosts {
				h.end(b)
			}
			b.ResetTimer()
			for range b.N {
				h := serveHost(b, addresses[0], hosts[0].dir, addresses, false)
				b.StopTimer()
				h.end(b)
				b.StartTimer()
			}
		})
	}
}

func leads(b *testing.B, h *servedHost) bool {
	status, err := h.replicas.Status(b.Context(), LedgerGroup)
	return err == nil && status.Role == raft.RoleLeader
}

// votes reports whether the host's replica of the ledger is a voter by its own log.
func votes(b *testing.B, h *servedHost) bool {
	status, err := h.replicas.Status(b.Context(), LedgerGroup)
	if err != nil || !status.Active {
		return false
	}
	member := memberByID(status, status.ID)
	return member != nil && !member.Learner
}

// processorTime returns what this process has used.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
