package gateway

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/clock"
	"ibistray.example/ibistray/internal/panics"
	"ibistray.example/ibistray/internal/routing"
	"ibistray.example/ibistray/internal/telemetry"
	"ibistray.example/ibistray/proto/fleetpb"
)

// TestUpdateThatPanicsIsNotApplied guards against an entry that counts as current, or waits for a lock
// for ever, after an update whose panic was contained.
func TestUpdateThatPanicsIsNotApplied(t *testing.T) {
	instances := &fleetpb.Update{Quorum: true, Instances: []*fleetpb.Instance{{Id: "a"}}}
	for name, change := range map[string]func(*view){
		"servers": func(v *view) { v.apply("state host", instances) },
		"routes":  func(v *view) { v.putInForce("state host", &routing.Document{Version: 1}) },
	} {
		t.Run(name, func(t *testing.T) {
			cfg := Config{Seeds: func() []string { return nil }}
			v := newView(cfg, hclog.NewNullLogger(), telemetry.NewMetrics(), nil, nil) // a nil detector panics
			v.lastUpdate.Store((clock.SinceBoot() - time.Minute).Nanoseconds())
			assert.Assert(t, panics.Contain(hclog.NewNullLogger(), "test", func() { change(v) }) != nil)
			assert.Assert(t, v.since(&v.lastUpdate) >= time.Minute, "the update counts as applied")
			assert.Assert(t, v.mu.TryLock(), "the lock is held")
		})
	}
}
