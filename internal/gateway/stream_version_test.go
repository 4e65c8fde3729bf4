package gateway

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/leaderclient"
	"ibistray.example/ibistray/proto/fleetpb"
)

// setVersions makes the entry learn the software versions of servers by ID.
func (f *fixture) setVersions(versions map[string]string, servers ...*backend) {
	update := &fleetpb.Update{}
	for _, server := range servers {
		instance := instanceOf(server)
		instance.Version, instance.Sequence = versions[server.id], 2
		update.Instances = append(update.Instances, instance)
	}
	f.view.apply("test", update)
}

// software returns what the ledger records of a stream of the test service at a version.
func software(version string) string { return "s/" + version }

// streamFrom sends the events up to the sixth one, starting after the last one that the
// request names. The first response breaks off after the third event.
func streamFrom(w http.ResponseWriter, r *http.Request, body string) {
	if r.Header.Get("After") == "3" {
		streamEvents(4, 6, true)(w, r, body)
		return
	}
	streamEvents(1, 3, false)(w, r, body)
}

func TestBrokenStreamStaysAtItsVersion(t *testing.T) {
	servers := []*backend{newBackend(t, "a", streamFrom), newBackend(t, "b", streamFrom), newBackend(t, "c", streamFrom)}
	versions := map[string]string{"a": "v1", "b": "v2", "c": "v1"}
	f := newFixture(t, servers...)
	f.setVersions(versions, servers...)
	used := make(map[string]bool)
	for _, id := range []string{"p", "q", "r", "s", "t", "u", "v", "w"} {
		got := f.send(t, http.MethodPost, "/stream/x", "in", "Id", id, "Program", id, "Budget", "1")
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, eventText(1, 6))
		for _, server := range servers {
			if slices.Contains(server.executed(), id+":in") {
				assert.Equal(t, software(versions[server.id]), f.ledger.streams[id])
				used[versions[server.id]] = true
			}
		}
	}
	assert.Equal(t, len(used), 2, "the programs use servers of %v only", used)
}

func TestClientResumesStreamAtItsVersion(t *testing.T) {
	for _, path := range []string{"/stream/x", "/feed/x"} {
		a, b := newBackend(t, "a", streamFrom), newBackend(t, "b", streamFrom)
		f := newFixture(t, a, b)
		f.setVersions(map[string]string{"a": "v1", "b": "v2"}, a, b)
		for _, version := range []string{"v1", "v2"} {
			f.ledger.streams["first"] = software(version)
			got := f.send(t, http.MethodPost, path, "in", "Id", "again "+version, "After", "3", "Resumes", "first", "Program", "p")
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, eventText(4, 6))
		}
		assert.DeepEqual(t, a.executed(), []string{"again v1:in"})
		assert.DeepEqual(t, b.executed(), []string{"again v2:in"})
	}
}

// TestStreamIsNotResumedAtUncertainVersion has clients that resume a stream whose version is
// not recorded, is not named or does not serve any more.
func TestStreamIsNotResumedAtUncertainVersion(t *testing.T) {
	cases := map[string]struct {
		recorded, resumes string
		versions          map[string]string
		served            bool
	}{
		"recorded":               {"v1", "first", map[string]string{"a": "v1", "b": "v2"}, true},
		"not recorded":           {"", "first", map[string]string{"a": "v1", "b": "v1"}, false},
		"version gone":           {"v1", "first", map[string]string{"a": "v2", "b": "v2"}, false},
		"not named":              {"v1", "", map[string]string{"a": "v1", "b": "v2"}, false},
		"not named, one version": {"", "", map[string]string{"a": "v1", "b": "v1"}, false},
	}
	for name, c := range cases {
		for _, path := range []string{"/stream/x", "/feed/x"} {
			t.Run(name+path, func(t *testing.T) {
				a, b := newBackend(t, "a", streamFrom), newBackend(t, "b", streamFrom)
				f := newFixture(t, a, b)
				f.setVersions(c.versions, a, b)
				if c.recorded != "" {
					f.ledger.streams["first"] = software(c.recorded)
				}
				got := f.send(t, http.MethodPost, path, "in", "Id", "again", "After", "3", "Resumes", c.resumes, "Program", "p")
				assert.NilError(t, got.err)
				if c.served {
					assert.Equal(t, got.body, eventText(4, 6))
					return
				}
				assert.Equal(t, got.status, http.StatusServiceUnavailable)
				assert.Equal(t, len(a.executed())+len(b.executed()), 0)
			})
		}
	}
}

// TestStreamIsResumedAtEntryThatHasJustStarted has an entry that learns the servers while it
// handles the request.
func TestStreamIsResumedAtEntryThatHasJustStarted(t *testing.T) {
	b := newBackend(t, "b", streamFrom)
	f := newFixture(t)
	f.ledger.streams["first"] = software("v2")
	learned := time.AfterFunc(100*time.Millisecond, func() { f.setVersions(map[string]string{"b": "v2"}, b) })
	defer learned.Stop()
	got := f.send(t, http.MethodPost, "/stream/x", "in", "Id", "again", "After", "3", "Resumes", "first", "Program", "p")
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventText(4, 6))
}

// TestMovedStreamIsRecordedBeforeItsFirstEvent has a version whose servers refuse all
// requests. Before it has output, a stream may move to another version.
func TestMovedStreamIsRecordedBeforeItsFirstEvent(t *testing.T) {
	for _, path := range []string{"/stream/x", "/feed/x"} {
		a, b := newFullBackend(t, "a"), newBackend(t, "b", streamEvents(1, 2, true))
		f := newFixture(t, a, b)
		f.setVersions(map[string]string{"a": "v1", "b": "v2"}, a, b)
		for _, id := range []string{"1", "2", "3", "4", "5", "6"} {
			got := f.send(t, http.MethodPost, path, "in", "Id", id, "Program", id, "Budget", "1")
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, eventText(1, 2))
			assert.Equal(t, f.ledger.streams[id], software("v2"))
		}
	}
}

// TestStreamDoesNotMoveWithoutRecord has a ledger that fails. A first record may be missing,
// since the stream is then not resumed; an outdated one must not stay.
func TestStreamDoesNotMoveWithoutRecord(t *testing.T) {
	a, b := newFullBackend(t, "a"), newBackend(t, "b", streamEvents(1, 2, true))
	f := newFixture(t, a, b)
	f.ledger.openErr = leaderclient.ErrUnavailable
	assert.Equal(t, f.send(t, http.MethodPost, "/feed/x", "in", "Id", "0").status, http.StatusOK)
	f.setVersions(map[string]string{"a": "v1", "b": "v2"}, a, b)
	refused := 0
	for _, id := range []string{"1", "2", "3", "4", "5", "6"} {
		if got := f.send(t, http.MethodPost, "/stream/x", "in", "Id", id, "Program", id); got.status == http.StatusServiceUnavailable {
			assert.Equal(t, got.body, reasonLedgerUnavailable+"\n")
			assert.Equal(t, f.ledger.streams[id], software("v1"))
			refused++
			continue
		}
		assert.Equal(t, f.ledger.streams[id], software("v2"))
	}
	assert.Assert(t, refused > 0)
	assert.Equal(t, len(b.executed()), 7-refused)
}
