package hosted

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/leaderclient"
	"ibistray.example/ibistray/internal/routing"
	"ibistray.example/ibistray/internal/statehost"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/internal/wal/waltest"
	"ibistray.example/ibistray/proto/ledgerpb"
)

const (
	changeTimeout   = 4 * time.Second  // within which a change must be acknowledged while all disks have room
	recoveryTimeout = 12 * time.Second // within which it must be while the disk of one host is full
	callTimeout     = 900 * time.Millisecond
	storeDisk       = 370 << 20
	standbyDisk     = 64 << 20
)

// stateHost is a state host that runs as its process runs it, with a disk that can be full.
type stateHost struct {
	address string
	dir     string // for the files outside of the log
	fs      *waltest.FS
	host    atomic.Pointer[statehost.Host] // as of the last opening
	stop    chan struct{}
	ended   chan error
}

// deployment is three stores and three standby hosts on loopback.
type deployment struct {
	t       *testing.T
	hosts   []*stateHost
	version int
	random  *rand.Rand
	calls   atomic.Int64 // calls of the ledger that were acknowledged
}

func startDeployment(t *testing.T, seed uint64) *deployment {
	d := &deployment{t: t, random: rand.New(rand.NewPCG(seed, 0))}
	for range 6 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		d.hosts = append(d.hosts, &stateHost{address: listener.Addr().String(), dir: t.TempDir(), fs: waltest.New()})
		defer listener.Close()
	}
	return d
}

// run starts the process of a host.
func (d *deployment) run(i int) {
	h := d.hosts[i]
	h.stop, h.ended = make(chan struct{}), make(chan error, 1)
	standby := i >= 3
	disk := int64(storeDisk)
	if standby {
		disk = standbyDisk
	}
	cfg := statehost.Config{
		Name: fmt.Sprint("host-", i), Address: h.address, FailureDomain: fmt.Sprint("domain-", i%3), DataDir: h.dir,
		Bootstrap: true, FaultTolerance: 1, Standby: standby, DiskBytes: disk, FS: h.fs,
		DecodeRoutes: decodeVersion, HeartbeatInterval: time.Second,
	}
	var seeds []string
	for _, other := range d.hosts[:3] {
		seeds = append(seeds, other.address)
	}
	opts := Options{Logger: hclog.NewNullLogger(), Seeds: NewSeeds(seeds), GracePeriod: 2 * time.Second}
	handler := func(host *statehost.Host) http.Handler {
		h.host.Store(host)
		return http.NotFoundHandler()
	}
	go func() {
		h.ended <- RunStateHost(cfg, Addresses{Control: "127.0.0.1:0", Peers: h.address}, handler, opts, h.stop)
	}()
}

// restart stops the process of a host and starts it again.
func (d *deployment) restart(i int) {
	close(d.hosts[i].stop)
	assert.NilError(d.t, <-d.hosts[i].ended)
	d.run(i)
}

func (d *deployment) close() {
	for _, h := range d.hosts {
		h.fs.SetFault(waltest.Fault{})
		close(h.stop)
	}
	for _, h := range d.hosts {
		if err := <-h.ended; err != nil {
			d.t.Errorf("the process of %s ended: %v", h.address, err)
		}
	}
}

// decodeVersion decodes documents that begin with their version.
func decodeVersion(document []byte) (*routing.Document, error) {
	text, _, _ := strings.Cut(string(document), " ")
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", routing.ErrInvalid, err)
	}
	return &routing.Document{Version: version}, nil
}

// change puts a new version of the routes in force, through one host after the other.
func (d *deployment) change(size int, limit time.Duration) error {
	d.version++
	document := []byte(fmt.Sprint(d.version, " ", strings.Repeat("r", size)))
	return d.untilAnswered(limit, func(ctx context.Context, h *statehost.Host) error { return h.ApplyRoutes(ctx, document) })
}

