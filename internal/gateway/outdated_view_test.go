package gateway

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/fleetwatch"
	"ibistray.example/ibistray/proto/fleetpb"
)

// standStill makes an entry appear to have stood still, or to have been cut off from all state
// hosts, for a time.
func (f *fixture) standStill(d time.Duration) {
	f.view.maxSilence = fleetwatch.SilenceTimeout
	f.view.lastUpdate.Add(-d.Nanoseconds())
}

// outdatedEntry returns an entry that stood still while server "b" started anew at v2 under its ID
// and address, and the update that tells so. The stream "first" began at v1 at another entry.
func outdatedEntry(t *testing.T) (*fixture, *backend, *fleetpb.Update) {
	restarted := newBackend(t, "b", versionedEvents("v2", 6))
	f := startEntry(t, nil, map[string]string{"b": "v1"}, restarted)
	f.ledger.streams["first"] = software("v1")
	f.standStill(5 * time.Second)
	instance := instanceOf(restarted)
	instance.BornMs, instance.Sequence, instance.Version = 2, 1, "v2"
	return f, restarted, &fleetpb.Update{Quorum: true, Instances: []*fleetpb.Instance{instance}}
}

// TestEntryThatStoodStillJoinsNoStreamsOfTwoVersions guards against a stream that goes on at a
// server which has started anew at another version, unknown to an entry that stood still.
func TestEntryThatStoodStillJoinsNoStreamsOfTwoVersions(t *testing.T) {
	for _, path := range []string{"/stream/x", "/feed/x"} {
		for _, updated := range []bool{false, true} {
			f, restarted, update := outdatedEntry(t)
			if updated {
				time.AfterFunc(viewTimeout/4, func() { f.view.apply("state host", update) })
			}
			got := f.send(t, http.MethodPost, path, "in", "Id", "again", "Program", "p", "After", "3", "Resumes", "first")
			assert.Equal(t, len(restarted.executed()), 0, "v2 went on with a stream of v1: %s", got.body)
			assert.Equal(t, got.status, http.StatusServiceUnavailable)
			assert.Equal(t, got.close, !updated, "the client stays at an entry that has no contact")
		}
	}
}

// TestEntryThatStoodStillRecordsNoVersion guards against a stream that begins at a server which has
// started anew, and is recorded at the version that the server had before.
func TestEntryThatStoodStillRecordsNoVersion(t *testing.T) {
	f, restarted, update := outdatedEntry(t)
	assert.Equal(t, f.send(t, http.MethodPost, "/stream/x", "in", "Id", "1", "Program", "p").status, http.StatusServiceUnavailable)
	assert.Equal(t, f.send(t, http.MethodPost, "/feed/x", "in", "Id", "2").status, http.StatusOK)
	assert.Equal(t, f.ledger.streams["2"], "", "recorded without contact to a state host")
	assert.DeepEqual(t, restarted.executed(), []string{"2:in"})
	time.AfterFunc(viewTimeout/4, func() { f.view.apply("state host", update) })
	assert.Equal(t, f.send(t, http.MethodPost, "/stream/x", "in", "Id", "3", "Program", "p").status, http.StatusOK)
	assert.Equal(t, f.ledger.streams["3"], software("v2"))
}
