package pathbench

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

const (
	operatorKey = "benchmark-operator-key-0123456789"
	// Model is the model that the fake engines serve.
	Model = "bench-1b"
	// singleStepRate is a rate, in tokens per second, at which a fake engine produces
	// an answer in one step.
	singleStepRate = 1e9
	batchLimit     = 1024
	// cacheTokens is the cache capacity of a fake engine. It holds all programs of a
	// run, so that no call is refused for lack of memory.
	cacheTokens   = 1_000_000_000
	readyInterval = 50 * time.Millisecond
)

// Layout configures the processes of a Cluster.
type Layout struct {
	BinDir            string  // directory of the built binaries
	Dir               string  // directory for data and logs
	Control           int     // number of control processes
	Entries           int     // number of entry processes; 0: the control processes are entries too
	Engines           int     // number of fake engines, each with a sidecar
	ControlPerSidecar int     // number of control processes whose addresses a sidecar gets; 0: all
	Shards            int     // number of customer shards
	DecodeRate        float64 // tokens per second of one stream; 0: an answer in one step
}

// Cluster is a set of running processes on loopback that form a system.
type Cluster struct {
	Layout   Layout
	Control  []*Process
	Entries  []*Process // the same as Control if Layout.Entries is 0
	Sidecars []*Process
	Engines  []*Process

	ControlAddresses []string // addresses for connections between processes
	ControlURLs      []string // base URLs for HTTP; they serve the metrics
	EntryURLs        []string
	EngineURLs       []string
}