func (d *deployment) untilAnswered(limit time.Duration, request func(context.Context, *statehost.Host) error) error {
	ctx, cancel := context.WithTimeout(d.t.Context(), limit)
	defer cancel()
	var errs []error
	for i := d.random.IntN(3); ctx.Err() == nil; i++ {
		host := d.hosts[i%len(d.hosts)].host.Load()
		if host == nil {
			continue
		}
		err := request(ctx, host)
		if err == nil {
			return nil
		}
		errs = append(errs, err)
		time.Sleep(20 * time.Millisecond)
	}
	return errors.Join(errs[max(0, len(errs)-6):]...)
}

// load keeps turns of programs in the ledger until the context ends.
func (d *deployment) load(ctx context.Context, worker int) {
	pool := transport.NewPool(transport.DialTCPTimeout(peerDialTimeout))
	defer pool.Close()
	var leader leaderclient.LeaderCache
	client := leaderclient.NewWithOptions(pool, leaderclient.Options{
		Addresses: func() []string {
			var list []string
			for _, h := range d.hosts {
				list = append(list, h.address)
			}
			return list
		}, AttemptTimeout: callTimeout, OnRetry: func(string) {}, SharedStream: true,
	})
	random := rand.New(rand.NewPCG(uint64(worker), 7))
	for i := 0; ctx.Err() == nil; i++ {
		call := fmt.Sprint("call ", worker, " ", i)
		body := make([]byte, 1<<10+random.IntN(48<<10))
		for _, cmd := range []*ledgerpb.Command{
			{Kind: &ledgerpb.Command_Begin{Begin: &ledgerpb.Begin{CallId: call, Program: call, MaxTokens: 1, TokenBudget: 1000, Limited: true}}},
			{Kind: &ledgerpb.Command_Finish{Finish: &ledgerpb.Finish{CallId: call, Program: call, Tokens: 1, Keep: true, Input: body, Output: body[:100], RetentionMs: 20_000}}},
		} {
			callCtx, cancel := context.WithTimeout(ctx, 3*time.Second)
			err := client.Call(callCtx, &leader, transport.MethodLedger, 0, &ledgerpb.Request{Command: cmd}, new(ledgerpb.Response))
			cancel()
			if err == nil {
				d.calls.Add(1)
			}
		}
		time.Sleep(time.Duration(random.IntN(10)) * time.Millisecond)
	}
}

// randomFault returns a way in which a disk is full.
func (d *deployment) randomFault(h *stateHost) waltest.Fault {
	switch d.random.IntN(7) {
	case 0:
		return waltest.Fault{Full: waltest.OpWrite}
	case 1:
		return waltest.Fault{Full: waltest.OpCreate | waltest.OpWrite}
	case 2:
		return waltest.Fault{Full: waltest.OpSync}
	case 3:
		return waltest.Fault{Full: waltest.OpRename}
	case 4:
		return waltest.Fault{Capacity: h.fs.Used() + d.random.IntN(3<<20)}
	case 5:
		return waltest.Fault{FullAfterRename: ".snap"}
	}
	return waltest.Fault{NoSpace: true}
}

// order returns the hosts in the order in which their disks fill up: the stores in random order,
// sometimes twice, and sometimes a standby host, too.
func (d *deployment) order() []int {
	list := d.random.Perm(3)
	if d.random.IntN(3) == 0 {
		list = append(list, d.random.Perm(3)...)
	}
	if d.random.IntN(2) == 0 {
		list = append(list, 3+d.random.IntN(3))
	}
	return list
}

// Environment variables for longer runs.
const (
	seedEnvVar   = "IBISTRAY_DISKS_SEED"
	roundsEnvVar = "IBISTRAY_DISKS_ROUNDS"
)

func envInt(t *testing.T, name string, value int) int {
	if text := os.Getenv(name); text != "" {
		n, err := strconv.Atoi(text)
		assert.NilError(t, err)
		return n
	}
	return value
}

