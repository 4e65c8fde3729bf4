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
// that the call resumes. found is false if that version is not recorded for the account.
func (s *State) openStream(account string, o *ledgerpb.OpenStream) (version string, found bool) {
	if o.Resumes != "" {
		resumed, known := s.streams[key{account, o.Resumes}]
		return resumed.version, known
	}
	streamKey := key{account, o.CallId}
	known, recorded := s.streams[streamKey]
	// A delayed copy of an earlier command must not replace a later version.
	if !recorded || o.Revision > known.revision {
		s.streams[streamKey] = stream{
			version:   o.Version,
			revision:  o.Revision,
			expiresMs: s.nowMs + o.RetentionMs + retentionMargin.Milliseconds(),
		}
	}
	return "", true
}

// openStreamOnly applies an OpenStream command of a call that is not a turn of a program.
func (s *State) openStreamOnly(o *ledgerpb.OpenStream) Result {
	version, found := s.openStream(o.Account, o)
	if !found {
		return Result{Outcome: ledgerpb.Outcome_OUTCOME_UNKNOWN_STREAM}
	}
	return Result{streamVersion: version}
}

// expireStreams removes the streams that no client can resume any more.
func (s *State) expireStreams() {
	for streamKey, open := range s.streams {
		if open.expiresMs < s.nowMs {
			delete(s.streams, streamKey)
		}
	}
}

func (st stream) record(k key) *ledgerpb.Stream {
	return &ledgerpb.Stream{Account: k.account, CallId: k.id, Version: st.version, Revision: st.revision, ExpiresMs: st.expiresMs}
}

func restoreStream(record *ledgerpb.Stream) stream {
	return stream{version: record.Version, revision: record.Revision, expiresMs: record.ExpiresMs}
}
