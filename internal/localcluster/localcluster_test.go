package localcluster

import (
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestFreeAddressesDiffer(t *testing.T) {
	addresses, err := FreeAddresses(20)
	assert.NilError(t, err)
	slices.Sort(addresses)
	assert.Equal(t, len(slices.Compact(addresses)), 20)
}

func TestKilledProcessHasExited(t *testing.T) {
	p := &Process{Name: "sleep", path: "/bin/sleep", args: []string{"60"}, logFile: filepath.Join(t.TempDir(), "log")}
	assert.Assert(t, !p.Running())
	assert.NilError(t, p.Start())
	assert.Assert(t, p.Running())
	p.Kill()
	assert.Assert(t, !p.Running())
	assert.ErrorContains(t, p.WaitExit(nil), "killed")
}

func TestNewClusterHasAllProcesses(t *testing.T) {
	c, err := New(Options{BinDir: "bin", DataDir: t.TempDir(), Engines: 2, UseRelays: true})
	assert.NilError(t, err)
	defer c.Close()
	assert.Equal(t, len(c.Processes()), defaultNodes+2*(2+1))
	names := make([]string, 0, len(c.Processes()))
	for _, p := range c.Processes() {
		names = append(names, p.Name)
	}
	slices.Sort(names)
	assert.Equal(t, len(slices.Compact(names)), len(c.Processes()))
}

func TestPausedProcessIsStopped(t *testing.T) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	logFile := filepath.Join(t.TempDir(), "log")
	p := NewProcess("busy", "sh", logFile, nil, "-c", "while true; do echo x; done")
	assert.NilError(t, p.Start())
	defer p.Kill()
	for range 50 {
		assert.NilError(t, p.Pause())
		before, err := os.Stat(logFile)
		assert.NilError(t, err)
		time.Sleep(2 * time.Millisecond)
		after, err := os.Stat(logFile)
		assert.NilError(t, err)
		assert.Equal(t, before.Size(), after.Size())
		assert.NilError(t, p.Resume())
	}
}
