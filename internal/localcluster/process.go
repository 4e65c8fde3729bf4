package demo

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// stopTimeout is the longest wait for a process to end by itself.
const stopTimeout = 5 * time.Second

// process is one process that the demo started.
type process struct {
	name string
	path string // program
	args []string
	log  string // file of its standard output and standard error

	cmd   *exec.Cmd
	ended chan struct{}
	err   error // of the wait; valid once ended is closed
}

// start runs the process. It dies with the demo: the kernel kills it when the
// thread that started it ends, so start must be called from a locked thread.
func (p *process) start() error {
	file, err := os.OpenFile(p.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	defer file.Close()
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout = file
	cmd.Stderr = file
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
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

// running reports whether the process was started and has not ended.
func (p *process) running() bool {
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

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	if !p.running() {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// terminate asks the process to end.
func (p *process) terminate() {
	if p.running() {
		_ = p.cmd.Process.Signal(syscall.SIGTERM)
	}
}

// waitEnd waits for a process that was asked to end, and kills it when it does
// not. The error says that it did not end well by itself.
func (p *process) waitEnd(timeout <-chan time.Time) error {
	if p.cmd == nil {
		return nil
	}
	select {
	case <-p.ended:
		return p.exitError()
	case <-timeout:
		p.kill()
		return fmt.Errorf("%s did not stop within %s", p.name, stopTimeout)
	}
}

func (p *process) exitError() error {
	if p.err != nil {
		return fmt.Errorf("%s ended with: %w", p.name, p.err)
	}
	return nil
}

// lastProblems returns the last lines of the process's log that are not below
// the level of warnings; lines that are not JSON are the text of a crash.
func (p *process) lastProblems(n int) []string {
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

// logPath returns the log file of a process in the data folder.
func logPath(dataDir, name string) string {
	return filepath.Join(dataDir, name+".log")
}
