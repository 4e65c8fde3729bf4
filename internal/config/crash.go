package config

import (
	"slices"
	"time"

	"ibistray.example/ibistray/internal/policy/quarantine"
	"ibistray.example/ibistray/proto/configpb"
)

// maxServers is how many dead backend servers a record of a request names.
const maxServers = 8

// reportCrash records what follows from the death of a backend server for the
// requests that ran on it: suspects, and the one that is quarantined. A request
// that kills each server that runs it costs two servers, plus one for each copy of
// it that ran elsewhere in the meantime.
func (s *State) reportCrash(op *configpb.ReportCrash) *configpb.Result {
	result := new(configpb.Result)
	s.beginChange()
	for _, change := range quarantine.ChangesAfterCrash(s.runsOf(op), s.now()) {
		fingerprint := change.Fingerprint[:]
		if change.Record.Status == quarantine.StatusQuarantined && s.canQuarantine(fingerprint) {
			result.Records = append(result.Records, s.quarantine(fingerprint, op.GetServer()))
			continue
		}
		s.suspect(fingerprint, op.GetServer())
	}
	s.evictSuspects()
	s.endChange()
	return result
}

// runsOf returns the requests of a report with what is known of each.
func (s *State) runsOf(op *configpb.ReportCrash) []quarantine.Run {
	var runs []quarantine.Run
	for _, fingerprint := range unique(op.GetFingerprints()) {
		runs = append(runs, quarantine.Run{
			Fingerprint:   quarantine.Fingerprint(fingerprint),
			StatusAtStart: s.statusOf(fingerprint),
		})
	}
	return runs
}

// statusOf returns what is known of a request now.
func (s *State) statusOf(fingerprint []byte) quarantine.Status {
	if s.live(QuarantineKey(fingerprint)) != nil {
		return quarantine.StatusQuarantined
	}
	suspect := s.live(SuspectKey(fingerprint)).GetSuspect()
	if suspect == nil {
		return quarantine.StatusClear
	}
	record := quarantine.Record{Status: quarantine.StatusSuspect, Since: milliseconds(suspect.GetSinceMs())}
	return record.StatusAt(s.now())
}

// now is the state's time since the Unix epoch.
func (s *State) now() time.Duration {
	return milliseconds(s.nowMs)
}

func milliseconds(ms int64) time.Duration {
	return time.Duration(ms) * time.Millisecond
}

// canQuarantine reports whether a request is not quarantined yet and there is
// room for its quarantine.
func (s *State) canQuarantine(fingerprint []byte) bool {
	return s.live(QuarantineKey(fingerprint)) == nil && s.counts[kindQuarantine] < limits[kindQuarantine]
}

func (s *State) isSuspect(fingerprint []byte) bool {
	return s.live(SuspectKey(fingerprint)) != nil
}

func (s *State) quarantine(fingerprint []byte, server string) *configpb.Record {
	key := SuspectKey(fingerprint)
	value := &configpb.Quarantine{
		Fingerprint: fingerprint,
		Note:        "backend servers died while it ran, the last one with this request alone",
		Servers:     addServer(s.live(key).GetSuspect().GetServers(), server),
		SinceMs:     s.nowMs,
	}
	s.drop(key)
	record := &configpb.Record{
		Key:   QuarantineKey(fingerprint),
		Value: &configpb.Record_Quarantine{Quarantine: value},
	}
	s.store(record)
	return record
}

// suspect records the death of a server, unless the request is quarantined.
func (s *State) suspect(fingerprint []byte, server string) {
	if s.live(QuarantineKey(fingerprint)) != nil {
		return
	}
	key := SuspectKey(fingerprint)
	value := &configpb.Suspect{
		Fingerprint: fingerprint,
		Servers:     addServer(s.live(key).GetSuspect().GetServers(), server),
		SinceMs:     s.nowMs,
	}
	s.store(&configpb.Record{Key: key, Value: &configpb.Record_Suspect{Suspect: value}})
}

// evictSuspects drops the suspects of the oldest reports above the limit.
func (s *State) evictSuspects() {
	excess := s.counts[kindSuspect] - limits[kindSuspect]
	if excess <= 0 {
		return
	}
	for _, record := range sorted(s.records) {
		if excess > 0 && record.GetSuspect() != nil {
			s.drop(record.GetKey())
			excess--
		}
	}
}

// clearSuspects ends the suspicion of requests that ran to their end.
func (s *State) clearSuspects(op *configpb.ClearSuspects) *configpb.Result {
	if !slices.ContainsFunc(op.GetFingerprints(), s.isSuspect) {
		return new(configpb.Result)
	}
	s.beginChange()
	for _, fingerprint := range op.GetFingerprints() {
		s.drop(SuspectKey(fingerprint))
	}
	s.endChange()
	return new(configpb.Result)
}

// addServer returns a new list with the newest maxServers servers.
func addServer(servers []string, server string) []string {
	if slices.Contains(servers, server) {
		return servers
	}
	list := append(slices.Clone(servers), server)
	return list[max(len(list)-maxServers, 0):]
}

func unique(fingerprints [][]byte) [][]byte {
	list := slices.Clone(fingerprints)
	slices.SortFunc(list, slices.Compare)
	return slices.CompactFunc(list, slices.Equal)
}
