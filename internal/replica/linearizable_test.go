package replica_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/replica"
)

const (
	historyClients = 4
	historyFaults  = 12
	historySeeds   = 12
	historyKeys    = 3
)

// request reads a key if value is empty, and otherwise writes it.
type request struct {
	key, value string
}

// registerModel specifies independent registers, one for each key.
var registerModel = porcupine.Model{
	Partition: partitionByKey,
	Init:      func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		r := input.(request)
		if r.value != "" {
			return true, r.value
		}
		return output == state, state
	},
	Equal: func(a, b any) bool { return a == b },
}

func partitionByKey(history []porcupine.Operation) [][]porcupine.Operation {
	byKey := make(map[string][]porcupine.Operation)
	for _, op := range history {
		key := op.Input.(request).key
		byKey[key] = append(byKey[key], op)
	}
	var parts [][]porcupine.Operation
	for _, part := range byKey {
		parts = append(parts, part)
	}
	return parts
}

// recorder collects the operations of concurrent clients. Their call and return times
// come from a logical clock.
type recorder struct {
	clock atomic.Int64
	mu    sync.Mutex
	ops   []porcupine.Operation
}

func (r *recorder) add(op porcupine.Operation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, op)
}

// TestHistoriesAreLinearizable records the operations of concurrent clients under random
// faults and checks that they are linearizable.
func TestHistoriesAreLinearizable(t *testing.T) {
	frequentSnapshots := func(opts *replica.Options) { opts.SnapshotEntries = 20; opts.RetainEntries = 5 }
	for seed := range uint64(historySeeds) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			runClusterWith(t, frequentSnapshots, func(t *testing.T, c *cluster) {
				history := c.runHistory(seed)
				assert.Assert(t, len(history) > 100, "only %d operations", len(history))
				result := porcupine.CheckOperationsTimeout(registerModel, history, 0)
				assert.Equal(t, result, porcupine.Ok)
			})
		})
	}
}

// runHistory runs clients that write and read while faults are injected, and returns
// their operations.
func (c *cluster) runHistory(seed uint64) []porcupine.Operation {
	c.t.Helper()
	rec := new(recorder)
	hosts := &hostTable{cluster: c}
	ctx, cancel := context.WithCancel(c.t.Context())
	var clients sync.WaitGroup
	for id := range historyClients {
		random := rand.New(rand.NewPCG(seed, uint64(id)))
		clients.Go(func() { hosts.runClient(ctx, rec, random, id) })
	}
	faults := &faultInjector{cluster: c, hosts: hosts, random: rand.New(rand.NewPCG(seed, math.MaxUint64))}
	for range historyFaults {
		faults.injectNext()
	}
	cancel()
	clients.Wait()
	return rec.ops
}

// hostTable lets clients look up hosts while faults stop and start them.
type hostTable struct {
	cluster *cluster
	mu      sync.RWMutex
}

func (h *hostTable) get(address string) (*replica.Host, *kv) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	n := h.cluster.nodes[address]
	return n.host, n.machines[testGroup]
}

func (h *hostTable) runClient(ctx context.Context, rec *recorder, random *rand.Rand, id int) {
	address := "a"
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(time.Duration(random.Int64N(int64(3 * tick))))
		host, machine := h.get(address)
		if host == nil || !runOperation(host, machine, rec, random, id, n) {
			address = string("abc"[random.IntN(3)])
		}
	}
}

// runOperation runs a random read or write on a host. It records a write with unknown
// outcome as never returned, and reports false if the operation failed.
func runOperation(host *replica.Host, machine *kv, rec *recorder, random *rand.Rand, id, n int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 3*electionTimeout)
	defer cancel()
	input := request{key: fmt.Sprintf("k%d", random.IntN(historyKeys))}
	if random.IntN(2) == 0 {
		input.value = fmt.Sprintf("%d-%d", id, n)
	}
	op := porcupine.Operation{ClientId: id, Input: input, Call: rec.clock.Add(1)}
	if input.value == "" {
		if host.ReadBarrier(ctx, testGroup) != nil {
			return false
		}
		op.Output = machine.get(input.key)
		op.Return = rec.clock.Add(1)
		rec.add(op)
		return true
	}
	_, err := host.Propose(ctx, testGroup, []byte(input.key+"="+input.value))
	op.Return = rec.clock.Add(1)
	if errors.Is(err, replica.ErrUncertain) {
		op.Return = math.MaxInt64
		err = nil
	}
	if err == nil {
		rec.add(op)
	}
	return err == nil
}

// faultInjector injects faults into one host at a time and ends them again.
type faultInjector struct {
	cluster *cluster
	hosts   *hostTable
	random  *rand.Rand
}

func (f *faultInjector) injectNext() {
	address := string("abc"[f.random.IntN(3)])
	switch f.random.IntN(6) {
	case 0:
		f.restart(address)
	case 1:
		f.cut(address, true, false)
	case 2:
		f.cut(address, false, true)
	case 3:
		f.cut(address, true, true)
	case 4:
		f.pauseGroup(address)
	case 5:
		f.transfer(address)
	}
	f.sleep(3)
}

// sleep waits for a random time of up to the given number of election timeouts.
func (f *faultInjector) sleep(timeouts int64) {
	time.Sleep(time.Duration(f.random.Int64N(timeouts * int64(electionTimeout))))
}

func (f *faultInjector) restart(address string) {
	f.hosts.mu.Lock()
	f.cluster.kill(address)
	f.hosts.mu.Unlock()
	f.sleep(6)
	f.hosts.mu.Lock()
	f.cluster.start(address, testGroup)
	f.hosts.mu.Unlock()
}

func (f *faultInjector) cut(address string, cutOutgoing, cutIncoming bool) {
	f.cluster.network.isolate(address, f.cluster.addresses(), cutOutgoing, cutIncoming)
	f.sleep(6)
	f.cluster.network.isolate(address, f.cluster.addresses(), false, false)
}

func (f *faultInjector) pauseGroup(address string) {
	resume, err := f.cluster.nodes[address].host.PauseGroup(testGroup)
	assert.NilError(f.cluster.t, err)
	f.sleep(6)
	resume()
}

func (f *faultInjector) transfer(address string) {
	host := f.cluster.nodes[address].host
	ctx, cancel := context.WithTimeout(f.cluster.t.Context(), electionTimeout)
	defer cancel()
	// Fails on hosts that do not lead the group.
	_ = host.TransferLeadership(ctx, testGroup, f.random.Uint64N(3)+1)
	synctest.Wait()
}
