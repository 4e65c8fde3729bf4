package backend

import (
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
)

const (
	maxEventBytes = 1 << 20
	doneData      = "[DONE]"
)

// ChatRequest is one model call.
type ChatRequest struct {
	RequestID    string            `json:"-"`
	FencingToken uint64            `json:"-"`
	Model        string            `json:"model"`
	Messages     []json.RawMessage `json:"messages"`
	MaxTokens    uint64            `json:"max_tokens"`
	Stream       bool              `json:"stream"`
	Priority     int32             `json:"priority"`
	User         string            `json:"user"` // program under which the engine caches the prefix

	Parameters []byte `json:"-"` // sampling parameters, a JSON object or nil
}

// encode returns the JSON of the request with its sampling parameters.
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

// Usage is the engine's count of tokens.
type Usage struct {
	PromptTokens     uint64 `json:"prompt_tokens"`
	CompletionTokens uint64 `json:"completion_tokens"`
	PromptDetails    struct {
		CachedTokens uint64 `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// Chunk is one event of a stream.
type Chunk struct {
	Offset uint64 // bytes of text before this chunk
	Text   string
	Usage  *Usage // set in the last chunk
}

// Stream is the output of a running model call.
type Stream struct {
	requestID string
	resp      *protocol.Response
	req       *protocol.Request
	reader    *sse.Reader
	offset    uint64
	sawUsage  bool
}

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
// *StatusError.
func (c *Client) Chat(ctx context.Context, r *ChatRequest) (*Stream, error) {
	r.Stream = true
	body, err := r.encode()
	if err != nil {
		return nil, fmt.Errorf("backend: encode chat request: %w", err)
	}
	req, resp := c.newRequest(consts.MethodPost, "/v1/chat/completions", body, r.RequestID)
	req.Header.Set(headerFencing, strconv.FormatUint(r.FencingToken, 10))
	return c.stream(ctx, req, resp, r.RequestID, 0)
}

// Resume continues the output of a call at an offset in bytes, on a new
// connection. Errors: as Chat, and ErrUnknownRequest.
func (c *Client) Resume(ctx context.Context, requestID string, offset uint64) (*Stream, error) {
	path := "/v1/requests/" + url.PathEscape(requestID) + "/stream?offset=" + strconv.FormatUint(offset, 10)
	req, resp := c.newRequest(consts.MethodGet, path, nil, requestID)
	return c.stream(ctx, req, resp, requestID, offset)
}

func (c *Client) stream(ctx context.Context, req *protocol.Request, resp *protocol.Response, requestID string, offset uint64) (*Stream, error) {
	if err := c.open(ctx, req, resp); err != nil {
		return nil, err
	}
	reader, err := openReader(resp)
	if err != nil {
		release(req, resp)
		return nil, err
	}
	return &Stream{requestID: requestID, req: req, resp: resp, reader: reader, offset: offset}, nil
}

// open sends a request and waits for the header of its answer, for at most
// silenceLimit. It releases request and response when it fails.
func (c *Client) open(ctx context.Context, req *protocol.Request, resp *protocol.Response) error {
	req.SetOptions(readTimeoutOption(ctx))
	done := make(chan error, 1)
	go func() { done <- c.http.Do(ctx, req, resp) }()
	silent := time.NewTimer(silenceLimit)
	defer silent.Stop()
	select {
	case err := <-done:
		if err != nil {
			release(req, resp)
			return transportError(err)
		}
		return nil
	case <-silent.C:
		go func() {
			if err := <-done; err == nil {
				// The answer came too late: its connection is of no use.
				_ = resp.CloseBodyStream()
			}
			release(req, resp)
		}()
		return fmt.Errorf("%w: no answer for %s", ErrConnectionLost, silenceLimit)
	}
}

// openReader checks the status of a streamed answer.
func openReader(resp *protocol.Response) (*sse.Reader, error) {
	switch resp.StatusCode() {
	case consts.StatusOK:
	case consts.StatusNotFound:
		return nil, ErrUnknownRequest
	case consts.StatusConflict:
		return nil, ErrFenced
	default:
		body, err := resp.BodyE()
		if err != nil {
			return nil, transportError(err)
		}
		return nil, statusError(resp, body)
	}
	reader, err := sse.NewReader(resp)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidResponse, err)
	}
	reader.SetMaxBufferSize(maxEventBytes)
	return reader, nil
}

// Next returns the next chunk; it waits for at most silenceLimit. It returns io.EOF only after the end marker and
// the usage were seen; a stream that ends without them is ErrConnectionLost, a chunk
// of another request or at another offset ErrInvalidResponse.
func (s *Stream) Next() (Chunk, error) {
	event := sse.NewEvent()
	defer event.Release()
	silent := time.AfterFunc(silenceLimit, s.Abort)
	err := s.reader.Read(event)
	silent.Stop()
	if errors.Is(err, io.EOF) {
		return Chunk{}, fmt.Errorf("%w: stream ended without its end marker", ErrConnectionLost)
	}
	if err != nil {
		return Chunk{}, transportError(err)
	}
	if string(event.Data) == doneData {
		return Chunk{}, s.end()
	}
	return s.decode(event)
}

func (s *Stream) end() error {
	if !s.sawUsage {
		return fmt.Errorf("%w: end marker without usage", ErrInvalidResponse)
	}
	return io.EOF
}

func (s *Stream) decode(event *sse.Event) (Chunk, error) {
	var doc chatEvent
	if err := json.Unmarshal(event.Data, &doc); err != nil {
		return Chunk{}, fmt.Errorf("%w: %w", ErrInvalidResponse, err)
	}
	if doc.ID != s.requestID {
		return Chunk{}, fmt.Errorf("%w: event of request %q on the stream of %q", ErrInvalidResponse, doc.ID, s.requestID)
	}
	chunk := Chunk{Offset: s.offset, Usage: doc.Usage}
	if len(doc.Choices) > 0 {
		chunk.Text = doc.Choices[0].Delta.Content
	}
	s.offset += uint64(len(chunk.Text))
	s.sawUsage = s.sawUsage || doc.Usage != nil
	if event.ID != "" && event.ID != strconv.FormatUint(s.offset, 10) {
		return Chunk{}, fmt.Errorf("%w: event at byte %s, expected %d", ErrInvalidResponse, event.ID, s.offset)
	}
	return chunk, nil
}

// Close releases the connection. It must not be called during Next.
func (s *Stream) Close() {
	release(s.req, s.resp)
}

type forceCloser interface {
	ForceClose() error
}

// Abort closes the connection under a running Next, which then returns an error.
func (s *Stream) Abort() {
	if f, ok := s.resp.BodyStream().(forceCloser); ok {
		_ = f.ForceClose()
	}
}
