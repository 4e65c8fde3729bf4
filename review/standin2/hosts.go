package main

import (
	"context"
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

const dirMode = 0o700

// tolerance is the part of the settings that says what may be lost at the same time.
type tolerance struct {
	machines, zones int
}

// deployment is a set of machines, each with an own loopback address, and their processes.
type deployment struct {
	program   string // path of ibistrayd
	dir       string // holds the files of the machines
	tolerance tolerance
	record    *record
	network   string // the first three bytes of the addresses
	control   int    // port, the same on all machines, like the others
	front     int
	ready     int
	peer      int
	seeds     []string
	processes []*process
}

// process is a process of the system on a machine.
type process struct {
	name, ip, zone string
	args           []string
	front          bool
	deployment     *deployment
	command        *exec.Cmd
	exited         chan struct{}
}

func newDeployment(program, dir string, t tolerance, r *record) (*deployment, error) {
	d := &deployment{program: program, dir: dir, tolerance: t, record: r}
	d.network = fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), 1+rand.IntN(250))
	for _, port := range []*int{&d.control, &d.front, &d.ready, &d.peer} {
		var err error
		if *port, err = freePort(); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// freePort returns a port below those of outgoing connections, on which nothing listens.
func freePort() (int, error) {
	const lowest, highest, tries = 10_000, 30_000, 100
	var err error
	for range tries {
		port := lowest + rand.IntN(highest-lowest)
		var l net.Listener
		if l, err = net.Listen("tcp", fmt.Sprintf(":%d", port)); err == nil {
			return port, l.Close()
		}
	}
	return 0, err
}

// addStore adds a machine with a disk for data, with the command of the role statehost.
func (d *deployment) addStore(number int, zone string, seed bool) *process {
	p := d.add(fmt.Sprintf("store-%s-%d", zone, number), number, zone, "statehost", "--metrics-port", "9090")
	if seed {
		d.seeds = append(d.seeds, fmt.Sprintf("%s:%d", p.ip, d.control))
	}
	return p
}

// addFront adds a machine that takes clients, with the command of the role entry.
func (d *deployment) addFront(number int, zone string) *process {
	p := d.add(fmt.Sprintf("front-%s-%d", zone, number), number, zone, "entry", "--metrics-port", "9090")
	p.front = true
	return p
}

// addStandby adds the second process of a machine that takes clients, with the command of the role
// standby.
func (d *deployment) addStandby(front *process) *process {
	p := d.add("standby-"+front.zone, 0, front.zone, "statehost", "--standby", "--metrics-port", "9091")
	p.ip = front.ip
	return p
}

func (d *deployment) add(name string, number int, zone string, args ...string) *process {
	p := &process{name: name, ip: fmt.Sprintf("%s.%d", d.network, number), zone: zone, args: args, deployment: d}
	d.processes = append(d.processes, p)
	return p
}

// start starts all processes for the first time.
func (d *deployment) start() error {
	for _, p := range d.processes {
		if err := p.start(true); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes.
func (d *deployment) close() {
	for _, p := range d.processes {
		p.kill()
	}
}

// controls returns the addresses for operators and workers.
func (d *deployment) controls() []string {
	var list []string
	for _, p := range d.processes {
		if !p.front {
			list = append(list, p.controlAddress())
		}
	}
	return list
}

func (p *process) controlAddress() string { return fmt.Sprintf("%s:%d", p.ip, p.deployment.control) }
func (p *process) frontAddress() string   { return fmt.Sprintf("%s:%d", p.ip, p.deployment.front) }
func (p *process) dataDir() string        { return filepath.Join(p.deployment.dir, p.name, "data") }

func (p *process) isStandby() bool { return strings.HasPrefix(p.name, "standby") }

// memoryLimitMB returns the memory limit of the process, which is that of the machine.
func (p *process) memoryLimitMB() int {
	if p.front || p.isStandby() {
		return 134
	}
	return 154
}

// settings returns the settings file of a small deployment.
func (p *process) settings(bootstrap bool) string {
	d := p.deployment
	var b strings.Builder
	class, serves, listen := "store", `["store", "control"]`, fmt.Sprintf("{control: %q}", p.controlAddress())
	disk := 390
	switch {
	case p.front:
		class, serves = "front", `["front"]`
		listen = fmt.Sprintf("{front: %q, ready: \"%s:%d\"}", p.frontAddress(), p.ip, d.ready)
	case p.isStandby():
		class, serves, disk = "front", `["control"]`, 64
	}
	fmt.Fprintf(&b, "node_name: %q\nrole: %q\nmachine_class: %q\nserves: %s\n", p.name, p.args[0], class, serves)
	fmt.Fprintf(&b, "ip: %q\nzone: %q\nregion: \"region-1\"\n", p.ip, p.zone)
	fmt.Fprintf(&b, "listen: %s\nport_range: [%d, %d]\n", listen, d.peer, d.peer+15)
	fmt.Fprintf(&b, "seeds: [\"%s\"]\nbootstrap: %v\nloss_counts: %v\n", strings.Join(d.seeds, `", "`), bootstrap, !p.front)
	fmt.Fprintf(&b, "limits: {cpu_share: 0.8, cores: 1, memory_mb: %d, max_fds: 8200, link_mbps: 1000.0, disk_mb: %d}\n", p.memoryLimitMB(), disk)
	if !p.front {
		fmt.Fprintf(&b, "data_dir: %q\n", p.dataDir())
	}
	fmt.Fprintf(&b, "discovery: \"register\"\nentry: \"vip\"\nheartbeat_ms: %d\nconfig_mode: \"highest\"\n", heartbeatInterval.Milliseconds())
	fmt.Fprintf(&b, "contracts: [\"base\", \"drain\", \"config\", \"cost\", \"recover\", \"agent\", \"stream\", \"engine\"]\n")
	fmt.Fprintf(&b, "fault_tolerance: {machines: %d, zones: %d, regions: 0}\n", d.tolerance.machines, d.tolerance.zones)
	fmt.Fprintf(&b, "bounds: {seed_lag_s: 3, reuse_after_s: 2, contact_ms: 3000, ack_ms: 4000, catch_up_s: 4.4, drain_ms: 2000, grace_s: 8, "+
		"loss_slack_ms: 200, config_ms: 2000, rollback_slack_ms: 250, max_skew_ms: 5000, recover_s: 12, pass_ms: 120, retry_after_s: 0, deadline_s: 10, settle_ms: 1000}\n")
	return b.String()
}

// start writes the settings and starts the process.
func (p *process) start(bootstrap bool) error {
	dir := filepath.Join(p.deployment.dir, p.name)
	if err := os.MkdirAll(p.dataDir(), dirMode); err != nil {
		return err
	}
	path := filepath.Join(dir, "node.yaml")
	if err := os.WriteFile(path, []byte(p.settings(bootstrap)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(dir, "log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(p.deployment.program, p.args...)
	command.Env = append(os.Environ(), "IBISTRAY_BOOT="+path)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := command.Start(); err != nil {
		return err
	}
	p.command, p.exited = command, make(chan struct{})
	started.Store(command.Process.Pid, p.exited)
	exited := p.exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	p.deployment.record.add("platform: %s started in zone %s at %s, bootstrap %v", p.name, p.zone, p.ip, bootstrap)
	return nil
}

// started holds the processes that were started: a channel that is closed when the process has ended, by
// its ID.
var started sync.Map

// killStarted ends all processes that were started.
func killStarted() {
	started.Range(func(pid, exited any) bool {
		select {
		case <-exited.(chan struct{}):
		default:
			_ = syscall.Kill(pid.(int), syscall.SIGKILL)
		}
		return true
	})
}

// kill ends the process by SIGKILL.
func (p *process) kill() {
	if p.command == nil {
		return
	}
	select {
	case <-p.exited:
		return
	default:
	}
	_ = p.command.Process.Signal(syscall.SIGKILL)
	<-p.exited
	p.deployment.record.add("platform: %s killed", p.name)
}

// wipe empties the disk of the machine.
func (p *process) wipe() error {
	p.deployment.record.add("platform: the disk of %s is lost", p.name)
	return os.RemoveAll(p.dataDir())
}

// errNoAnswer says that no machine gave a clear answer in time.
var errNoAnswer = errors.New("no clear answer")

// operate sends an order of the operator to one machine after the other until one answers with
// a status below 500, for at most the given time.
func (d *deployment) operate(limit time.Duration, method, path string, body []byte) (status int, answer []byte, err error) {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		for _, address := range d.controls() {
			status, answer, err := send(method, "http://"+address+path, body)
			if err == nil && status < http.StatusInternalServerError {
				d.record.add("operator: %s %s at %s: %d", method, path, address, status)
				return status, answer, nil
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	d.record.add("operator: %s %s: no clear answer in %s", method, path, limit)
	return 0, nil, errNoAnswer
}

// send sends one call to the control interface, which has a second to answer.
func send(method, url string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(string(body)))
	if err != nil {
		return 0, nil, err
	}
	resp, err := controlClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}

// controlClient opens a channel for each call.
var controlClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// awaitReady waits until each front says that it is ready.
func (d *deployment) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, p := range d.processes {
		for p.front {
			status, _, err := send(http.MethodGet, fmt.Sprintf("http://%s:%d/api/ready", p.ip, d.ready), nil)
			if err == nil && status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready: status %d, %w", p.name, status, errors.Join(err, errNoAnswer))
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}
