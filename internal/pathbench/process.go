package pathbench

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	stopTimeout = 5 * time.Second
)

// Process is a child process of the benchmark.
type Process struct {
	Name string
	cmd  *exec.Cmd
	done chan struct{}
}

// Usage holds the resources that a process has used since its start, and its
// current and peak memory.
type Usage struct {
	CPU               time.Duration // user and system time
	ReadBytes         int64         // read by system calls, sockets and files together
	WriteBytes        int64         // written by system calls, sockets and files together
	ResidentBytes     int64         // resident memory now
	PeakResidentBytes int64         // highest resident memory since the start
}

// Sub returns the increase since an earlier reading. PeakResidentBytes is not
// subtracted.
func (u Usage) Sub(before Usage) Usage {
	return Usage{
		CPU:               u.CPU - before.CPU,
		ReadBytes:         u.ReadBytes - before.ReadBytes,
		WriteBytes:        u.WriteBytes - before.WriteBytes,
		ResidentBytes:     u.ResidentBytes - before.ResidentBytes,
		PeakResidentBytes: u.PeakResidentBytes,
	}
}

// Add returns the sum of the usages of two processes.
func (u Usage) Add(other Usage) Usage {
	return Usage{
		CPU:               u.CPU + other.CPU,
		ReadBytes:         u.ReadBytes + other.ReadBytes,
		WriteBytes:        u.WriteBytes + other.WriteBytes,
		ResidentBytes:     u.ResidentBytes + other.ResidentBytes,
		PeakResidentBytes: u.PeakResidentBytes + other.PeakResidentBytes,
	}
}

// startProcess starts a program with its output in a log file in dir. The kernel
// kills the process when the thread that started it exits, so the calling goroutine
// must be locked to its thread (runtime.LockOSThread).
func startProcess(dir, name, path string, args []string) (*Process, error) {
	file, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	defer file.Close()
	cmd := exec.Command(path, args...)
	cmd.Stdout = file
	cmd.Stderr = file
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	p := &Process{Name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// Kill kills the process and waits until it has exited.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

func (p *Process) terminate() {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
}

// waitOrKill waits until the process exits, and kills it at the timeout.
func (p *Process) waitOrKill(timeout <-chan time.Time) {
	select {
	case <-p.done:
	case <-timeout:
		p.Kill()
	}
}

// Usage reads the resource usage of the process from the kernel.
func (p *Process) Usage() (Usage, error) {
	dir := filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid))
	var u Usage
	err := errors.Join(u.readCPU(p.cmd.Process.Pid), u.readIO(dir), u.readMemory(dir))
	if err != nil {
		return Usage{}, fmt.Errorf("usage of %s: %w", p.Name, err)
	}
	return u, nil
}

// readCPU reads the processor time of a process from its CPU clock, because /proc
// has a resolution of 10 ms only.
func (u *Usage) readCPU(pid int) error {
	// The clock ID of a process is its inverted process ID, shifted by three bits,
	// with the kind of clock in the three lowest bits.
	const schedulerClock = 2
	var now unix.Timespec
	if err := unix.ClockGettime(int32(^pid<<3|schedulerClock), &now); err != nil { // process IDs are below 2^22
		return fmt.Errorf("read CPU clock of process %d: %w", pid, err)
	}
	u.CPU = time.Duration(now.Nano())
	return nil
}

func (u *Usage) readIO(dir string) error {
	values, err := readProcFile(filepath.Join(dir, "io"))
	if err != nil {
		return err
	}
	u.ReadBytes = values["rchar"]
	u.WriteBytes = values["wchar"]
	return nil
}

func (u *Usage) readMemory(dir string) error {
	const kibibyte = 1024
	values, err := readProcFile(filepath.Join(dir, "status"))
	if err != nil {
		return err
	}
	u.ResidentBytes = values["VmRSS"] * kibibyte
	u.PeakResidentBytes = values["VmHWM"] * kibibyte
	return nil
}

// readProcFile returns the numbers in the lines "name: number" of a file in /proc.
// It skips other lines.
func readProcFile(path string) (map[string]int64, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	values := make(map[string]int64)
	for line := range strings.Lines(string(data)) {
		name, rest, _ := strings.Cut(line, ":")
		fields := strings.Fields(rest)
		if len(fields) == 0 {
			continue
		}
		if n, err := strconv.ParseInt(fields[0], 10, 64); err == nil {
			values[name] = n
		}
	}
	return values, nil
}
