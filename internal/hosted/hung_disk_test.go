package hosted

import (
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/wal/waltest"
)

// TestHungDiskDoesNotDelayTheStop guards against a process that is still there when its grace period
// ends, since its disk hangs: while it runs, while it is opened, or after a failure.
func TestHungDiskDoesNotDelayTheStop(t *testing.T) {
	for name, hang := range map[string]func(t *testing.T, fs *waltest.FS, fault waltest.Fault) *lonelyHost{
		"while it runs": func(t *testing.T, fs *waltest.FS, fault waltest.Fault) *lonelyHost {
			h := runLonelyHost(t, newDir(t), fs)
			host := h.waitOpened()
			assert.NilError(t, h.apply(host, 1))
			fs.SetFault(fault)
			go func() { _ = h.apply(host, 2) }()
			time.Sleep(100 * time.Millisecond)
			return h
		},
		"while it is opened": func(t *testing.T, fs *waltest.FS, fault waltest.Fault) *lonelyHost {
			fs.SetFault(fault)
			return runLonelyHost(t, newDir(t), fs)
		},
		"after a failure": func(t *testing.T, fs *waltest.FS, fault waltest.Fault) *lonelyHost {
			h := runLonelyHost(t, newDir(t), fs)
			host := h.waitOpened()
			assert.NilError(t, h.apply(host, 1))
			fs.SetFault(waltest.Fault{Full: waltest.OpWrite})
			go func() { _ = h.apply(host, 2) }()
			time.Sleep(200 * time.Millisecond)
			fs.SetFault(fault)
			time.Sleep(time.Second)
			return h
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fs, released := waltest.New(), make(chan struct{})
			defer close(released)
			h := hang(t, fs, waltest.Fault{Hang: released})
			close(h.stop)
			select {
			case err := <-h.ended:
				assert.NilError(t, err)
			case <-time.After(gracePeriod):
				t.Error("the process has not ended within its grace period")
			}
		})
	}
}

// newDir returns a directory that is removed once nothing more is written to it: what hangs goes on after
// the end of the process.
func newDir(t *testing.T) string {
	dir, err := os.MkdirTemp("", "hung")
	assert.NilError(t, err)
	t.Cleanup(func() {
		for os.RemoveAll(dir) != nil {
			time.Sleep(10 * time.Millisecond)
		}
	})
	return dir
}
