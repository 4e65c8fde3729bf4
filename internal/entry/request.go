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
	headerDeadline      = "Ibistray-Deadline" // milliseconds from now
	headerParent        = "Ibistray-Parent"
)

const (
	maxDeadline       = time.Hour
	maxMessages       = 256
	defaultDeadline   = 10 * time.Minute
	tokensPerMessage  = 16 // bound of what a chat template adds to a message
	bearerPrefix      = "Bearer "
	singleCallProgram = "single-"
)

// namePattern is what programs, calls, models, services and operations are
// named by.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

// headers reads one header of a request.
type headers func(name string) string

// Request is one checked call.
type Request struct {
	Key         *shardpb.CallKey
	KeyHash     []byte
	Kind        shardpb.CallKind
	Model       string
	Service     string
	Operation   string
	Sequence    uint64
	Body        []byte // new messages (JSON array) or the service's request (JSON)
	Parameters  []byte // sampling parameters of a model call, a JSON object or nil
	MaxTokens   uint64
	Stream      bool
	Timeout     time.Duration
	Deadline    time.Time
	Parent      string
	Fingerprint []byte // of the request, for resends of its call ID
	Content     []byte // what the backend server gets of it, for the quarantine
	InputTokens uint64 // upper bound of the tokens of Body
}

// chatBody is the JSON of a model call. Sampling parameters are handed to the
// engine as they are.
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

// parseChat checks a model call.
func parseChat(get headers, body []byte, maxTokens uint64, now time.Time) (*Request, *Failure) {
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
	if r.MaxTokens, failure = outputLimit(&doc, maxTokens); failure != nil {
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
	r.InputTokens = uint64(len(r.Body)) + tokensPerMessage*uint64(len(doc.Messages))
	limit := strconv.FormatUint(r.MaxTokens, 10)
	r.Fingerprint = fingerprint("model", r.Model, limit, string(r.Body), string(r.Parameters))
	r.Content = append(append([]byte{}, r.Body...), r.Parameters...)
	return nil
}

// parseService checks a call of a plain service.
func parseService(get headers, service, operation string, body []byte, now time.Time) (*Request, *Failure) {
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
	r.Content = fingerprint(operation, string(r.Body))
	return r, nil
}

func parseCommon(get headers, body []byte, now time.Time) (*Request, *Failure) {
	customer, hash, failure := parseKey(get)
	if failure != nil {
		return nil, failure
	}
	if !utf8.Valid(body) {
		return nil, &Failure{Status: statusBadRequest, Reason: reasonInvalidUTF8, Message: "body is not UTF-8", NotRun: true}
	}
	r := &Request{KeyHash: hash, Parent: get(headerParent)}
	r.Key = &shardpb.CallKey{Customer: customer, Program: get(headerProgram), Call: get(headerCall)}
	if failure := r.fillNames(); failure != nil {
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

// parseKey reads the customer key: it names the customer, so that the request
// finds its shard.
func parseKey(get headers) (string, []byte, *Failure) {
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

// fillNames checks the names of program and call. A call without an ID gets a
// random one and cannot be asked for again; a call without a program is a
// program of its own.
func (r *Request) fillNames() *Failure {
	if r.Key.Call == "" {
		r.Key.Call = rand.Text()
	}
	if r.Key.Program == "" {
		r.Key.Program = singleCallProgram + r.Key.Call
	}
	names := []struct{ header, value string }{
		{headerProgram, r.Key.Program},
		{headerCall, r.Key.Call},
	}
	if r.Parent != "" {
		names = append(names, struct{ header, value string }{headerParent, r.Parent})
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
		if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
			return invalidRequest("header %s: %q is not a number of milliseconds from 1 to %d", headerDeadline, text, maxDeadline.Milliseconds())
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

// outputLimit returns the most output tokens of a call.
func outputLimit(doc *chatBody, limit uint64) (uint64, *Failure) {
	asked := doc.MaxTokens
	if asked == nil {
		asked = doc.MaxCompletionTokens
	}
	if asked == nil {
		return limit, nil
	}
	if *asked < 1 || uint64(*asked) > limit {
		return 0, invalidRequest("max_tokens: %d is out of range, use 1 to %d", *asked, limit)
	}
	return uint64(*asked), nil
}

// decodeStrict decodes one JSON value with known fields only.
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

// fingerprint identifies the content of a request: SHA-256 over the lengths and
// bytes of its parts.
func fingerprint(parts ...string) []byte {
	h := sha256.New()
	for _, part := range parts {
		fmt.Fprintf(h, "%d:", len(part))
		_, _ = io.WriteString(h, part)
	}
	return h.Sum(nil)
}
