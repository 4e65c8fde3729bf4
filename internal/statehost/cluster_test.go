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
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/routing"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/internal/wal/waltest"
	"ibistray.example/ibistray/proto/ledgerpb"
)

const (
	maxPowerLossDelay = 4 * time.Millisecond // longest time from an acknowledgement to the power failure
	catchUpDelay      = 4 * time.Second      // time after which the next disk may be lost
	recoveryTimeout   = 10 * time.Second     // time within which all requests must succeed again
	defaultSyncDelay  = 5 * time.Millisecond // duration of an fsync
	fastSyncDelay     = 100 * time.Microsecond
	callTimeout       = 900 * time.Millisecond

	standbyPrefix = "standby" // of the addresses of standby hosts
	latePrefix    = "late"    // of the addresses of hosts that a scenario starts
)

var errDown = errors.New("host is down")

// cluster runs complete state hosts in virtual time, over in-memory connections and on
// disks that lose unsynced data in a power failure.
type cluster struct {
	t     *testing.T
	seeds []string

	mu       sync.Mutex
	nodes    map[string]*node
	isolated map[string]bool // hosts whose connections drop all data
	cut      [2]string       // two hosts whose connections to each other drop all data
}

// node is one state host with its disk, which outlives the process.
type node struct {
	address   string
	fs        *waltest.FS
	syncDelay time.Duration // duration of an fsync
	dir       string        // for the files outside of the log
	bootstrap bool
	standby   bool
	clockStep atomic.Int64 // of the time of day, in nanoseconds

	host       *Host
	registry   *prometheus.Registry
	server     *transport.Server
	pool       *transport.Pool
	poweredOff *atomic.Bool // of the current process
}

// scenario is one test run of a cluster. The first three hosts are the seeds.
type scenario struct {
	name  string
	hosts []string
	run   func(*testing.T, *cluster)
}

// TestStateSurvivesFailures runs scenarios of power failures, lost disks, partitions and
// retirements, and checks that no acknowledged change is lost. All scenarios share one
// synctest bubble, because yamux pools its timers for the whole process.
func TestStateSurvivesFailures(t *testing.T) {
	three, four := []string{"a", "b", "c"}, []string{"a", "b", "c", "d"}
	scenarios := []scenario{
		{"open turns count against the budget after power failures", three, budgetSurvivesPowerLosses},
		{"disk losses in turn", three, diskLossesInTurn},
		{"disk loss right after the start, another host isolated", three, diskLossAtTheStart},
		{"seeds that begin anew, the other one is isolated later", []string{"a", "b", "c", "standby"}, seedsBeginAnew},
		{"replacement by a host at another address", four, hostReplacement},
		{"retirement and a disk loss right after", four, hostRetirement},
		{"retirement without a spare host", []string{"a", "b", "c", "standby"}, hostRetirement},
		{"replacement during a retirement", []string{"a", "b", "c", "standby", "late"}, replacementDuringRetirement},
		{"standby hosts found the groups", []string{"standby-1", "standby-2", "standby-3", "a", "b", "c"}, foundedByStandbyHosts},
		{"change of the routes while their leader is frozen", three, routesWhileLeaderIsFrozen},
		{"heartbeats travel once", four, heartbeatsTravelOnce},
		{"heartbeats reach a host that is cut off from their receiver", four, heartbeatsReachCutOffHost},
		{"reports of servers whose names are unreadable", three, unreadableServerIDs},
		{"more servers than one update carries", three, manyServers},
		{"change that is sent again", three, resentRoutes},
		{"defective routes of an earlier build", three, defectiveRoutesInForce},
		{"chain that is too long for one message", three, longChainIsContinued},
		{"steps of the time of day", three, stepsOfTheTimeOfDay},
	}
	for _, victim := range three {
		for delay := time.Duration(0); delay <= maxPowerLossDelay; delay += time.Millisecond {
			name := fmt.Sprintf("power failure of all hosts after %s, fast disk at %s", delay, victim)
			scenarios = append(scenarios, scenario{name, three, powerLossOfAllHosts(delay, victim)})
		}
		scenarios = append(scenarios, scenario{"isolated host: " + victim, three, routesAtIsolatedHost(victim)})
	}
	root := t.TempDir()
	emptyTimerPools()
	defer emptyTimerPools()
	synctest.Test(t, func(t *testing.T) {
		for i, sc := range scenarios {
			t.Log("scenario:", sc.name)
			runCluster(t, filepath.Join(root, strconv.Itoa(i)), sc)
		}
	})
}

