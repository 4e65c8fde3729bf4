// Command review-cases runs one case of the review. It starts the project's programs as the
// deploy file does, on loopback addresses, with stand-ins for the platform, backend servers,
// operators and clients.
package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Commands of deploy/system.toml.
const (
	entryCommand     = "target/ibistrayd entry --metrics-port 9090"
	stateHostCommand = "target/ibistrayd statehost --metrics-port 9090"
	standbyCommand   = "target/ibistrayd statehost --standby --metrics-port 9091"
)

// The deployment: in each zone one store machine with a state host, and one front machine
// with an entry and a standby.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// Bounds of the deployment, those of the small deployments of the pages.
const (
	configBound = 2 * time.Second
	heartbeat   = 1200 * time.Millisecond // of workers
	settleTime  = 10 * time.Second        // from the start of the machines to the start of traffic
)

// ports are the same on all machines.
type ports struct {
	front, ready, control, peer int
}

// process is one program on one machine.
type process struct {
	name, role, ip, zone, command, dir string

	system *system
	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	killed bool // by the case
}

// system is a running deployment.
type system struct {
	record    *record
	root, dir string
	net       string // first three bytes of the addresses
	ports     ports
	entries   []*process
	stores    []*process
	standbys  []*process
	// extraBounds are lines of the settings for further bounds.
	extraBounds string
}

// newSystem prepares a deployment in a temporary folder.
func newSystem(r *record) (*system, error) {
	root, err := repositoryRoot()
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(filepath.Join(root, "target/ibistrayd")); err != nil {
		return nil, fmt.Errorf("run the build of the deploy file first: %w", err)
	}
	dir, err := os.MkdirTemp("", "ibistray-review-")
	if err != nil {
		return nil, err
	}
	s := &system{record: r, root: root, dir: dir}
	if err := s.chooseAddresses(); err != nil {
		return nil, err
	}
	for i, zone := range zones {
		store, front := fmt.Sprintf("%s.%d", s.net, 10+i), fmt.Sprintf("%s.%d", s.net, 20+i)
		s.stores = append(s.stores, s.newProcess("store-"+zone+"-1", "statehost", store, zone, stateHostCommand))
		s.standbys = append(s.standbys, s.newProcess("front-"+zone+"-1", "standby", front, zone, standbyCommand))
		s.entries = append(s.entries, s.newProcess("front-"+zone+"-1", "entry", front, zone, entryCommand))
	}
	return s, nil
}

func repositoryRoot() (string, error) {
	out, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for dir := out; ; dir = filepath.Dir(dir) {
		if _, err := os.Stat(filepath.Join(dir, "deploy/system.toml")); err == nil {
			return dir, nil
		}
		if dir == filepath.Dir(dir) {
			return "", errors.New("deploy/system.toml not found")
		}
	}
}

// chooseAddresses finds a loopback network and ports that nobody uses.
func (s *system) chooseAddresses() error {
	for range 50 {
		s.net = fmt.Sprintf("127.%d.%d", 100+rand.IntN(100), 1+rand.IntN(250))
		base := 20000 + rand.IntN(9000)
		s.ports = ports{front: base, ready: base + 1, control: base + 2, peer: base + 3}
		if s.free(9090) && s.free(9091) && s.free(base) && s.free(base+1) && s.free(base+2) && s.free(base+3) {
			return nil
		}
	}
	return errors.New("no free loopback addresses")
}

