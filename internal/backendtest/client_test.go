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

// testClient speaks to a fake backend server.
type testClient struct {
	t    *testing.T
	base string
	http *client.Client
}

func newTestClient(t *testing.T, base string) *testClient {
	t.Helper()
	c, err := client.NewClient(
		client.WithDialer(standard.NewDialer()),
		client.WithResponseBodyStream(true),
		client.WithDisablePathNormalizing(true), // otherwise an escaped slash is sent as a slash
	)
	assert.NilError(t, err)
	return &testClient{t: t, base: base, http: c}
}

// do sends a request with a JSON body and returns the response.
func (c *testClient) do(method, path string, body any, headers map[string]string) (*protocol.Response, error) {
	req := protocol.AcquireRequest()
	defer protocol.ReleaseRequest(req)
	req.SetMethod(method)
	req.SetRequestURI(c.base + path)
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

// call is do for a request that must be answered with a status.
func (c *testClient) call(method, path string, body any, status int, into any) {
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

// chat starts a model call and returns its response.
func (c *testClient) chat(id string, body chatRequest, headers map[string]string) *protocol.Response {
	c.t.Helper()
	body.Stream = true
	all := map[string]string{headerRequestID: id}
	for name, value := range headers {
		all[name] = value
	}
	resp, err := c.do("POST", "/v1/chat/completions", body, all)
	assert.NilError(c.t, err)
	return resp
}

// answer is what one stream held.
type answer struct {
	text   string
	finish string
	usage  usage
	done   bool
}

// read reads a stream to its end, which may come too early.
func (c *testClient) read(resp *protocol.Response) answer {
	c.t.Helper()
	reader, err := sse.NewReader(resp)
	assert.NilError(c.t, err)
	defer reader.Close()
	var a answer
	_ = reader.ForEach(context.Background(), func(e *sse.Event) error {
		if string(e.Data) == "[DONE]" {
			a.done = true
			return nil
		}
		if len(e.Data) == 0 {
			return nil
		}
		var chunk streamChunk
		if err := json.Unmarshal(e.Data, &chunk); err != nil {
			return err
		}
		a.add(chunk)
		return nil
	})
	return a
}

func (a *answer) add(chunk streamChunk) {
	a.text += chunk.Choices[0].Delta.Content
	if chunk.Choices[0].FinishReason != nil {
		a.finish = *chunk.Choices[0].FinishReason
	}
	if chunk.Usage != nil {
		a.usage = *chunk.Usage
	}
}

// ask makes a model call and reads its whole answer.
func (c *testClient) ask(id string, body chatRequest) answer {
	c.t.Helper()
	resp := c.chat(id, body, nil)
	assert.Equal(c.t, resp.StatusCode(), 200)
	a := c.read(resp)
	assert.Assert(c.t, a.done, "stream of %s ended early", id)
	return a
}

// conversation returns a program's request with the given user messages.
func conversation(program string, contents ...string) chatRequest {
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
