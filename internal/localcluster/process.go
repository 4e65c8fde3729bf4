package localcluster

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// StopTimeout is how long a process may take to exit or stop after a signal.
const StopTimeout = 8 * time.Second

// Process is a child process of this program. It can be started again after it exited.
type Process struct {
	Name    string
	path    string // executable
	args    []string
	env     []string // added to the environment of this program
	logFile string   // receives standard output and standard error

	// Output receives them in place of the log file, unless it is nil.
	Output *os.File

	cmd     *exec.Cmd
	exited  chan struct{}
	waitErr error // result of cmd.Wait; valid once exited is closed
}

// NewProcess returns a process without starting it. Its output is appended to logFile;
// env is added to the environment of this program.
func NewProcess(name, program, logFile string, env []string, args ...string) *Process {
	return &Process{Name: name, path: program, args: args, env: env, logFile: logFile}
}

// Start starts the process. The kernel kills it when the thread that started it ends, so
// that it does not outlive this program. A caller in a program whose threads may end must
// therefore lock its goroutine to its thread.
func (p *Process) Start() error {
	file, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	defer file.Close()
	cmd := exec.Command(p.path, p.args...)
	output := cmp.Or(p.Output, file)
	cmd.Stdout, cmd.Stderr = output, output
	cmd.Env = append(os.Environ(), p.env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	exited := make(chan struct{})
	p.cmd = cmd
	p.exited = exited
	go func() {
		p.waitErr = cmd.Wait()
		close(exited)
	}()
	return nil
}

// PID returns the process ID. The process must have been started.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Running reports whether the process was started and has not exited.
func (p *Process) Running() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Kill sends SIGKILL to the process if it runs, and waits until it has exited.
func (p *Process) Kill() {
	if !p.Running() {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// Terminate sends SIGTERM to the process if it runs.
func (p *Process) Terminate() {
	if p.Running() {
		_ = p.cmd.Process.Signal(syscall.SIGTERM)
	}
}

// Pause stops the process with SIGSTOP until Resume. It returns once all threads have
// stopped, since a running thread continues for a short time after the signal.
func (p *Process) Pause() error {
	if err := p.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	for deadline := time.Now().Add(StopTimeout); ; time.Sleep(pausePollInterval) {
		stopped, err := allThreadsStopped(p.cmd.Process.Pid)
		if err != nil || stopped {
			return err
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s still has running threads %s after SIGSTOP", p.Name, StopTimeout)
		}
	}
}

// pausePollInterval is the interval at which Pause checks the states of the threads.
const pausePollInterval = time.Millisecond

// allThreadsStopped reports whether all threads of a process are in state T, stopped by a
// signal.
func allThreadsStopped(pid int) (bool, error) {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil || len(threads) == 0 {
		return false, fmt.Errorf("threads of process %d: %w", pid, cmp.Or(err, os.ErrNotExist))
	}
	for _, thread := range threads {
		data, err := os.ReadFile(thread)
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return false, err
		}
		// The state follows the name in parentheses, which may contain any character.
		_, state, found := strings.Cut(string(data[bytes.LastIndexByte(data, ')')+1:]), " ")
		if !found || !strings.HasPrefix(state, "T") {
			return false, nil
		}
	}
	return true, nil
}

// Resume continues a paused process with SIGCONT.
func (p *Process) Resume() error {
	return p.cmd.Process.Signal(syscall.SIGCONT)
}

// WaitExit waits until a terminated process exits, and kills it at the timeout. It
// returns an error if the process was killed or exited with an error.
func (p *Process) WaitExit(timeout <-chan time.Time) error {
	if p.cmd == nil {
		return nil
	}
	select {
	case <-p.exited:
		return p.exitError()
	case <-timeout:
		p.Kill()
		return fmt.Errorf("%s did not stop within %s", p.Name, StopTimeout)
	}
}

// exitError returns an error unless the process exited with status 0.
func (p *Process) exitError() error {
	if p.waitErr != nil {
		return fmt.Errorf("%s exited: %w", p.Name, p.waitErr)
	}
	return nil
}

// LastWarnings returns the last n lines of the process's log with level warn or error.
// Lines that are not JSON count too, since they are the output of a crash.
func (p *Process) LastWarnings(n int) []string {
	file, err := os.Open(p.logFile)
	if err != nil {
		return nil
	}
	defer file.Close()
	var lines []string
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		if !isWarningOrCrash(scanner.Bytes()) {
			continue
		}
		lines = append(lines, scanner.Text())
		if len(lines) > n {
			lines = lines[1:]
		}
	}
	return lines
}

// isWarningOrCrash reports whether a log line has level warn or error or is not JSON.
func isWarningOrCrash(line []byte) bool {
	var entry struct {
		Level string `json:"@level"`
	}
	if json.Unmarshal(line, &entry) != nil {
		return true
	}
	return entry.Level == "warn" || entry.Level == "error"
}

// PrintWarnings prints LastWarnings of each process that has any.
func (c *Cluster) PrintWarnings(out io.Writer, n int) {
	for _, p := range c.Processes() {
		lines := p.LastWarnings(n)
		if len(lines) == 0 {
			continue
		}
		fmt.Fprintf(out, "--- %s\n", p.logFile)
		for _, line := range lines {
			fmt.Fprintln(out, line)
		}
	}
}

// LogContains reports whether the process's log contains a text.
func (p *Process) LogContains(text string) bool {
	data, err := os.ReadFile(p.logFile)
	return err == nil && strings.Contains(string(data), text)
}
