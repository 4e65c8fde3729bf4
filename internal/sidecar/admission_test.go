package sidecar

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/config"
	"ibistray.example/ibistray/internal/configlease"
	"ibistray.example/ibistray/internal/telemetry"
	"ibistray.example/ibistray/proto/configpb"
	"ibistray.example/ibistray/proto/rpcpb"
	"ibistray.example/ibistray/proto/shardpb"
)

// newTestSidecar returns a sidecar without connections, whose backend server
// answers and which has a configuration lease.
func newTestSidecar() *Sidecar {
	cfg := Config{Server: "engine-1", Host: "host-1", FailureDomain: "fd-a", MaxRunning: 4, RetainIdleLimit: time.Minute}
	s := New(cfg, hclog.NewNullLogger(), telemetry.NewMetrics(), nil, nil, nil, nil)
	s.healthy.Store(true)
	configure(s, 1)
	return s
}

// configure gives the sidecar a new version of the configuration and a lease.
func configure(s *Sidecar, version uint64, records ...*configpb.Record) {
	changes := &configpb.Changes{Version: version, Full: true, Records: records}
	s.holder.Renew(&rpcpb.Configuration{Changes: changes, Fresh: true}, time.Now())
	s.followStops()
}

func stopOf(scope configpb.StopScope, name string) *configpb.Record {
	return &configpb.Record{Key: config.StopKey(scope, name), Value: &configpb.Record_Stop{Stop: &configpb.Stop{Scope: scope, Name: name}}}
}

func (s *Sidecar) try(call string) admission {
	req := runRequest(call, 1, 1)
	req.Incarnation = s.incarnation
	req.Kind = shardpb.CallKind_CALL_KIND_SERVICE
	req.Fingerprint = []byte(call)
	req.TimeoutMs = time.Hour.Milliseconds()
	return s.admit(req)
}

func assertRefused(t *testing.T, got admission, reason rpcpb.RunRefusal, notRun bool) {
	t.Helper()
	assert.Assert(t, got.refused != nil, "it was admitted")
	assert.Equal(t, got.refused.Reason, reason)
	assert.Equal(t, got.refused.NotRun, notRun)
}

// TestLeavingServerTakesNoNewWork announces a stop of the server, of its host and
// of its failure domain. A running attempt is still found; a new one is refused
// and fenced, so that it cannot start when the stop is lifted.
func TestLeavingServerTakesNoNewWork(t *testing.T) {
	stops := []*configpb.Record{
		stopOf(configpb.StopScope_STOP_SCOPE_SERVER, "engine-1"),
		stopOf(configpb.StopScope_STOP_SCOPE_HOST, "host-1"),
		stopOf(configpb.StopScope_STOP_SCOPE_FAILURE_DOMAIN, "fd-a"),
	}
	for _, stop := range stops {
		s := newTestSidecar()
		assert.Assert(t, s.try("running").started)
		configure(s, 2, stop)
		assertRefused(t, s.try("new"), rpcpb.RunRefusal_RUN_REFUSAL_LEAVING, true)
		assert.Assert(t, s.try("running").attempt != nil)
		configure(s, 3)
		assertRefused(t, s.try("new"), rpcpb.RunRefusal_RUN_REFUSAL_FENCED, true)
		assert.Assert(t, s.try("another").started)
	}
}

// TestSidecarWithoutLeaseTakesNoNewWork checks that a sidecar whose configuration
// may be out of date starts nothing.
func TestSidecarWithoutLeaseTakesNoNewWork(t *testing.T) {
	s := newTestSidecar()
	s.holder = configlease.NewHolder()
	assertRefused(t, s.try("new"), rpcpb.RunRefusal_RUN_REFUSAL_STALE_CONFIGURATION, true)
	s.holder.Renew(&rpcpb.Configuration{Changes: &configpb.Changes{Version: 1}, Fresh: true}, time.Now().Add(-configlease.HolderLeaseDuration))
	assertRefused(t, s.try("late"), rpcpb.RunRefusal_RUN_REFUSAL_STALE_CONFIGURATION, true)
	configure(s, 2)
	assert.Assert(t, s.try("another").started)
}

// TestQuarantinedRequestIsNotRun checks a request that is on record as crashing
// servers.
func TestQuarantinedRequestIsNotRun(t *testing.T) {
	s := newTestSidecar()
	quarantine := &configpb.Quarantine{Fingerprint: []byte("poison")}
	configure(s, 2, &configpb.Record{Key: config.QuarantineKey(quarantine.Fingerprint), Value: &configpb.Record_Quarantine{Quarantine: quarantine}})
	assertRefused(t, s.try("poison"), rpcpb.RunRefusal_RUN_REFUSAL_QUARANTINED, true)
	assert.Assert(t, s.try("innocent").started)
}

// TestOtherIncarnationProvesNothing checks that a sidecar which was started again
// never says of an attempt that was sent to the former one that it was not run.
func TestOtherIncarnationProvesNothing(t *testing.T) {
	s := newTestSidecar()
	req := runRequest("c", 1, 1)
	req.Incarnation = "former"
	assertRefused(t, s.admit(req), rpcpb.RunRefusal_RUN_REFUSAL_OTHER_INCARNATION, false)
	resp, err := s.serveFence(t.Context(), &rpcpb.FenceRequest{Key: req.Key, Attempt: 1, Incarnation: "former"})
	assert.NilError(t, err)
	assert.Assert(t, !resp.NeverStarted)
}
