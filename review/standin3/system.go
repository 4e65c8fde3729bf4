package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// bounds are those bounds of a sheet that the settings name.
const bounds = `  seed_lag_s: 3
  reuse_after_s: 2
  contact_ms: 3000
  ack_ms: 4000
  catch_up_s: 4.2
  drain_ms: 2000
  grace_s: 8
  loss_slack_ms: 200
  config_ms: 2000
  rollback_slack_ms: 250
  max_skew_ms: 5000
  strict_revoke: true
  revoke_ms: 5000
  quota_window_s: 5
  quota_over: 0.1
  quota_slack: 20
  recover_s: 12
`

// contactTime is contact_ms, and heartbeatInterval is heartbeat_ms.
const (
	contactTime       = 3 * time.Second
	drainTime         = 2 * time.Second
	memoryMB          = 134 // memory_mb of a front machine
	storeMemoryMB     = 144 // memory_mb of a store
	heartbeatInterval = 1200 * time.Millisecond
)

// system is the machines of a deployment.
type system struct {
	root, dir string // repository and temporary folder
	network   string // first three bytes of all addresses
	ports     [4]int // peers, control, clients, readiness
	record    *record
	stores    []*machineProcess
	standbys  []*machineProcess
	entries   []*machineProcess
	extra     int // addresses that were given to others
}

// machineProcess is the process of one role on one machine.
type machineProcess struct {
	system *system
	name   string
	ip     string
	zone   string
	class  string
	args   []string
	disk   bool

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// zones is the number of zones.
const zones = 3

// newSystem prepares a deployment. Each zone has a store and a front machine that runs an entry and
// a standby host. more is the number of further front machines.
func newSystem(rec *record, more int) (*system, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(filepath.Join(root, "target", "ibistrayd")); err != nil {
		return nil, fmt.Errorf("the programs of the deploy file are not built: %w", err)
	}
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	s := &system{root: root, dir: dir, record: rec, network: fmt.Sprintf("127.%d.%d", 20+rand.IntN(100), rand.IntN(250))}
	if s.ports, err = freePorts(); err != nil {
		return nil, err
	}
	for n := range zones {
		zone := fmt.Sprintf("zone-%d", n+1)
		s.stores = append(s.stores, s.add("store", n+1, zone, true, "statehost", "--metrics-port", "9090"))
		s.entries = append(s.entries, s.add("front", n+1, zone, false, "entry", "--metrics-port", "9090"))
		standby := s.add("front", n+1, zone, true, "statehost", "--standby", "--metrics-port", "9091")
		standby.ip = s.entries[n].ip
		s.standbys = append(s.standbys, standby)
	}
	for n := range more {
		s.entries = append(s.entries, s.add("front", zones+n+1, fmt.Sprintf("zone-%d", n%zones+1), false, "entry", "--metrics-port", "9090"))
	}
	return s, nil
}

// freePorts returns ports for which nothing listens. They are below those of outgoing connections.
func freePorts() (ports [4]int, err error) {
	const lowest, spread, distance, tries = 10_000, 15_000, 100, 50
	for range tries {
		base := lowest + rand.IntN(spread)
		for i := range ports {
			ports[i] = base + i*distance
			var l net.Listener
			if l, err = net.Listen("tcp", fmt.Sprintf(":%d", ports[i])); err != nil {
				break
			}
			l.Close()
		}
		if err == nil {
			return ports, nil
		}
	}
	return ports, err
}

func (s *system) add(class string, number int, zone string, disk bool, args ...string) *machineProcess {
	return &machineProcess{system: s, name: fmt.Sprintf("%s-%s-%d", class, zone, number), ip: s.nextIP(), zone: zone, class: class, disk: disk, args: args}
}

// nextIP returns a loopback address that nothing else of the case uses.
func (s *system) nextIP() string {
	s.extra++
	return fmt.Sprintf("%s.%d", s.network, s.extra)
}

func (m *machineProcess) address(port int) string {
	return fmt.Sprintf("%s:%d", m.ip, m.system.ports[port])
}
func (m *machineProcess) control() string { return m.address(1) }
func (m *machineProcess) clients() string { return m.address(2) }

// controls returns the addresses for operators and backend servers.
func (s *system) controls() []string {
	var list []string
	for _, m := range append(append([]*machineProcess{}, s.stores...), s.standbys...) {
		list = append(list, m.control())
	}
	return list
}

func (s *system) all() []*machineProcess {
	return append(append(append([]*machineProcess{}, s.stores...), s.standbys...), s.entries...)
}

// start starts all processes for the first time.
func (s *system) start() error {
	for _, m := range s.all() {
		if err := m.start(true); err != nil {
			return err
		}
	}
	return nil
}

// settings returns the content of the settings file.
func (m *machineProcess) settings(bootstrap bool) string {
	s := m.system
	var b strings.Builder
	fmt.Fprintf(&b, "node_name: %q\nrole: %q\nmachine_class: %q\nip: %q\nzone: %q\nregion: \"region\"\n", m.name, m.args[0], m.class, m.ip, m.zone)
	fmt.Fprintf(&b, "listen:\n")
	if m.args[0] == "entry" {
		fmt.Fprintf(&b, "  front: %q\n  ready: %q\n", m.clients(), m.address(3))
	} else {
		fmt.Fprintf(&b, "  control: %q\n", m.control())
	}
	fmt.Fprintf(&b, "port_range:\n  - %d\n  - %d\nseeds:\n", s.ports[0], s.ports[0]+15)
	for _, seed := range s.stores[:min(3, len(s.stores))] {
		fmt.Fprintf(&b, "  - %q\n", seed.control())
	}
	fmt.Fprintf(&b, "bootstrap: %v\nloss_counts: %v\nlimits:\n  cpu_share: 0.72\n  cores: 1\n  memory_mb: %d\n  max_fds: 4100\n  link_mbps: 1000.0\n", bootstrap, m.disk, m.memoryLimit())
	if m.disk {
		fmt.Fprintf(&b, "  disk_mb: 300\ndata_dir: %q\n", m.dataDir())
	}
	fmt.Fprintf(&b, "heartbeat_ms: %d\nfault_tolerance:\n  machines: 1\nconfig_mode: \"highest\"\nbounds:\n%s", heartbeatInterval.Milliseconds(), bounds)
	return b.String()
}

// memoryLimit returns memory_mb.
func (m *machineProcess) memoryLimit() int {
	if m.class == "store" {
		return storeMemoryMB
	}
	return memoryMB
}

func (m *machineProcess) dir() string     { return filepath.Join(m.system.dir, m.name+"-"+m.args[0]) }
func (m *machineProcess) dataDir() string { return filepath.Join(m.dir(), "data") }

// start starts the process with the run command of the deploy file.
func (m *machineProcess) start(bootstrap bool) error {
	if err := os.MkdirAll(m.dataDir(), 0o700); err != nil {
		return err
	}
	path := filepath.Join(m.dir(), "node.yaml")
	if err := os.WriteFile(path, []byte(m.settings(bootstrap)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.dir(), "log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(m.system.root, "target", "ibistrayd"), m.args...)
	cmd.Dir = m.system.root
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "IBISTRAY_BOOT=" + path}
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.done = cmd, done
	m.mu.Unlock()
	m.system.record.add("platform: %s %s starts, process %d", m.name, m.args[0], cmd.Process.Pid)
	go func() {
		_ = cmd.Wait() // the end is what counts
		close(done)
	}()
	return nil
}

// signal sends a signal to the process.
func (m *machineProcess) signal(sig syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return
	}
	if err := m.cmd.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		m.system.record.add("platform: signal to %s: %s", m.name, err)
	}
}

