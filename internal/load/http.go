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
)

// Headers of a call.
const (
	headerProgram  = "Ibistray-Program"
	headerCall     = "Ibistray-Call"
	headerSequence = "Ibistray-Sequence"
	headerDeadline = "Ibistray-Deadline"
	headerParent   = "Ibistray-Parent"
)

const (
	dialTimeout = 2 * time.Second
	// exchangeLimit bounds one exchange, so that one that was abandoned ends.
	exchangeLimit = 10 * time.Minute
	// maxConnections bounds the connections to one base URL.
	maxConnections = 16_384
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 4 << 20
)

func newHTTPClient() (*client.Client, error) {
	return client.NewClient(
		client.WithDialer(standard.NewDialer()),
		client.WithDialTimeout(dialTimeout),
		client.WithClientReadTimeout(exchangeLimit),
		client.WithMaxConnsPerHost(maxConnections),
		client.WithResponseBodyStream(true),
		client.WithDisablePathNormalizing(true),
	)
}

// exchange is one request and its response.
type exchange struct {
	path    string
	headers map[string]string
	body    []byte
}

// header fills the headers that every call has.
func (h Header) values(key string) map[string]string {
	values := map[string]string{
		consts.HeaderAuthorization: "Bearer " + key,
		consts.HeaderContentType:   consts.MIMEApplicationJSON,
		headerProgram:              h.Program,
		headerCall:                 h.CallID,
	}
	if h.Sequence > 0 {
		values[headerSequence] = strconv.Itoa(h.Sequence)
	}
	if h.Deadline > 0 {
		values[headerDeadline] = strconv.FormatInt(h.Deadline.Milliseconds(), 10)
	}
	if h.ParentProgram != "" {
		values[headerParent] = h.ParentProgram
	}
	return values
}

// result is the response of an exchange, or why there is none.
type result struct {
	response *protocol.Response
	err      error
}

// send posts a request and returns its response once the headers are there.
// The library does not watch the context while it waits for headers, so the
// exchange runs aside and is abandoned when the wait ends.
func (c *Client) send(ctx context.Context, base string, x exchange) (*protocol.Response, error) {
	results := make(chan result, 1)
	go func() { results <- c.post(base, x) }()
	timer := time.NewTimer(c.config.IdleTimeout)
	defer timer.Stop()
	select {
	case r := <-results:
		return r.response, r.err
	case <-timer.C:
		go discard(results)
		return nil, ErrIdle
	case <-ctx.Done():
		go discard(results)
		return nil, ctx.Err()
	}
}

func (c *Client) post(base string, x exchange) result {
	request := &protocol.Request{}
	request.SetMethod(consts.MethodPost)
	request.SetRequestURI(base + x.path)
	for name, value := range x.headers {
		request.SetHeader(name, value)
	}
	request.SetBody(x.body)
	response := &protocol.Response{}
	err := c.http.Do(context.Background(), request, response)
	return result{response: response, err: err}
}

// discard closes a response that nobody waits for.
func discard(results <-chan result) {
	if r := <-results; r.err == nil {
		_ = r.response.CloseBodyStream()
	}
}

// readBody reads a whole JSON body; it gives up when the body is not there
// within the idle timeout.
func (c *Client) readBody(ctx context.Context, response *protocol.Response) ([]byte, error) {
	w := newWatchdog(ctx, response, c.config.IdleTimeout)
	data, err := io.ReadAll(response.BodyStream())
	cause := w.end()
	_ = response.CloseBodyStream()
	if cause != nil {
		return nil, cause
	}
	return data, err
}

// readStream reads an answer to its end, and cuts the connection when nothing
// has arrived for the idle timeout.
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
	if cause := w.end(); cause != nil {
		return nil, cause
	}
	if err != nil {
		return nil, err
	}
	return builder.answer()
}

// readEvents calls add for each event up to the end of the stream. An error of
// the stream is ErrIncomplete.
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

// decodeError reads the error of a response that is not a success.
func decodeError(status int, data []byte) error {
	var body errorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Reason == "" {
		return &CallError{Status: status, Reason: "unreadable_error", Message: string(data)}
	}
	return body.callError(status)
}