// Start starts the processes, and waits until each entry is ready and lists all
// engines. It kills the processes on an error.
func Start(ctx context.Context, layout Layout) (*Cluster, error) {
	c := &Cluster{Layout: layout}
	err := c.start(ctx)
	if err != nil {
		c.Kill()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context) error {
	if err := os.MkdirAll(c.Layout.Dir, 0o700); err != nil {
		return err
	}
	if err := os.WriteFile(c.keyFile(), []byte(operatorKey+"\n"), 0o600); err != nil {
		return err
	}
	for _, start := range []func() error{c.startControl, c.startEntries, c.startEngines} {
		if err := start(); err != nil {
			return err
		}
	}
	for _, baseURL := range c.EntryURLs {
		if err := waitReady(ctx, baseURL); err != nil {
			return err
		}
	}
	return c.waitServers(ctx)
}

func (c *Cluster) keyFile() string { return filepath.Join(c.Layout.Dir, "operator.key") }

func failureDomain(i int) string { return "fd-" + string(rune('a'+i%3)) }

func (c *Cluster) startControl() error {
	listenAddresses, err := freeAddresses(c.Layout.Control)
	if err != nil {
		return err
	}
	httpAddresses, err := freeAddresses(c.Layout.Control)
	if err != nil {
		return err
	}
	c.ControlAddresses = listenAddresses
	peers := make([]string, len(listenAddresses))
	for i, address := range listenAddresses {
		peers[i] = fmt.Sprintf("%d=%s@%s", i+1, address, failureDomain(i))
		c.ControlURLs = append(c.ControlURLs, "http://"+httpAddresses[i])
	}
	roles := "control"
	if c.Layout.Entries == 0 {
		roles = "entry,control"
		c.EntryURLs = c.ControlURLs
	}
	for i := range listenAddresses {
		name := "control-" + strconv.Itoa(i+1)
		args := append(c.commonArgs(name, roles, listenAddresses[i], httpAddresses[i], i),
			"--data-dir", filepath.Join(c.Layout.Dir, name),
			"--replica-id", strconv.Itoa(i+1),
			"--control-peers", strings.Join(peers, ","),
			"--control", strings.Join(c.ControlAddresses, ","))
		if c.Layout.Entries == 0 {
			args = append(args, "--operator-key-file", c.keyFile())
		}
		p, err := c.startDaemon(name, args)
		if err != nil {
			return err
		}
		c.Control = append(c.Control, p)
	}
	if c.Layout.Entries == 0 {
		c.Entries = c.Control
	}
	return nil
}

func (c *Cluster) startEntries() error {
	for i := range c.Layout.Entries {
		addresses, err := freeAddresses(2)
		if err != nil {
			return err
		}
		name := "entry-" + strconv.Itoa(i+1)
		args := append(c.commonArgs(name, "entry", addresses[0], addresses[1], i),
			"--operator-key-file", c.keyFile(),
			"--control", strings.Join(c.ControlAddresses, ","))
		p, err := c.startDaemon(name, args)
		if err != nil {
			return err
		}
		c.Entries = append(c.Entries, p)
		c.EntryURLs = append(c.EntryURLs, "http://"+addresses[1])
	}
	return nil
}

func (c *Cluster) startEngines() error {
	for i := range c.Layout.Engines {
		addresses, err := freeAddresses(3)
		if err != nil {
			return err
		}
		if err := c.startEngineWithSidecar(i, addresses); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) startEngineWithSidecar(i int, addresses []string) error {
	rate := c.Layout.DecodeRate
	if rate == 0 {
		rate = singleStepRate
	}
	name := "engine-" + strconv.Itoa(i+1)
	engine, err := startProcess(c.Layout.Dir, name, filepath.Join(c.Layout.BinDir, "fakebackend"), []string{
		"--listen", addresses[0],
		"--models", Model,
		"--batch-limit", strconv.Itoa(batchLimit),
		"--decode-rate", strconv.FormatFloat(rate, 'f', -1, 64),
		"--prefill-rate", strconv.FormatFloat(singleStepRate, 'f', -1, 64),
		"--cache-tokens", strconv.Itoa(cacheTokens),
	})
	if err != nil {
		return err
	}
	url := "http://" + addresses[0]
	c.Engines = append(c.Engines, engine)
	c.EngineURLs = append(c.EngineURLs, url)
	sidecar := name + "-sidecar"
	args := append(c.commonArgs(sidecar, "sidecar", addresses[1], addresses[2], i),
		"--server-id", name,
		"--backend-url", url,
		"--backend-kind", "engine",
		"--models", Model,
		"--max-running", strconv.Itoa(batchLimit))
	args = append(args, "--control", strings.Join(c.sidecarControlAddresses(), ","))
	p, err := c.startDaemon(sidecar, args)
	if err != nil {
		return err
	}
	c.Sidecars = append(c.Sidecars, p)
	return nil
}

// commonArgs returns the arguments that all roles have. The index determines the
// failure domain.
func (c *Cluster) commonArgs(name, roles, listenAddress, httpAddress string, index int) []string {
	return []string{
		"--roles", roles,
		"--node-id", name,
		"--listen", listenAddress,
		"--http", httpAddress,
		"--failure-domain", failureDomain(index),
		"--log-level", "warn",
		"--shards", strconv.Itoa(c.Layout.Shards),
	}
}

// sidecarControlAddresses returns the addresses of the control processes that a
// sidecar gets.
func (c *Cluster) sidecarControlAddresses() []string {
	if c.Layout.ControlPerSidecar == 0 {
		return c.ControlAddresses
	}
	return c.ControlAddresses[:c.Layout.ControlPerSidecar]
}

func (c *Cluster) startDaemon(name string, args []string) (*Process, error) {
	return startProcess(c.Layout.Dir, name, filepath.Join(c.Layout.BinDir, "ibistrayd"), args)
}

// Kill kills all processes without a graceful stop.
func (c *Cluster) Kill() {
	for _, p := range c.processes() {
		p.Kill()
	}
}

// Stop terminates the processes, and kills those that haven't exited after
// stopTimeout.
func (c *Cluster) Stop() {
	all := c.processes()
	for _, p := range all {
		p.terminate()
	}
	timeout := time.After(stopTimeout)
	for _, p := range all {
		p.waitOrKill(timeout)
	}
}

func (c *Cluster) processes() []*Process {
	all := append([]*Process{}, c.Control...)
	if c.Layout.Entries > 0 {
		all = append(all, c.Entries...)
	}
	all = append(all, c.Sidecars...)
	return append(all, c.Engines...)
}

// SumUsage returns the sum of the usage of processes. Processes whose usage can't be
// read count as zero and are named in the error.
func SumUsage(processes []*Process) (Usage, error) {
	var sum Usage
	var errs []error
	for _, p := range processes {
		u, err := p.Usage()
		errs = append(errs, err)
		sum = sum.Add(u)
	}
	return sum, errors.Join(errs...)
}

// freeAddresses returns n loopback addresses with unused ports.
func freeAddresses(n int) ([]string, error) {
	addresses := make([]string, 0, n)
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("find a free port: %w", err)
		}
		// The listeners stay open until all addresses are allocated, so that no
		// address is returned twice.
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}
