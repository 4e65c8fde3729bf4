package config

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/proto/configpb"
)

type fixture struct {
	t     testing.TB
	state *State
	index uint64
	nowMs int64
}

func newFixture(t testing.TB) *fixture {
	return &fixture{t: t, state: New(), nowMs: 1_000_000}
}

func (f *fixture) apply(cmd *configpb.Command) *configpb.Result {
	f.t.Helper()
	cmd.NowMs = f.nowMs
	data, err := proto.Marshal(cmd)
	assert.NilError(f.t, err)
	f.index++
	return f.state.Apply(f.index, data).(*configpb.Result)
}

func putCommand(id string, expected uint64, record *configpb.Record) *configpb.Command {
	put := &configpb.Put{Record: record, ExpectedVersion: expected}
	return &configpb.Command{ChangeId: id, Op: &configpb.Command_Put{Put: put}}
}

func (f *fixture) put(id string, expected uint64, record *configpb.Record) *configpb.Result {
	f.t.Helper()
	return f.apply(putCommand(id, expected, record))
}

func (f *fixture) remove(id, key string, expected uint64) *configpb.Result {
	f.t.Helper()
	op := &configpb.Delete{Key: key, ExpectedVersion: expected}
	return f.apply(&configpb.Command{ChangeId: id, Op: &configpb.Command_Delete{Delete: op}})
}

func (f *fixture) reportCrash(id, server string, requests ...string) *configpb.Result {
	f.t.Helper()
	op := &configpb.ReportCrash{Server: server, Fingerprints: fingerprints(requests)}
	return f.apply(&configpb.Command{ChangeId: id, Op: &configpb.Command_ReportCrash{ReportCrash: op}})
}

func (f *fixture) clearSuspects(id string, requests ...string) {
	f.t.Helper()
	op := &configpb.ClearSuspects{Fingerprints: fingerprints(requests)}
	f.apply(&configpb.Command{ChangeId: id, Op: &configpb.Command_ClearSuspects{ClearSuspects: op}})
}

func fingerprint(request string) []byte {
	sum := sha256.Sum256([]byte(request))
	return sum[:]
}

func fingerprints(requests []string) [][]byte {
	var list [][]byte
	for _, request := range requests {
		list = append(list, fingerprint(request))
	}
	return list
}

func (f *fixture) snapshot() []byte {
	f.t.Helper()
	var buf bytes.Buffer
	assert.NilError(f.t, f.state.Snapshot(&buf))
	return buf.Bytes()
}

// restart replaces the state by one that is restored from its snapshot.
func (f *fixture) restart() {
	f.t.Helper()
	data := f.snapshot()
	f.state = New()
	assert.NilError(f.t, f.state.Restore(bytes.NewReader(data)))
	assert.DeepEqual(f.t, f.snapshot(), data)
}

// view returns a view of the whole configuration.
func (f *fixture) view() *View {
	f.t.Helper()
	v, err := new(View).WithChanges(f.state.ChangesSince(0))
	assert.NilError(f.t, err)
	return v
}

func stopRecord(scope configpb.StopScope, name string) *configpb.Record {
	return &configpb.Record{Value: &configpb.Record_Stop{Stop: &configpb.Stop{Scope: scope, Name: name}}}
}

func orderRecord(server, model string) *configpb.Record {
	order := &configpb.EngineOrder{Server: server, Models: []*configpb.EngineModel{{Model: model}}}
	return &configpb.Record{Value: &configpb.Record_EngineOrder{EngineOrder: order}}
}

func placementRecord(domains ...string) *configpb.Record {
	placement := &configpb.Placement{Shard: 7, Region: "mx-gulf"}
	for i, domain := range domains {
		placement.Replicas = append(placement.Replicas, &configpb.PlacedReplica{
			Id: uint64(i + 1), Address: fmt.Sprintf("127.0.0.%d:7000", i+1), FailureDomain: domain,
		})
	}
	return &configpb.Record{Value: &configpb.Record_Placement{Placement: placement}}
}

func assertRefused(t testing.TB, result *configpb.Result, reason configpb.Reason) {
	t.Helper()
	assert.Equal(t, result.GetRefusal().GetReason(), reason, "%v", result)
}

func TestPlannedStopIsPutAndDeleted(t *testing.T) {
	f := newFixture(t)
	result := f.put("a", 0, stopRecord(configpb.StopScope_STOP_SCOPE_HOST, "h1"))
	assert.Equal(t, result.GetVersion(), uint64(1))
	assert.Equal(t, result.GetRecords()[0].GetStop().GetAnnouncedMs(), f.nowMs)
	assert.Assert(t, f.view().PlannedStop("s1", "h1", "d1") != nil)
	assert.Assert(t, f.view().PlannedStop("s1", "h2", "d1") == nil)
	assert.Assert(t, f.view().PlannedStop("h1", "", "") == nil)
	key := StopKey(configpb.StopScope_STOP_SCOPE_HOST, "h1")
	assertRefused(t, f.remove("b", key, 2), configpb.Reason_REASON_VERSION_CONFLICT)
	assert.Equal(t, f.remove("b", key, 1).GetVersion(), uint64(2))
	assert.Assert(t, f.view().PlannedStop("s1", "h1", "d1") == nil)
}

