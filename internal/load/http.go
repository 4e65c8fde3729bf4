package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"ibistray.example/ibistray/internal/responselimit"
)

// Request headers of a call.
const (
	headerProgram  = "Ibistray-Program"
	headerCall     = "Ibistray-Call"
	headerSequence = "Ibistray-Sequence"
	headerDeadline = "Ibistray-Deadline"
	headerParent   = "Ibistray-Parent"
)

const (
	dialTimeout = 2 * time.Second
	// requestTimeout limits a request, so that one that send abandoned ends too.
	requestTimeout = 10 * time.Minute
	// maxConnections is the limit of connections to one base URL.
	maxConnections = 16_384
	// maxEventBytes is the size limit of one event of a stream.
	maxEventBytes = 4 << 20
	// maxBodyBytes limits a response that is no stream.
	maxBodyBytes = 64 << 20
)

func newHTTPClient() (*client.Client, error) {
	return client.NewClient(
		client.WithDialer(standard.NewDialer()),
		client.WithDialTimeout(dialTimeout),
		client.WithClientReadTimeout(requestTimeout),
		client.WithMaxConnsPerHost(maxConnections),
		client.WithResponseBodyStream(true),
		client.WithDisablePathNormalizing(true),
	)
}

// httpRequest is the content of a POST request.
type httpRequest struct {
	path    string
	headers map[string]string
	body    []byte
}

// httpHeaders returns the HTTP headers of a call with the given customer key.
func (h Header) httpHeaders(key string) map[string]string {
	headers := map[string]string{
		consts.HeaderAuthorization: "Bearer " + key,
		consts.HeaderContentType:   consts.MIMEApplicationJSON,
		headerProgram:              h.Program,
		headerCall:                 h.CallID,
	}
	if h.Sequence > 0 {
		headers[headerSequence] = strconv.Itoa(h.Sequence)
	}
	if h.Deadline > 0 {
		headers[headerDeadline] = strconv.FormatInt(h.Deadline.Milliseconds(), 10)
	}
	if h.ParentProgram != "" {
		headers[headerParent] = h.ParentProgram
	}
	return headers
}

// postResult is the outcome of a POST request.
type postResult struct {
	response *protocol.Response
	err      error
}

// send posts a request and returns its response once the headers have arrived.
// It returns ErrIdle after the idle timeout. Hertz ignores the context while it
// waits for headers, so the request runs in a goroutine of its own, which is
// abandoned on a timeout or at the end of the context.
func (c *Client) send(ctx context.Context, baseURL string, request httpRequest) (*protocol.Response, error) {
	results := make(chan postResult, 1)
	go func() { results <- c.post(baseURL, request) }()
	timer := time.NewTimer(c.config.IdleTimeout)
	defer timer.Stop()
	select {
	case r := <-results:
		return r.response, r.err
	case <-timer.C:
		go closeAbandoned(results)
		return nil, ErrIdle
	case <-ctx.Done():
		go closeAbandoned(results)
		return nil, ctx.Err()
	}
}

func (c *Client) post(baseURL string, request httpRequest) postResult {
	hertzRequest := &protocol.Request{}
	hertzRequest.SetMethod(consts.MethodPost)
	hertzRequest.SetRequestURI(baseURL + request.path)
	for name, value := range request.headers {
		hertzRequest.SetHeader(name, value)
	}
	hertzRequest.SetBody(request.body)
	response := &protocol.Response{}
	err := c.http.Do(context.Background(), hertzRequest, response)
	return postResult{response: response, err: err}
}

// closeAbandoned waits for the response of an abandoned request and closes it.
func closeAbandoned(results <-chan postResult) {
	if r := <-results; r.err == nil {
		_ = r.response.CloseBodyStream()
	}
}

// readBody reads and closes the body of a response. It returns ErrIdle unless the
// whole body arrives within the idle timeout.
func (c *Client) readBody(ctx context.Context, response *protocol.Response) ([]byte, error) {
	w := newWatchdog(ctx, response, c.config.IdleTimeout)
	data, err := responselimit.ReadBody(response, maxBodyBytes)
	cause := w.stop()
	_ = response.CloseBodyStream()
	if cause != nil {
		return nil, cause
	}
	return data, err
}

// readStream reads an answer up to the end of its stream and closes the response.
// It closes the connection and returns ErrIdle when no event arrives within the
// idle timeout.
func (c *Client) readStream(ctx context.Context, response *protocol.Response, call string) (*Answer, error) {
	defer func() { _ = response.CloseBodyStream() }()
	reader, err := sse.NewReader(response)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", err, ErrIncomplete)
	}
	reader.SetMaxBufferSize(maxEventBytes)
	w := newWatchdog(ctx, response, c.config.IdleTimeout)
	builder := &answerBuilder{call: call}
	err = readEvents(reader, func(e *sse.Event) error {
		w.restart()
		return builder.add(e)
	})
	if cause := w.stop(); cause != nil {
		return nil, cause
	}
	if err != nil {
		return nil, err
	}
	return builder.answer()
}

// readEvents calls add for each event up to the end of the stream or the first
// error of add. It returns ErrIncomplete for an error of the stream.
func readEvents(reader *sse.Reader, add func(*sse.Event) error) error {
	event := sse.NewEvent()
	defer event.Release()
	for {
		err := reader.Read(event)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read stream: %w: %w", err, ErrIncomplete)
		}
		if err := add(event); err != nil {
			return err
		}
	}
}

// decodeError returns the CallError in the body of a response with an error status.
func decodeError(status int, data []byte) error {
	var body errorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Reason == "" {
		return &CallError{Status: status, Reason: "unreadable_error", Message: string(data)}
	}
	return body.callError(status)
}
