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
	minBackoff         = 20 * time.Millisecond
	maxBackoff         = time.Second
	// longestRetryAfter is the longest hint that the client follows.
	longestRetryAfter = 10 * time.Second
	// reasonAnswerReplaced says that the answer of another attempt is on record.
	reasonAnswerReplaced = "answer_replaced"
)

// ClientConfig configures a Client.
type ClientConfig struct {
	BaseURLs    []string      // base URLs of the system's HTTP front
	Key         string        // customer key
	IdleTimeout time.Duration // longest silence within an exchange; default 15 s
	Sticky      bool          // begin with the base URL that answered last, not with the next one
	OnRetry     func(Retry)   // told of each call that is sent again; may be nil
}

// Retry tells why a call is sent again.
type Retry struct {
	Header  Header
	BaseURL string // base URL that failed
	Err     error
}

// Header names a call.
type Header struct {
	Program       string
	CallID        string        // idempotency key
	Sequence      int           // 1-based position in the program; 0: order of arrival
	Deadline      time.Duration // 0: none
	ParentProgram string        // parent program of a sub-agent
}

// Message is one message of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ModelCall is one call of a model. It carries only the new messages.
type ModelCall struct {
	Header
	Model     string
	Messages  []Message
	MaxTokens int
}

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	Header
	Service   string
	Operation string
	Body      json.RawMessage
}

// Answer is a whole answer of a model that the system has committed.
type Answer struct {
	Text     string
	Usage    Usage
	Attempt  uint64
	Turn     uint64
	Requests int           // how often the call was sent
	Elapsed  time.Duration // from the first send to the end of the answer
}

// ServiceAnswer is the answer of a plain service.
type ServiceAnswer struct {
	Body     json.RawMessage
	Requests int           // how often the call was sent
	Elapsed  time.Duration // from the first send to the end of the answer
}

// Client makes calls of one customer. A call whose outcome is unclear is sent
// again with the same call ID to the next base URL, until the context ends. It
// is safe for concurrent use.
type Client struct {
	config ClientConfig
	http   *client.Client
	next   atomic.Uint64 // index of the base URL of the next call, before the modulus
}

// NewClient returns a client. It fails without a base URL.
func NewClient(config ClientConfig) (*Client, error) {
	if len(config.BaseURLs) == 0 {
		return nil, errors.New("new client: no base URL")
	}
	if config.IdleTimeout <= 0 {
		config.IdleTimeout = defaultIdleTimeout
	}
	if config.OnRetry == nil {
		config.OnRetry = func(Retry) {}
	}
	library, err := newHTTPClient()
	if err != nil {
		return nil, fmt.Errorf("new client: %w", err)
	}
	return &Client{config: config, http: library}, nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

type modelBody struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream"`
}

// CallModel makes a model call. It returns a *CallError when the system refuses
// the call or says that it failed for good, or the context's error.
func (c *Client) CallModel(ctx context.Context, call ModelCall) (*Answer, error) {
	body, err := json.Marshal(modelBody{call.Model, call.Messages, call.MaxTokens, true})
	if err != nil {
		return nil, fmt.Errorf("call %s: %w", call.CallID, err)
	}
	x := exchange{path: "/v1/chat/completions", headers: call.values(c.config.Key), body: body}
	var answer *Answer
	began := time.Now()
	sends, err := c.retry(ctx, call.Header, func(base string) error {
		answer, err = c.stream(ctx, base, x, call.CallID)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("call %s: %w", call.CallID, err)
	}
	answer.Requests = sends
	answer.Elapsed = time.Since(began)
	return answer, nil
}

// CallService makes a call of a plain service, with the errors of Model.
func (c *Client) CallService(ctx context.Context, call ServiceCall) (*ServiceAnswer, error) {
	path := "/v1/services/" + url.PathEscape(call.Service) + "/" + url.PathEscape(call.Operation)
	x := exchange{path: path, headers: call.values(c.config.Key), body: call.Body}
	answer := &ServiceAnswer{}
	began := time.Now()
	sends, err := c.retry(ctx, call.Header, func(base string) error {
		data, err := c.plain(ctx, base, x)
		answer.Body = data
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("call %s: %w", call.CallID, err)
	}
	answer.Requests = sends
	answer.Elapsed = time.Since(began)
	return answer, nil
}

// EndProgram ends a program.
func (c *Client) EndProgram(ctx context.Context, program string) error {
	header := Header{Program: program}
	x := exchange{path: "/v1/programs/" + url.PathEscape(program) + "/end", headers: header.values(c.config.Key)}
	delete(x.headers, headerCall)
	_, err := c.retry(ctx, header, func(base string) error {
		_, err := c.plain(ctx, base, x)
		return err
	})
	if err != nil {
		return fmt.Errorf("end program %s: %w", program, err)
	}
	return nil
}

func (c *Client) stream(ctx context.Context, base string, x exchange, call string) (*Answer, error) {
	response, err := c.send(ctx, base, x)
	if err != nil {
		return nil, err
	}
	if err := c.checkStatus(ctx, response); err != nil {
		return nil, err
	}
	return c.readStream(ctx, response, call)
}

func (c *Client) plain(ctx context.Context, base string, x exchange) ([]byte, error) {
	response, err := c.send(ctx, base, x)
	if err != nil {
		return nil, err
	}
	if err := c.checkStatus(ctx, response); err != nil {
		return nil, err
	}
	return c.readBody(ctx, response)
}

// checkStatus returns the error of a response that is not a success.
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

// retry sends a call until it succeeds, fails for good or the context ends.
// It returns how often the call was sent.
func (c *Client) retry(ctx context.Context, header Header, send func(base string) error) (int, error) {
	index := c.firstBase()
	for sends := 1; ; sends++ {
		base := c.config.BaseURLs[index%uint64(len(c.config.BaseURLs))]
		err := send(base)
		if err == nil {
			c.answered(index)
			return sends, nil
		}
		index++
		wait, again := retryDelay(err, sends)
		if !again || ctx.Err() != nil {
			return sends, err
		}
		c.config.OnRetry(Retry{Header: header, BaseURL: base, Err: err})
		if !sleep(ctx, wait) {
			return sends, err
		}
	}
}

// firstBase returns the index of the base URL at which a call begins.
func (c *Client) firstBase() uint64 {
	if c.config.Sticky {
		return c.next.Load()
	}
	return c.next.Add(1)
}

// answered notes which base URL answered.
func (c *Client) answered(index uint64) {
	if c.config.Sticky {
		c.next.Store(index)
	}
}

// retryDelay returns how long to wait before a call is sent again, and false
// for an error that is final.
func retryDelay(err error, sends int) (time.Duration, bool) {
	var callErr *CallError
	if !errors.As(err, &callErr) {
		return backoff(sends), true
	}
	if callErr.RetryAfter > longestRetryAfter {
		return 0, false
	}
	if callErr.RetryAfter > 0 {
		return callErr.RetryAfter, true
	}
	again := callErr.Status == consts.StatusServiceUnavailable || callErr.Reason == reasonAnswerReplaced
	return backoff(sends), again
}

// backoff returns a random wait below a bound that doubles with each send.
func backoff(sends int) time.Duration {
	bound := min(maxBackoff, minBackoff<<min(sends, 10))
	return rand.N(bound)
}

// sleep waits; it returns false when the context ends first.
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
