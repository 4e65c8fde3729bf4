package gateway

import (
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/leaderclient"
	"ibistray.example/ibistray/internal/routing"
	"ibistray.example/ibistray/proto/fleetpb"
)

// versionedEvents returns a handler that sends the events after the last one that the request
// names, up to the given one, each with the version of its server. It then breaks off, unless
// the stream ends there.
func versionedEvents(version string, upTo int) func(http.ResponseWriter, *http.Request, string) {
	const last = 6
	return func(w http.ResponseWriter, r *http.Request, _ string) {
		after := 0
		if _, err := fmt.Sscan(r.Header.Get("After"), &after); err != nil {
			after = 0
		}
		w.Header().Set("Content-Type", "text/event-stream")
		for id := after + 1; id <= max(upTo, after+1); id++ {
			fmt.Fprintf(w, "id: %d\ndata: %s token %d\n\n", id, version, id)
		}
		if max(upTo, after+1) < last {
			if err := http.NewResponseController(w).Flush(); err != nil {
				return
			}
			panic(http.ErrAbortHandler)
		}
	}
}

var versionedEventPattern = regexp.MustCompile(`id: (\d+)\ndata: (\S+) token`)

// versionsIn returns the distinct versions of the events in text.
func versionsIn(text string) []string {
	var versions []string
	for _, event := range versionedEventPattern.FindAllStringSubmatch(text, -1) {
		if !strings.Contains(strings.Join(versions, " "), event[2]) {
			versions = append(versions, event[2])
		}
	}
	return versions
}

// startEntry returns an entry that has just started and knows the given servers. It uses the
// ledger of an earlier entry.
func startEntry(t *testing.T, ledger *fakeLedger, versions map[string]string, servers ...*backend) *fixture {
	t.Helper()
	f := newFixture(t, servers...)
	f.setVersions(versions, servers...)
	if ledger != nil {
		f.Gateway.ledger, f.ledger = ledger, ledger
	}
	return f
}

var rejoinVersions = map[string]string{"old": "v1", "old2": "v1", "new": "v2"}

// rejoinCase is a stream that breaks off at one entry, which is then killed. Its client resumes
// it at an entry that has just started.
type rejoinCase struct {
	name        string
	resumes     string            // ID that the client names
	sees        string            // versions in the view of the second entry
	lose        func(*fakeLedger) // happens while the first entry is down
	firstFails  bool              // the ledger is unavailable at the first request
	served      bool              // the stream goes on at its version
	feedRefused bool              // on routes without program turns it is refused all the same
	ledgerError error             // of the ledger when the stream is resumed
}

func forgetStreams(l *fakeLedger) { clear(l.streams); clear(l.contents) }

var rejoinCases = []rejoinCase{
	{name: "not named, only the new version in view", sees: "new"},
	{name: "not named, both versions", sees: "old2 new", served: true, feedRefused: true},
	{name: "not named, only the old version", sees: "old2", served: true, feedRefused: true},
	{name: "not named, record lost", sees: "new", lose: forgetStreams},
	{name: "not named, record lost, both versions", sees: "old2 new", lose: forgetStreams},
	{name: "named, only the new version in view", resumes: "first", sees: "new"},
	{name: "named, both versions", resumes: "first", sees: "old2 new", served: true},
	{name: "named, record lost", resumes: "first", sees: "new", lose: forgetStreams},
	{name: "named, record not read", resumes: "first", sees: "old2 new", ledgerError: leaderclient.ErrUnavailable},
	{name: "another request named", resumes: "other", sees: "new"},
	{name: "not named, first record failed", sees: "new", firstFails: true},
	{name: "named, first record failed", resumes: "first", sees: "new", firstFails: true},
}

// TestStreamOfKilledEntryIsNotJoinedFromTwoVersions has clients that resume a stream of the old
// version at an entry that knows the servers of both versions, of one or of the other.
func TestStreamOfKilledEntryIsNotJoinedFromTwoVersions(t *testing.T) {
	for _, c := range rejoinCases {
		for _, path := range []string{"/stream/x", "/feed/x"} {
			t.Run(c.name+path, func(t *testing.T) { c.run(t, path) })
		}
	}
}

func (c *rejoinCase) run(t *testing.T, path string) {
	first := startEntry(t, nil, rejoinVersions, newBackend(t, "old", versionedEvents("v1", 3)))
	if c.firstFails {
		first.ledger.openErr = leaderclient.ErrUnavailable
	}
	if path == "/stream/x" && c.firstFails {
		// The reservation of the turn carries the record, and fails with it.
		first.ledger.beginErr = leaderclient.ErrUnavailable
	}
	first.send(t, http.MethodPost, path, "in", "Id", "first", "Program", "p")
	ledger := first.ledger
	ledger.openErr, ledger.beginErr = c.ledgerError, c.ledgerError
	if c.lose != nil {
		c.lose(ledger)
	}

	all := map[string]*backend{"old2": newBackend(t, "old2", versionedEvents("v1", 6)), "new": newBackend(t, "new", versionedEvents("v2", 6))}
	var servers []*backend
	for name := range strings.FieldsSeq(c.sees) {
		servers = append(servers, all[name])
	}
	second := startEntry(t, ledger, rejoinVersions, servers...)
	got := second.send(t, http.MethodPost, path, "in", "Id", "again", "Program", "p", "After", "3", "Resumes", c.resumes)
	assert.NilError(t, got.err)
	assert.Equal(t, len(all["new"].executed()), 0, "the new version went on: %s", got.body)
	if c.served && (path != "/feed/x" || !c.feedRefused) {
		assert.Equal(t, got.status, http.StatusOK)
		assert.DeepEqual(t, versionsIn(got.body), []string{"v1"})
		return
	}
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, len(all["old2"].executed()), 0)
}

