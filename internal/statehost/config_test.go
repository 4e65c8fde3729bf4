package statehost

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/proto/fleetpb"
)

func putRoutes(t *testing.T, s *configState, version uint64, document string) {
	t.Helper()
	data, err := proto.Marshal(&fleetpb.ConfigCommand{Kind: &fleetpb.ConfigCommand_PutRoutes{
		PutRoutes: &fleetpb.Routes{Version: version, Document: []byte(document)},
	}})
	assert.NilError(t, err)
	s.Apply(1, data)
}

func TestHighestRoutesVersionIsInForce(t *testing.T) {
	s := newConfigState()
	putRoutes(t, s, 5, "five")
	putRoutes(t, s, 4, "four")
	putRoutes(t, s, 5, "another five")
	got, _ := s.read()
	assert.Equal(t, string(got.Routes.Document), "five")
	putRoutes(t, s, 9, "nine")
	got, _ = s.read()
	assert.Equal(t, got.Routes.Version, uint64(9))
}

func TestConfigSnapshotKeepsRoutesAndRetirements(t *testing.T) {
	s := newConfigState()
	putRoutes(t, s, 5, "five")
	data, err := proto.Marshal(&fleetpb.ConfigCommand{Kind: &fleetpb.ConfigCommand_Retire{
		Retire: &fleetpb.Retirement{Name: "host", Address: "10.0.0.1:1"},
	}})
	assert.NilError(t, err)
	s.Apply(2, data)
	var snapshot bytes.Buffer
	assert.NilError(t, s.Snapshot(&snapshot))
	next := newConfigState()
	assert.NilError(t, next.Restore(&snapshot))
	want, _ := s.read()
	got, _ := next.read()
	assert.Assert(t, proto.Equal(want, got))
	assert.Assert(t, next.isRetiring("10.0.0.1:1"))
}

func TestChangeNotifiesWatchers(t *testing.T) {
	s := newConfigState()
	_, changed := s.read()
	putRoutes(t, s, 5, "five")
	select {
	case <-changed:
	default:
		t.Fatal("a change did not notify the watchers")
	}
	_, changed = s.read()
	putRoutes(t, s, 5, "same version")
	select {
	case <-changed:
		t.Fatal("watchers were notified without a change")
	default:
	}
}
