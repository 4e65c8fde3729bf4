// Package ctl implements ibistrayctl, the command-line tool for operators.
package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"ibistray.example/ibistray/internal/responselimit"
	"ibistray.example/ibistray/proto/configpb"
	"ibistray.example/ibistray/proto/rpcpb"
	"ibistray.example/ibistray/proto/shardpb"
)

const (
	dialTimeout    = 2 * time.Second
	requestTimeout = 20 * time.Second
	// maxResponseBytes limits the response to one request.
	maxResponseBytes = 64 << 20
)

// ErrUnreachable means that no entry responded: either none received the request,
// or the response was lost. Changes carry a change ID, so they can be sent again.
var ErrUnreachable = errors.New("no entry responded")

// APIError is an error response of the administration API.
type APIError struct {
	Status       int    `json:"-"`
	Reason       string `json:"reason"`
	Message      string `json:"message"`
	NotRun       bool   `json:"not_run"`
	RetryAfterMS int64  `json:"retry_after_ms"`
}

func (e *APIError) Error() string {
	return fmt.Sprintf("%s: %s", e.Reason, e.Message)
}

// ConflictError means that the contract is not at the expected version, because
// another change came first. Current is the contract in force.
type ConflictError struct {
	Current *shardpb.Contract
	Detail  string
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("version conflict: version %d is in force (%s)", e.Current.GetVersion(), e.Detail)
}

// Client sends each request to the administration API of the first entry that responds.
type Client struct {
	entryURLs []string
	key       string
	http      *client.Client
}

// NewClient returns a client for the entries at the given base URLs, which are
// tried in order. It authenticates with an operator's key.
func NewClient(entryURLs []string, key string) (*Client, error) {
	h, err := client.NewClient(
		client.WithDialer(responselimit.NewDialer(maxResponseBytes)),
		client.WithResponseBodyStream(true),
		client.WithDialTimeout(dialTimeout),
		client.WithClientReadTimeout(requestTimeout),
	)
	if err != nil {
		return nil, fmt.Errorf("create HTTP client: %w", err)
	}
	return &Client{entryURLs: entryURLs, key: key, http: h}, nil
}

// ReadKey returns the first key in an operator key file. Empty lines and lines that
// start with # are skipped.
func ReadKey(path string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("read operator key: %w", err)
	}
	for line := range strings.Lines(string(data)) {
		line = strings.TrimSpace(line)
		if line != "" && !strings.HasPrefix(line, "#") {
			return line, nil
		}
	}
	return "", fmt.Errorf("operator key file %s contains no key", path)
}

// ApplyContract creates or changes a contract, provided that its version is
// expectedVersion (0 for a new contract). A request with the changeID of an earlier
// one returns the first result. Errors: *ConflictError, *APIError, ErrUnreachable.
func (c *Client) ApplyContract(ctx context.Context, customer string, document []byte, expectedVersion uint64, changeID string) (*shardpb.ContractResult, error) {
	query := url.Values{}
	query.Set("expected_version", strconv.FormatUint(expectedVersion, 10))
	query.Set("change_id", changeID)
	path := "/admin/v1/contracts/" + url.PathEscape(customer) + "?" + query.Encode()
	result := new(shardpb.ContractResult)
	if err := c.do(ctx, consts.MethodPut, path, document, result); err != nil {
		return nil, err
	}
	return result, nil
}

// Customer returns the contract, budget and programs of one customer.
func (c *Client) Customer(ctx context.Context, customer string) (*rpcpb.ViewResponse, error) {
	view := new(rpcpb.ViewResponse)
	if err := c.do(ctx, consts.MethodGet, "/admin/v1/contracts/"+url.PathEscape(customer), nil, view); err != nil {
		return nil, err
	}
	return view, nil
}

// Customers returns the contracts, budgets and programs of all customers.
func (c *Client) Customers(ctx context.Context) (*rpcpb.ViewResponse, error) {
	view := new(rpcpb.ViewResponse)
	if err := c.do(ctx, consts.MethodGet, "/admin/v1/contracts", nil, view); err != nil {
		return nil, err
	}
	return view, nil
}

