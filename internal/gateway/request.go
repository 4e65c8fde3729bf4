package gateway

import (
	"errors"
	"net/http"
	"time"
)

// ErrBadRequest says that the metadata of a request cannot be read. The request was
// not run.
var ErrBadRequest = errors.New("gateway: invalid request metadata")

// Meta is what a request says of itself beside method, path and body.
type Meta struct {
	ID           string        // of this attempt of the client
	Patience     time.Duration // that the client will wait, 0: not stated
	Subject      string        // what the request is about, for servers that know it
	LastEvent    string        // a stream goes on after this event
	Program      string
	Session      string
	FinishIn     time.Duration // until the program should be finished, 0: not stated
	TokenBudget  uint64        // of the program
	Limited      bool          // the program has a budget
	PromptTokens uint64
	MaxTokens    uint64 // most that the answer may have
	Previous     string // ID of the turn that this one continues from
	Prompt       []PromptPart
}

// PromptPart is a part of a prompt that several requests share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Attempt is what the system says to a backend server beside the client's request.
type Attempt struct {
	Patience  time.Duration // that is left
	Instance  string        // any other start of a server refuses the request
	Urgency   int           // from 0, the most urgent, to 9
	LastEvent string        // a stream goes on after this event, "": from the start
	Model     bool          // the server is a model engine
}

// Answer is what the head of a backend server's answer says.
type Answer struct {
	RequestID string // echoed
	Sealed    bool   // bears the server's signature
	NotRun    bool   // the server did not and will not run the request
}

// Codec reads and writes the headers of the platform. It decides nothing.
type Codec interface {
	// DecodeRequest reads the metadata of a request. Errors wrap ErrBadRequest.
	DecodeRequest(header http.Header) (Meta, error)
	// EncodeRequest writes an attempt into headers, of which it removes those that
	// only the system may set.
	EncodeRequest(header http.Header, attempt Attempt)
	// DecodeAnswer reads the head of an answer.
	DecodeAnswer(status int, header http.Header) Answer
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
