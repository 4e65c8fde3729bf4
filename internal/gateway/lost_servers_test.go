package gateway

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/fleet"
	"ibistray.example/ibistray/internal/policy/quarantine"
	"ibistray.example/ibistray/proto/fleetpb"
)

// TestContentServedBeforeCrashesAreConfirmedIsNotQuarantined loses three servers while each runs
// the same request, which other servers then answer. That the three crashed is known only later.
func TestContentServedBeforeCrashesAreConfirmedIsNotQuarantined(t *testing.T) {
	var lost []*backend
	for i := range 3 {
		var crashed atomic.Bool
		lost = append(lost, newBackend(t, fmt.Sprint("s", i), func(w http.ResponseWriter, r *http.Request, body string) {
			if !crashed.Swap(true) {
				abortConnection(w, r, body)
			}
			respondOK(w, r, body)
		}))
	}
	f := newFixture(t, lost...)
	for i := 0; len(lost[0].executed()) < 2 || len(lost[1].executed()) < 2 || len(lost[2].executed()) < 2; i++ {
		assert.Assert(t, i < 100)
		f.send(t, http.MethodGet, "/safe/x", "", "Id", fmt.Sprint(i))
	}
	update := new(fleetpb.Update)
	for _, b := range lost {
		i := instanceOf(b)
		i.BornMs = 2
		update.Instances = append(update.Instances, i)
	}
	f.view.apply("test", update)
	got := f.send(t, http.MethodGet, "/safe/x", "", "Id", "after")
	assert.Equal(t, got.status, http.StatusOK, got.body)
}

// TestEntryThatServedContentClearsCrashesOfOthers gets crash reports of other entries about
// content that it has served since.
func TestEntryThatServedContentClearsCrashesOfOthers(t *testing.T) {
	detector, reports := newTestDetector()
	fingerprint := quarantine.ComputeFingerprint("POST /x", nil, []byte("b"))
	detector.recordSuccess(fingerprint, testTime)
	assert.Equal(t, len(*reports), 0, "no crash counts against it")
	for range 2 { // each state host sends them
		for i := range 3 {
			detector.mergeReports([]*fleetpb.Crash{{Fingerprint: fingerprint[:], Server: fmt.Sprint(i), AgeMs: 2000}}, testTime.Add(time.Second))
		}
	}
	assert.Assert(t, !detector.isQuarantined(fingerprint, testTime.Add(time.Second)))
	assert.Equal(t, len(*reports), 1)
	assert.Assert(t, (*reports)[0].Cleared)
	assert.Equal(t, (*reports)[0].AgeMs, int64(1000))

	// Reports arrive in another order at an entry that has not served it.
	other, _ := newTestDetector()
	other.mergeReports([]*fleetpb.Crash{(*reports)[0]}, testTime.Add(time.Second))
	for i := range 3 {
		other.mergeReports([]*fleetpb.Crash{{Fingerprint: fingerprint[:], Server: fmt.Sprint(i), AgeMs: 2000}}, testTime.Add(time.Second))
	}
	assert.Assert(t, !other.isQuarantined(fingerprint, testTime.Add(time.Second)))
}

// TestSuccessIsReportedOnceForCrashes has a request that is answered again and again after a crash.
func TestSuccessIsReportedOnceForCrashes(t *testing.T) {
	detector, reports := newTestDetector()
	fingerprint := quarantine.ComputeFingerprint("GET /x", nil, nil)
	server := &fleet.Instance{ID: "a", StartUnixMs: 1}
	detector.recordInterrupted(fingerprint, server, testTime, testTime)
	detector.recordUnreachable(server, testTime)
	for i := range 10 {
		detector.recordSuccess(fingerprint, testTime.Add(time.Duration(i+1)*time.Second))
	}
	assert.Equal(t, len(*reports), 2, "the crash and one success")
}

// TestLongContentIsRememberedWhileACrashIsPossible has a request whose digest takes time.
func TestLongContentIsRememberedWhileACrashIsPossible(t *testing.T) {
	detector, _ := newTestDetector()
	assert.Assert(t, detector.remembers(maxRememberedBytes))
	assert.Assert(t, !detector.remembers(maxRememberedBytes+1))
	server := &fleet.Instance{ID: "a", StartUnixMs: 1, Address: "10.0.0.1:80"}
	detector.recordInterrupted(quarantine.ComputeFingerprint("GET /x", nil, nil), server, testTime, testTime)
	assert.Assert(t, detector.remembers(maxRememberedBytes+1))
	detector.updateServers([]*fleet.Instance{server}, testTime.Add(crashConfirmationWindow))
	assert.Assert(t, !detector.remembers(maxRememberedBytes+1))
	detector.recordInterrupted(quarantine.ComputeFingerprint("GET /x", nil, nil), server, testTime, testTime)
	detector.recordUnreachable(server, testTime)
	assert.Assert(t, detector.remembers(maxRememberedBytes+1))
}
