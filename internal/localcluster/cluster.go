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

// Options configures a cluster.
type Options struct {
	BinDir        string   // folder of the built programs
	DataDir       string   // folder of logs and durable state
	Nodes         int      // processes with the roles entry and control; default 3
	Engines       int      // engines, each with a sidecar
	FencingEngine int      // number of the engine that refuses old fencing numbers; 0: none
	Models        string   // models of each engine, comma-separated
	Services      string   // services of the service's server, comma-separated
	EngineArgs    []string // further arguments of each engine
	ServiceArgs   []string // further arguments of the service's server
	SidecarArgs   []string // further arguments of each sidecar
	UseRelays     bool     // nodes and sidecars are reached through relays
}

// Node is one entry and control process.
type Node struct {
	Process
	Dir   string             // data folder
	Relay *backendtest.Relay // in front of Listen; nil when the cluster is not relayed

	listen    string // between processes
	advertise string // at which other processes reach it
	http      string
}

// URL returns the base URL of the node's entry.
func (n *Node) URL() string { return "http://" + n.http }

// Server is a backend server and the sidecar beside it.
type Server struct {
	Name    string
	URL     string // of the backend server
	Backend Process
	Sidecar Process
	Relay   *backendtest.Relay // in front of the sidecar; nil when the cluster is not relayed

	http string // of the sidecar
}

// SidecarURL returns the base URL of the sidecar's own HTTP server.
func (s *Server) SidecarURL() string { return "http://" + s.http }

// Cluster is a set of processes. Close ends it.
type Cluster struct {
	Nodes   []*Node
	Engines []*Server
	Service *Server
	Probe   *Probe

	options Options
	relays  []*backendtest.Relay
	free    []string // addresses that are not used yet
}

// New lays out the processes without starting them.
func New(options Options) (*Cluster, error) {
	if options.Nodes == 0 {
		options.Nodes = defaultNodes
	}
	const addressesPerNode, addressesPerServer = 2, 3
	free, err := FreeAddresses(options.Nodes*addressesPerNode + (options.Engines+1)*addressesPerServer)
	if err != nil {
		return nil, err
	}
	probe, err := NewProbe()
	if err != nil {
		return nil, err
	}
	c := &Cluster{options: options, free: free, Probe: probe}
	if err := c.layOut(); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) layOut() error {
	for i := range c.options.Nodes {
		if err := c.addNode(i + 1); err != nil {
			return err
		}
	}
	for i, n := range c.Nodes {
		n.Process = c.process(n.Name, "ibistrayd", c.nodeArgs(i))
	}
	for i := range c.options.Engines {
		if err := c.addEngine(i + 1); err != nil {
			return err
		}
	}
	return c.addService()
}

func (c *Cluster) nextAddress() string {
	address := c.free[0]
	c.free = c.free[1:]
	return address
}

// relay puts a relay in front of an address where the cluster is relayed. It
// returns the address at which other processes reach the target.
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
	n := &Node{listen: c.nextAddress(), http: c.nextAddress()}
	n.Name = "node-" + strconv.Itoa(number)
	n.Dir = filepath.Join(c.options.DataDir, n.Name)
	var err error
	n.Relay, n.advertise, err = c.relay(n.listen)
	c.Nodes = append(c.Nodes, n)
	return err
}

func (c *Cluster) process(name, program string, args []string) Process {
	return Process{
		Name: name,
		path: filepath.Join(c.options.BinDir, program),
		args: args,
		log:  filepath.Join(c.options.DataDir, name+".log"),
	}
}

// DataDir returns the folder of logs and durable state.
func (c *Cluster) DataDir() string { return c.options.DataDir }

// KeyFile returns the file with the operators' key.
func (c *Cluster) KeyFile() string { return filepath.Join(c.options.DataDir, "operator.key") }

// EffectsFile returns the log file of the services' effects.
func (c *Cluster) EffectsFile() string { return filepath.Join(c.options.DataDir, "effects.log") }

// controlPeers returns the first members of the control role.
func (c *Cluster) controlPeers() string {
	peers := make([]string, len(c.Nodes))
	for i, n := range c.Nodes {
		peers[i] = fmt.Sprintf("%d=%s@%s", i+1, n.advertise, failureDomain(i))
	}
	return strings.Join(peers, ",")
}

func (c *Cluster) control() string {
	addresses := make([]string, len(c.Nodes))
	for i, n := range c.Nodes {
		addresses[i] = n.advertise
	}
	return strings.Join(addresses, ",")
}

