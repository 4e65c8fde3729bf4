package entry

import (
	"bytes"
	"crypto/rand"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"ibistray.example/ibistray/internal/contract"
	"ibistray.example/ibistray/proto/shardpb"
)

// Headers of callers' requests.
const (
	headerAuthorization = "Authorization"
	headerProgram       = "Ibistray-Program"
	headerCall          = "Ibistray-Call"
	headerSequence      = "Ibistray-Sequence"
	headerDeadline      = "Ibistray-Deadline" // in milliseconds from the arrival of the request
	headerParent        = "Ibistray-Parent"
)

// MaxDeadline is the longest time that a caller may give for a call.
const MaxDeadline = time.Hour

const (
	maxMessages             = 256
	defaultDeadline         = 10 * time.Minute
	tokensPerMessage        = 16 // upper bound of the tokens that a chat template adds to each message
	bearerPrefix            = "Bearer "
	singleCallProgramPrefix = "single-"
)

// namePattern matches valid names of programs, calls, models, services and operations.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

// headerFunc returns the value of a request header, or "" if it is not set.
type headerFunc func(name string) string

// Request is a call whose headers and body have been validated.
type Request struct {
	Key             *shardpb.CallKey
	KeyHash         []byte
	Kind            shardpb.CallKind
	Model           string
	Service         string
	Operation       string
	Sequence        uint64
	Body            []byte // new messages of a model call (JSON array) or the service's request (JSON)
	Parameters      []byte // sampling parameters of a model call (JSON object) or nil
	MaxOutputTokens uint64
	Stream          bool
	Timeout         time.Duration
	Deadline        time.Time
	ParentProgram   string
	Fingerprint     []byte // of the request, to detect another request with the same call ID
	BackendContent  []byte // the part that the backend server receives, for the quarantine
	MaxInputTokens  uint64 // upper bound of the number of tokens of Body
}

// chatBody is the JSON body of a model call. The sampling parameters are passed to the
// engine unchanged.
type chatBody struct {
	Model               string            `json:"model"`
	Messages            []json.RawMessage `json:"messages"`
	MaxTokens           *int64            `json:"max_tokens"`
	MaxCompletionTokens *int64            `json:"max_completion_tokens"`
	Stream              bool              `json:"stream"`
	StreamOptions       json.RawMessage   `json:"stream_options"`
	User                string            `json:"user"`
	samplingParameters
}

type samplingParameters struct {
	Temperature      json.RawMessage `json:"temperature,omitempty"`
	TopP             json.RawMessage `json:"top_p,omitempty"`
	Stop             json.RawMessage `json:"stop,omitempty"`
	Seed             json.RawMessage `json:"seed,omitempty"`
	PresencePenalty  json.RawMessage `json:"presence_penalty,omitempty"`
	FrequencyPenalty json.RawMessage `json:"frequency_penalty,omitempty"`
	ResponseFormat   json.RawMessage `json:"response_format,omitempty"`
	Tools            json.RawMessage `json:"tools,omitempty"`
	ToolChoice       json.RawMessage `json:"tool_choice,omitempty"`
}

type chatMessage struct {
	Role       string          `json:"role"`
	Content    json.RawMessage `json:"content"`
	Name       string          `json:"name,omitempty"`
	ToolCalls  json.RawMessage `json:"tool_calls,omitempty"`
	ToolCallID string          `json:"tool_call_id,omitempty"`
}

// parseChat validates a model call. maxTokens is the limit of its output tokens and the
// default if the call sets none.
func parseChat(get headerFunc, body []byte, maxTokens uint64, now time.Time) (*Request, *Failure) {
	r, failure := parseCommon(get, body, now)
	if failure != nil {
		return nil, failure
	}
	var doc chatBody
	if err := decodeStrict(body, &doc); err != nil {
		return nil, invalidRequest("body: %s", err)
	}
	if !namePattern.MatchString(doc.Model) {
		return nil, invalidRequest("model: %q is not a model name", doc.Model)
	}
	if failure := checkMessages(doc.Messages); failure != nil {
		return nil, failure
	}
	if r.MaxOutputTokens, failure = maxOutputTokens(&doc, maxTokens); failure != nil {
		return nil, failure
	}
	r.Kind = shardpb.CallKind_CALL_KIND_MODEL
	r.Model = doc.Model
	r.Stream = doc.Stream
	if err := r.setModelBody(&doc); err != nil {
		return nil, invalidRequest("body: %s", err)
	}
	return r, nil
}

// setModelBody sets the fields of a model call that derive from its body.
func (r *Request) setModelBody(doc *chatBody) error {
	var err error
	if r.Body, err = json.Marshal(doc.Messages); err != nil {
		return err
	}
	parameters, err := json.Marshal(doc.samplingParameters)
	if err != nil {
		return err
	}
	if string(parameters) != "{}" {
		r.Parameters = parameters
	}
	r.MaxInputTokens = uint64(len(r.Body)) + tokensPerMessage*uint64(len(doc.Messages))
	limit := strconv.FormatUint(r.MaxOutputTokens, 10)
	r.Fingerprint = fingerprint("model", r.Model, limit, string(r.Body), string(r.Parameters))
	r.BackendContent = append(append([]byte{}, r.Body...), r.Parameters...)
	return nil
}

