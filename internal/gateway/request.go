package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"time"
	"unicode/utf8"
)

// ErrBadRequest is wrapped by errors about invalid request metadata and malformed request
// bodies. The request was not run.
var ErrBadRequest = errors.New("gateway: invalid request")

// RequestMeta is the metadata of a client request.
type RequestMeta struct {
	ID           string        // of this client attempt
	Timeout      time.Duration // how long the client waits, 0 if not given
	Subject      string        // what the request is about; servers may cache data about it
	LastEventID  string        // the stream resumes after this event, "" for a new stream
	Resumes      string        // ID of the client attempt that brought the first event of the resumed stream
	Program      string
	Session      string
	FinishWithin time.Duration // time left to finish the program, 0 if not given
	TokenBudget  uint64        // of the program
	HasBudget    bool          // the program has a budget
	PromptTokens uint64
	MaxTokens    uint64 // maximum output of this request in tokens
	PreviousTurn string // ID of the turn that this one continues from
	PromptParts  []PromptPart
	Key          string // with which the client authenticates, "" if it sent none
}

// mayBeginProgram reports whether the request is neither a later turn of a program nor the rest of an
// earlier attempt at its first one.
func (m *RequestMeta) mayBeginProgram() bool { return m.PreviousTurn == "" && m.LastEventID == "" }

// validateNames returns an error that wraps ErrBadRequest if a name that the ledger records is
// not UTF-8, so that no message to the ledger could carry it.
func (m *RequestMeta) validateNames() error {
	for _, name := range []string{m.ID, m.Program, m.PreviousTurn, m.Resumes} {
		if !utf8.ValidString(name) {
			return fmt.Errorf("%w: %q is not UTF-8", ErrBadRequest, name)
		}
	}
	return nil
}

// PromptPart is a prompt section that several requests share.
type PromptPart struct {
	ID     string
	Tokens int
}

// AttemptMeta is the metadata that a backend server receives with a request.
type AttemptMeta struct {
	Timeout     time.Duration // time left for the request
	InstanceID  string        // any other instance refuses the request
	Priority    int           // 0 (most urgent) to 9
	LastEventID string        // the stream resumes after this event, "" for a new stream
	ModelEngine bool          // the server is a model engine
	Account     string        // client account of the request, "" if it has none
}

// ResponseMeta is the metadata in the headers of a backend server's response.
type ResponseMeta struct {
	RequestID string // of the request to which the response belongs
	Signed    bool   // carries the server's signature
	NotRun    bool   // the server did not and will not run the request
}

// ServerNotice is what a backend server says about itself in the header of a response.
type ServerNotice struct {
	Leaving bool // it is about to stop and takes no new requests
	Limit   LimitNotice
	// RequestsPerSecond is the rate that the server accepts from all entries together. It is
	// set if Limit is LimitNamed.
	RequestsPerSecond float64
}

// LimitNotice says whether a response names a limit of requests per second.
type LimitNotice uint8

// Values of LimitNotice.
const (
	LimitAbsent  LimitNotice = iota // the server has no limit
	LimitNamed                      // the server names one
	LimitInvalid                    // malformed, which says nothing
)

// Codec translates between metadata and the headers of a platform. It contains no
// policy.
type Codec interface {
	// DecodeRequest reads the metadata of a request. Errors wrap ErrBadRequest.
	DecodeRequest(header http.Header) (RequestMeta, error)
	// EncodeRequest adds the metadata of an attempt to the request headers. It removes
	// client headers that only the system may set.
	EncodeRequest(header http.Header, attempt AttemptMeta)
	// DecodeResponse reads the metadata of a response.
	DecodeResponse(status int, header http.Header) ResponseMeta
	// DecodeNotice reads what a response says about its server. A malformed notice does not
	// count as one.
	DecodeNotice(header http.Header) ServerNotice
	// EncodeRetryAfter writes the delay after which the client should retry.
	EncodeRetryAfter(header http.Header, after time.Duration)
}

// hopByHopHeaders apply to a single connection and are not forwarded (RFC 9110, section
// 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// removeHopByHopHeaders removes hopByHopHeaders and the headers that Connection lists.
func removeHopByHopHeaders(header http.Header) {
	for _, value := range header.Values("Connection") {
		for _, name := range splitList(value) {
			header.Del(name)
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}