// failureDomain spreads the hosts over three failure domains.
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
		"--http", n.http,
		"--region", region,
		"--failure-domain", failureDomain(i),
		"--data-dir", n.Dir,
		"--replica-id", strconv.Itoa(i + 1),
		"--control-peers", c.controlPeers(),
		"--control", c.control(),
		"--operator-key-file", c.KeyFile(),
	}
}

// addServer returns a server with the arguments that every sidecar has.
func (c *Cluster) addServer(name, domain string) (s *Server, backend string, args []string, err error) {
	backend = c.nextAddress()
	listen := c.nextAddress()
	s = &Server{Name: name, URL: "http://" + backend, http: c.nextAddress()}
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
		"--http", s.http,
		"--region", region,
		"--failure-domain", domain,
		"--control", c.control(),
		"--backend-url", s.URL,
	}
	return s, backend, append(args, c.options.SidecarArgs...), nil
}

func (c *Cluster) addEngine(number int) error {
	s, backend, sidecarArgs, err := c.addServer("engine-"+strconv.Itoa(number), failureDomain(number))
	if err != nil {
		return err
	}
	args := append([]string{"--listen", backend, "--models", c.options.Models}, c.options.EngineArgs...)
	sidecarArgs = append(sidecarArgs, "--backend-kind", "engine", "--models", c.options.Models)
	if number == c.options.FencingEngine {
		args = append(args, "--check-fencing")
	}
	s.Backend = c.process(s.Name, "fakebackend", args)
	s.Sidecar = c.process(s.Name+"-sidecar", "ibistrayd", sidecarArgs)
	c.Engines = append(c.Engines, s)
	return nil
}

func (c *Cluster) addService() error {
	s, backend, sidecarArgs, err := c.addServer("service-1", failureDomain(0))
	if err != nil {
		return err
	}
	args := append([]string{"--listen", backend, "--effects", c.EffectsFile()}, c.options.ServiceArgs...)
	for service := range strings.SplitSeq(c.options.Services, ",") {
		args = append(args, "--service", service)
	}
	s.Backend = c.process(s.Name, "fakebackend", args)
	sidecarArgs = append(sidecarArgs, "--backend-kind", "service", "--services", c.options.Services)
	s.Sidecar = c.process(s.Name+"-sidecar", "ibistrayd", sidecarArgs)
	c.Service = s
	return nil
}

// Servers returns all backend servers.
func (c *Cluster) Servers() []*Server {
	return append(append([]*Server{}, c.Engines...), c.Service)
}

// Processes returns all processes in the order in which they start.
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

// EntryURLs returns the base URLs of the entries.
func (c *Cluster) EntryURLs() []string {
	bases := make([]string, len(c.Nodes))
	for i, n := range c.Nodes {
		bases[i] = n.URL()
	}
	return bases
}

// Start starts every process and waits until each entry accepts calls.
func (c *Cluster) Start(ctx context.Context) error {
	if err := os.MkdirAll(c.options.DataDir, dirMode); err != nil {
		return fmt.Errorf("make the data folder: %w", err)
	}
	if err := os.WriteFile(c.KeyFile(), []byte(operatorKey+"\n"), keyMode); err != nil {
		return fmt.Errorf("write the operator's key: %w", err)
	}
	for _, p := range c.Processes() {
		if err := p.Start(); err != nil {
			return err
		}
	}
	for _, base := range c.EntryURLs() {
		if err := c.Probe.WaitReady(ctx, base); err != nil {
			return err
		}
	}
	return nil
}

// RunCtl runs the operators' tool and returns its output without outer space.
func (c *Cluster) RunCtl(ctx context.Context, args ...string) (string, error) {
	common := []string{"--server", strings.Join(c.EntryURLs(), ","), "--operator-key-file", c.KeyFile()}
	cmd := exec.CommandContext(ctx, filepath.Join(c.options.BinDir, "ibistrayctl"), append(common, args...)...)
	output, err := cmd.CombinedOutput()
	text := strings.TrimSpace(string(output))
	if err != nil {
		return text, fmt.Errorf("ibistrayctl %s: %w: %s", strings.Join(args, " "), err, text)
	}
	return text, nil
}

// ApplyContract applies a contract document. It tries again while no entry can
// take a change.
func (c *Cluster) ApplyContract(ctx context.Context, file string) (string, error) {
	var text string
	var err error
	waited := c.Probe.WaitFor(ctx, "the contract "+file, func() bool {
		text, err = c.RunCtl(ctx, "contract", "apply", "--change-id", filepath.Base(file), file)
		return err == nil
	})
	if waited != nil {
		return "", fmt.Errorf("%w: %w", waited, err)
	}
	return text, nil
}

// Stop asks every process to end, sidecars and entries first, and kills those
// that do not. The errors name the processes that did not end well.
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

// Close ends every process and relay at once.
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