func (s *system) free(port int) bool {
	for i := range zones {
		for _, machine := range []int{10, 20} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", s.net, machine+i, port))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

func (s *system) newProcess(name, role, ip, zone, command string) *process {
	return &process{name: name, role: role, ip: ip, zone: zone, command: command, system: s, dir: filepath.Join(s.dir, name+"-"+role)}
}

func (s *system) all() []*process {
	return append(append(append([]*process(nil), s.stores...), s.standbys...), s.entries...)
}

// controlAddresses returns the addresses at which workers and operators call the system.
func (s *system) controlAddresses() []string {
	var list []string
	for _, p := range append(append([]*process(nil), s.stores...), s.standbys...) {
		list = append(list, p.address(s.ports.control))
	}
	return list
}

// start starts all processes for the first time and waits until traffic may start.
func (s *system) start() error {
	for _, p := range s.all() {
		if err := p.start(true); err != nil {
			return err
		}
	}
	return nil
}

// stop ends all processes and removes the temporary folder.
func (s *system) stop() {
	for _, p := range s.all() {
		p.kill()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(s.dir)
	} else {
		s.record.line("logs are kept in %s", s.dir)
	}
}

// ownEnds returns the processes that ended by themselves.
func (s *system) ownEnds() []string {
	var list []string
	for _, p := range s.all() {
		p.mu.Lock()
		select {
		case <-p.exited:
			if !p.killed {
				list = append(list, p.name+" "+p.role)
			}
		default:
		}
		p.mu.Unlock()
	}
	return list
}

func (p *process) address(port int) string { return fmt.Sprintf("%s:%d", p.ip, port) }

// writeSettings writes the settings file as the platform does.
func (p *process) writeSettings(bootstrap bool) error {
	s := p.system
	var b strings.Builder
	class, serves, listen, limits := "front", "control", "", ""
	switch p.role {
	case "entry":
		serves = "front"
		listen = fmt.Sprintf("  front: %q\n  ready: %q\n", p.address(s.ports.front), p.address(s.ports.ready))
	case "statehost":
		class, serves = "store", "store"
		listen = fmt.Sprintf("  control: %q\n", p.address(s.ports.control))
	case "standby":
		listen = fmt.Sprintf("  control: %q\n", p.address(s.ports.control))
	}
	if class == "store" {
		limits = "  cpu_share: 0.8\n  cores: 1\n  memory_mb: 144\n  max_fds: 8200\n  link_mbps: 600.0\n  disk_mb: 300\n"
	} else {
		limits = "  cpu_share: 0.72\n  cores: 1\n  memory_mb: 134\n  max_fds: 4100\n  link_mbps: 1000.0\n  disk_mb: 64\n"
	}
	fmt.Fprintf(&b, "node_name: %q\nrole: %q\nmachine_class: %q\nserves:\n  - %q\nip: %q\nzone: %q\nregion: \"region-1\"\nzones:\n", p.name, p.role, class, serves, p.ip, p.zone)
	for _, zone := range zones {
		fmt.Fprintf(&b, "  %s: \"region-1\"\n", zone)
	}
	fmt.Fprintf(&b, "listen:\n%sport_range:\n  - %d\n  - %d\nseeds:\n", listen, s.ports.peer, s.ports.peer+15)
	for _, seed := range s.standbys {
		fmt.Fprintf(&b, "  - %q\n", seed.address(s.ports.control))
	}
	fmt.Fprintf(&b, "bootstrap: %v\nloss_counts: true\nlimits:\n%s", bootstrap, limits)
	if p.role != "entry" {
		fmt.Fprintf(&b, "data_dir: %q\n", filepath.Join(p.dir, "data"))
	}
	b.WriteString("discovery: \"register\"\nentry: \"vip\"\nheartbeat_ms: 1200\nfault_tolerance:\n  machines: 1\n  zones: 0\n  regions: 0\n")
	b.WriteString("bounds:\n  seed_lag_s: 3\n  reuse_after_s: 2\n  contact_ms: 3000\n  ack_ms: 4000\n  catch_up_s: 4.2\n  drain_ms: 2000\n  grace_s: 8\n  loss_slack_ms: 200\n  config_ms: 2000\n  rollback_slack_ms: 250\n  max_skew_ms: 5000\n  recover_s: 12\n  pass_ms: 120\n  retry_after_s: 0\n  deadline_s: 10\n  settle_ms: 1000\n" + s.extraBounds + "config_mode: \"highest\"\n")
	return os.WriteFile(filepath.Join(p.dir, "node.yaml"), []byte(b.String()), 0o600)
}

// start starts the process. bootstrap is true when the whole system starts for the first time.
func (p *process) start(bootstrap bool) error {
	if err := os.MkdirAll(filepath.Join(p.dir, "data"), 0o700); err != nil {
		return err
	}
	if err := p.writeSettings(bootstrap); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	words := strings.Fields(p.command)
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Dir = p.system.root
	cmd.Path = filepath.Join(p.system.root, words[0])
	cmd.Env = []string{"IBISTRAY_BOOT=" + filepath.Join(p.dir, "node.yaml"), "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited, p.killed = cmd, exited, false
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// kill ends the process at once.
func (p *process) kill() {
	p.mu.Lock()
	p.killed = true
	cmd, exited := p.cmd, p.exited
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGKILL)
	<-exited
}

// signal sends a signal to the process.
func (p *process) signal(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) }
