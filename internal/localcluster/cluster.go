package demo

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

const (
	nodeCount   = 3
	engineCount = 2
	// fencingEngine is the number of the engine that refuses old fencing
	// numbers; the others ignore them.
	fencingEngine = 1
	serviceDelay  = "1s"
	// retainIdleLimit is longer than every pause of the demo's programs.
	retainIdleLimit = "4s"
	operatorKey     = "demo-operator-key-0123456789abcdef"
	demoModels      = "diagnosis-70b,quote-70b,berth-plan-70b,shipping-agent-70b"
	demoServices    = "stock,tickets,manifests,berths"
)

// node is one entry and control process.
type node struct {
	process
	listen string // between processes
	http   string
}

// server is a backend server and the sidecar beside it.
type server struct {
	name    string
	url     string // of the backend server
	backend process
	sidecar process
}

// cluster is all processes of the demo.
type cluster struct {
	binDir  string
	dataDir string
	nodes   []*node
	engines []*server
	service *server
	effects string // log file of the services' effects
}

// newCluster lays out the processes without starting them.
func newCluster(binDir, dataDir string) (*cluster, error) {
	const addressesPerNode, addressesPerServer = 2, 3
	free, err := freeAddresses(nodeCount*addressesPerNode + (engineCount+1)*addressesPerServer)
	if err != nil {
		return nil, err
	}
	next := func() string {
		address := free[0]
		free = free[1:]
		return address
	}
	c := &cluster{binDir: binDir, dataDir: dataDir, effects: filepath.Join(dataDir, "effects.log")}
	for i := range nodeCount {
		n := &node{listen: next(), http: next()}
		n.name = "node-" + strconv.Itoa(i+1)
		c.nodes = append(c.nodes, n)
	}
	for i, n := range c.nodes {
		n.process = c.process(n.name, "ibistrayd", c.nodeArgs(i))
	}
	for i := range engineCount {
		c.engines = append(c.engines, c.engine(i+1, next(), next(), next()))
	}
	c.service = c.newService(next(), next(), next())
	return c, nil
}

func (c *cluster) process(name, program string, args []string) process {
	return process{name: name, path: filepath.Join(c.binDir, program), args: args, log: logPath(c.dataDir, name)}
}

func (c *cluster) keyFile() string { return filepath.Join(c.dataDir, "operator.key") }

// controlPeers returns the first members of the control role.
func (c *cluster) controlPeers() string {
	peers := make([]string, len(c.nodes))
	for i, n := range c.nodes {
		peers[i] = fmt.Sprintf("%d=%s@%s", i+1, n.listen, failureDomain(i))
	}
	return strings.Join(peers, ",")
}

func (c *cluster) control() string {
	addresses := make([]string, len(c.nodes))
	for i, n := range c.nodes {
		addresses[i] = n.listen
	}
	return strings.Join(addresses, ",")
}

// failureDomain spreads the hosts over three failure domains.
func failureDomain(i int) string {
	return "fd-" + string(rune('a'+i%nodeCount))
}

func (c *cluster) nodeArgs(i int) []string {
	n := c.nodes[i]
	return []string{
		"--roles", "entry,control",
		"--node-id", n.name,
		"--listen", n.listen,
		"--http", n.http,
		"--region", "mx-gulf",
		"--failure-domain", failureDomain(i),
		"--data-dir", filepath.Join(c.dataDir, n.name),
		"--replica-id", strconv.Itoa(i + 1),
		"--control-peers", c.controlPeers(),
		"--control", c.control(),
		"--operator-key-file", c.keyFile(),
	}
}

func (c *cluster) sidecarArgs(name, listen, http, domain, url string) []string {
	return []string{
		"--roles", "sidecar",
		"--node-id", name + "-sidecar",
		"--server-id", name,
		"--listen", listen,
		"--http", http,
		"--region", "mx-gulf",
		"--failure-domain", domain,
		"--control", c.control(),
		"--backend-url", url,
		"--retain-idle-limit", retainIdleLimit,
	}
}