// TestStreamResumedTwiceStaysAtItsVersion has a stream that is resumed at a second entry, where
// it breaks off again, and then at a third one. The client names the attempt that began the
// stream, the resumption, or nothing.
func TestStreamResumedTwiceStaysAtItsVersion(t *testing.T) {
	for _, named := range []string{"first", "second", ""} {
		t.Run("names "+named, func(t *testing.T) {
			first := startEntry(t, nil, rejoinVersions, newBackend(t, "old", versionedEvents("v1", 2)))
			body := first.send(t, http.MethodPost, "/stream/x", "in", "Id", "first", "Program", "p").body
			second := startEntry(t, first.ledger, rejoinVersions, newBackend(t, "old", versionedEvents("v1", 4)), newBackend(t, "new", versionedEvents("v2", 6)))
			got := second.send(t, http.MethodPost, "/stream/x", "in", "Id", "second", "Program", "p", "After", "2", "Resumes", "first")
			body += got.body
			assert.DeepEqual(t, versionsIn(body), []string{"v1"})
			third := startEntry(t, first.ledger, rejoinVersions, newBackend(t, "old2", versionedEvents("v1", 6)), newBackend(t, "new", versionedEvents("v2", 6)))
			events := versionedEventPattern.FindAllStringSubmatch(body, -1)
			got = third.send(t, http.MethodPost, "/stream/x", "in", "Id", "third", "Program", "p", "After", events[len(events)-1][1], "Resumes", named)
			assert.Equal(t, got.status, http.StatusOK)
			assert.DeepEqual(t, versionsIn(body+got.body), []string{"v1"})
		})
	}
}

// TestStreamBreaksWhenItsVersionLeavesWithinTheResponse has the last servers of the old version
// leave while one of them sends a resumed stream.
func TestStreamBreaksWhenItsVersionLeavesWithinTheResponse(t *testing.T) {
	var second *fixture
	leave := func(w http.ResponseWriter, r *http.Request, body string) {
		gone := &fleetpb.Instance{Id: "old2", Service: "s", Address: r.Host, Slots: 8, BornMs: 1, Sequence: 9, State: fleetpb.State_STATE_DRAINING, Version: "v1"}
		second.view.apply("test", &fleetpb.Update{Instances: []*fleetpb.Instance{gone}})
		versionedEvents("v1", 4)(w, r, body)
	}
	old, next := newBackend(t, "old2", leave), newBackend(t, "new", versionedEvents("v2", 6))
	ledger := startEntry(t, nil, nil).ledger
	ledger.streams["first"] = software("v1")
	second = startEntry(t, ledger, rejoinVersions, old, next)
	got := second.send(t, http.MethodPost, "/stream/x", "in", "Id", "again", "Program", "p", "After", "3", "Resumes", "first")
	assert.Assert(t, got.err != nil, "the stream looks complete: %s", got.body)
	assert.Equal(t, len(next.executed()), 0)
}

// TestStreamsOfOneContentAndTwoVersionsAreNotGuessed has a turn that was begun twice, at two
// versions, and is resumed by a client that does not name either.
func TestStreamsOfOneContentAndTwoVersionsAreNotGuessed(t *testing.T) {
	first := startEntry(t, nil, rejoinVersions, newBackend(t, "old", versionedEvents("v1", 3)))
	first.send(t, http.MethodPost, "/stream/x", "in", "Id", "1", "Program", "p")
	next := newBackend(t, "new", versionedEvents("v2", 3))
	second := startEntry(t, first.ledger, rejoinVersions, next)
	second.send(t, http.MethodPost, "/stream/x", "in", "Id", "2", "Program", "p")
	got := second.send(t, http.MethodPost, "/stream/x", "in", "Id", "3", "Program", "p", "After", "3")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.body, reasonUnknownStream+"\n")
}

// TestStreamIsNotResumedAtAnotherService has a route that moved to another service, whose servers
// have the same version, while a client held a part of a stream.
func TestStreamIsNotResumedAtAnotherService(t *testing.T) {
	first := startEntry(t, nil, rejoinVersions, newBackend(t, "old", versionedEvents("v1", 3)))
	first.send(t, http.MethodPost, "/stream/x", "in", "Id", "first", "Program", "p")
	moved := newBackend(t, "old2", versionedEvents("v1", 6))
	second := startEntry(t, first.ledger, rejoinVersions, moved)
	second.useService(t, "t", moved)
	for _, named := range []string{"first", ""} {
		got := second.send(t, http.MethodPost, "/stream/x", "in", "Id", "again "+named, "Program", "p", "After", "3", "Resumes", named)
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Equal(t, got.body, reasonVersionGone+"\n")
	}
	assert.Equal(t, len(moved.executed()), 0)
}

// useService moves all routes to another service, to which a server belongs from now on.
func (f *fixture) useService(t *testing.T, name string, server *backend) {
	t.Helper()
	old := f.view.routes.Load()
	moved := &routing.Document{Version: old.Version + 1, Services: map[string]*routing.Service{name: {Name: name}}}
	for _, r := range old.Routes {
		route := *r
		route.Backends = []routing.Backend{{Service: name, Weight: 1}}
		moved.Routes = append(moved.Routes, &route)
	}
	assert.NilError(t, moved.Validate())
	f.view.routes.Store(moved)
	instance := instanceOf(server)
	instance.Id, instance.Service, instance.Version, instance.Sequence, instance.BornMs = server.id, name, "v1", 3, 2
	f.view.apply("test", &fleetpb.Update{Instances: []*fleetpb.Instance{instance}})
}
