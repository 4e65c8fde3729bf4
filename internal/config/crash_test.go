package config

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/proto/configpb"
)

func TestSuspectThatCrashesServerAloneIsQuarantined(t *testing.T) {
	f := newFixture(t)
	f.reportCrash("1", "e1", "innocent", "poison")
	assert.Assert(t, f.view().Suspected(fingerprint("innocent")))
	assert.Assert(t, f.view().Suspected(fingerprint("poison")))
	f.clearSuspects("2", "innocent")
	f.restart()
	result := f.reportCrash("3", "e2", "poison")
	assert.DeepEqual(t, result.GetRecords()[0].GetQuarantine().GetServers(), []string{"e1", "e2"})
	assert.Assert(t, f.view().Quarantined(fingerprint("poison")))
	assert.Assert(t, !f.view().Suspected(fingerprint("poison")))
	assert.Assert(t, !f.view().Quarantined(fingerprint("innocent")))
	assert.Assert(t, !f.view().Suspected(fingerprint("innocent")))
}

func TestRequestIsQuarantinedOnlyAfterCrashWhileAlone(t *testing.T) {
	f := newFixture(t)
	f.reportCrash("1", "e1", "a")
	assert.Assert(t, !f.view().Quarantined(fingerprint("a")))
	f.reportCrash("2", "e2", "a", "b")
	f.reportCrash("2b", "e2", "a", "b")
	assert.Assert(t, !f.view().Quarantined(fingerprint("a")))
	assert.Assert(t, !f.view().Quarantined(fingerprint("b")))
	f.reportCrash("3", "e3", "a")
	assert.Assert(t, f.view().Quarantined(fingerprint("a")))
}

func TestResentCrashReportCountsOnce(t *testing.T) {
	f := newFixture(t)
	f.reportCrash("1", "e1", "a")
	f.reportCrash("1", "e1", "a")
	assert.Assert(t, !f.view().Quarantined(fingerprint("a")))
}

func TestOperatorCanPutAndDeleteQuarantine(t *testing.T) {
	f := newFixture(t)
	f.reportCrash("1", "e1", "a")
	put := &configpb.Record{Value: &configpb.Record_Quarantine{
		Quarantine: &configpb.Quarantine{Fingerprint: fingerprint("a"), Note: "by hand"},
	}}
	version := f.put("2", 0, put).GetVersion()
	assert.Assert(t, f.view().Quarantined(fingerprint("a")))
	assert.Assert(t, !f.view().Suspected(fingerprint("a")))
	f.reportCrash("3", "e2", "a")
	assert.Assert(t, !f.view().Suspected(fingerprint("a")))
	f.remove("4", QuarantineKey(fingerprint("a")), version)
	assert.Assert(t, !f.view().Quarantined(fingerprint("a")))
}

func TestOldestSuspectsAreEvicted(t *testing.T) {
	f := newFixture(t)
	limit := maxRecords[kindSuspect]
	var requests []string
	for i := range limit {
		requests = append(requests, fmt.Sprint(i))
	}
	f.reportCrash("first", "e1", "oldest")
	f.reportCrash("many", "e2", requests...)
	assert.Equal(t, f.state.counts[kindSuspect], limit)
	assert.Assert(t, !f.view().Suspected(fingerprint("oldest")))
}
