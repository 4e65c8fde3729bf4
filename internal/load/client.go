package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
)

const (
	defaultIdleTimeout = 15 * time.Second
	minRetryDelay      = 20 * time.Millisecond
	maxRetryDelay      = time.Second
	// maxRetryAfter is the longest retry delay that the client accepts from the
	// system. A call with a longer one fails.
	maxRetryAfter = 10 * time.Second
	// reasonAnswerReplaced is the error reason for an answer that was discarded
	// because another attempt of the call committed its own. Sending the call again
	// returns the committed answer.
	reasonAnswerReplaced = "answer_replaced"
)

// ClientConfig configures a Client.
type ClientConfig struct {
	BaseURLs    []string      // base URLs of the entries
	Key         string        // customer key
	IdleTimeout time.Duration // longest time without data within a request; default 15 s
	Sticky      bool          // start at the base URL that responded last instead of the next one
	OnRetry     func(Retry)   // called before each retry, also concurrently; may be nil
}

// Retry describes a failed request that is followed by another one for the same call.
type Retry struct {
	Header  Header
	BaseURL string // base URL of the failed request
	Err     error
}

// Header holds the values of the request headers that identify a call.
type Header struct {
	Program       string
	CallID        string        // idempotency key
	Sequence      int           // 1-based position in the program; 0: order of arrival
	Deadline      time.Duration // time limit of the call; 0: none
	ParentProgram string        // for a sub-agent: the program that started it
}

// Message is one message of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ModelCall is a call of a model. Messages holds only the messages that are new
// since the previous call of the program.
type ModelCall struct {
	Header
	Model     string
	Messages  []Message
	MaxTokens int
}

// ServiceCall is a call of a service that is not a model.
type ServiceCall struct {
	Header
	Service   string
	Operation string
	Body      json.RawMessage
}

// Answer is a complete answer of a model that the system has committed.
type Answer struct {
	Text     string
	Usage    Usage
	Attempt  uint64
	Turn     uint64
	Requests int           // requests sent for the call
	Elapsed  time.Duration // from the first request to the end of the answer
}

// ServiceAnswer is the answer to a ServiceCall.
type ServiceAnswer struct {
	Body     json.RawMessage
	Requests int           // requests sent for the call
	Elapsed  time.Duration // from the first request to the end of the answer
}

// Client makes calls for one customer. It repeats a call that failed and can be
// retried, or whose outcome is unknown, with the same call ID at the next base
// URL until the context ends. It is safe for concurrent use.
type Client struct {
	config ClientConfig
	http   *client.Client
	next   atomic.Uint64 // index of the next base URL, modulo the number of base URLs
}

// NewClient returns a client. The configuration must have at least one base URL.
func NewClient(config ClientConfig) (*Client, error) {
	if len(config.BaseURLs) == 0 {
		return nil, errors.New("new client: the configuration has no base URL")
	}
	if config.IdleTimeout <= 0 {
		config.IdleTimeout = defaultIdleTimeout
	}
	if config.OnRetry == nil {
		config.OnRetry = func(Retry) {}
	}
	httpClient, err := newHTTPClient()
	if err != nil {
		return nil, fmt.Errorf("new client: %w", err)
	}
	return &Client{config: config, http: httpClient}, nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

type modelBody struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream"`
}

