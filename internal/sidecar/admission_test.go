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

// newTestSidecar returns a sidecar without connections. Its backend server is healthy, and
// it has a configuration lease.
func newTestSidecar() *Sidecar {
	cfg := Config{Server: "engine-1", Host: "host-1", FailureDomain: "fd-a", MaxRunning: 4, RetainIdleLimit: time.Minute}
	s := New(cfg, hclog.NewNullLogger(), telemetry.NewMetrics(), nil, nil, nil, nil)
	s.healthy.Store(true)
	applyConfiguration(s, 1)
	return s
}

// applyConfiguration replaces the configuration of a sidecar and renews its lease.
func applyConfiguration(s *Sidecar, version uint64, records ...*configpb.Record) {
	changes := &configpb.Changes{Version: version, Full: true, Records: records}
	s.leaseHolder.Renew(&rpcpb.Configuration{Changes: changes, Fresh: true}, time.Now())
	s.applyPlannedStop()
}

func stopRecord(scope configpb.StopScope, name string) *configpb.Record {
	return &configpb.Record{Key: config.StopKey(scope, name), Value: &configpb.Record_Stop{Stop: &configpb.Stop{Scope: scope, Name: name}}}
}

// admitCall admits the first attempt of a service call. The name of the call is the
// fingerprint of its request.
func (s *Sidecar) admitCall(call string) admission {
	req := runRequest(call, 1, 1)
	req.Incarnation = s.incarnation
	req.Kind = shardpb.CallKind_CALL_KIND_SERVICE
	req.Fingerprint = []byte(call)
	req.TimeoutMs = time.Hour.Milliseconds()
	return s.admit(req)
}

func assertRefused(t *testing.T, got admission, reason rpcpb.RunRefusal, notRun bool) {
	t.Helper()
	assert.Assert(t, got.refused != nil, "the attempt was admitted")
	assert.Equal(t, got.refused.Reason, reason)
	assert.Equal(t, got.refused.NotRun, notRun)
}

// TestLeavingServerRefusesNewAttempts plans a stop of the server, of its host and of its
// failure domain. Entries can still attach to a running attempt. A new one is refused and
// fenced, so that it cannot start after the stop is lifted.
func TestLeavingServerRefusesNewAttempts(t *testing.T) {
	stops := []*configpb.Record{
		stopRecord(configpb.StopScope_STOP_SCOPE_SERVER, "engine-1"),
		stopRecord(configpb.StopScope_STOP_SCOPE_HOST, "host-1"),
		stopRecord(configpb.StopScope_STOP_SCOPE_FAILURE_DOMAIN, "fd-a"),
	}
	for _, stop := range stops {
		s := newTestSidecar()
		assert.Assert(t, s.admitCall("running").started)
		applyConfiguration(s, 2, stop)
		assertRefused(t, s.admitCall("new"), rpcpb.RunRefusal_RUN_REFUSAL_LEAVING, true)
		assert.Assert(t, s.admitCall("running").attempt != nil)
		applyConfiguration(s, 3)
		assertRefused(t, s.admitCall("new"), rpcpb.RunRefusal_RUN_REFUSAL_FENCED, true)
		assert.Assert(t, s.admitCall("another").started)
	}
}

// TestSidecarWithoutLeaseRefusesNewAttempts checks that a sidecar starts no attempt without
// a valid lease, since its configuration may be outdated.
func TestSidecarWithoutLeaseRefusesNewAttempts(t *testing.T) {
	s := newTestSidecar()
	s.leaseHolder = configlease.NewHolder()
	assertRefused(t, s.admitCall("new"), rpcpb.RunRefusal_RUN_REFUSAL_STALE_CONFIGURATION, true)
	s.leaseHolder.Renew(&rpcpb.Configuration{Changes: &configpb.Changes{Version: 1}, Fresh: true}, time.Now().Add(-configlease.HolderLeaseDuration))
	assertRefused(t, s.admitCall("late"), rpcpb.RunRefusal_RUN_REFUSAL_STALE_CONFIGURATION, true)
	applyConfiguration(s, 2)
	assert.Assert(t, s.admitCall("another").started)
}

// TestQuarantinedRequestIsRefused checks that a request which is quarantined for crashing
// servers is not run, while others are.
func TestQuarantinedRequestIsRefused(t *testing.T) {
	s := newTestSidecar()
	quarantine := &configpb.Quarantine{Fingerprint: []byte("poison")}
	applyConfiguration(s, 2, &configpb.Record{Key: config.QuarantineKey(quarantine.Fingerprint), Value: &configpb.Record_Quarantine{Quarantine: quarantine}})
	assertRefused(t, s.admitCall("poison"), rpcpb.RunRefusal_RUN_REFUSAL_QUARANTINED, true)
	assert.Assert(t, s.admitCall("innocent").started)
}

// TestOtherIncarnationIsNotReportedAsNotRun checks that a restarted sidecar never reports
// an attempt as not run that was sent to an earlier incarnation.
func TestOtherIncarnationIsNotReportedAsNotRun(t *testing.T) {
	s := newTestSidecar()
	req := runRequest("c", 1, 1)
	req.Incarnation = "former"
	assertRefused(t, s.admit(req), rpcpb.RunRefusal_RUN_REFUSAL_OTHER_INCARNATION, false)
	resp, err := s.serveFence(t.Context(), &rpcpb.FenceRequest{Key: req.Key, Attempt: 1, Incarnation: "former"})
	assert.NilError(t, err)
	assert.Assert(t, !resp.NeverStarted)
}
