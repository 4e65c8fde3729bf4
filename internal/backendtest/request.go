package backendtest

import "strings"

// Finish reasons of a request.
const (
	finishStop      = "stop"
	finishCancelled = "cancelled"
)

// usage is what a request consumed, in tokens.
type usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	Details          promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// request is one call of the engine. The engine's mutex guards it.
type request struct {
	id       string
	program  string
	priority int
	arrival  uint64
	messages []Message
	text     string // whole answer

	chain       []cacheLink
	cached      int     // prompt tokens found in the cache
	prefillLeft float64 // prompt tokens still to compute
	decoded     float64 // answer tokens computed
	finish      string  // empty while the request waits or runs
	stall       bool    // the next stream goes silent half way
	changed     chan struct{}
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

// contains reports whether a message of the request holds a non-empty marker.
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

// available returns the part of the answer that has been computed.
func (r *request) available() string {
	n := min(len(r.text), int(r.decoded)*bytesPerToken)
	return r.text[:n]
}

func (r *request) usage() usage {
	return usage{
		PromptTokens:     CountPromptTokens(r.messages),
		CompletionTokens: r.completionTokens(),
		Details:          promptDetails{CachedTokens: r.cached},
	}
}

func (r *request) completionTokens() int {
	text := r.available()
	if text == "" {
		return 0
	}
	return CountTokens(text)
}

// notify wakes the streams of the request.
func (r *request) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}