// kill ends the process at once and waits for its end.
func (m *machineProcess) kill() {
	m.signal(syscall.SIGKILL)
	m.mu.Lock()
	done := m.done
	m.mu.Unlock()
	if done != nil {
		<-done
	}
}

// close ends all processes and removes the temporary folder.
func (s *system) close() {
	for _, m := range s.all() {
		m.signal(syscall.SIGCONT)
		m.kill()
	}
	if os.Getenv("REVIEW_KEEP") != "" {
		fmt.Println("kept:", s.dir)
		return
	}
	if err := os.RemoveAll(s.dir); err != nil {
		fmt.Println(err)
	}
}

var apiClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// post sends a JSON body and returns the status, 0 without an answer.
func post(url string, body any) int {
	data, err := json.Marshal(body)
	if err != nil {
		return 0
	}
	resp, err := apiClient.Post(url, "application/json", bytes.NewReader(data))
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// putConfig sends a config until it is acknowledged.
func (s *system) putConfig(config map[string]any) error {
	for range 100 {
		for _, address := range s.controls() {
			if status := post("http://"+address+"/api/Config.Replace", config); status == http.StatusOK {
				s.record.add("operator: config %v acknowledged by %s", config["version"], address)
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("config was not acknowledged")
}

// awaitReady waits until all entries are ready.
func (s *system) awaitReady() error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, m := range s.entries {
			resp, err := apiClient.Get("http://" + m.address(3) + "/api/ready")
			if err != nil {
				continue
			}
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(s.entries) {
			return nil
		}
	}
	return errors.New("the entries are not ready")
}