// emptyTimerPools removes the timers from the pools of yamux, because synctest bubbles must
// not share timers. A sync.Pool is empty after two garbage collections.
func emptyTimerPools() {
	runtime.GC()
	runtime.GC()
}

func runCluster(t *testing.T, root string, sc scenario) {
	c := &cluster{t: t, seeds: sc.hosts[:3], nodes: make(map[string]*node), isolated: make(map[string]bool)}
	defer c.close()
	for _, address := range sc.hosts {
		dir := filepath.Join(root, address)
		assert.NilError(t, os.MkdirAll(dir, 0o700))
		c.nodes[address] = &node{
			address: address, fs: waltest.New(), syncDelay: defaultSyncDelay, dir: dir,
			bootstrap: true, standby: strings.HasPrefix(address, standbyPrefix),
		}
	}
	for _, address := range sc.hosts {
		if !strings.HasPrefix(address, latePrefix) {
			c.start(address)
		}
	}
	sc.run(t, c)
}

// start starts the process of a host with its current disk.
func (c *cluster) start(address string) {
	c.t.Helper()
	n := c.nodes[address]
	poweredOff := new(atomic.Bool)
	n.fs.SetFault(waltest.Fault{SyncDelay: n.syncDelay})
	n.pool = transport.NewPool(c.dialer(address, poweredOff))
	n.registry = prometheus.NewRegistry()
	startedAt := time.Now()
	var err error
	n.host, err = New(Config{
		Name: "host-" + address, Address: address, FailureDomain: "domain-" + address, DataDir: n.dir,
		Bootstrap: n.bootstrap, FaultTolerance: 1, Standby: n.standby,
		Seeds:             func() []string { return c.seeds },
		DecodeRoutes:      decodeVersion,
		HeartbeatInterval: time.Second,
		FS:                n.fs,
		Clock:             func() time.Duration { return time.Since(startedAt) },
		ProcessAge:        func() time.Duration { return time.Since(startedAt) },
		TimeOfDay:         func() time.Time { return time.Now().Add(time.Duration(n.clockStep.Load())) },
	}, hclog.NewNullLogger(), n.registry, n.pool, func(error) {})
	assert.NilError(c.t, err)
	server := transport.NewServer(hclog.NewNullLogger())
	n.host.Register(server)
	c.mu.Lock()
	n.server, n.poweredOff = server, poweredOff
	c.mu.Unlock()
	n.host.Run()
}

// decodeVersion decodes documents that consist of their version and, if they have a defect, of
// defectMark.
func decodeVersion(document []byte) (*routing.Document, error) {
	text, defective := strings.CutSuffix(string(document), defectMark)
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", routing.ErrInvalid, err)
	}
	doc := &routing.Document{Version: version}
	if defective {
		doc.Defect = fmt.Errorf("%w: it has a mark", routing.ErrInvalid)
	}
	return doc, nil
}

// dialer returns the dial function of a process. It fails while a host is down or isolated.
func (c *cluster) dialer(from string, poweredOff *atomic.Bool) transport.DialFunc {
	return func(to string) (net.Conn, error) {
		c.mu.Lock()
		defer c.mu.Unlock()
		target := c.nodes[to]
		if target == nil || target.server == nil || poweredOff.Load() {
			return nil, errDown
		}
		if c.separated(from, to) {
			return nil, errDown
		}
		near, far := net.Pipe()
		target.server.ServeConn(&droppingConn{Conn: far, cluster: c, endpoints: [2]string{from, to}, poweredOff: target.poweredOff})
		return &droppingConn{Conn: near, cluster: c, endpoints: [2]string{from, to}, poweredOff: poweredOff}, nil
	}
}

