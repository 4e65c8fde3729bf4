package backendtest

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// testClient is an HTTP client of one fake backend server.
type testClient struct {
	t       *testing.T
	baseURL string
	http    *client.Client
}

func newTestClient(t *testing.T, baseURL string) *testClient {
	t.Helper()
	c, err := client.NewClient(
		client.WithDialer(standard.NewDialer()),
		client.WithResponseBodyStream(true),
		client.WithDisablePathNormalizing(true), // keeps an escaped slash in a path escaped
	)
	assert.NilError(t, err)
	return &testClient{t: t, baseURL: baseURL, http: c}
}

// do sends a request and returns the response. A body of type []byte is sent as it is,
// any other is encoded as JSON.
func (c *testClient) do(method, path string, body any, headers map[string]string) (*protocol.Response, error) {
	req := protocol.AcquireRequest()
	defer protocol.ReleaseRequest(req)
	req.SetMethod(method)
	req.SetRequestURI(c.baseURL + path)
	if raw, ok := body.([]byte); ok {
		req.SetBody(raw)
	} else if body != nil {
		data, err := json.Marshal(body)
		assert.NilError(c.t, err)
		req.SetBody(data)
	}
	for name, value := range headers {
		req.SetHeader(name, value)
	}
	resp := &protocol.Response{}
	err := c.http.Do(context.Background(), req, resp)
	return resp, err
}

// doExpecting sends a request and fails the test unless the response has the given
// status. It decodes the JSON response body into the last argument unless that is nil.
func (c *testClient) doExpecting(method, path string, body any, status int, into any) {
	c.t.Helper()
	resp, err := c.do(method, path, body, nil)
	assert.NilError(c.t, err)
	data, err := resp.BodyE()
	assert.NilError(c.t, err)
	assert.Equal(c.t, resp.StatusCode(), status, "%s", data)
	if into != nil {
		assert.NilError(c.t, json.Unmarshal(data, into))
	}
}

// chat starts a streaming model call and returns its response.
func (c *testClient) chat(id string, body chatRequest, headers map[string]string) *protocol.Response {
	c.t.Helper()
	body.Stream = true
	allHeaders := map[string]string{headerRequestID: id}
	for name, value := range headers {
		allHeaders[name] = value
	}
	resp, err := c.do("POST", "/v1/chat/completions", body, allHeaders)
	assert.NilError(c.t, err)
	return resp
}

// streamResult is the content of one stream.
type streamResult struct {
	text         string
	finishReason string
	usage        usage
	done         bool // the end marker was received
}

// read reads a stream until it ends, with or without the end marker.
func (c *testClient) read(resp *protocol.Response) streamResult {
	c.t.Helper()
	reader, err := sse.NewReader(resp)
	assert.NilError(c.t, err)
	defer reader.Close()
	var result streamResult
	_ = reader.ForEach(context.Background(), func(e *sse.Event) error {
		if string(e.Data) == "[DONE]" {
			result.done = true
			return nil
		}
		if len(e.Data) == 0 {
			return nil
		}
		var chunk streamChunk
		if err := json.Unmarshal(e.Data, &chunk); err != nil {
			return err
		}
		result.add(chunk)
		return nil
	})
	return result
}

func (r *streamResult) add(chunk streamChunk) {
	r.text += chunk.Choices[0].Delta.Content
	if chunk.Choices[0].FinishReason != nil {
		r.finishReason = *chunk.Choices[0].FinishReason
	}
	if chunk.Usage != nil {
		r.usage = *chunk.Usage
	}
}

// complete makes a model call and reads its complete answer.
func (c *testClient) complete(id string, body chatRequest) streamResult {
	c.t.Helper()
	resp := c.chat(id, body, nil)
	assert.Equal(c.t, resp.StatusCode(), 200)
	result := c.read(resp)
	assert.Assert(c.t, result.done, "stream of %s ended early", id)
	return result
}

// chatBody returns a program's request with the given user messages.
func chatBody(program string, contents ...string) chatRequest {
	body := chatRequest{Model: "m", User: program, MaxTokens: 32}
	for _, content := range contents {
		body.Messages = append(body.Messages, Message{Role: "user", Content: content})
	}
	return body
}

// waitFor polls until a condition holds.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("waiting for %s", what)
	})
}
