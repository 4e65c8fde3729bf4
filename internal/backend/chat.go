package backend

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"ibistray.example/ibistray/internal/panics"
	"ibistray.example/ibistray/internal/responselimit"
)

const (
	maxEventBytes = 1 << 20
	endMarker     = "[DONE]" // data of the last event of a stream
)

// ChatRequest is one model call in the format of the OpenAI chat completions API.
type ChatRequest struct {
	RequestID    string            `json:"-"` // sent as a header
	FencingToken uint64            `json:"-"` // sent as a header
	Model        string            `json:"model"`
	Messages     []json.RawMessage `json:"messages"`
	MaxTokens    uint64            `json:"max_tokens"`
	Stream       bool              `json:"stream"`
	Priority     int32             `json:"priority"`
	User         string            `json:"user"` // program under which the engine caches the prefix

	Parameters []byte `json:"-"` // sampling parameters, a JSON object or nil
}

// encode returns the request as JSON, with its sampling parameters merged into it. Fields
// of the request take precedence over parameters of the same name.
func (r *ChatRequest) encode() ([]byte, error) {
	body, err := json.Marshal(r)
	if err != nil || len(r.Parameters) == 0 {
		return body, err
	}
	merged := make(map[string]json.RawMessage)
	if err := json.Unmarshal(r.Parameters, &merged); err != nil {
		return nil, err
	}
	if err := json.Unmarshal(body, &merged); err != nil {
		return nil, err
	}
	return json.Marshal(merged)
}

// Usage is the number of tokens that the engine reports for a call.
type Usage struct {
	PromptTokens     uint64 `json:"prompt_tokens"`
	CompletionTokens uint64 `json:"completion_tokens"`
	PromptDetails    struct {
		CachedTokens uint64 `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// Chunk is one event of a stream.
type Chunk struct {
	Offset uint64 // of Text in the output, in bytes
	Text   string
	Usage  *Usage // nil in all chunks but the last
}

// Stream is the output of a running model call.
type Stream struct {
	requestID string
	resp      *protocol.Response
	req       *protocol.Request
	reader    *sse.Reader
	offset    uint64 // bytes of text read, including those before a resumed stream
	sawUsage  bool
}

// chatEvent is the JSON data of one event of a stream.
type chatEvent struct {
	ID      string `json:"id"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *Usage `json:"usage"`
}

// Chat starts a model call. Errors: ErrUnreachable, ErrConnectionLost, ErrFenced,
// ErrUnknownRequest, ErrInvalidResponse, *StatusError.
func (c *Client) Chat(ctx context.Context, r *ChatRequest) (*Stream, error) {
	r.Stream = true
	body, err := r.encode()
	if err != nil {
		return nil, fmt.Errorf("backend: encode chat request: %w", err)
	}
	req, resp := c.newRequest(consts.MethodPost, "/v1/chat/completions", body, r.RequestID)
	req.Header.Set(headerFencing, strconv.FormatUint(r.FencingToken, 10))
	return c.openStream(ctx, req, resp, r.RequestID, 0)
}

// Resume reads the output of a running call from an offset in bytes on, over a new
// connection. Errors: as Chat.
func (c *Client) Resume(ctx context.Context, requestID string, offset uint64) (*Stream, error) {
	path := "/v1/requests/" + url.PathEscape(requestID) + "/stream?offset=" + strconv.FormatUint(offset, 10)
	req, resp := c.newRequest(consts.MethodGet, path, nil, requestID)
	return c.openStream(ctx, req, resp, requestID, offset)
}

// openStream sends a request and returns the event stream of its response. It takes
// ownership of req and resp.
func (c *Client) openStream(ctx context.Context, req *protocol.Request, resp *protocol.Response, requestID string, offset uint64) (*Stream, error) {
	if err := c.waitForHeader(ctx, req, resp); err != nil {
		return nil, err
	}
	reader, err := newEventReader(resp)
	if err != nil {
		release(req, resp)
		return nil, err
	}
	return &Stream{requestID: requestID, req: req, resp: resp, reader: reader, offset: offset}, nil
}

// waitForHeader sends a request and waits at most silenceTimeout for the header of the
// response. It releases req and resp if it fails. Errors: ErrUnreachable,
// ErrConnectionLost.
func (c *Client) waitForHeader(ctx context.Context, req *protocol.Request, resp *protocol.Response) error {
	req.SetOptions(readTimeoutOption(ctx))
	done := make(chan error, 1)
	go func() {
		var err error
		if panicked := panics.Contain(nil, "backend", func() { err = roundTrip(ctx, c.http, req, resp) }); panicked != nil {
			err = fmt.Errorf("%w: %w", ErrConnectionLost, panicked)
		}
		done <- err
	}()
	timer := time.NewTimer(silenceTimeout)
	defer timer.Stop()
	select {
	case err := <-done:
		if err != nil {
			release(req, resp)
		}
		return err
	case <-timer.C:
		go func() {
			defer release(req, resp) // a response that comes too late is discarded
			<-done                   //nolint:errcheck // the caller has returned
		}()
		return fmt.Errorf("%w: no response for %s", ErrConnectionLost, silenceTimeout)
	}
}

// newEventReader checks the status of a response and returns a reader of its events.
// Errors: ErrUnknownRequest, ErrFenced, ErrConnectionLost, ErrInvalidResponse,
// *StatusError.
func newEventReader(resp *protocol.Response) (*sse.Reader, error) {
	switch resp.StatusCode() {
	case consts.StatusOK:
	case consts.StatusNotFound:
		return nil, ErrUnknownRequest
	case consts.StatusConflict:
		return nil, ErrFenced
	default:
		body, err := readBody(resp, maxBodyBytes)
		if err != nil {
			return nil, err
		}
		return nil, newStatusError(resp, body)
	}
	reader, err := sse.NewReader(resp)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidResponse, err)
	}
	reader.SetMaxBufferSize(maxEventBytes)
	return reader, nil
}

