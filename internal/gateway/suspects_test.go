package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/fleet"
	"ibistray.example/ibistray/internal/policy/quarantine"
	"ibistray.example/ibistray/proto/fleetpb"
)

// TestRequestThatCrashesServersIsStopped has servers that end while they run a
// request and start again: the request comes again and again, its servers do not.
func TestRequestThatCrashesServersIsStopped(t *testing.T) {
	var list []*backend
	for i := range 6 {
		list = append(list, newBackend(t, fmt.Sprint("s", i), breakOff))
	}
	f := newFixture(t, list...)
	total := func() int {
		n := 0
		for _, b := range list {
			n += len(b.ran())
		}
		return n
	}
	born := int64(1)
	for range 6 {
		f.ask(t, http.MethodPost, "/unsafe/x", "poison", "Id", "1")
		// Every server that crashed is back under its ID.
		born++
		update := new(fleetpb.Update)
		for _, b := range list {
			i := instanceOf(b)
			i.BornMs = born
			update.Instances = append(update.Instances, i)
		}
		f.view.take("test", update)
	}
	assert.Equal(t, total(), 3)
	got := f.ask(t, http.MethodPost, "/unsafe/x", "poison", "Id", "2")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, total(), 3)
	f.ask(t, http.MethodPost, "/unsafe/x", "another body", "Id", "3")
	assert.Equal(t, total(), 4)
}

func testSuspects() (*suspects, *[]*fleetpb.Crash) {
	reports := new([]*fleetpb.Crash)
	s := newSuspects(hclog.NewNullLogger(), func(c *fleetpb.Crash) { *reports = append(*reports, c) })
	return s, reports
}

func TestLostAnswersOfServersThatLiveOnCountNothing(t *testing.T) {
	s, reports := testSuspects()
	f := quarantine.ComputeFingerprint("POST /x", nil, []byte("b"))
	server := &fleet.Instance{ID: "a", StartUnixMs: 1, Address: "10.0.0.1:80"}
	for range 10 {
		s.broke(f, server, noon)
		s.started([]*fleet.Instance{server}, noon.Add(time.Second))
	}
	assert.Equal(t, len(*reports), 0)
	assert.Assert(t, !s.quarantined(f, noon))
	// A start anew long after says nothing about them.
	later := noon.Add(suspicionTime + time.Second)
	s.started([]*fleet.Instance{server}, later)
	s.started([]*fleet.Instance{{ID: "a", StartUnixMs: 2, Address: "10.0.0.1:80"}}, later)
	assert.Equal(t, len(*reports), 0)
}

func TestReportsOfOtherEntriesCount(t *testing.T) {
	s, _ := testSuspects()
	f := quarantine.ComputeFingerprint("POST /x", nil, []byte("b"))
	for i := range 3 {
		s.take([]*fleetpb.Crash{{Fingerprint: f[:], Server: fmt.Sprint(i)}, {Fingerprint: []byte("short"), Server: "x"}}, noon)
	}
	assert.Assert(t, s.quarantined(f, noon))
	s.take([]*fleetpb.Crash{{Fingerprint: f[:], Cleared: true}}, noon.Add(time.Second))
	assert.Assert(t, !s.quarantined(f, noon.Add(time.Second)))
}

func TestAnsweredRequestIsCleared(t *testing.T) {
	s, reports := testSuspects()
	f := quarantine.ComputeFingerprint("GET /x", nil, nil)
	for i := range 3 {
		server := &fleet.Instance{ID: fmt.Sprint(i), StartUnixMs: 1}
		s.broke(f, server, noon)
		s.unreachable(server, noon)
	}
	assert.Assert(t, s.quarantined(f, noon))
	s.answered(f, noon.Add(time.Second))
	assert.Assert(t, !s.quarantined(f, noon.Add(time.Second)))
	assert.Assert(t, (*reports)[len(*reports)-1].Cleared)
}