// parseService validates a service call.
func parseService(get headerFunc, service, operation string, body []byte, now time.Time) (*Request, *Failure) {
	r, failure := parseCommon(get, body, now)
	if failure != nil {
		return nil, failure
	}
	if !namePattern.MatchString(service) || !namePattern.MatchString(operation) {
		return nil, invalidRequest("path: %q and %q must be names of a service and an operation", service, operation)
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, body); err != nil {
		return nil, invalidRequest("body: %s", err)
	}
	r.Kind = shardpb.CallKind_CALL_KIND_SERVICE
	r.Service = service
	r.Operation = operation
	r.Body = compact.Bytes()
	r.Fingerprint = fingerprint("service", service, operation, string(r.Body))
	r.BackendContent = fingerprint(operation, string(r.Body))
	return r, nil
}

// parseCommon validates what model and service calls have in common: the key, the names
// and the other headers.
func parseCommon(get headerFunc, body []byte, now time.Time) (*Request, *Failure) {
	customer, keyHash, failure := parseCustomerKey(get)
	if failure != nil {
		return nil, failure
	}
	if !utf8.Valid(body) {
		return nil, &Failure{Status: statusBadRequest, Reason: reasonInvalidUTF8, Message: "body is not UTF-8", NotRun: true}
	}
	r := &Request{KeyHash: keyHash, ParentProgram: get(headerParent)}
	r.Key = &shardpb.CallKey{Customer: customer, Program: get(headerProgram), Call: get(headerCall)}
	if failure := r.setNames(); failure != nil {
		return nil, failure
	}
	if failure := r.parseSequence(get(headerSequence)); failure != nil {
		return nil, failure
	}
	if failure := r.parseDeadline(get(headerDeadline), now); failure != nil {
		return nil, failure
	}
	return r, nil
}

// parseCustomerKey returns the customer that the key in the Authorization header names
// and the hash of the key. The customer determines the shard, which verifies the hash.
func parseCustomerKey(get headerFunc) (string, []byte, *Failure) {
	key, ok := strings.CutPrefix(get(headerAuthorization), bearerPrefix)
	if !ok {
		return "", nil, unauthenticated("header Authorization: Bearer <customer key> is missing")
	}
	customer, err := contract.ParseKey(key)
	if err != nil {
		return "", nil, unauthenticated("the customer key is malformed")
	}
	return customer, contract.HashKey(key), nil
}

func unauthenticated(message string) *Failure {
	return &Failure{Status: statusUnauthorized, Reason: reasonUnauthenticated, Message: message, NotRun: true}
}

// setNames fills in missing names of the program and the call and validates all names. A
// call without an ID gets a random one, so it cannot be repeated. A call without a
// program becomes a program of its own.
func (r *Request) setNames() *Failure {
	if r.Key.Call == "" {
		r.Key.Call = rand.Text()
	}
	if r.Key.Program == "" {
		r.Key.Program = singleCallProgramPrefix + r.Key.Call
	}
	names := []struct{ header, value string }{
		{headerProgram, r.Key.Program},
		{headerCall, r.Key.Call},
	}
	if r.ParentProgram != "" {
		names = append(names, struct{ header, value string }{headerParent, r.ParentProgram})
	}
	for _, n := range names {
		if !namePattern.MatchString(n.value) {
			return invalidRequest("header %s: use 1 to 128 of letters, digits, dot, colon, dash and underscore", n.header)
		}
	}
	return nil
}

func (r *Request) parseSequence(text string) *Failure {
	if text == "" {
		return nil
	}
	n, err := strconv.ParseUint(text, 10, 32)
	if err != nil || n == 0 {
		return invalidRequest("header %s: %q is not a positive number", headerSequence, text)
	}
	r.Sequence = n
	return nil
}

func (r *Request) parseDeadline(text string, now time.Time) *Failure {
	r.Timeout = defaultDeadline
	if text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 || ms > MaxDeadline.Milliseconds() {
			return invalidRequest("header %s: %q is not a number of milliseconds from 1 to %d", headerDeadline, text, MaxDeadline.Milliseconds())
		}
		r.Timeout = time.Duration(ms) * time.Millisecond
	}
	r.Deadline = now.Add(r.Timeout)
	return nil
}

func checkMessages(messages []json.RawMessage) *Failure {
	if len(messages) == 0 {
		return invalidRequest("messages: at least one new message is needed")
	}
	if len(messages) > maxMessages {
		return invalidRequest("messages: %d new messages, at most %d are allowed", len(messages), maxMessages)
	}
	for i, raw := range messages {
		var m chatMessage
		if err := decodeStrict(raw, &m); err != nil {
			return invalidRequest("messages[%d]: %s", i, err)
		}
		if m.Role == "" {
			return invalidRequest("messages[%d].role: it is missing", i)
		}
	}
	return nil
}

// maxOutputTokens returns the maximum number of output tokens of a call: the one that it
// requests, which must not exceed limit, or limit if it requests none.
func maxOutputTokens(doc *chatBody, limit uint64) (uint64, *Failure) {
	requested := doc.MaxTokens
	if requested == nil {
		requested = doc.MaxCompletionTokens
	}
	if requested == nil {
		return limit, nil
	}
	if *requested < 1 || uint64(*requested) > limit {
		return 0, invalidRequest("max_tokens: %d is out of range, use 1 to %d", *requested, limit)
	}
	return uint64(*requested), nil
}

// decodeStrict decodes a single JSON value. It rejects unknown fields and data after the
// value.
func decodeStrict(data []byte, v any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("more than one JSON value")
	}
	return nil
}

// fingerprint returns the SHA-256 of the lengths and bytes of the parts of a request,
// which identifies its content.
func fingerprint(parts ...string) []byte {
	h := sha256.New()
	for _, part := range parts {
		fmt.Fprintf(h, "%d:", len(part))
		_, _ = io.WriteString(h, part)
	}
	return h.Sum(nil)
}