// TestChangesAfterDisksWereFullInTurn fills the disks of the hosts one after the other, beside
// changes and turns. Once the last one has room, changes must be acknowledged and reads answered.
func TestChangesAfterDisksWereFullInTurn(t *testing.T) {
	seed := envInt(t, seedEnvVar, 1)
	d := startDeployment(t, uint64(seed))
	for i := range d.hosts {
		d.run(i)
	}
	defer d.close()
	assert.NilError(t, d.change(10, recoveryTimeout))
	ctx, cancel := context.WithCancel(t.Context())
	var load sync.WaitGroup
	defer load.Wait()
	defer cancel()
	for worker := range 4 {
		load.Go(func() { d.load(ctx, worker) })
	}
	for round := range envInt(t, roundsEnvVar, 1) {
		order := d.order()
		slowest := time.Duration(0)
		for _, i := range order {
			slowest = max(slowest, d.fillDisk(i))
		}
		t.Logf("seed %d, round %d, order %v: slowest change %s, %d turns", seed, round, order, slowest, d.calls.Load())
		for range 5 {
			assert.NilError(t, d.change(100, changeTimeout), "seed %d, round %d, order %v", seed, round, order)
		}
		before := d.calls.Load()
		for end := time.Now().Add(changeTimeout); d.calls.Load() == before; time.Sleep(10 * time.Millisecond) {
			assert.Assert(t, time.Now().Before(end), "seed %d, round %d, order %v: no turn is kept", seed, round, order)
		}
	}
	for i, h := range d.hosts {
		d.checkRoutes(i, h)
	}
}

// TestHostsAreBackAfterSeveralFullDisks fills the disks of two of the three stores in turn, for a second
// each and several times. Pauses that grow with each time leave the third one without a quorum long
// after both have room.
func TestHostsAreBackAfterSeveralFullDisks(t *testing.T) {
	d := startDeployment(t, 1)
	for i := range d.hosts {
		d.run(i)
	}
	defer d.close()
	assert.NilError(t, d.change(10, recoveryTimeout))
	ctx, cancel := context.WithCancel(t.Context())
	var load sync.WaitGroup
	defer load.Wait()
	defer cancel()
	load.Go(func() { d.load(ctx, 0) })
	for range 5 {
		for i, h := range d.hosts[:2] {
			d.checkRoutes(i, h)
			h.fs.SetFault(waltest.Fault{NoSpace: true})
			time.Sleep(time.Second)
			h.fs.SetFault(waltest.Fault{})
		}
	}
	assert.NilError(t, d.change(100, changeTimeout))
}

// fillDisk fills the disk of a host for a few seconds, beside changes, and returns the longest
// time that a change took.
func (d *deployment) fillDisk(i int) time.Duration {
	h := d.hosts[i]
	fault := d.randomFault(h)
	h.fs.SetFault(fault)
	defer time.Sleep(time.Duration(d.random.IntN(600)) * time.Millisecond)
	defer h.fs.SetFault(waltest.Fault{})
	if d.random.IntN(4) == 0 {
		d.restart(i)
	}
	slowest := time.Duration(0)
	end := time.Now().Add(time.Duration(300+d.random.IntN(2500)) * time.Millisecond)
	for time.Now().Before(end) {
		began := time.Now()
		assert.NilError(d.t, d.change(1<<d.random.IntN(20), recoveryTimeout), "host %d, %+v", i, fault)
		slowest = max(slowest, time.Since(began))
		time.Sleep(time.Duration(d.random.IntN(200)) * time.Millisecond)
	}
	return slowest
}

// checkRoutes checks that a host answers reads with the newest version.
func (d *deployment) checkRoutes(i int, h *stateHost) {
	var document []byte
	var err error
	for end := time.Now().Add(recoveryTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if document, err = h.host.Load().Routes(d.t.Context()); err == nil {
			break
		}
	}
	assert.NilError(d.t, err, "host %d", i)
	version, _, _ := strings.Cut(string(document), " ")
	assert.Equal(d.t, version, strconv.Itoa(d.version), "host %d", i)
}
