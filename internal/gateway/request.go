package gateway

import (
	"errors"
	"net/http"
	"time"
)

// ErrBadRequest says that the metadata of a request cannot be read. The request was
// not run.
var ErrBadRequest = errors.New("gateway: invalid request metadata")

// RequestMeta is what a request says of itself beside method, path and body.
type RequestMeta struct {
	ID           string        // of this attempt of the client
	Timeout      time.Duration // that the client will wait, 0: not stated
	Subject      string        // what the request is about, for servers that know it
	LastEventID  string        // a stream goes on after this event
	Program      string
	Session      string
	FinishWithin time.Duration // until the program should be finished, 0: not stated
	TokenBudget  uint64        // of the program
	HasBudget    bool          // the program has a budget
	PromptTokens uint64
	MaxTokens    uint64 // most that the answer may have
	PreviousTurn string // ID of the turn that this one continues from
	PromptParts  []PromptPart
}

// PromptPart is a part of a prompt that several requests share.
type PromptPart struct {
	ID     string
	Tokens int
}

// AttemptMeta is what the system says to a backend server beside the client's request.
type AttemptMeta struct {
	Timeout     time.Duration // that is left
	InstanceID  string        // any other start of a server refuses the request
	Priority    int           // from 0, the most urgent, to 9
	LastEventID string        // a stream goes on after this event, "": from the start
	ModelEngine bool          // the server is a model engine
}

// ResponseMeta is what the head of a backend server's answer says.
type ResponseMeta struct {
	RequestID string // echoed
	Signed    bool   // bears the server's signature
	NotRun    bool   // the server did not and will not run the request
}

// Codec reads and writes the headers of the platform. It decides nothing.
type Codec interface {
	// DecodeRequest reads the metadata of a request. Errors wrap ErrBadRequest.
	DecodeRequest(header http.Header) (RequestMeta, error)
	// EncodeRequest writes an attempt into headers, of which it removes those that
	// only the system may set.
	EncodeRequest(header http.Header, attempt AttemptMeta)
	// DecodeResponse reads the head of an answer.
	DecodeResponse(status int, header http.Header) ResponseMeta
	// EncodeRetryAfter writes when a client should come back.
	EncodeRetryAfter(header http.Header, after time.Duration)
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// removeHopHeaders removes the headers that concern one connection only.
func removeHopHeaders(header http.Header) {
	for _, value := range header.Values("Connection") {
		for _, name := range splitComma(value) {
			header.Del(name)
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
}
