package backendtest

import "strings"

// Finish reasons of a request.
const (
	finishStop      = "stop"
	finishCancelled = "cancelled"
)

// usage is the token usage of a request.
type usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	Details          promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// request is one model call to the engine. The engine's mutex guards it.
type request struct {
	id       string
	program  string
	priority int
	arrival  uint64 // position in the order of arrival
	messages []Message
	text     string // complete answer, known from the start

	chain            []chainSegment // hash chain of messages; set when the request starts to run
	cachedTokens     int            // prompt tokens found in the cache
	prefillRemaining float64        // prompt tokens still to compute
	decodedTokens    float64        // answer tokens decoded
	finishReason     string         // empty while the request waits or runs
	stall            bool           // the next stream stops halfway and stays open
	changed          chan struct{}  // closed and replaced when the available answer or finishReason changes
}

func newRequest(id string, body chatRequest) *request {
	return &request{
		id:       id,
		program:  body.User,
		priority: body.Priority,
		messages: body.Messages,
		text:     Answer(body.Messages, body.MaxTokens),
		changed:  make(chan struct{}),
	}
}

// contains reports whether a message of the request contains the marker. No request
// contains the empty marker.
func (r *request) contains(marker string) bool {
	if marker == "" {
		return false
	}
	for _, m := range r.messages {
		if strings.Contains(m.Content, marker) {
			return true
		}
	}
	return false
}

// available returns the part of the answer that has been decoded.
func (r *request) available() string {
	n := min(len(r.text), int(r.decodedTokens)*bytesPerToken)
	return r.text[:n]
}

func (r *request) usage() usage {
	return usage{
		PromptTokens:     CountPromptTokens(r.messages),
		CompletionTokens: r.completionTokens(),
		Details:          promptDetails{CachedTokens: r.cachedTokens},
	}
}

func (r *request) completionTokens() int {
	text := r.available()
	if text == "" {
		return 0
	}
	return CountTokens(text)
}

// notify wakes the streams that wait for more of the answer.
func (r *request) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}