// droppingConn drops writes after a power failure of its process or while a host is isolated.
type droppingConn struct {
	net.Conn
	cluster    *cluster
	endpoints  [2]string
	poweredOff *atomic.Bool
}

func (d *droppingConn) Write(p []byte) (int, error) {
	d.cluster.mu.Lock()
	drop := d.poweredOff.Load() || d.cluster.separated(d.endpoints[0], d.endpoints[1])
	d.cluster.mu.Unlock()
	if drop {
		return len(p), nil
	}
	return d.Conn.Write(p)
}

// setIsolated isolates a host from all others, or reconnects it.
func (c *cluster) setIsolated(address string, isolated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isolated[address] = isolated
}

// powerOff powers off hosts at the same moment: they send nothing more, and their disks
// keep only the synced data.
func (c *cluster) powerOff(addresses ...string) {
	c.t.Helper()
	for _, address := range addresses {
		n := c.nodes[address]
		n.poweredOff.Store(true)
		n.fs = n.fs.Crash(waltest.LoseUnsynced)
	}
	for _, address := range addresses {
		c.stop(c.nodes[address])
	}
}

// stop stops the process of a host, if it runs.
func (c *cluster) stop(n *node) {
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

// replaceDisk powers off a host and starts it again with an empty disk.
func (c *cluster) replaceDisk(address string) {
	c.t.Helper()
	c.powerOff(address)
	c.nodes[address].fs = waltest.New()
	c.nodes[address].bootstrap = false
	c.start(address)
}

func (c *cluster) close() {
	for _, address := range c.addresses() {
		c.stop(c.nodes[address])
	}
}

func (c *cluster) addresses() []string {
	return slices.Sorted(maps.Keys(c.nodes))
}

// applyRoutes puts a version of the routes in force through any running host.
func (c *cluster) applyRoutes(version int) {
	c.t.Helper()
	c.eventually("apply routes", func() error {
		var err error
		for _, n := range c.runningNodes() {
			if err = n.host.ApplyRoutes(c.t.Context(), []byte(strconv.Itoa(version))); err == nil {
				return nil
			}
		}
		return err
	})
}

// runningNodes returns the nodes that run and are not isolated.
func (c *cluster) runningNodes() []*node {
	var list []*node
	for _, address := range c.addresses() {
		if n := c.nodes[address]; n.host != nil && !c.isolated[address] {
			list = append(list, n)
		}
	}
	return list
}

// eventually retries f until it returns no error, and fails the test after recoveryTimeout.
func (c *cluster) eventually(what string, f func() error) {
	c.t.Helper()
	limit := time.Now().Add(recoveryTimeout)
	for {
		err := f()
		if err == nil {
			return
		}
		if time.Now().After(limit) {
			c.t.Fatalf("%s: not done within %s: %s", what, recoveryTimeout, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// checkRoutes checks that each running host returns this version of the routes.
func (c *cluster) checkRoutes(version int) {
	c.t.Helper()
	for _, n := range c.runningNodes() {
		c.eventually("read routes at "+n.address, func() error {
			document, err := n.host.Routes(c.t.Context())
			if err != nil {
				return err
			}
			assert.Equal(c.t, string(document), strconv.Itoa(version))
			return nil
		})
	}
}

// powerLossOfAllHosts powers off all hosts shortly after an acknowledgement, within the
// duration of one fsync. A leader with a much faster disk than the other hosts must not
// acknowledge before a quorum has synced.
func powerLossOfAllHosts(delay time.Duration, fast string) func(*testing.T, *cluster) {
	return func(t *testing.T, c *cluster) {
		c.nodes[fast].syncDelay = fastSyncDelay
		c.nodes[fast].fs.SetFault(waltest.Fault{SyncDelay: fastSyncDelay})
		l := c.caller()
		defer l.pool.Close()
		previous := ""
		for round := 1; round <= 3; round++ {
			turn := fmt.Sprint("turn ", round)
			c.applyRoutes(round)
			l.keepTurn(t, turn, "p", previous)
			time.Sleep(delay)
			c.powerOff(c.addresses()...)
			time.Sleep(time.Second)
			for _, address := range c.addresses() {
				c.start(address)
			}
			c.checkRoutes(round)
			resp, err := l.call(t, recoveryTimeout, beginCommand(fmt.Sprint("next ", round), "q", turn, 1, 1000))
			assert.NilError(t, err)
			assert.Equal(t, len(resp.Chain), round)
			previous = turn
		}
	}
}

// budgetSurvivesPowerLosses powers off all hosts while turns of a program are open. The
// tokens that they reserved must still count against the budget.
func budgetSurvivesPowerLosses(t *testing.T, c *cluster) {
	l := c.caller()
	defer l.pool.Close()
	const budget, maxTokens = 100, 30
	granted := uint64(0)
	for i := range 8 {
		resp, err := l.call(t, recoveryTimeout, beginCommand(fmt.Sprint("call ", i), "p", "", maxTokens, budget))
		assert.NilError(t, err)
		if resp.Outcome == ledgerpb.Outcome_OUTCOME_OK {
			granted += maxTokens
		}
		time.Sleep(time.Duration(i%5) * time.Millisecond)
		c.powerOff(c.addresses()...)
		for _, address := range c.addresses() {
			c.start(address)
		}
	}
	assert.Equal(t, granted, uint64(90))
}

// diskLossesInTurn replaces the disk of one host after the other, with time to catch up.
func diskLossesInTurn(t *testing.T, c *cluster) {
	l := c.caller()
	defer l.pool.Close()
	previous := ""
	for round := 1; round <= 6; round++ {
		turn := fmt.Sprint("turn ", round)
		l.keepTurn(t, turn, "p", previous)
		c.applyRoutes(round)
		time.Sleep(maxPowerLossDelay / 2)
		c.replaceDisk(c.addresses()[round%3])
		time.Sleep(catchUpDelay)
		previous = turn
	}
	c.checkRoutes(6)
	l.checkChain(t, previous, 6)
}

// hostReplacement powers off a host for good. A spare host must take its place, so that
// the loss of another disk and then of another host loses nothing.
func hostReplacement(t *testing.T, c *cluster) {
	l := c.caller()
	defer l.pool.Close()
	l.keepFirstState(t, c)
	c.powerOff("a")
	time.Sleep(hostLossTimeout + catchUpDelay)
	c.replaceDisk("b")
	time.Sleep(catchUpDelay)
	l.keepTurn(t, "turn 2", "p", "turn 1")
	c.applyRoutes(2)
	c.powerOff("c")
	c.checkRoutes(2)
	l.checkChain(t, "turn 2", 2)
}

// routesAtIsolatedHost changes the routes while one host is isolated, which may be the
// leader. The isolated host must return the newest version or an error, never an older one.
func routesAtIsolatedHost(victim string) func(*testing.T, *cluster) {
	return func(t *testing.T, c *cluster) {
		c.applyRoutes(1)
		c.checkRoutes(1)
		c.setIsolated(victim, true)
		c.applyRoutes(2)
		for range 20 {
			document, err := c.nodes[victim].host.Routes(t.Context())
			if err == nil {
				assert.Equal(t, string(document), "2")
			}
			time.Sleep(50 * time.Millisecond)
		}
		c.setIsolated(victim, false)
		c.applyRoutes(3)
		c.checkRoutes(3)
	}
}
