package statehost

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/leaderclient"
	"ibistray.example/ibistray/internal/routing"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/internal/wal/waltest"
	"ibistray.example/ibistray/proto/ledgerpb"
)

const (
	powerWindow = 4 * time.Millisecond // between an acknowledgement and the loss of power
	catchUp     = 4 * time.Second      // after which the next disk may be lost
	recovery    = 10 * time.Second     // after which all must be served again
	diskSync    = 5 * time.Millisecond // of a flush
	fastSync    = 100 * time.Microsecond
	callTimeout = 900 * time.Millisecond
)

var errDown = errors.New("host is down")

// cluster runs whole state hosts in virtual time, over connections in memory and disks
// that lose what was not flushed.
type cluster struct {
	t     *testing.T
	seeds []string

	mu    sync.Mutex
	nodes map[string]*node
	cut   map[string]bool // hosts whose connections carry nothing
}

// node is one state host, with what outlives its process.
type node struct {
	address string
	fs      *waltest.FS
	// syncTime is how long a flush takes.
	syncTime time.Duration
	dir      string // of files beside the log
	founds   bool

	host   *Host
	server *transport.Server
	pool   *transport.Pool
	gone   *atomic.Bool // of this process
}

// scenario is a test of state hosts. The first three hosts are the seeds.
type scenario struct {
	name  string
	hosts []string
	run   func(*testing.T, *cluster)
}

// TestStateUnderLoss runs all scenarios in one bubble of virtual time: yamux keeps its
// timers for the whole process.
func TestStateUnderLoss(t *testing.T) {
	three, four := []string{"a", "b", "c"}, []string{"a", "b", "c", "d"}
	scenarios := []scenario{
		{"open turns count over losses of power", three, budgetOverLossesOfPower},
		{"wipes in turn", three, wipesInTurn},
		{"replacement at another address", four, replacement},
		{"retirement with a wipe right after", four, retirement},
	}
	for _, victim := range three {
		for after := time.Duration(0); after <= powerWindow; after += time.Millisecond {
			name := fmt.Sprintf("loss of power of all after %s, fast disk at %s", after, victim)
			scenarios = append(scenarios, scenario{name, three, lossOfPowerOfAll(after, victim)})
		}
		scenarios = append(scenarios, scenario{"cut off: " + victim, three, cutOff(victim)})
	}
	root := t.TempDir()
	emptyPools()
	defer emptyPools()
	synctest.Test(t, func(t *testing.T) {
		for i, sc := range scenarios {
			t.Log("scenario:", sc.name)
			runCluster(t, filepath.Join(root, strconv.Itoa(i)), sc)
		}
	})
}

// emptyPools drops the timers that yamux keeps, which bubbles must not share: two
// collections do that.
func emptyPools() {
	runtime.GC()
	runtime.GC()
}

func runCluster(t *testing.T, root string, sc scenario) {
	c := &cluster{t: t, seeds: sc.hosts[:3], nodes: make(map[string]*node), cut: make(map[string]bool)}
	defer c.close()
	for _, address := range sc.hosts {
		dir := filepath.Join(root, address)
		assert.NilError(t, os.MkdirAll(dir, 0o700))
		c.nodes[address] = &node{address: address, fs: waltest.New(), syncTime: diskSync, dir: dir, founds: true}
	}
	for _, address := range sc.hosts {
		c.start(address)
	}
	sc.run(t, c)
}

// start starts the process of a host.
func (c *cluster) start(address string) {
	c.t.Helper()
	n := c.nodes[address]
	gone := new(atomic.Bool)
	n.fs.SetFault(waltest.Fault{SyncDelay: n.syncTime})
	n.pool = transport.NewPool(c.dialer(address, gone))
	began := time.Now()
	var err error
	n.host, err = New(Config{
		Name: "host-" + address, Address: address, FailureDomain: "domain-" + address, DataDir: n.dir,
		Bootstrap: n.founds, FaultTolerance: 1,
		Seeds:             func() []string { return c.seeds },
		DecodeRoutes:      decodeVersion,
		HeartbeatInterval: time.Second,
		FS:                n.fs,
		Clock:             func() time.Duration { return time.Since(began) },
	}, hclog.NewNullLogger(), prometheus.NewRegistry(), n.pool, func(error) {})
	assert.NilError(c.t, err)
	server := transport.NewServer(hclog.NewNullLogger())
	n.host.Register(server)
	c.mu.Lock()
	n.server, n.gone = server, gone
	c.mu.Unlock()
	n.host.Run()
}