func (c *cluster) engine(number int, backend, listen, http string) *server {
	name := "engine-" + strconv.Itoa(number)
	s := &server{name: name, url: "http://" + backend}
	backendArgs := []string{
		"--listen", backend,
		"--models", demoModels,
		"--decode-rate", "300",
		"--prefill-rate", "20000",
		"--cache-event-delay", "200ms",
		"--cache-event-gap-every", "7",
		"--load-lag", "200ms",
	}
	sidecarArgs := c.sidecarArgs(name, listen, http, failureDomain(number), s.url)
	sidecarArgs = append(sidecarArgs, "--backend-kind", "engine", "--models", demoModels)
	if number == fencingEngine {
		backendArgs = append(backendArgs, "--check-fencing")
		sidecarArgs = append(sidecarArgs, "--backend-fencing")
	}
	s.backend = c.process(name, "fakebackend", backendArgs)
	s.sidecar = c.process(name+"-sidecar", "ibistrayd", sidecarArgs)
	return s
}

func (c *cluster) newService(backend, listen, http string) *server {
	const name = "service-1"
	s := &server{name: name, url: "http://" + backend}
	args := []string{"--listen", backend, "--effects", c.effects, "--delay", serviceDelay}
	for service := range strings.SplitSeq(demoServices, ",") {
		args = append(args, "--service", service)
	}
	s.backend = c.process(name, "fakebackend", args)
	sidecar := c.sidecarArgs(name, listen, http, failureDomain(0), s.url)
	sidecar = append(sidecar, "--backend-kind", "service", "--services", demoServices)
	s.sidecar = c.process(name+"-sidecar", "ibistrayd", sidecar)
	return s
}

// servers returns all backend servers.
func (c *cluster) servers() []*server {
	return append(append([]*server{}, c.engines...), c.service)
}

// processes returns all processes in the order in which they start.
func (c *cluster) processes() []*process {
	var all []*process
	for _, n := range c.nodes {
		all = append(all, &n.process)
	}
	for _, s := range c.servers() {
		all = append(all, &s.backend, &s.sidecar)
	}
	return all
}

// bases returns the base URLs of the entries.
func (c *cluster) bases() []string {
	bases := make([]string, len(c.nodes))
	for i, n := range c.nodes {
		bases[i] = "http://" + n.http
	}
	return bases
}

// start starts every process and waits until each entry accepts calls.
func (c *cluster) start(ctx context.Context, probe *probe) error {
	if err := os.WriteFile(c.keyFile(), []byte(operatorKey+"\n"), 0o600); err != nil {
		return fmt.Errorf("write the operator's key: %w", err)
	}
	for _, p := range c.processes() {
		if err := p.start(); err != nil {
			return err
		}
	}
	for _, base := range c.bases() {
		if err := probe.waitReady(ctx, base); err != nil {
			return err
		}
	}
	return nil
}

// stop asks every process to end, sidecars and entries first, and kills those
// that do not. The errors name the processes that did not end well.
func (c *cluster) stop() []error {
	var errs []error
	daemons, backends := c.stopOrder()
	for _, group := range [][]*process{daemons, backends} {
		for _, p := range group {
			p.terminate()
		}
		timeout := time.After(stopTimeout)
		for _, p := range group {
			wasRunning := p.running()
			if err := p.waitEnd(timeout); err != nil && wasRunning {
				errs = append(errs, err)
			}
		}
	}
	return errs
}

func (c *cluster) stopOrder() (daemons, backends []*process) {
	for _, n := range c.nodes {
		daemons = append(daemons, &n.process)
	}
	for _, s := range c.servers() {
		daemons = append(daemons, &s.sidecar)
		backends = append(backends, &s.backend)
	}
	return daemons, backends
}

// killAll ends every process at once.
func (c *cluster) killAll() {
	for _, p := range c.processes() {
		p.kill()
	}
}
