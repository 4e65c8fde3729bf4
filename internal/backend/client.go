package backend

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/app/client/retry"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"ibistray.example/ibistray/internal/responselimit"
)

const (
	dialTimeout = time.Second
	// silenceTimeout is how long a response header or the next event of a stream may
	// take before the connection counts as lost. The caller then resumes the stream on
	// a new connection.
	silenceTimeout       = 5 * time.Second
	requestTimeout       = 5 * time.Second // of requests other than chat and service calls
	maxConns             = 8192
	maxErrorMessageBytes = 512
)

// Headers of requests to backend servers.
const (
	headerRequestID  = "X-Request-Id"
	headerFencing    = "X-Fencing-Token"
	headerRetryAfter = "Retry-After"
)

// Client calls one backend server. Each request opens a connection of its own,
// so that a stale pooled connection cannot make a request fail. It is safe for
// concurrent use.
type Client struct {
	baseURL string
	http    *client.Client // for responses of at most maxBodyBytes
	large   *client.Client // for exports
}

// New returns a client for the server at baseURL.
func New(baseURL string) (*Client, error) {
	small, err := newHTTPClient(maxBodyBytes)
	if err != nil {
		return nil, err
	}
	large, err := newHTTPClient(maxExportBytes)
	if err != nil {
		return nil, err
	}
	return &Client{baseURL: baseURL, http: small, large: large}, nil
}

// newHTTPClient returns a client for responses with bodies of at most limit bytes.
func newHTTPClient(limit int) (*client.Client, error) {
	h, err := client.NewClient(
		client.WithDialer(responselimit.NewDialer(limit)),
		client.WithDialTimeout(dialTimeout),
		client.WithMaxConnsPerHost(maxConns),
		client.WithKeepAlive(false),
		client.WithDisablePathNormalizing(true), // program names contain escaped slashes
		client.WithResponseBodyStream(true),
		client.WithRetryConfig(retry.WithMaxAttemptTimes(1)),
	)
	if err != nil {
		return nil, fmt.Errorf("backend: create HTTP client: %w", err)
	}
	return h, nil
}

// Health returns nil if the health check of the server succeeds.
func (c *Client) Health(ctx context.Context) error {
	_, err := c.fetch(ctx, consts.MethodGet, "/healthz", nil)
	return err
}

// Load is the load that the engine reports.
type Load struct {
	Running                uint32 `json:"running"`
	Waiting                uint32 `json:"waiting"`
	BatchLimit             uint32 `json:"batch_limit"`
	CacheUsedTokens        uint64 `json:"cache_used_tokens"`
	CacheCapacityTokens    uint64 `json:"cache_capacity_tokens"`
	AgeMS                  uint32 `json:"age_ms"`
	TokensPerSecond        uint32 `json:"tokens_per_second"`
	PrefillTokensPerSecond uint32 `json:"prefill_tokens_per_second"`
}

// Load reads the engine's load report.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var load Load
	err := c.get(ctx, "/v1/load", &load)
	return load, err
}

// CacheEvent is a change of the engine's prefix cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Kind     string `json:"kind"` // "stored" or "evicted"
	Program  string `json:"program"`
	Tokens   uint64 `json:"tokens"`
}

// CacheEvents is a page of cache events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"`
}

// CacheEvents reads the events after a sequence number. If sequence numbers are
// missing, events were lost, and CacheContents returns the current state.
func (c *Client) CacheEvents(ctx context.Context, after uint64) (CacheEvents, error) {
	var page CacheEvents
	err := c.get(ctx, "/v1/cache/events?after="+strconv.FormatUint(after, 10), &page)
	return page, err
}

// CacheEntry is the prefix of one program in the engine's cache.
type CacheEntry struct {
	Program string `json:"program"`
	Tokens  uint64 `json:"tokens"`
}

// CacheContents is the state of the engine's cache as of a sequence number of its events.
type CacheContents struct {
	Sequence uint64       `json:"sequence"`
	Programs []CacheEntry `json:"programs"`
}

// CacheContents reads the whole state of the engine's cache.
func (c *Client) CacheContents(ctx context.Context) (CacheContents, error) {
	var contents CacheContents
	err := c.get(ctx, "/v1/cache", &contents)
	return contents, err
}

// ReleaseCache drops the prefix of a program from the engine's cache. It is not an
// error if the prefix is not cached.
func (c *Client) ReleaseCache(ctx context.Context, program string) error {
	_, err := c.fetch(ctx, consts.MethodDelete, "/v1/cache/"+url.PathEscape(program), nil)
	return ignoreNotFound(err)
}

// ExportCache returns the cached prefix of a program in the engine's own format. If the
// response has no marked end, the result is ErrConnectionLost.
func (c *Client) ExportCache(ctx context.Context, program string) ([]byte, error) {
	data, marked, err := c.fetchLimited(ctx, consts.MethodGet, "/v1/cache/"+url.PathEscape(program), nil, maxExportBytes)
	if err == nil && !marked {
		return nil, errUnmarkedEnd
	}
	return data, err
}

// ImportCache loads a prefix that ExportCache returned into the engine's cache.
func (c *Client) ImportCache(ctx context.Context, program string, data []byte) error {
	_, err := c.fetch(ctx, consts.MethodPut, "/v1/cache/"+url.PathEscape(program), data)
	return err
}

// Cancel stops a running request. It is not an error if the server does not know the
// request ID.
func (c *Client) Cancel(ctx context.Context, requestID string) error {
	_, err := c.fetch(ctx, consts.MethodDelete, "/v1/requests/"+url.PathEscape(requestID), nil)
	return ignoreNotFound(err)
}

// ServiceResponse is the response of a service that is not a model engine.
type ServiceResponse struct {
	Status int
	Body   []byte
}

