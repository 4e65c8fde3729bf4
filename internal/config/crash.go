package config

import (
	"slices"
	"time"

	"ibistray.example/ibistray/internal/policy/quarantine"
	"ibistray.example/ibistray/proto/configpb"
)

// maxCrashedServers is the limit on the crashed backend servers that a suspect or a
// quarantine lists.
const maxCrashedServers = 8

// reportCrash marks the requests that ran on a crashed backend server as suspects, and
// quarantines a request that was already a suspect and ran alone. A request that
// crashes each server that runs it costs two servers, plus one for each copy of it
// that ran elsewhere in the meantime.
func (s *State) reportCrash(op *configpb.ReportCrash) *configpb.Result {
	result := new(configpb.Result)
	s.beginChange()
	for _, change := range quarantine.ChangesAfterCrash(s.crashedRuns(op), s.now()) {
		fingerprint := change.Fingerprint[:]
		if change.Record.Status == quarantine.StatusQuarantined && s.canQuarantine(fingerprint) {
			result.Records = append(result.Records, s.quarantine(fingerprint, op.GetServer()))
			continue
		}
		s.addSuspect(fingerprint, op.GetServer())
	}
	s.evictSuspects()
	s.endChange()
	return result
}

// crashedRuns returns the distinct requests of a crash report, each with its current
// status, because a report does not contain the status that a request had when it
// started.
func (s *State) crashedRuns(op *configpb.ReportCrash) []quarantine.Run {
	var runs []quarantine.Run
	for _, fingerprint := range sortedUnique(op.GetFingerprints()) {
		runs = append(runs, quarantine.Run{
			Fingerprint:   quarantine.Fingerprint(fingerprint),
			StatusAtStart: s.requestStatus(fingerprint),
		})
	}
	return runs
}

// requestStatus returns the current status of a request.
func (s *State) requestStatus(fingerprint []byte) quarantine.Status {
	if s.find(QuarantineKey(fingerprint)) != nil {
		return quarantine.StatusQuarantined
	}
	suspect := s.find(SuspectKey(fingerprint)).GetSuspect()
	if suspect == nil {
		return quarantine.StatusClear
	}
	record := quarantine.Record{Status: quarantine.StatusSuspect, Since: milliseconds(suspect.GetSinceMs())}
	return record.StatusAt(s.now())
}

// now returns the highest time of an applied command, since the Unix epoch.
func (s *State) now() time.Duration {
	return milliseconds(s.nowMs)
}

func milliseconds(ms int64) time.Duration {
	return time.Duration(ms) * time.Millisecond
}

// canQuarantine reports whether a request is not quarantined yet and the limit of
// quarantine records allows one more.
func (s *State) canQuarantine(fingerprint []byte) bool {
	return s.find(QuarantineKey(fingerprint)) == nil && s.counts[kindQuarantine] < maxRecords[kindQuarantine]
}

func (s *State) isSuspect(fingerprint []byte) bool {
	return s.find(SuspectKey(fingerprint)) != nil
}

// quarantine replaces the suspect record of a request by a quarantine record, which
// it returns.
func (s *State) quarantine(fingerprint []byte, server string) *configpb.Record {
	key := SuspectKey(fingerprint)
	value := &configpb.Quarantine{
		Fingerprint: fingerprint,
		Note:        "backend servers died while it ran, the last one with this request alone",
		Servers:     appendServer(s.find(key).GetSuspect().GetServers(), server),
		SinceMs:     s.nowMs,
	}
	s.deleteRecord(key)
	record := &configpb.Record{
		Key:   QuarantineKey(fingerprint),
		Value: &configpb.Record_Quarantine{Quarantine: value},
	}
	s.store(record)
	return record
}

// addSuspect adds a crashed server to the suspect record of a request, unless the
// request is quarantined.
func (s *State) addSuspect(fingerprint []byte, server string) {
	if s.find(QuarantineKey(fingerprint)) != nil {
		return
	}
	key := SuspectKey(fingerprint)
	value := &configpb.Suspect{
		Fingerprint: fingerprint,
		Servers:     appendServer(s.find(key).GetSuspect().GetServers(), server),
		SinceMs:     s.nowMs,
	}
	s.store(&configpb.Record{Key: key, Value: &configpb.Record_Suspect{Suspect: value}})
}

// evictSuspects deletes the suspects that were reported longest ago until their
// number is within the limit.
func (s *State) evictSuspects() {
	excess := s.counts[kindSuspect] - maxRecords[kindSuspect]
	if excess <= 0 {
		return
	}
	for _, record := range sortedByVersion(s.records) {
		if excess > 0 && record.GetSuspect() != nil {
			s.deleteRecord(record.GetKey())
			excess--
		}
	}
}

// clearSuspects deletes the suspect records of requests that ended normally.
func (s *State) clearSuspects(op *configpb.ClearSuspects) *configpb.Result {
	if !slices.ContainsFunc(op.GetFingerprints(), s.isSuspect) {
		return new(configpb.Result)
	}
	s.beginChange()
	for _, fingerprint := range op.GetFingerprints() {
		s.deleteRecord(SuspectKey(fingerprint))
	}
	s.endChange()
	return new(configpb.Result)
}

// appendServer returns a copy of the list with a server appended, cut to the newest
// maxCrashedServers.
func appendServer(servers []string, server string) []string {
	if slices.Contains(servers, server) {
		return servers
	}
	list := append(slices.Clone(servers), server)
	return list[max(len(list)-maxCrashedServers, 0):]
}

// sortedUnique returns a sorted copy of the fingerprints without duplicates.
func sortedUnique(fingerprints [][]byte) [][]byte {
	list := slices.Clone(fingerprints)
	slices.SortFunc(list, slices.Compare)
	return slices.CompactFunc(list, slices.Equal)
}
