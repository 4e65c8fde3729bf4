package config

import (
	"slices"

	"ibistray.example/ibistray/proto/configpb"
)

// maxServers is how many dead backend servers a record of a request names.
const maxServers = 8

// reportCrash makes each request that ran on a dead backend server a suspect.
// Suspects are run alone. A suspect that ran alone on a server that died is
// quarantined: so a request that kills each server that runs it costs two
// servers, plus one for each copy of it that ran elsewhere in the meantime.
func (s *State) reportCrash(op *configpb.ReportCrash) *configpb.Result {
	fingerprints := unique(op.GetFingerprints())
	s.beginChange()
	if len(fingerprints) == 1 && s.canQuarantine(fingerprints[0]) {
		record := s.quarantine(fingerprints[0], op.GetServer())
		s.endChange()
		return &configpb.Result{Records: []*configpb.Record{record}}
	}
	for _, fingerprint := range fingerprints {
		s.suspect(fingerprint, op.GetServer())
	}
	s.evictSuspects()
	s.endChange()
	return new(configpb.Result)
}

// canQuarantine reports whether a request is a suspect and there is room for
// its quarantine.
func (s *State) canQuarantine(fingerprint []byte) bool {
	return s.isSuspect(fingerprint) && s.counts[kindQuarantine] < limits[kindQuarantine]
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
	list := append(slices.Clone(servers), server)
	return list[max(len(list)-maxServers, 0):]
}

func unique(fingerprints [][]byte) [][]byte {
	list := slices.Clone(fingerprints)
	slices.SortFunc(list, slices.Compare)
	return slices.CompactFunc(list, slices.Equal)
}
