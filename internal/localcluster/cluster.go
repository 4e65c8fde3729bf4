package localcluster

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"ibistray.example/ibistray/internal/backendtest"
)

const (
	defaultNodes = 3
	operatorKey  = "local-operator-key-0123456789abcdef"
	region       = "mx-gulf"
	dirMode      = 0o700
	keyMode      = 0o600
)

// Options configures a Cluster.
type Options struct {
	BinDir        string   // directory of the built programs
	DataDir       string   // directory of logs and durable state
	Nodes         int      // number of processes with the roles entry and control; default 3
	Engines       int      // number of engines, each with a sidecar
	FencingEngine int      // 1-based number of the engine that checks fencing tokens; 0: none
	Models        string   // comma-separated models of each engine
	Services      string   // comma-separated services of the service backend
	EngineArgs    []string // additional arguments of each engine
	ServiceArgs   []string // additional arguments of the service backend
	SidecarArgs   []string // additional arguments of each sidecar
	UseRelays     bool     // put a relay in front of each node and sidecar
}

// Node is a process with the roles entry and control.
type Node struct {
	Process
	Dir   string             // data directory
	Relay *backendtest.Relay // in front of the listen address; nil without UseRelays

	listen      string // address for traffic between processes
	advertise   string // address that other processes connect to
	httpAddress string
}

// URL returns the base URL of the node's HTTP API.
func (n *Node) URL() string { return "http://" + n.httpAddress }

// ListenAddress returns the address for other processes.
func (n *Node) ListenAddress() string { return n.listen }

// Server is a backend server and its sidecar.
type Server struct {
	Name    string
	URL     string // base URL of the backend server
	Backend Process
	Sidecar Process
	Relay   *backendtest.Relay // in front of the sidecar; nil without UseRelays

	httpAddress string // of the sidecar
}

// SidecarURL returns the base URL of the sidecar's HTTP server.
func (s *Server) SidecarURL() string { return "http://" + s.httpAddress }

// Cluster is a set of local processes. Close must be called to stop them.
type Cluster struct {
	Nodes   []*Node
	Engines []*Server
	Service *Server
	Probe   *Probe

	options       Options
	relays        []*backendtest.Relay
	freeAddresses []string // not yet assigned
}

