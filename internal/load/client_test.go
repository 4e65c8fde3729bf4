package load

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/backendtest"
)

func newTestClient(t *testing.T, config ClientConfig) *Client {
	t.Helper()
	c, err := NewClient(config)
	assert.NilError(t, err)
	t.Cleanup(c.Close)
	return c
}

// unusedURL returns a base URL whose port refuses connections.
func unusedURL(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	return "http://" + listener.Addr().String()
}

func modelCall(call string) ModelCall {
	return ModelCall{
		Header:    Header{Program: "p", CallID: call},
		Model:     "m",
		Messages:  []Message{{Role: "user", Content: "hello"}},
		MaxTokens: 32,
	}
}

func TestFailedRequestsAreRetriedWithTheSameCallID(t *testing.T) {
	for _, next := range []fault{faultTruncated, faultError, faultRefused} {
		t.Run(string(next), func(t *testing.T) {
			f := startFakeSystem(t)
			f.injectFaults(next, next)
			var retries []Retry
			c := newTestClient(t, ClientConfig{BaseURLs: []string{f.url}, OnRetry: func(r Retry) { retries = append(retries, r) }})
			answer, err := c.CallModel(context.Background(), modelCall("c1"))
			assert.NilError(t, err)
			assert.Equal(t, answer.Text, backendtest.Answer([]backendtest.Message{{Role: "user", Content: "hello"}}, 32))
			assert.Equal(t, answer.Requests, 3)
			assert.Equal(t, len(retries), 2)
			assert.Equal(t, len(f.histories["p"]), 2)
		})
	}
}

func TestIdleRequestIsRetried(t *testing.T) {
	f := startFakeSystem(t)
	f.injectFaults(faultSilent)
	c := newTestClient(t, ClientConfig{BaseURLs: []string{f.url}, IdleTimeout: 50 * time.Millisecond})
	answer, err := c.CallModel(context.Background(), modelCall("c1"))
	assert.NilError(t, err)
	assert.Assert(t, answer.Requests > 1)
}

func TestConnectionFailureMovesToTheNextBaseURL(t *testing.T) {
	f := startFakeSystem(t)
	c := newTestClient(t, ClientConfig{BaseURLs: []string{unusedURL(t), f.url}})
	for _, call := range []string{"c1", "c2"} {
		_, err := c.CallModel(context.Background(), modelCall(call))
		assert.NilError(t, err)
	}
}

func TestPermanentErrorIsReturned(t *testing.T) {
	f := startFakeSystem(t)
	f.injectFaults(faultFinal)
	c := newTestClient(t, ClientConfig{BaseURLs: []string{f.url}})
	_, err := c.CallModel(context.Background(), modelCall("c1"))
	var callErr *CallError
	assert.Assert(t, errors.As(err, &callErr))
	assert.Equal(t, callErr.Reason, "budget_exhausted")
	assert.Assert(t, callErr.NotRun)
}

func TestContextEndsAnIdleCall(t *testing.T) {
	f := startFakeSystem(t)
	f.injectFaults(faultSilent)
	ctx, cancel := context.WithCancel(context.Background())
	c := newTestClient(t, ClientConfig{BaseURLs: []string{f.url}})
	ended := make(chan error, 1)
	go func() {
		_, err := c.CallModel(ctx, modelCall("c1"))
		ended <- err
	}()
	cancel()
	assert.ErrorIs(t, <-ended, context.Canceled)
}

func TestRetryDelay(t *testing.T) {
	cases := map[string]struct {
		err       error
		retriable bool
	}{
		"connection":        {errors.New("connection refused"), true},
		"incomplete":        {ErrIncomplete, true},
		"retry delay":       {&CallError{Status: 429, RetryAfter: time.Second}, true},
		"retry too late":    {&CallError{Status: 429, RetryAfter: time.Hour}, false},
		"replaced answer":   {&CallError{Reason: reasonAnswerReplaced}, true},
		"unavailable":       {&CallError{Status: 503}, true},
		"budget":            {&CallError{Status: 429, Reason: "budget_exhausted"}, false},
		"unknown outcome":   {&CallError{Status: 502, Reason: "outcome_unknown"}, false},
		"error in a stream": {&CallError{Reason: "outcome_unknown"}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			wait, retriable := retryDelay(tc.err, 1)
			assert.Equal(t, retriable, tc.retriable)
			assert.Assert(t, wait <= maxRetryAfter)
		})
	}
}

func TestStickyClientStaysAtTheBaseURLThatResponded(t *testing.T) {
	f := startFakeSystem(t)
	var failed []string
	c := newTestClient(t, ClientConfig{
		BaseURLs: []string{unusedURL(t), f.url},
		Sticky:   true,
		OnRetry:  func(r Retry) { failed = append(failed, r.BaseURL) },
	})
	for _, call := range []string{"c1", "c2", "c3"} {
		_, err := c.CallModel(context.Background(), modelCall(call))
		assert.NilError(t, err)
	}
	assert.DeepEqual(t, failed, c.config.BaseURLs[:1])
}
