package hosted

import (
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/reopen"
	"ibistray.example/ibistray/internal/statehost"
	"ibistray.example/ibistray/internal/wal/waltest"
)

// TestFailureOfAnOpeningDoesNotCloseTheNext fills the disk while a state host is opened, after its
// log. The failure of that log must not be taken for one of the host that is opened next.
func TestFailureOfAnOpeningDoesNotCloseTheNext(t *testing.T) {
	fs := waltest.New()
	fs.SetFault(waltest.Fault{FullAfterRename: "identity"})
	cfg := statehost.Config{
		Name: "host", Address: "127.0.0.1:0", DataDir: t.TempDir(), FaultTolerance: 1, FS: fs,
		DecodeRoutes: decodeVersion, HeartbeatInterval: time.Second,
	}
	opened := make(chan struct{}, 10)
	handler := func(*statehost.Host) http.Handler {
		opened <- struct{}{}
		return http.NotFoundHandler()
	}
	opts := Options{Logger: hclog.NewNullLogger(), Seeds: NewSeeds([]string{"127.0.0.1:1"}), GracePeriod: time.Second}
	stop, ended := make(chan struct{}), make(chan error, 1)
	go func() {
		ended <- RunStateHost(cfg, Addresses{Control: "127.0.0.1:0", Peers: "127.0.0.1:0"}, handler, opts, stop)
	}()
	time.Sleep(reopen.RetryInterval)
	assert.Equal(t, len(opened), 0)
	fs.SetFault(waltest.Fault{})
	<-opened
	select {
	case <-opened:
		t.Error("the host was closed and opened again")
	case <-time.After(reopen.MinDelay + time.Second):
	}
	close(stop)
	assert.NilError(t, <-ended)
}