// New assigns addresses and arguments to the processes and starts the relays, but not the
// processes.
func New(options Options) (*Cluster, error) {
	if options.Nodes == 0 {
		options.Nodes = defaultNodes
	}
	const addressesPerNode, addressesPerServer = 2, 3
	addresses, err := FreeAddresses(options.Nodes*addressesPerNode + (options.Engines+1)*addressesPerServer)
	if err != nil {
		return nil, err
	}
	probe, err := NewProbe()
	if err != nil {
		return nil, err
	}
	c := &Cluster{options: options, freeAddresses: addresses, Probe: probe}
	if err := c.prepare(); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// prepare adds the nodes, engines and the service, in that order.
func (c *Cluster) prepare() error {
	for i := range c.options.Nodes {
		if err := c.addNode(i + 1); err != nil {
			return err
		}
	}
	for i, n := range c.Nodes {
		n.Process = c.newProcess(n.Name, "ibistrayd", c.nodeArgs(i))
	}
	for i := range c.options.Engines {
		if err := c.addEngine(i + 1); err != nil {
			return err
		}
	}
	return c.addService()
}

func (c *Cluster) nextAddress() string {
	address := c.freeAddresses[0]
	c.freeAddresses = c.freeAddresses[1:]
	return address
}

// relay starts a relay in front of an address if UseRelays is set. It returns the relay,
// or nil, and the address that other processes connect to.
func (c *Cluster) relay(target string) (*backendtest.Relay, string, error) {
	if !c.options.UseRelays {
		return nil, target, nil
	}
	r, err := backendtest.NewRelay(target)
	if err != nil {
		return nil, "", err
	}
	c.relays = append(c.relays, r)
	return r, r.Addr(), nil
}

func (c *Cluster) addNode(number int) error {
	n := &Node{listen: c.nextAddress(), httpAddress: c.nextAddress()}
	n.Name = "node-" + strconv.Itoa(number)
	n.Dir = filepath.Join(c.options.DataDir, n.Name)
	var err error
	n.Relay, n.advertise, err = c.relay(n.listen)
	c.Nodes = append(c.Nodes, n)
	return err
}

func (c *Cluster) newProcess(name, program string, args []string) Process {
	return Process{
		Name:    name,
		path:    filepath.Join(c.options.BinDir, program),
		args:    args,
		logFile: filepath.Join(c.options.DataDir, name+".log"),
	}
}

// DataDir returns the directory of logs and durable state.
func (c *Cluster) DataDir() string { return c.options.DataDir }

// KeyFile returns the path of the file with the operator's key.
func (c *Cluster) KeyFile() string { return filepath.Join(c.options.DataDir, "operator.key") }

// EffectsFile returns the path of the file in which the service records its effects.
func (c *Cluster) EffectsFile() string { return filepath.Join(c.options.DataDir, "effects.log") }

// controlPeers returns the initial members of the control role as the value of
// --control-peers.
func (c *Cluster) controlPeers() string {
	peers := make([]string, len(c.Nodes))
	for i, n := range c.Nodes {
		peers[i] = fmt.Sprintf("%d=%s@%s", i+1, n.advertise, failureDomain(i))
	}
	return strings.Join(peers, ",")
}

// controlAddresses returns the control processes as the value of --control.
func (c *Cluster) controlAddresses() string {
	addresses := make([]string, len(c.Nodes))
	for i, n := range c.Nodes {
		addresses[i] = n.advertise
	}
	return strings.Join(addresses, ",")
}

// failureDomain assigns the i-th host to one of three failure domains in turn.
func failureDomain(i int) string {
	const failureDomains = 3
	return "fd-" + string(rune('a'+i%failureDomains))
}

func (c *Cluster) nodeArgs(i int) []string {
	n := c.Nodes[i]
	return []string{
		"--roles", "entry,control",
		"--node-id", n.Name,
		"--listen", n.listen,
		"--advertise", n.advertise,
		"--http", n.httpAddress,
		"--region", region,
		"--failure-domain", failureDomain(i),
		"--data-dir", n.Dir,
		"--replica-id", strconv.Itoa(i + 1),
		"--control-peers", c.controlPeers(),
		"--control", c.controlAddresses(),
		"--operator-key-file", c.KeyFile(),
	}
}

// newServer returns a server, the address of its backend and the arguments that all
// sidecars have in common.
func (c *Cluster) newServer(name, domain string) (s *Server, backendAddress string, args []string, err error) {
	backendAddress = c.nextAddress()
	listen := c.nextAddress()
	s = &Server{Name: name, URL: "http://" + backendAddress, httpAddress: c.nextAddress()}
	relay, advertise, err := c.relay(listen)
	if err != nil {
		return nil, "", nil, err
	}
	s.Relay = relay
	args = []string{
		"--roles", "sidecar",
		"--node-id", name + "-sidecar",
		"--server-id", name,
		"--listen", listen,
		"--advertise", advertise,
		"--http", s.httpAddress,
		"--region", region,
		"--failure-domain", domain,
		"--control", c.controlAddresses(),
		"--backend-url", s.URL,
	}
	return s, backendAddress, append(args, c.options.SidecarArgs...), nil
}

func (c *Cluster) addEngine(number int) error {
	s, backendAddress, sidecarArgs, err := c.newServer("engine-"+strconv.Itoa(number), failureDomain(number))
	if err != nil {
		return err
	}
	args := append([]string{"--listen", backendAddress, "--models", c.options.Models}, c.options.EngineArgs...)
	sidecarArgs = append(sidecarArgs, "--backend-kind", "engine", "--models", c.options.Models)
	if number == c.options.FencingEngine {
		args = append(args, "--check-fencing")
	}
	s.Backend = c.newProcess(s.Name, "fakebackend", args)
	s.Sidecar = c.newProcess(s.Name+"-sidecar", "ibistrayd", sidecarArgs)
	c.Engines = append(c.Engines, s)
	return nil
}

func (c *Cluster) addService() error {
	s, backendAddress, sidecarArgs, err := c.newServer("service-1", failureDomain(0))
	if err != nil {
		return err
	}
	args := append([]string{"--listen", backendAddress, "--effects", c.EffectsFile()}, c.options.ServiceArgs...)
	for service := range strings.SplitSeq(c.options.Services, ",") {
		args = append(args, "--service", service)
	}
	s.Backend = c.newProcess(s.Name, "fakebackend", args)
	sidecarArgs = append(sidecarArgs, "--backend-kind", "service", "--services", c.options.Services)
	s.Sidecar = c.newProcess(s.Name+"-sidecar", "ibistrayd", sidecarArgs)
	c.Service = s
	return nil
}

// Servers returns the engines, then the service.
func (c *Cluster) Servers() []*Server {
	return append(append([]*Server{}, c.Engines...), c.Service)
}

// Processes returns all processes in the order in which Start starts them.
func (c *Cluster) Processes() []*Process {
	var all []*Process
	for _, n := range c.Nodes {
		all = append(all, &n.Process)
	}
	for _, s := range c.Servers() {
		all = append(all, &s.Backend, &s.Sidecar)
	}
	return all
}

// EntryURLs returns the base URL of each entry.
func (c *Cluster) EntryURLs() []string {
	urls := make([]string, len(c.Nodes))
	for i, n := range c.Nodes {
		urls[i] = n.URL()
	}
	return urls
}

// Start starts every process and waits until each entry is ready.
func (c *Cluster) Start(ctx context.Context) error {
	if err := os.MkdirAll(c.options.DataDir, dirMode); err != nil {
		return fmt.Errorf("create the data directory: %w", err)
	}
	if err := os.WriteFile(c.KeyFile(), []byte(operatorKey+"\n"), keyMode); err != nil {
		return fmt.Errorf("write the operator's key: %w", err)
	}
	for _, p := range c.Processes() {
		if err := p.Start(); err != nil {
			return err
		}
	}
	for _, url := range c.EntryURLs() {
		if err := c.Probe.WaitReady(ctx, url); err != nil {
			return err
		}
	}
	return nil
}

// RunCtl runs ibistrayctl and returns its trimmed combined output. The error contains the
// output too.
func (c *Cluster) RunCtl(ctx context.Context, args ...string) (string, error) {
	common := []string{"--server", strings.Join(c.EntryURLs(), ","), "--operator-key-file", c.KeyFile()}
	cmd := exec.CommandContext(ctx, filepath.Join(c.options.BinDir, "ibistrayctl"), append(common, args...)...)
	combinedOutput, err := cmd.CombinedOutput()
	output := strings.TrimSpace(string(combinedOutput))
	if err != nil {
		return output, fmt.Errorf("ibistrayctl %s: %w: %s", strings.Join(args, " "), err, output)
	}
	return output, nil
}

// ApplyContract applies a contract document with ibistrayctl and returns its output. It
// retries until it succeeds or the context ends.
func (c *Cluster) ApplyContract(ctx context.Context, file string) (string, error) {
	var output string
	var err error
	waitErr := c.Probe.WaitFor(ctx, "the contract "+file, func() bool {
		output, err = c.RunCtl(ctx, "contract", "apply", "--change-id", filepath.Base(file), file)
		return err == nil
	})
	if waitErr != nil {
		return "", fmt.Errorf("%w: %w", waitErr, err)
	}
	return output, nil
}

// Stop terminates the processes, first entries and sidecars and then the backends. It
// kills those that do not exit within StopTimeout. It returns an error for each process
// that was still running and was killed or exited with an error.
func (c *Cluster) Stop() []error {
	var errs []error
	daemons, backends := c.stopOrder()
	for _, group := range [][]*Process{daemons, backends} {
		for _, p := range group {
			p.Terminate()
		}
		timeout := time.After(StopTimeout)
		for _, p := range group {
			wasRunning := p.Running()
			if err := p.WaitExit(timeout); err != nil && wasRunning {
				errs = append(errs, err)
			}
		}
	}
	return errs
}

// stopOrder returns the processes that are stopped first and those that are stopped last.
func (c *Cluster) stopOrder() (daemons, backends []*Process) {
	for _, n := range c.Nodes {
		daemons = append(daemons, &n.Process)
	}
	for _, s := range c.Servers() {
		daemons = append(daemons, &s.Sidecar)
		backends = append(backends, &s.Backend)
	}
	return daemons, backends
}

// Close kills every process and closes the relays and the probe.
func (c *Cluster) Close() {
	if c.Service != nil {
		for _, p := range c.Processes() {
			p.Kill()
		}
	}
	for _, r := range c.relays {
		r.Close()
	}
	c.Probe.Close()
}