// decodeVersion reads documents that consist of their version.
func decodeVersion(document []byte) (*routing.Document, error) {
	version, err := strconv.ParseUint(string(document), 10, 64)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", routing.ErrInvalid, err)
	}
	return &routing.Document{Version: version}, nil
}

// dialer connects a process to the others.
func (c *cluster) dialer(from string, gone *atomic.Bool) transport.DialFunc {
	return func(to string) (net.Conn, error) {
		c.mu.Lock()
		defer c.mu.Unlock()
		target := c.nodes[to]
		if target == nil || target.server == nil || gone.Load() {
			return nil, errDown
		}
		if c.cut[from] || c.cut[to] {
			return nil, errDown
		}
		near, far := net.Pipe()
		target.server.ServeConn(&wire{Conn: far, cluster: c, ends: [2]string{from, to}, gone: target.gone})
		return &wire{Conn: near, cluster: c, ends: [2]string{from, to}, gone: gone}, nil
	}
}

// wire drops what is written by a process without power or across a cut.
type wire struct {
	net.Conn
	cluster *cluster
	ends    [2]string
	gone    *atomic.Bool
}

func (w *wire) Write(p []byte) (int, error) {
	w.cluster.mu.Lock()
	drop := w.gone.Load() || w.cluster.cut[w.ends[0]] || w.cluster.cut[w.ends[1]]
	w.cluster.mu.Unlock()
	if drop {
		return len(p), nil
	}
	return w.Conn.Write(p)
}

// setCut cuts a host off, or joins it again.
func (c *cluster) setCut(address string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[address] = cut
}

// powerOff takes the power of hosts at one moment: nothing of them is sent, and
// their disks keep what was flushed.
func (c *cluster) powerOff(addresses ...string) {
	c.t.Helper()
	for _, address := range addresses {
		n := c.nodes[address]
		n.gone.Store(true)
		n.fs = n.fs.Crash(waltest.LoseUnsynced)
	}
	for _, address := range addresses {
		c.end(c.nodes[address])
	}
}

// end ends a process.
func (c *cluster) end(n *node) {
	c.t.Helper()
	c.mu.Lock()
	server := n.server
	n.server = nil
	c.mu.Unlock()
	if server == nil {
		return
	}
	n.pool.Close()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.NilError(c.t, n.host.Stop(ctx))
	server.Close()
	n.host = nil
}

// wipe takes the power and the disk of a host and starts it again without them.
func (c *cluster) wipe(address string) {
	c.t.Helper()
	c.powerOff(address)
	c.nodes[address].fs = waltest.New()
	c.nodes[address].founds = false
	c.start(address)
}

func (c *cluster) close() {
	for _, address := range c.addresses() {
		c.end(c.nodes[address])
	}
}

func (c *cluster) addresses() []string {
	return slices.Sorted(maps.Keys(c.nodes))
}

// ledgerCaller sends commands to the ledger.
type ledgerCaller struct {
	pool   *transport.Pool
	client *leaderclient.Client
	leader leaderclient.LeaderCache
}

// caller returns a client of the ledger that reaches all hosts.
func (c *cluster) caller() *ledgerCaller {
	pool := transport.NewPool(c.dialer("caller", new(atomic.Bool)))
	return &ledgerCaller{pool: pool, client: leaderclient.NewWithOptions(pool, leaderclient.Options{
		Addresses: c.addresses, AttemptTimeout: callTimeout, OnRetry: func(string) {}, SharedStream: true,
	})}
}

