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

// StopTimeout is the longest wait for a process to end by itself.
const StopTimeout = 8 * time.Second

// Process is one process that this program starts.
type Process struct {
	Name string
	path string // program
	args []string
	env  []string // added to that of this program
	log  string   // file of its standard output and standard error

	cmd   *exec.Cmd
	ended chan struct{}
	err   error // of the wait; valid once ended is closed
}

// NewProcess returns a process that is not started. Its output is appended to the
// file log; env is added to the environment of this program.
func NewProcess(name, program, log string, env []string, args ...string) *Process {
	return &Process{Name: name, path: program, args: args, env: env, log: log}
}

// Start runs the process. It dies with this program: the kernel kills it when the
// thread that started it ends. A caller that ends threads must lock its own.
func (p *Process) Start() error {
	file, err := os.OpenFile(p.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	defer file.Close()
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout = file
	cmd.Stderr = file
	cmd.Env = append(os.Environ(), p.env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	ended := make(chan struct{})
	p.cmd = cmd
	p.ended = ended
	go func() {
		p.err = cmd.Wait()
		close(ended)
	}()
	return nil
}

// PID returns the ID of the running process.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Running reports whether the process was started and has not ended.
func (p *Process) Running() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	if !p.Running() {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// Terminate asks the process to end.
func (p *Process) Terminate() {
	if p.Running() {
		_ = p.cmd.Process.Signal(syscall.SIGTERM)
	}
}

// Pause stops the process without ending it, until Thaw. It returns when each of
// its threads stands still: one that is running goes on for a moment after the signal.
func (p *Process) Pause() error {
	if err := p.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	for deadline := time.Now().Add(StopTimeout); ; time.Sleep(freezePoll) {
		stopped, err := allStopped(p.cmd.Process.Pid)
		if err != nil || stopped {
			return err
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s does not stand still within %s", p.Name, StopTimeout)
		}
	}
}

// freezePoll is the pause between two looks at the threads of a process.
const freezePoll = time.Millisecond

// allStopped reports whether all threads of a process are stopped by a signal.
func allStopped(pid int) (bool, error) {
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
		// The state follows the name in brackets, which may hold any character.
		_, state, found := strings.Cut(string(data[bytes.LastIndexByte(data, ')')+1:]), " ")
		if !found || !strings.HasPrefix(state, "T") {
			return false, nil
		}
	}
	return true, nil
}

// Resume lets a frozen process go on.
func (p *Process) Resume() error {
	return p.cmd.Process.Signal(syscall.SIGCONT)
}

// WaitExit waits for a process that was asked to end, and kills it when it does
// not. The error says that it did not end well by itself.
func (p *Process) WaitExit(timeout <-chan time.Time) error {
	if p.cmd == nil {
		return nil
	}
	select {
	case <-p.ended:
		return p.exitError()
	case <-timeout:
		p.Kill()
		return fmt.Errorf("%s did not stop within %s", p.Name, StopTimeout)
	}
}

func (p *Process) exitError() error {
	if p.err != nil {
		return fmt.Errorf("%s ended with: %w", p.Name, p.err)
	}
	return nil
}

// LastWarnings returns the last lines of the process's log that are not below
// the level of warnings; lines that are not JSON are the text of a crash.
func (p *Process) LastWarnings(n int) []string {
	file, err := os.Open(p.log)
	if err != nil {
		return nil
	}
	defer file.Close()
	var lines []string
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		if !isProblem(scanner.Bytes()) {
			continue
		}
		lines = append(lines, scanner.Text())
		if len(lines) > n {
			lines = lines[1:]
		}
	}
	return lines
}

// isProblem reports whether a line of a log is a warning, an error or no JSON.
func isProblem(line []byte) bool {
	var entry struct {
		Level string `json:"@level"`
	}
	if json.Unmarshal(line, &entry) != nil {
		return true
	}
	return entry.Level == "warn" || entry.Level == "error"
}

// PrintWarnings prints the last warnings and errors of each process.
func (c *Cluster) PrintWarnings(out io.Writer, n int) {
	for _, p := range c.Processes() {
		lines := p.LastWarnings(n)
		if len(lines) == 0 {
			continue
		}
		fmt.Fprintf(out, "--- %s\n", p.log)
		for _, line := range lines {
			fmt.Fprintln(out, line)
		}
	}
}

// LogContains reports whether the process's log holds a text.
func (p *Process) LogContains(text string) bool {
	data, err := os.ReadFile(p.log)
	return err == nil && strings.Contains(string(data), text)
}
