package gateway

import (
	"sync/atomic"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/telemetry"
	"ibistray.example/ibistray/internal/transport"
)

// TestPanicOfABackgroundTaskDoesNotEndTheProcess guards against an entry that ends since one of its
// background tasks panics. The task must run again afterwards, and a stop must not wait for it.
func TestPanicOfABackgroundTaskDoesNotEndTheProcess(t *testing.T) {
	pool := transport.NewPool(transport.DialTCP)
	defer pool.Close()
	var panicking atomic.Bool
	panicking.Store(true)
	calls := make(chan struct{}, 1)
	seeds := func() []string {
		select {
		case calls <- struct{}{}:
		default:
		}
		if panicking.Load() {
			panic("boom")
		}
		return nil
	}
	g := New(Config{Name: "entry", Seeds: seeds, Codec: testCodec{}}, hclog.NewNullLogger(), telemetry.NewMetrics(), pool, pool)
	g.Start()
	for range 3 {
		<-calls
	}
	panicking.Store(false)
	for range 3 {
		<-calls
	}
	g.goTask("task", func() { panic("boom") })
	assert.NilError(t, g.Stop(t.Context()))
}