// do sends a command until it has an outcome or the time is over.
func (l *ledgerCaller) do(t *testing.T, limit time.Duration, cmd *ledgerpb.Command) (*ledgerpb.Response, error) {
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	resp := new(ledgerpb.Response)
	err := l.client.Call(ctx, &l.leader, transport.MethodLedger, 0, &ledgerpb.Request{Command: cmd}, resp)
	return resp, err
}

func beginCommand(call, program, previous string, most, budget uint64) *ledgerpb.Command {
	return &ledgerpb.Command{Kind: &ledgerpb.Command_Begin{Begin: &ledgerpb.Begin{
		CallId: call, Program: program, Previous: previous, MaxTokens: most, TokenBudget: budget, Limited: true,
	}}}
}

func keepCommand(call, program, previous string, tokens uint64) *ledgerpb.Command {
	return &ledgerpb.Command{Kind: &ledgerpb.Command_Finish{Finish: &ledgerpb.Finish{
		CallId: call, Program: program, Previous: previous, Tokens: tokens, Keep: true,
		Input: []byte("in " + call + "\n"), Output: []byte("out " + call + "\n"), RetentionMs: 60_000,
	}}}
}

// keepTurn runs one turn of a program to its end.
func (l *ledgerCaller) keepTurn(t *testing.T, call, program, previous string) {
	t.Helper()
	resp, err := l.do(t, recovery, beginCommand(call, program, previous, 10, 1000))
	assert.NilError(t, err)
	assert.Equal(t, resp.Outcome, ledgerpb.Outcome_OUTCOME_OK)
	resp, err = l.do(t, recovery, keepCommand(call, program, previous, 10))
	assert.NilError(t, err)
	assert.Equal(t, resp.Outcome, ledgerpb.Outcome_OUTCOME_OK)
}

// apply puts routes in force through any host.
func (c *cluster) apply(version int) {
	c.t.Helper()
	c.within("routes acknowledged", func() error {
		var err error
		for _, n := range c.running() {
			if err = n.host.ApplyRoutes(c.t.Context(), []byte(strconv.Itoa(version))); err == nil {
				return nil
			}
		}
		return err
	})
}

func (c *cluster) running() []*node {
	var list []*node
	for _, address := range c.addresses() {
		if n := c.nodes[address]; n.host != nil && !c.cut[address] {
			list = append(list, n)
		}
	}
	return list
}

