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

// servedHost is a state host that listens on a loopback address.
type servedHost struct {
	*Host
	dir    string
	server *transport.Server
	pool   *transport.Pool
}

// startHost starts a state host on a loopback address.
func startHost(b *testing.B, address, dir string, seeds []string, bootstrap bool) *servedHost {
	b.Helper()
	listener, err := net.Listen("tcp", address)
	assert.NilError(b, err)
	s := &servedHost{dir: dir, server: transport.NewServer(hclog.NewNullLogger()), pool: transport.NewPool(transport.DialTCPTimeout(time.Second))}
	s.Host, err = New(Config{
		Name: address, Address: address, DataDir: dir, Bootstrap: bootstrap, FaultTolerance: (len(seeds) - 1) / 2,
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

// shutdown stops the host and closes its server and its connections.
func (s *servedHost) shutdown(b *testing.B) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := s.Stop(ctx); err != nil {
		b.Error(err)
	}
	s.server.Close()
	s.pool.Close()
}

// startHosts starts state hosts that create their groups, and returns their addresses.
func startHosts(b *testing.B, count int) ([]string, []*servedHost) {
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
		hosts = append(hosts, startHost(b, address, b.TempDir(), addresses, true))
	}
	return addresses, hosts
}

// ledgerLoad generates load on the ledger.
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

// send sends count commands from concurrent callers and waits for their outcomes.
func (l *ledgerLoad) send(b *testing.B, callers, count int, command func(i int) *ledgerpb.Command) {
	var next atomic.Int64
	var workers sync.WaitGroup
	for range callers {
		workers.Go(func() {
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
	workers.Wait()
}

// BenchmarkLedger reports the CPU time of a ledger command on all hosts and at its caller
// together, by the number of concurrent callers.
func BenchmarkLedger(b *testing.B) {
	for _, callers := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			addresses, hosts := startHosts(b, 3)
			load := newLedgerLoad(addresses)
			begin := func(i int) *ledgerpb.Command { return beginCommand(fmt.Sprint(i), fmt.Sprint(i), "", 1, 10) }
			load.send(b, 1, 1, begin)
			before := cpuTime(b)
			b.ResetTimer()
			load.send(b, callers, b.N, begin)
			b.StopTimer()
			b.ReportMetric(float64((cpuTime(b)-before).Microseconds())/float64(b.N), "cpu-us/op")
			load.pool.Close()
			for _, h := range hosts {
				h.shutdown(b)
			}
		})
	}
}

// BenchmarkCatchUp reports how long it takes until a host that lost its disk is a voter of
// the ledger group again, by the number of kept turns in the state.
func BenchmarkCatchUp(b *testing.B) {
	for _, turns := range []int{1_000, 10_000, 40_000} {
		b.Run(fmt.Sprintf("turns=%d", turns), func(b *testing.B) {
			addresses, hosts := startHosts(b, 3)
			load := newLedgerLoad(addresses)
			load.send(b, 64, turns, largeTurn)
			b.ResetTimer()
			for range b.N {
				victim := slices.IndexFunc(hosts, func(h *servedHost) bool { return !isLedgerLeader(b, h) })
				b.StopTimer()
				hosts[victim].shutdown(b)
				b.StartTimer()
				hosts[victim] = startHost(b, addresses[victim], b.TempDir(), addresses, false)
				for !isLedgerVoter(b, hosts[victim]) {
					time.Sleep(10 * time.Millisecond)
				}
			}
			b.StopTimer()
			load.pool.Close()
			for _, h := range hosts {
				h.shutdown(b)
			}
		})
	}
}

// largeTurn returns a command that keeps a turn of 1.6 KB.
func largeTurn(i int) *ledgerpb.Command {
	cmd := finishCommand(fmt.Sprint(i), fmt.Sprint(i/10), "", 1)
	f := cmd.GetFinish()
	f.Input, f.Output = make([]byte, 1000), make([]byte, 600)
	f.RetentionMs = time.Hour.Milliseconds()
	return cmd
}

// BenchmarkRestart reports how long a restarted host takes to open its data directory, by
// the number of kept turns in the log.
func BenchmarkRestart(b *testing.B) {
	for _, turns := range []int{1_000, 10_000} {
		b.Run(fmt.Sprintf("turns=%d", turns), func(b *testing.B) {
			addresses, hosts := startHosts(b, 3)
			load := newLedgerLoad(addresses)
			load.send(b, 64, turns, largeTurn)
			load.pool.Close()
			for _, h := range hosts {
				h.shutdown(b)
			}
			b.ResetTimer()
			for range b.N {
				h := startHost(b, addresses[0], hosts[0].dir, addresses, false)
				b.StopTimer()
				h.shutdown(b)
				b.StartTimer()
			}
		})
	}
}

// isLedgerLeader reports whether the host leads the ledger group.
func isLedgerLeader(b *testing.B, h *servedHost) bool {
	status, err := h.replicas.Status(b.Context(), LedgerGroup)
	return err == nil && status.Role == raft.RoleLeader
}

// isLedgerVoter reports whether the replica of the ledger on the host is a voter according
// to its own log.
func isLedgerVoter(b *testing.B, h *servedHost) bool {
	status, err := h.replicas.Status(b.Context(), LedgerGroup)
	if err != nil || !status.Active {
		return false
	}
	member := memberByID(status, status.ID)
	return member != nil && !member.Learner
}

// cpuTime returns the user and system CPU time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