func TestOneOfTwoConcurrentChangesIsAccepted(t *testing.T) {
	f := newFixture(t)
	f.put("first", 0, orderRecord("e1", "a"))
	assert.Equal(t, f.put("x", 1, orderRecord("e1", "b")).GetVersion(), uint64(2))
	refused := f.put("y", 1, orderRecord("e1", "c"))
	assertRefused(t, refused, configpb.Reason_REASON_VERSION_CONFLICT)
	assert.Equal(t, refused.GetRefusal().GetWinner().GetEngineOrder().GetModels()[0].GetModel(), "b")
	assert.Equal(t, f.state.Version(), uint64(2))
}

func TestResendReturnsFirstResult(t *testing.T) {
	f := newFixture(t)
	firstResult := f.put("x", 0, orderRecord("e1", "a"))
	f.put("y", 1, orderRecord("e1", "b"))
	f.restart()
	assert.Assert(t, proto.Equal(f.put("x", 0, orderRecord("e1", "a")), firstResult))
	assertRefused(t, f.put("x", 0, orderRecord("e1", "z")), configpb.Reason_REASON_CHANGE_ID_REUSED)
	assert.Equal(t, f.view().EngineOrder("e1").GetModels()[0].GetModel(), "b")
}

func TestResendOfForgottenChangeChangesNothing(t *testing.T) {
	f := newFixture(t)
	f.put("first", 0, orderRecord("e1", "a"))
	for i := range MaxRetainedChanges {
		f.put(fmt.Sprintf("c%d", i), uint64(i+1), orderRecord("e1", "b"))
	}
	before := f.state.Version()
	assertRefused(t, f.put("first", 0, orderRecord("e1", "a")), configpb.Reason_REASON_VERSION_CONFLICT)
	assert.Equal(t, f.state.Version(), before)
}

func TestFenceIncreasesAcrossDeletion(t *testing.T) {
	f := newFixture(t)
	f.put("a", 0, orderRecord("e1", "a"))
	before := f.view().EngineOrder("e1").GetFence()
	f.remove("b", EngineOrderKey("e1"), 1)
	f.restart()
	order := orderRecord("e1", "a")
	order.GetEngineOrder().Fence = 1
	version := f.put("c", 0, order).GetVersion()
	assert.Assert(t, f.view().EngineOrder("e1").GetFence() > before)
	assert.Equal(t, f.view().EngineOrder("e1").GetFence(), version)
}

func TestVotersMustNotShareFailureDomain(t *testing.T) {
	f := newFixture(t)
	assertRefused(t, f.put("a", 0, placementRecord("d1", "d2", "d1")), configpb.Reason_REASON_INVALID)
	withLearner := placementRecord("d1", "d2", "d3", "d1")
	withLearner.GetPlacement().Replicas[3].Learner = true
	assert.Equal(t, f.put("b", 0, withLearner).GetVersion(), uint64(1))
	assert.Equal(t, len(f.view().Placement(7).GetReplicas()), 4)
}

func TestFullTableRefusesNewRecords(t *testing.T) {
	f := newFixture(t)
	for i := range maxRecords[kindStop] {
		f.put(fmt.Sprint(i), 0, stopRecord(configpb.StopScope_STOP_SCOPE_SERVER, fmt.Sprint(i)))
	}
	more := stopRecord(configpb.StopScope_STOP_SCOPE_SERVER, "more")
	assertRefused(t, f.put("more", 0, more), configpb.Reason_REASON_TABLE_FULL)
	f.remove("lift", StopKey(configpb.StopScope_STOP_SCOPE_SERVER, "0"), 1)
	assert.Assert(t, f.put("more", 0, more).GetRefusal() == nil)
}

func TestBadSnapshotChangesNothing(t *testing.T) {
	f := newFixture(t)
	f.put("a", 0, orderRecord("e1", "a"))
	data := f.snapshot()
	for i := range data {
		damaged := bytes.Clone(data)
		damaged[i] ^= 1
		assert.ErrorIs(t, f.state.Restore(bytes.NewReader(damaged)), ErrInvalidSnapshot)
		assert.ErrorIs(t, f.state.Restore(bytes.NewReader(data[:i])), ErrInvalidSnapshot)
	}
	assert.DeepEqual(t, f.snapshot(), data)
}

// FuzzApply checks that a refused command leaves the version unchanged and that
// after any commands the state can be restored from its snapshot.
func FuzzApply(f *testing.F) {
	seed, err := proto.Marshal(putCommand("a", 0, placementRecord("d1", "d2", "d3")))
	assert.NilError(f, err)
	f.Add(seed, seed)
	f.Fuzz(func(t *testing.T, a, b []byte) {
		fx := newFixture(t)
		for i, data := range [][]byte{a, b, a} {
			before := fx.state.Version()
			result := fx.state.Apply(uint64(i), data).(*configpb.Result)
			if result.GetRefusal() != nil {
				assert.Equal(t, fx.state.Version(), before)
			}
		}
		fx.restart()
	})
}
