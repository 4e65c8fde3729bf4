package ledger

import (
	"slices"

	"ibistray.example/ibistray/proto/ledgerpb"
)

// stream is the software version of the backend servers that run a stream. Clients may
// resume the stream only at servers of this version.
type stream struct {
	version   string
	revision  uint32 // of the version; raised when a call moves to another one before its first event
	content   uint64 // identifies the content of the request, 0 if the stream is not found by it
	origin    string // call ID that began the stream, "" for the call itself or if it is not known
	resumed   bool   // an earlier call began the stream
	expiresMs int64
}

// originOf returns the ID of the call that began the stream of a call.
func (st stream) originOf(callID string) string {
	if st.origin == "" {
		return callID
	}
	return st.origin
}

// contentKey identifies the content of a request among those of a client account.
type contentKey struct {
	account string
	content uint64
}

// streamTable holds the streams that clients may resume, by the ID of each call that ran a
// part of them.
type streamTable struct {
	byCall    map[key]stream
	byContent map[contentKey][]string // IDs of the calls in byCall with this content
}

func newStreamTable() streamTable {
	return streamTable{byCall: make(map[key]stream), byContent: make(map[contentKey][]string)}
}

// put stores the stream of a call. The content of a call does not change.
func (t *streamTable) put(k key, st stream) {
	_, found := t.byCall[k]
	t.byCall[k] = st
	if found || st.content == 0 {
		return
	}
	content := contentKey{k.account, st.content}
	t.byContent[content] = append(t.byContent[content], k.id)
}

// remove removes the stream of a call.
func (t *streamTable) remove(k key) {
	content := contentKey{k.account, t.byCall[k].content}
	delete(t.byCall, k)
	rest := slices.DeleteFunc(t.byContent[content], func(id string) bool { return id == k.id })
	if len(rest) == 0 {
		delete(t.byContent, content)
		return
	}
	t.byContent[content] = rest
}

// streamOfContent returns what the recorded streams of a request's content have in common: the
// version, and the origin if it is one stream. found is false if there is no record or if the
// versions differ, since it is then not known which one the client holds events of.
func (t *streamTable) streamOfContent(content contentKey) (common stream, found bool) {
	for _, id := range t.byContent[content] {
		recorded := t.byCall[key{content.account, id}]
		recorded.origin = recorded.originOf(id)
		switch {
		case !found:
			common, found = recorded, true
		case recorded.version != common.version:
			return stream{}, false
		case recorded.origin != common.origin:
			common.origin = ""
		}
	}
	return common, found
}

// opened is the outcome of a command that opens a stream.
type opened struct {
	version string                  // that began the resumed stream, "" for a new one
	output  []*ledgerpb.OutputEvent // recorded events of the resumed stream that the client holds
}

// openStream records the version of a new stream, or looks up the version of the stream
// that the call resumes. found is false if that version is not recorded for the account.
func (s *State) openStream(account string, o *ledgerpb.OpenStream) (result opened, found bool) {
	if !o.Resumed && o.Resumes == "" {
		s.recordStream(account, o, stream{version: o.Version})
		return opened{}, true
	}
	var resumed stream
	if o.Resumes != "" {
		resumed, found = s.streams.byCall[key{account, o.Resumes}]
		resumed.origin = resumed.originOf(o.Resumes)
	} else {
		resumed, found = s.streams.streamOfContent(contentKey{account, o.Content})
	}
	if !found {
		return opened{}, false
	}
	// The client may resume this part of the stream in its turn.
	first := s.recordStream(account, o, stream{version: resumed.version, origin: resumed.origin, resumed: true})
	result.version = resumed.version
	if resumed.origin != "" {
		result.output = s.resumeOutput(account, resumed.origin, o, first)
	}
	return result, true
}

// recordStream records the version and the origin of the call's stream, and reports whether it
// did. A delayed copy of an earlier command does not replace a later version.
func (s *State) recordStream(account string, o *ledgerpb.OpenStream, st stream) bool {
	k := key{account, o.CallId}
	known, recorded := s.streams.byCall[k]
	if recorded && o.Revision <= known.revision {
		return false
	}
	st.revision, st.content = o.Revision, o.Content
	st.expiresMs = s.nowMs + o.RetentionMs + retentionMargin.Milliseconds()
	s.streams.put(k, st)
	return true
}

// Resumed reports whether a call resumed a stream that an earlier call began.
func (s *State) Resumed(account, callID string) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.streams.byCall[key{account, callID}].resumed
}

// openStreamOnly applies an OpenStream command of a call that is not a turn of a program.
func (s *State) openStreamOnly(o *ledgerpb.OpenStream) Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	result, found := s.openStream(o.Account, o)
	if !found {
		return Result{Outcome: ledgerpb.Outcome_OUTCOME_UNKNOWN_STREAM}
	}
	return Result{opened: result}
}

// expireStreams removes the streams that no client can resume any more.
func (s *State) expireStreams() {
	for k, open := range s.streams.byCall {
		if open.expiresMs < s.nowMs {
			s.streams.remove(k)
		}
	}
	s.outputs.expire(s.nowMs)
}

func (st stream) record(k key) *ledgerpb.Stream {
	return &ledgerpb.Stream{Account: k.account, CallId: k.id, Version: st.version, Revision: st.revision, Content: st.content, Origin: st.origin, Resumed: st.resumed, ExpiresMs: st.expiresMs}
}

func restoreStream(record *ledgerpb.Stream) stream {
	return stream{version: record.Version, revision: record.Revision, content: record.Content, origin: record.Origin, resumed: record.Resumed, expiresMs: record.ExpiresMs}
}