// CallModel makes a model call and returns its complete answer. It returns a
// *CallError when the system refuses the call or reports a permanent failure.
// When the context ends, it returns the error of the last request, which may be
// the context's.
func (c *Client) CallModel(ctx context.Context, call ModelCall) (*Answer, error) {
	body, err := json.Marshal(modelBody{call.Model, call.Messages, call.MaxTokens, true})
	if err != nil {
		return nil, fmt.Errorf("call %s: %w", call.CallID, err)
	}
	request := httpRequest{path: "/v1/chat/completions", headers: call.httpHeaders(c.config.Key), body: body}
	var answer *Answer
	start := time.Now()
	requests, err := c.retry(ctx, call.Header, func(baseURL string) error {
		answer, err = c.requestStream(ctx, baseURL, request, call.CallID)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("call %s: %w", call.CallID, err)
	}
	answer.Requests = requests
	answer.Elapsed = time.Since(start)
	return answer, nil
}

// CallService makes a service call. It returns the same errors as CallModel.
func (c *Client) CallService(ctx context.Context, call ServiceCall) (*ServiceAnswer, error) {
	path := "/v1/services/" + url.PathEscape(call.Service) + "/" + url.PathEscape(call.Operation)
	request := httpRequest{path: path, headers: call.httpHeaders(c.config.Key), body: call.Body}
	answer := &ServiceAnswer{}
	start := time.Now()
	requests, err := c.retry(ctx, call.Header, func(baseURL string) error {
		data, err := c.requestBody(ctx, baseURL, request)
		answer.Body = data
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("call %s: %w", call.CallID, err)
	}
	answer.Requests = requests
	answer.Elapsed = time.Since(start)
	return answer, nil
}

// EndProgram tells the system that a program is complete. It returns the same
// errors as CallModel.
func (c *Client) EndProgram(ctx context.Context, program string) error {
	header := Header{Program: program}
	request := httpRequest{path: "/v1/programs/" + url.PathEscape(program) + "/end", headers: header.httpHeaders(c.config.Key)}
	delete(request.headers, headerCall)
	_, err := c.retry(ctx, header, func(baseURL string) error {
		_, err := c.requestBody(ctx, baseURL, request)
		return err
	})
	if err != nil {
		return fmt.Errorf("end program %s: %w", program, err)
	}
	return nil
}

func (c *Client) requestStream(ctx context.Context, baseURL string, request httpRequest, call string) (*Answer, error) {
	response, err := c.send(ctx, baseURL, request)
	if err != nil {
		return nil, err
	}
	if err := c.checkStatus(ctx, response); err != nil {
		return nil, err
	}
	return c.readStream(ctx, response, call)
}

func (c *Client) requestBody(ctx context.Context, baseURL string, request httpRequest) ([]byte, error) {
	response, err := c.send(ctx, baseURL, request)
	if err != nil {
		return nil, err
	}
	if err := c.checkStatus(ctx, response); err != nil {
		return nil, err
	}
	return c.readBody(ctx, response)
}

// checkStatus returns nil for a 2xx status. For any other status it reads the
// body and returns its error.
func (c *Client) checkStatus(ctx context.Context, response *protocol.Response) error {
	status := response.StatusCode()
	if status >= consts.StatusOK && status < consts.StatusMultipleChoices {
		return nil
	}
	data, err := c.readBody(ctx, response)
	if err != nil {
		return err
	}
	return decodeError(status, data)
}

// retry calls send with successive base URLs until it succeeds, returns an error
// that is not retriable, or the context ends. It returns the number of requests.
func (c *Client) retry(ctx context.Context, header Header, send func(baseURL string) error) (int, error) {
	index := c.firstBaseURL()
	for requests := 1; ; requests++ {
		baseURL := c.config.BaseURLs[index%uint64(len(c.config.BaseURLs))]
		err := send(baseURL)
		if err == nil {
			c.rememberBaseURL(index)
			return requests, nil
		}
		index++
		wait, retriable := retryDelay(err, requests)
		if !retriable || ctx.Err() != nil {
			return requests, err
		}
		c.config.OnRetry(Retry{Header: header, BaseURL: baseURL, Err: err})
		if !sleep(ctx, wait) {
			return requests, err
		}
	}
}

// firstBaseURL returns the index of the base URL for the first request of a call.
func (c *Client) firstBaseURL() uint64 {
	if c.config.Sticky {
		return c.next.Load()
	}
	return c.next.Add(1)
}

// rememberBaseURL records the base URL that responded, where the next call of a
// sticky client starts.
func (c *Client) rememberBaseURL(index uint64) {
	if c.config.Sticky {
		c.next.Store(index)
	}
}

// retryDelay returns how long to wait before a call is sent again after err and a
// number of requests, and whether it may be sent again.
func retryDelay(err error, requests int) (time.Duration, bool) {
	var callErr *CallError
	if !errors.As(err, &callErr) {
		return backoff(requests), true
	}
	if callErr.RetryAfter > maxRetryAfter {
		return 0, false
	}
	if callErr.RetryAfter > 0 {
		return callErr.RetryAfter, true
	}
	retriable := callErr.Status == consts.StatusServiceUnavailable || callErr.Reason == reasonAnswerReplaced
	return backoff(requests), retriable
}

// backoff returns a random delay below a limit that doubles with each request, up
// to maxRetryDelay.
func backoff(requests int) time.Duration {
	limit := min(maxRetryDelay, minRetryDelay<<min(requests, 10))
	return rand.N(limit)
}

// sleep waits for d. It returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
