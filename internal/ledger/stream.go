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
	expiresMs int64
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

// versionOfContent returns the version that ran all recorded streams of a request's content.
// found is false if there is no record or if the records differ, since it is then not known
// which one the client holds events of.
func (t *streamTable) versionOfContent(content contentKey) (version string, found bool) {
	for _, id := range t.byContent[content] {
		recorded := t.byCall[key{content.account, id}].version
		if found && recorded != version {
			return "", false
		}
		version, found = recorded, true
	}
	return version, found
}

// openStream records the version of a new stream, or looks up the version of the stream
// that the call resumes. found is false if that version is not recorded for the account.
func (s *State) openStream(account string, o *ledgerpb.OpenStream) (version string, found bool) {
	if !o.Resumed && o.Resumes == "" {
		s.recordStream(account, o, o.Version)
		return "", true
	}
	if o.Resumes != "" {
		var resumed stream
		resumed, found = s.streams.byCall[key{account, o.Resumes}]
		version = resumed.version
	} else {
		version, found = s.streams.versionOfContent(contentKey{account, o.Content})
	}
	if found {
		// The client may resume this part of the stream in its turn.
		s.recordStream(account, o, version)
	}
	return version, found
}

// recordStream records the version of the call's stream. A delayed copy of an earlier command
// does not replace a later version.
func (s *State) recordStream(account string, o *ledgerpb.OpenStream, version string) {
	k := key{account, o.CallId}
	known, recorded := s.streams.byCall[k]
	if recorded && o.Revision <= known.revision {
		return
	}
	s.streams.put(k, stream{
		version:   version,
		revision:  o.Revision,
		content:   o.Content,
		expiresMs: s.nowMs + o.RetentionMs + retentionMargin.Milliseconds(),
	})
}

// openStreamOnly applies an OpenStream command of a call that is not a turn of a program.
func (s *State) openStreamOnly(o *ledgerpb.OpenStream) Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	version, found := s.openStream(o.Account, o)
	if !found {
		return Result{Outcome: ledgerpb.Outcome_OUTCOME_UNKNOWN_STREAM}
	}
	return Result{streamVersion: version}
}

// expireStreams removes the streams that no client can resume any more.
func (s *State) expireStreams() {
	for k, open := range s.streams.byCall {
		if open.expiresMs < s.nowMs {
			s.streams.remove(k)
		}
	}
}

func (st stream) record(k key) *ledgerpb.Stream {
	return &ledgerpb.Stream{Account: k.account, CallId: k.id, Version: st.version, Revision: st.revision, Content: st.content, ExpiresMs: st.expiresMs}
}

func restoreStream(record *ledgerpb.Stream) stream {
	return stream{version: record.Version, revision: record.Revision, content: record.Content, expiresMs: record.ExpiresMs}
}
