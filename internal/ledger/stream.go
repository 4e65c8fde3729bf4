package ledger

import "ibistray.example/ibistray/proto/ledgerpb"

// stream is the software version of the backend servers that run a stream. Clients may
// resume the stream only at servers of this version.
type stream struct {
	version   string
	revision  uint32 // of the version; raised when a call moves to another one before its first event
	expiresMs int64
}

// openStream records the version of a new stream, or looks up the version of the stream
// that the call resumes. found is false if that version is not recorded.
func (s *State) openStream(o *ledgerpb.OpenStream) (version string, found bool) {
	if o.Resumes != "" {
		resumed, known := s.streams[o.Resumes]
		return resumed.version, known
	}
	known, recorded := s.streams[o.CallId]
	// A delayed copy of an earlier command must not replace a later version.
	if !recorded || o.Revision > known.revision {
		s.streams[o.CallId] = stream{
			version:   o.Version,
			revision:  o.Revision,
			expiresMs: s.nowMs + o.RetentionMs + retentionMargin.Milliseconds(),
		}
	}
	return "", true
}

// openStreamOnly applies an OpenStream command of a call that is not a turn of a program.
func (s *State) openStreamOnly(o *ledgerpb.OpenStream) Result {
	version, found := s.openStream(o)
	if !found {
		return Result{Outcome: ledgerpb.Outcome_OUTCOME_UNKNOWN_STREAM}
	}
	return Result{streamVersion: version}
}

// expireStreams removes the streams that no client can resume any more.
func (s *State) expireStreams() {
	for id, open := range s.streams {
		if open.expiresMs < s.nowMs {
			delete(s.streams, id)
		}
	}
}

func (st stream) record(callID string) *ledgerpb.Stream {
	return &ledgerpb.Stream{CallId: callID, Version: st.version, Revision: st.revision, ExpiresMs: st.expiresMs}
}

func restoreStream(record *ledgerpb.Stream) stream {
	return stream{version: record.Version, revision: record.Revision, expiresMs: record.ExpiresMs}
}