// within tries until there is no error, for as long as a recovery may take.
func (c *cluster) within(what string, f func() error) {
	c.t.Helper()
	limit := time.Now().Add(recovery)
	for {
		err := f()
		if err == nil {
			return
		}
		if time.Now().After(limit) {
			c.t.Fatalf("%s: not within %s: %s", what, recovery, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// checkRoutes checks that each running host reads a version, or a newer one.
func (c *cluster) checkRoutes(version int) {
	c.t.Helper()
	for _, n := range c.running() {
		c.within("read at "+n.address, func() error {
			document, err := n.host.Routes(c.t.Context())
			if err != nil {
				return err
			}
			assert.Equal(c.t, string(document), strconv.Itoa(version))
			return nil
		})
	}
}

// lossOfPowerOfAll takes the power right after
// acknowledgements, at moments within the time of one flush. A leader whose own disk is
// much faster than the others must wait for them.
func lossOfPowerOfAll(after time.Duration, fast string) func(*testing.T, *cluster) {
	return func(t *testing.T, c *cluster) {
		c.nodes[fast].syncTime = fastSync
		c.nodes[fast].fs.SetFault(waltest.Fault{SyncDelay: fastSync})
		l := c.caller()
		defer l.pool.Close()
		previous := ""
		for round := 1; round <= 3; round++ {
			turn := fmt.Sprint("turn ", round)
			c.apply(round)
			l.keepTurn(t, turn, "p", previous)
			time.Sleep(after)
			c.powerOff(c.addresses()...)
			time.Sleep(time.Second)
			for _, address := range c.addresses() {
				c.start(address)
			}
			c.checkRoutes(round)
			resp, err := l.do(t, recovery, beginCommand(fmt.Sprint("next ", round), "q", turn, 1, 1000))
			assert.NilError(t, err)
			assert.Equal(t, len(resp.Chain), round)
			previous = turn
		}
	}
}

// budgetOverLossesOfPower takes the power while turns of a program are open.
func budgetOverLossesOfPower(t *testing.T, c *cluster) {
	l := c.caller()
	defer l.pool.Close()
	const budget, most = 100, 30
	granted := uint64(0)
	for i := range 8 {
		resp, err := l.do(t, recovery, beginCommand(fmt.Sprint("call ", i), "p", "", most, budget))
		assert.NilError(t, err)
		if resp.Outcome == ledgerpb.Outcome_OUTCOME_OK {
			granted += most
		}
		time.Sleep(time.Duration(i%5) * time.Millisecond)
		c.powerOff(c.addresses()...)
		for _, address := range c.addresses() {
			c.start(address)
		}
	}
	assert.Equal(t, granted, uint64(90))
}

// wipesInTurn wipes one host after the other, each as soon as the one
// before must have caught up.
func wipesInTurn(t *testing.T, c *cluster) {
	l := c.caller()
	defer l.pool.Close()
	previous := ""
	for round := 1; round <= 6; round++ {
		turn := fmt.Sprint("turn ", round)
		l.keepTurn(t, turn, "p", previous)
		c.apply(round)
		time.Sleep(powerWindow / 2)
		c.wipe(c.addresses()[round%3])
		time.Sleep(catchUp)
		previous = turn
	}
	c.checkRoutes(6)
	resp, err := l.do(t, recovery, beginCommand("next", "q", previous, 1, 10))
	assert.NilError(t, err)
	assert.Equal(t, len(resp.Chain), 6)
}

// replacement ends a host for good; an empty one takes its place,
// and then another one is lost with its disk.
func replacement(t *testing.T, c *cluster) {
	l := c.caller()
	defer l.pool.Close()
	time.Sleep(catchUp)
	l.keepTurn(t, "turn 1", "p", "")
	c.apply(1)
	c.powerOff("a")
	time.Sleep(lostAfter + catchUp)
	c.wipe("b")
	time.Sleep(catchUp)
	l.keepTurn(t, "turn 2", "p", "turn 1")
	c.apply(2)
	c.powerOff("c")
	c.checkRoutes(2)
	resp, err := l.do(t, recovery, beginCommand("next", "q", "turn 2", 1, 10))
	assert.NilError(t, err)
	assert.Equal(t, len(resp.Chain), 2)
}

// retirement empties a host, removes it at the moment at which
// it says so, and loses the disk of another one once the new one has caught up.
func retirement(t *testing.T, c *cluster) {
	l := c.caller()
	defer l.pool.Close()
	time.Sleep(catchUp)
	l.keepTurn(t, "turn", "p", "")
	c.apply(1)
	c.within("retirement accepted", func() error {
		return c.nodes["d"].host.StartRetirement(t.Context(), "host-a")
	})
	c.within("host emptied", func() error {
		done, err := c.nodes["d"].host.Retired(t.Context(), "host-a")
		if err == nil && !done {
			err = errors.New("still a member")
		}
		return err
	})
	c.powerOff("a")
	time.Sleep(powerWindow / 2)
	c.wipe("b")
	c.checkRoutes(1)
	time.Sleep(catchUp)
	c.powerOff("c")
	resp, err := l.do(t, recovery, beginCommand("next", "q", "turn", 1, 10))
	assert.NilError(t, err)
	assert.Equal(t, len(resp.Chain), 1)
}

// cutOff changes the routes while one host, the leader
// among them, is cut off: what it answers is the newest version or nothing.
func cutOff(victim string) func(*testing.T, *cluster) {
	return func(t *testing.T, c *cluster) {
		c.apply(1)
		c.checkRoutes(1)
		c.setCut(victim, true)
		c.apply(2)
		for range 20 {
			document, err := c.nodes[victim].host.Routes(t.Context())
			if err == nil {
				assert.Equal(t, string(document), "2")
			}
			time.Sleep(50 * time.Millisecond)
		}
		c.setCut(victim, false)
		c.apply(3)
		c.checkRoutes(3)
	}
}