// CallService runs one operation of a service that is not a model engine. Status 429, by
// which the server reports that it did not run the operation, and statuses from 500 on
// are returned as *StatusError; any other status is a response of the service. If its body
// has no marked end, the result is ErrConnectionLost.
func (c *Client) CallService(ctx context.Context, service, operation, requestID string, body []byte) (ServiceResponse, error) {
	path := "/v1/services/" + url.PathEscape(service) + "/" + url.PathEscape(operation)
	req, resp := c.newRequest(consts.MethodPost, path, body, requestID)
	defer release(req, resp)
	if err := do(ctx, c.http, req, resp); err != nil {
		return ServiceResponse{}, err
	}
	data, err := readBody(resp, maxBodyBytes)
	if err != nil {
		return ServiceResponse{}, err
	}
	status := resp.StatusCode()
	if status == statusTooManyRequests || status >= consts.StatusInternalServerError {
		return ServiceResponse{}, newStatusError(resp, data)
	}
	if !hasMarkedEnd(resp) {
		return ServiceResponse{}, errUnmarkedEnd
	}
	return ServiceResponse{Status: status, Body: data}, nil
}

var errUnmarkedEnd = fmt.Errorf("%w: the response has neither a length nor chunks, so its end cannot be told from a break", ErrConnectionLost)

// identityLength is the length that the HTTP library reports for a response which states
// neither a length nor chunks. The library returns no error when the connection of such a
// response is reset.
const identityLength = -2

// hasMarkedEnd reports whether a response that was received without an error is complete:
// it states its length, it is sent in chunks, or its status allows no body.
func hasMarkedEnd(resp *protocol.Response) bool {
	return resp.Header.ContentLength() != identityLength || resp.MustSkipBody()
}

// get reads the JSON document at path into v. Errors: as fetch, and ErrInvalidResponse.
func (c *Client) get(ctx context.Context, path string, v any) error {
	data, err := c.fetch(ctx, consts.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, v); err != nil {
		return fmt.Errorf("%w: GET %s: %w", ErrInvalidResponse, path, err)
	}
	return nil
}

// fetch sends a request that must end within requestTimeout and returns the body of the
// response, of at most maxBodyBytes. Errors: ErrUnreachable, ErrConnectionLost, *StatusError.
func (c *Client) fetch(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	data, _, err := c.fetchLimited(ctx, method, path, body, maxBodyBytes)
	return data, err
}

// fetchLimited is fetch with a limit of the response body in bytes. It also returns whether
// the end of the body was marked.
func (c *Client) fetchLimited(ctx context.Context, method, path string, body []byte, limit int64) (data []byte, marked bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, resp := c.newRequest(method, path, body, "")
	defer release(req, resp)
	httpClient := c.http
	if limit > maxBodyBytes {
		httpClient = c.large
	}
	if err := do(ctx, httpClient, req, resp); err != nil {
		return nil, false, err
	}
	data, err = readBody(resp, limit)
	if err != nil {
		return nil, false, err
	}
	if resp.StatusCode() >= consts.StatusMultipleChoices {
		return nil, false, newStatusError(resp, data)
	}
	return data, hasMarkedEnd(resp), nil
}

func (c *Client) newRequest(method, path string, body []byte, requestID string) (*protocol.Request, *protocol.Response) {
	req := protocol.AcquireRequest()
	resp := protocol.AcquireResponse()
	req.SetMethod(method)
	req.SetRequestURI(c.baseURL + path)
	if body != nil {
		req.SetBody(body)
		req.Header.SetContentTypeBytes([]byte(consts.MIMEApplicationJSON))
	}
	if requestID != "" {
		req.Header.Set(headerRequestID, requestID)
	}
	return req, resp
}

// do sends a request and reads the header of the response. The deadline of ctx
// limits the whole request, including the body. Errors: ErrUnreachable,
// ErrConnectionLost.
func do(ctx context.Context, httpClient *client.Client, req *protocol.Request, resp *protocol.Response) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	req.SetOptions(readTimeoutOption(ctx))
	return roundTrip(ctx, httpClient, req, resp)
}

// roundTrip sends a request and reads the header of the final response. Errors:
// ErrUnreachable, ErrConnectionLost.
func roundTrip(ctx context.Context, httpClient *client.Client, req *protocol.Request, resp *protocol.Response) error {
	if err := httpClient.Do(ctx, req, resp); err != nil {
		return wrapTransportError(err)
	}
	if status := resp.StatusCode(); status < consts.StatusOK {
		// The HTTP library skips one response with status 100 and returns any other interim
		// response as if it were the final one.
		return fmt.Errorf("%w: interim response with status %d", ErrConnectionLost, status)
	}
	return nil
}

// release closes the connection and returns both objects to their pools. The rest of the body is
// not read, as it may have no end.
func release(req *protocol.Request, resp *protocol.Response) {
	responselimit.CloseConnection(resp)
	_ = resp.CloseBodyStream()
	protocol.ReleaseRequest(req)
	protocol.ReleaseResponse(resp)
}

func newStatusError(resp *protocol.Response, body []byte) error {
	e := &StatusError{Status: resp.StatusCode(), Message: errorMessage(body)}
	if seconds, err := strconv.ParseFloat(resp.Header.Get(headerRetryAfter), 64); err == nil && seconds > 0 {
		e.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	return e
}

// errorMessage returns the message of a JSON error body, or the first
// maxErrorMessageBytes of any other body.
func errorMessage(body []byte) string {
	var doc struct {
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	if json.Unmarshal(body, &doc) == nil && doc.Error.Message != "" {
		return doc.Error.Message
	}
	return string(body[:min(len(body), maxErrorMessageBytes)])
}
