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
	// fastRate makes the fake engine produce an answer in one step.
	fastRate   = 1e9
	batchLimit = 1024
	// cacheTokens is enough for all programs of a run, so that none is refused
	// because an engine has no memory left.
	cacheTokens   = 1_000_000_000
	readyInterval = 50 * time.Millisecond
)

// Layout is the processes of a cluster.
type Layout struct {
	BinDir            string  // folder of the built programs
	Dir               string  // folder for data and logs
	Control           int     // control processes
	Entries           int     // entry processes; 0: the control processes are entries too
	Engines           int     // fake engines, each with a sidecar
	ControlPerSidecar int     // control processes that a sidecar knows; 0: all
	Shards            int     // customer shards
	DecodeRate        float64 // tokens a second of one stream; 0: an answer in one step
}

// Cluster is a running system.
type Cluster struct {
	Layout   Layout
	Control  []*Process
	Entries  []*Process // the control processes when those are entries too
	Sidecars []*Process
	Engines  []*Process

	ControlAddresses []string // between processes
	ControlURLs      []string // HTTP, for metrics
	EntryURLs        []string
	EngineURLs       []string
}

// Start starts the processes and waits until each entry is ready.
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
	for _, base := range c.EntryURLs {
		if err := waitReady(ctx, base); err != nil {
			return err
		}
	}
	return c.waitServers(ctx)
}

func (c *Cluster) keyFile() string { return filepath.Join(c.Layout.Dir, "operator.key") }

func failureDomain(i int) string { return "fd-" + string(rune('a'+i%3)) }

func (c *Cluster) startControl() error {
	listen, err := freeAddresses(c.Layout.Control)
	if err != nil {
		return err
	}
	http, err := freeAddresses(c.Layout.Control)
	if err != nil {
		return err
	}
	c.ControlAddresses = listen
	peers := make([]string, len(listen))
	for i, address := range listen {
		peers[i] = fmt.Sprintf("%d=%s@%s", i+1, address, failureDomain(i))
		c.ControlURLs = append(c.ControlURLs, "http://"+http[i])
	}
	roles := "control"
	if c.Layout.Entries == 0 {
		roles = "entry,control"
		c.EntryURLs = c.ControlURLs
	}
	for i := range listen {
		name := "control-" + strconv.Itoa(i+1)
		args := append(c.common(name, roles, listen[i], http[i], i),
			"--data-dir", filepath.Join(c.Layout.Dir, name),
			"--replica-id", strconv.Itoa(i+1),
			"--control-peers", strings.Join(peers, ","),
			"--control", strings.Join(c.ControlAddresses, ","))
		if c.Layout.Entries == 0 {
			args = append(args, "--operator-key-file", c.keyFile())
		}
		p, err := c.daemon(name, args)
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
		args := append(c.common(name, "entry", addresses[0], addresses[1], i),
			"--operator-key-file", c.keyFile(),
			"--control", strings.Join(c.ControlAddresses, ","))
		p, err := c.daemon(name, args)
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
		if err := c.startEngine(i, addresses); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) startEngine(i int, addresses []string) error {
	rate := c.Layout.DecodeRate
	if rate == 0 {
		rate = fastRate
	}
	name := "engine-" + strconv.Itoa(i+1)
	engine, err := startProcess(c.Layout.Dir, name, filepath.Join(c.Layout.BinDir, "fakebackend"), []string{
		"--listen", addresses[0],
		"--models", Model,
		"--batch-limit", strconv.Itoa(batchLimit),
		"--decode-rate", strconv.FormatFloat(rate, 'f', -1, 64),
		"--prefill-rate", strconv.FormatFloat(fastRate, 'f', -1, 64),
		"--cache-tokens", strconv.Itoa(cacheTokens),
	})
	if err != nil {
		return err
	}
	url := "http://" + addresses[0]
	c.Engines = append(c.Engines, engine)
	c.EngineURLs = append(c.EngineURLs, url)
	sidecar := name + "-sidecar"
	args := append(c.common(sidecar, "sidecar", addresses[1], addresses[2], i),
		"--server-id", name,
		"--backend-url", url,
		"--backend-kind", "engine",
		"--models", Model,
		"--max-running", strconv.Itoa(batchLimit))
	args = append(args, "--control", strings.Join(c.told(), ","))
	p, err := c.daemon(sidecar, args)
	if err != nil {
		return err
	}
	c.Sidecars = append(c.Sidecars, p)
	return nil
}

func (c *Cluster) common(name, roles, listen, http string, i int) []string {
	return []string{
		"--roles", roles,
		"--node-id", name,
		"--listen", listen,
		"--http", http,
		"--failure-domain", failureDomain(i),
		"--log-level", "warn",
		"--shards", strconv.Itoa(c.Layout.Shards),
	}
}

// told returns the control processes that a sidecar knows.
func (c *Cluster) told() []string {
	if c.Layout.ControlPerSidecar == 0 {
		return c.ControlAddresses
	}
	return c.ControlAddresses[:c.Layout.ControlPerSidecar]
}

func (c *Cluster) daemon(name string, args []string) (*Process, error) {
	return startProcess(c.Layout.Dir, name, filepath.Join(c.Layout.BinDir, "ibistrayd"), args)
}

// Kill ends all processes at once.
func (c *Cluster) Kill() {
	for _, p := range c.processes() {
		p.Kill()
	}
}

// Stop asks the processes to end and kills those that do not.
func (c *Cluster) Stop() {
	all := c.processes()
	for _, p := range all {
		p.terminate()
	}
	timeout := time.After(stopTimeout)
	for _, p := range all {
		p.waitEnd(timeout)
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

// SumUsage adds up the usage of processes.
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

func freeAddresses(n int) ([]string, error) {
	addresses := make([]string, 0, n)
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("find a free port: %w", err)
		}
		// The listeners stay open until the last address is found, so that no
		// address is found twice.
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}