// Servers returns the backend servers known to the entry.
func (c *Client) Servers(ctx context.Context) (*rpcpb.MembersResponse, error) {
	members := new(rpcpb.MembersResponse)
	if err := c.do(ctx, consts.MethodGet, "/admin/v1/servers", nil, members); err != nil {
		return nil, err
	}
	return members, nil
}

// Replicas returns the replicas of all control processes.
func (c *Client) Replicas(ctx context.Context) (*rpcpb.ReplicaReport, error) {
	report := new(rpcpb.ReplicaReport)
	if err := c.do(ctx, consts.MethodGet, "/admin/v1/replicas", nil, report); err != nil {
		return nil, err
	}
	return report, nil
}

// Configuration returns the configuration records, the latest version and the version
// that is in force in all processes.
func (c *Client) Configuration(ctx context.Context) (*rpcpb.ConfigStatus, error) {
	status := new(rpcpb.ConfigStatus)
	if err := c.do(ctx, consts.MethodGet, "/admin/v1/configuration", nil, status); err != nil {
		return nil, err
	}
	return status, nil
}

// ChangeConfiguration proposes a change and waits until it is in force in all
// processes. If that takes too long, the InForceVersion of the result is lower than
// its Version.
func (c *Client) ChangeConfiguration(ctx context.Context, cmd *configpb.Command) (*rpcpb.ConfigStatus, error) {
	body, err := protojson.Marshal(cmd)
	if err != nil {
		return nil, fmt.Errorf("encode change: %w", err)
	}
	status := new(rpcpb.ConfigStatus)
	if err := c.do(ctx, consts.MethodPost, "/admin/v1/configuration", body, status); err != nil {
		return nil, err
	}
	return status, nil
}

// do sends a request to the entries in turn until one responds, and decodes the
// response into result.
func (c *Client) do(ctx context.Context, method, path string, body []byte, result proto.Message) error {
	var lastErr error
	for _, entryURL := range c.entryURLs {
		status, data, err := c.roundTrip(ctx, method, entryURL+path, body)
		if err != nil {
			lastErr = fmt.Errorf("%w: %s: %w", ErrUnreachable, entryURL, err)
			continue
		}
		if status != consts.StatusOK {
			return decodeError(status, data)
		}
		if err := protojson.Unmarshal(data, result); err != nil {
			return fmt.Errorf("decode response of %s: %w", entryURL, err)
		}
		return nil
	}
	return lastErr
}

// roundTrip sends one request and returns the status and body of the response.
func (c *Client) roundTrip(ctx context.Context, method, uri string, body []byte) (int, []byte, error) {
	req := protocol.AcquireRequest()
	resp := protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(method)
	req.SetRequestURI(uri)
	req.Header.Set("Authorization", "Bearer "+c.key)
	if body != nil {
		req.SetBody(body)
	}
	if err := c.http.Do(ctx, req, resp); err != nil {
		return 0, nil, err
	}
	defer func() {
		responselimit.CloseConnection(resp)
		_ = resp.CloseBodyStream()
	}()
	data, err := responselimit.ReadBody(resp, maxResponseBytes)
	return resp.StatusCode(), data, err
}

// decodeError returns the error of a response that is not OK: a *ConflictError if the
// body is a refusal with the contract in force, otherwise an *APIError.
func decodeError(status int, data []byte) error {
	var doc struct {
		Error *APIError `json:"error"`
	}
	if json.Unmarshal(data, &doc) == nil && doc.Error != nil {
		doc.Error.Status = status
		return doc.Error
	}
	refusal := new(shardpb.Refusal)
	if protojson.Unmarshal(data, refusal) == nil && refusal.Winner != nil {
		return &ConflictError{Current: refusal.Winner, Detail: refusal.Detail}
	}
	return &APIError{Status: status, Reason: "unexpected_answer", Message: string(data)}
}
