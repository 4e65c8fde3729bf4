package config

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"ibistray.example/ibistray/proto/configpb"
)

func TestViewRejectsOlderChanges(t *testing.T) {
	f := newFixture(t)
	f.put("a", 0, orderRecord("e1", "a"))
	older := f.state.ChangesSince(0)
	f.put("b", 1, orderRecord("e1", "b"))
	view := f.view()
	updated, err := view.WithChanges(older)
	assert.ErrorIs(t, err, ErrStaleChanges)
	assert.Assert(t, updated == nil)
	_, err = view.WithChanges(newFixture(t).state.ChangesSince(view.Version()))
	assert.ErrorIs(t, err, ErrStaleChanges)
}

func TestChangedClosesOnlyWhenAChangeIsAccepted(t *testing.T) {
	f := newFixture(t)
	changed := f.state.Changed()
	f.put("a", 7, orderRecord("e1", "a"))
	select {
	case <-changed:
		t.Fatal("a refused command closed the channel")
	default:
	}
	f.put("a", 0, orderRecord("e1", "a"))
	<-changed
}

func TestOutdatedViewGetsTheWholeConfiguration(t *testing.T) {
	f := newFixture(t)
	f.put("keep", 0, orderRecord("e1", "a"))
	view := f.view()
	for i := range RetainedTombstones + tombstoneSlack + 2 {
		server := fmt.Sprintf("s%d", i)
		version := f.put("p"+server, 0, orderRecord(server, "a")).GetVersion()
		f.remove("d"+server, EngineOrderKey(server), version)
	}
	assert.Equal(t, len(f.state.records), 1+RetainedTombstones+1)
	f.restart()
	changes := f.state.ChangesSince(view.Version())
	assert.Assert(t, changes.GetFull())
	assert.Equal(t, len(changes.GetRecords()), 1)
	assert.Assert(t, !f.state.ChangesSince(f.state.Version()-1).GetFull())
}

// TestViewsMatchTheState updates views at random times, with restarts of the state
// in between, and compares their records with those of the state.
func TestViewsMatchTheState(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFixture(t)
		views := []*View{new(View), new(View)}
		steps := rapid.IntRange(1, 40).Draw(rt, "steps")
		for step := range steps {
			f.randomChange(rt, fmt.Sprint(step))
			if rapid.Bool().Draw(rt, "restart") {
				f.restart()
			}
			i := rapid.IntRange(0, len(views)-1).Draw(rt, "view")
			next, err := views[i].WithChanges(f.state.ChangesSince(views[i].Version()))
			assert.NilError(rt, err)
			views[i] = next
			assert.DeepEqual(rt, versionedKeys(views[i].records), f.liveKeys())
		}
	})
}

func (f *fixture) randomChange(rt *rapid.T, id string) {
	server := fmt.Sprintf("e%d", rapid.IntRange(0, 3).Draw(rt, "server"))
	current := f.state.Get(EngineOrderKey(server)).GetVersion()
	switch rapid.IntRange(0, 4).Draw(rt, "operation") {
	case 0, 1:
		f.put(id, current, orderRecord(server, id))
	case 2:
		f.remove(id, EngineOrderKey(server), current)
	case 3:
		f.reportCrash(id, server, rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 3).Draw(rt, "requests")...)
	case 4:
		f.clearSuspects(id, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "request"))
	}
}

// versionedKeys returns the keys with the version of each record, sorted.
func versionedKeys(records map[string]*configpb.Record) []string {
	keys := []string{}
	for _, key := range slices.Sorted(maps.Keys(records)) {
		keys = append(keys, fmt.Sprintf("%s@%d", key, records[key].GetVersion()))
	}
	return keys
}

func (f *fixture) liveKeys() []string {
	live := maps.Clone(f.state.records)
	maps.DeleteFunc(live, func(_ string, r *configpb.Record) bool { return r.GetDeleted() })
	return versionedKeys(live)
}