// Next returns the next chunk; it waits at most silenceTimeout for it. It returns io.EOF
// only after the usage and the end marker. Errors: ErrConnectionLost if the connection
// fails or the stream ends without the end marker, ErrConnectionLost with ErrTooLarge if the
// stream exceeds what one connection carries or has a line of more than maxEventBytes, ErrInvalidResponse for an end marker
// without usage and for an event that is malformed, of another request or at another
// offset.
func (s *Stream) Next() (Chunk, error) {
	event := sse.NewEvent()
	defer event.Release()
	timer := time.AfterFunc(silenceTimeout, s.Abort)
	err := s.reader.Read(event)
	timer.Stop()
	if errors.Is(err, io.EOF) {
		return Chunk{}, fmt.Errorf("%w: stream ended without the end marker", ErrConnectionLost)
	}
	if errors.Is(err, bufio.ErrTooLong) {
		err = errEventTooLarge
	}
	if err != nil {
		return Chunk{}, wrapTransportError(err)
	}
	if string(event.Data) == endMarker {
		return Chunk{}, s.checkEnd()
	}
	chunk, err := s.decodeChunk(event)
	if err != nil && !hasMarkedEnd(s.resp) && errors.Is(s.reader.Read(event), io.EOF) {
		// The SSE reader returns an event that the end of the connection has cut off.
		return Chunk{}, fmt.Errorf("%w: stream ended inside an event", ErrConnectionLost)
	}
	return chunk, err
}

// checkEnd returns io.EOF, or ErrInvalidResponse if the stream had no usage.
func (s *Stream) checkEnd() error {
	if !s.sawUsage {
		return fmt.Errorf("%w: end marker without usage", ErrInvalidResponse)
	}
	return io.EOF
}

// decodeChunk decodes an event and advances the offset. Errors wrap ErrInvalidResponse.
func (s *Stream) decodeChunk(event *sse.Event) (Chunk, error) {
	var data chatEvent
	if err := json.Unmarshal(event.Data, &data); err != nil {
		return Chunk{}, fmt.Errorf("%w: %w", ErrInvalidResponse, err)
	}
	if data.ID != s.requestID {
		return Chunk{}, fmt.Errorf("%w: event of request %q in the stream of request %q", ErrInvalidResponse, data.ID, s.requestID)
	}
	chunk := Chunk{Offset: s.offset, Usage: data.Usage}
	if len(data.Choices) > 0 {
		chunk.Text = data.Choices[0].Delta.Content
	}
	s.offset += uint64(len(chunk.Text))
	s.sawUsage = s.sawUsage || data.Usage != nil
	if event.ID != "" && event.ID != strconv.FormatUint(s.offset, 10) {
		return Chunk{}, fmt.Errorf("%w: event ends at byte %s, expected %d", ErrInvalidResponse, event.ID, s.offset)
	}
	return chunk, nil
}

// Close closes the connection. It must not be called during Next.
func (s *Stream) Close() {
	release(s.req, s.resp)
}

// Abort closes the connection. A concurrent Next returns an error.
func (s *Stream) Abort() { responselimit.CloseConnection(s.resp) }
