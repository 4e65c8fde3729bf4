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

// TestRequestThatCrashesServersIsQuarantined retries a request whose servers crash and
// restart each time. Without quarantine it would crash one server after another.
func TestRequestThatCrashesServersIsQuarantined(t *testing.T) {
	var backends []*backend
	for i := range 6 {
		backends = append(backends, newBackend(t, fmt.Sprint("s", i), abortConnection))
	}
	f := newFixture(t, backends...)
	totalExecutions := func() int {
		n := 0
		for _, b := range backends {
			n += len(b.executed())
		}
		return n
	}
	startUnixMs := int64(1)
	for range 6 {
		f.send(t, http.MethodPost, "/unsafe/x", "poison", "Id", "1")
		// All servers restart under the same ID.
		startUnixMs++
		update := new(fleetpb.Update)
		for _, b := range backends {
			i := instanceOf(b)
			i.BornMs = startUnixMs
			update.Instances = append(update.Instances, i)
		}
		f.view.apply("test", update)
	}
	assert.Equal(t, totalExecutions(), 3)
	got := f.send(t, http.MethodPost, "/unsafe/x", "poison", "Id", "2")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, totalExecutions(), 3)
	f.send(t, http.MethodPost, "/unsafe/x", "another body", "Id", "3")
	assert.Equal(t, totalExecutions(), 4)
}

func newTestDetector() (*crashDetector, *[]*fleetpb.Crash) {
	reports := new([]*fleetpb.Crash)
	detector := newCrashDetector(hclog.NewNullLogger(), func(c *fleetpb.Crash) { *reports = append(*reports, c) })
	return detector, reports
}

func TestInterruptedResponsesOfRunningServersAreNotCrashes(t *testing.T) {
	detector, reports := newTestDetector()
	fingerprint := quarantine.ComputeFingerprint("POST /x", nil, []byte("b"))
	server := &fleet.Instance{ID: "a", StartUnixMs: 1, Address: "10.0.0.1:80"}
	for range 10 {
		detector.recordInterrupted(fingerprint, server, testTime, testTime)
		detector.updateServers([]*fleet.Instance{server}, testTime.Add(time.Second))
	}
	assert.Equal(t, len(*reports), 0)
	assert.Assert(t, !detector.isQuarantined(fingerprint, testTime))
	// A restart after crashConfirmationWindow does not confirm a crash.
	later := testTime.Add(crashConfirmationWindow + time.Second)
	detector.updateServers([]*fleet.Instance{server}, later)
	detector.updateServers([]*fleet.Instance{{ID: "a", StartUnixMs: 2, Address: "10.0.0.1:80"}}, later)
	assert.Equal(t, len(*reports), 0)
}

func TestCrashReportsOfOtherEntriesCount(t *testing.T) {
	detector, _ := newTestDetector()
	fingerprint := quarantine.ComputeFingerprint("POST /x", nil, []byte("b"))
	for i := range 3 {
		detector.mergeReports([]*fleetpb.Crash{{Fingerprint: fingerprint[:], Server: fmt.Sprint(i)}, {Fingerprint: []byte("short"), Server: "x"}}, testTime)
	}
	assert.Assert(t, detector.isQuarantined(fingerprint, testTime))
	detector.mergeReports([]*fleetpb.Crash{{Fingerprint: fingerprint[:], Cleared: true}}, testTime.Add(time.Second))
	assert.Assert(t, !detector.isQuarantined(fingerprint, testTime.Add(time.Second)))
}

func TestSuccessClearsCrashes(t *testing.T) {
	detector, reports := newTestDetector()
	fingerprint := quarantine.ComputeFingerprint("GET /x", nil, nil)
	for i := range 3 {
		server := &fleet.Instance{ID: fmt.Sprint(i), StartUnixMs: 1}
		detector.recordInterrupted(fingerprint, server, testTime, testTime)
		detector.recordUnreachable(server, testTime)
	}
	assert.Assert(t, detector.isQuarantined(fingerprint, testTime))
	detector.recordSuccess(fingerprint, testTime.Add(time.Second))
	assert.Assert(t, !detector.isQuarantined(fingerprint, testTime.Add(time.Second)))
	assert.Assert(t, (*reports)[len(*reports)-1].Cleared)
}
