// Package resume decides where a stream goes on whose client holds a part of it, and which recorded
// events are that part.
//
// It answers failures of entries and of clients' connections while long answers run, so that many
// clients resume streams at once. A turn that is kept consists of all events of its stream, also
// of those that went to the client through another entry.
package resume

import "strconv"

// IsLater reports whether an event may follow the event with the ID last in the same stream. IDs
// that are numbers increase. Of others, only equality says something.
func IsLater(id, last string) bool {
	n, err := strconv.ParseUint(id, 10, 64)
	lastN, lastErr := strconv.ParseUint(last, 10, 64)
	if err != nil || lastErr != nil {
		return id != last
	}
	return n > lastN
}

// Held returns how many of the recorded events the client holds. ids are their IDs in order, "" for
// an event without one; last is the ID of the client's latest event. If that event is not recorded,
// the record ends before it, unless IDs that are numbers tell otherwise.
func Held(ids []string, last string) int {
	for i := len(ids) - 1; i >= 0; i-- {
		if ids[i] == last {
			return i + 1
		}
	}
	lastN, err := strconv.ParseUint(last, 10, 64)
	if err != nil {
		return len(ids)
	}
	for i, id := range ids {
		if n, err := strconv.ParseUint(id, 10, 64); err == nil && n > lastN {
			return i
		}
	}
	return len(ids)
}

// Start returns the ID after which a server continues the stream of a kept turn, "" for its start.
// ids are those of the recorded events that the client holds. missing reports whether the client
// holds later events, which a server has to repeat for the record: servers of one software version
// give the events of a stream that may be resumed alike.
func Start(ids []string, last string) (after string, missing bool) {
	for i := len(ids) - 1; i >= 0 && after == ""; i-- {
		after = ids[i]
	}
	return after, after != last
}

// Repeats reports whether an event is one that the client holds. last is the ID of the client's
// latest event, which has not been repeated yet.
func Repeats(id, last string) bool {
	_, err := strconv.ParseUint(last, 10, 64)
	return err != nil || id == "" || !IsLater(id, last)
}
