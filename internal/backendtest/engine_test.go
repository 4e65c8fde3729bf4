package backendtest

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// testSpeed shortens an answer of 32 tokens to a few milliseconds.
const testSpeed = 1000

func TestAnswerDependsOnWholeHistory(t *testing.T) {
	a := []Message{{Role: "user", Content: "one"}, {Role: "user", Content: "two"}}
	b := []Message{{Role: "user", Content: "two"}, {Role: "user", Content: "one"}}
	joined := []Message{{Role: "user", Content: "onetwo"}}
	assert.Equal(t, Answer(a, 64), Answer(a, 64))
	assert.Assert(t, Answer(a, 64) != Answer(b, 64))
	assert.Assert(t, Answer(a, 64) != Answer(joined, 64))
	assert.Assert(t, strings.HasPrefix(Answer(a, 64), "messages=2 digest="))
	for _, maxTokens := range []int{1, 2, 7, 64, 1000} {
		n := CountTokens(Answer(a, maxTokens))
		assert.Assert(t, n >= (maxTokens+1)/2 && n <= maxTokens, "%d of %d tokens", n, maxTokens)
	}
}

func TestStreamContainsAnswerAndUsage(t *testing.T) {
	e := StartEngine(t, Options{Speed: testSpeed})
	c := newTestClient(t, e.URL())
	body := chatBody("cust/p", "hello", "a longer message")
	a := c.complete("r1", body)
	assert.Equal(t, a.text, Answer(body.Messages, body.MaxTokens))
	assert.Equal(t, a.finishReason, finishStop)
	assert.Equal(t, a.usage.PromptTokens, 2+4)
	assert.Equal(t, a.usage.CompletionTokens, CountTokens(a.text))
	assert.Equal(t, a.usage.Details.CachedTokens, 0)
}

func TestResumedStreamContinuesAtOffset(t *testing.T) {
	e := StartEngine(t, Options{Speed: testSpeed})
	c := newTestClient(t, e.URL())
	whole := c.complete("r1", chatBody("cust/p", "hello"))
	for offset := 0; offset <= len(whole.text); offset += 7 {
		resp, err := c.do("GET", fmt.Sprintf("/v1/requests/r1/stream?offset=%d", offset), nil, nil)
		assert.NilError(t, err)
		a := c.read(resp)
		assert.Assert(t, a.done)
		assert.Equal(t, a.text, whole.text[offset:])
		assert.Equal(t, a.usage, whole.usage)
	}
	c.doExpecting("GET", "/v1/requests/unknown/stream?offset=0", nil, 404, nil)
	c.doExpecting("GET", "/v1/requests/r1/stream?offset=100000", nil, 400, nil)
}

func TestStalledStreamResumesOnAnotherConnection(t *testing.T) {
	e := StartEngine(t, Options{Speed: testSpeed, StallMarker: "STALL"})
	c := newTestClient(t, e.URL())
	body := chatBody("cust/p", "STALL")
	stalled := c.chat("r1", body, nil)
	waitFor(t, "the end of the request", func() bool { return e.Stats().Finished == 1 })
	resp, err := c.do("GET", "/v1/requests/r1/stream?offset=0", nil, nil)
	assert.NilError(t, err)
	a := c.read(resp)
	assert.Assert(t, a.done)
	assert.Equal(t, a.text, Answer(body.Messages, body.MaxTokens))
	e.Close()
	assert.Assert(t, !c.read(stalled).done)
}

func TestCancelEndsStream(t *testing.T) {
	e := StartEngine(t, Options{Speed: testSpeed})
	e.SetRateFactor(0)
	c := newTestClient(t, e.URL())
	resp := c.chat("r1", chatBody("cust/p", "hello"), nil)
	c.doExpecting("DELETE", "/v1/requests/r1", nil, 204, nil)
	a := c.read(resp)
	assert.Assert(t, a.done)
	assert.Equal(t, a.finishReason, finishCancelled)
	assert.Equal(t, a.usage.CompletionTokens, 0)
	stats := e.Stats()
	assert.Equal(t, stats.Cancelled, int64(1))
	assert.Equal(t, stats.Running+stats.Waiting, 0)
	c.doExpecting("DELETE", "/v1/requests/unknown", nil, 404, nil)
}

func TestBatchLimitAndPriority(t *testing.T) {
	e := StartEngine(t, Options{Speed: testSpeed, BatchLimit: 1})
	e.SetRateFactor(0)
	c := newTestClient(t, e.URL())
	first := c.chat("first", chatBody("cust/first", "x"), nil)
	waitFor(t, "the first request to run", func() bool { return e.Stats().Running == 1 })
	low := chatBody("cust/low", "x")
	high := chatBody("cust/high", "x")
	high.Priority = 9
	lowResp := c.chat("low", low, nil)
	highResp := c.chat("high", high, nil)
	e.mu.Lock()
	order := []string{e.waiting[0].id, e.waiting[1].id}
	e.mu.Unlock()
	assert.DeepEqual(t, order, []string{"high", "low"})
	e.SetRateFactor(1)
	assert.Assert(t, c.read(first).done)
	assert.Assert(t, c.read(highResp).done)
	assert.Assert(t, c.read(lowResp).done)
	assert.Equal(t, e.Stats().MaxRunning, 1)
}

func TestInjectedRefusalsAreNotExecuted(t *testing.T) {
	e := StartEngine(t, Options{Speed: testSpeed})
	c := newTestClient(t, e.URL())
	c.doExpecting("POST", "/admin/refuse", refuseRequest{Count: 2, Status: statusOverloaded, RetryAfterMS: 1500}, 204, nil)
	body := chatBody("cust/p", "hello")
	for range 2 {
		resp := c.chat("r1", body, nil)
		assert.Equal(t, resp.StatusCode(), statusOverloaded)
		assert.Equal(t, resp.Header.Get(headerRetryAfter), "2")
		assert.NilError(t, resp.CloseBodyStream())
	}
	assert.Equal(t, e.Stats().Requests, int64(0))
	assert.Equal(t, e.Stats().Refused, int64(2))
	c.complete("r1", body)
	assert.Equal(t, e.Stats().Requests, int64(1))
}

func TestRequestIsRefusedWhenQueueIsFull(t *testing.T) {
	e := StartEngine(t, Options{Speed: testSpeed, BatchLimit: 1, QueueLimit: 1})
	e.SetRateFactor(0)
	c := newTestClient(t, e.URL())
	c.chat("r1", chatBody("cust/1", "x"), nil)
	waitFor(t, "the first request to run", func() bool { return e.Stats().Running == 1 })
	c.chat("r2", chatBody("cust/2", "x"), nil)
	resp := c.chat("r3", chatBody("cust/3", "x"), nil)
	assert.Equal(t, resp.StatusCode(), statusOverloaded)
}

func TestFencingCheckIsOptional(t *testing.T) {
	for _, check := range []bool{true, false} {
		t.Run(fmt.Sprint(check), func(t *testing.T) {
			e := StartEngine(t, Options{Speed: testSpeed, CheckFencing: check})
			c := newTestClient(t, e.URL())
			newer := c.chat("r1", chatBody("cust/p", "x"), map[string]string{headerFencingToken: "5"})
			assert.Assert(t, c.read(newer).done)
			older := c.chat("r2", chatBody("cust/p", "x"), map[string]string{headerFencingToken: "4"})
			other := c.chat("r3", chatBody("cust/q", "x"), map[string]string{headerFencingToken: "1"})
			want := map[bool]int{true: 409, false: 200}
			assert.Equal(t, older.StatusCode(), want[check])
			assert.Equal(t, other.StatusCode(), 200)
			c.doExpecting("POST", "/v1/orders", order{Kind: orderLoadModel, Model: "m", FencingToken: 2}, 204, nil)
			stale := map[bool]int{true: 409, false: 204}
			c.doExpecting("POST", "/v1/orders", order{Kind: orderUnloadModel, Model: "m", FencingToken: 1}, stale[check], nil)
		})
	}
}

func TestCrashMarkerEndsEveryRequest(t *testing.T) {
	crashed := make(chan struct{})
	e := StartEngine(t, Options{Speed: testSpeed, CrashMarker: "BOOM", OnCrash: func() { close(crashed) }})
	e.SetRateFactor(0)
	c := newTestClient(t, e.URL())
	other := c.chat("r1", chatBody("cust/p", "hello"), nil)
	c.chat("r2", chatBody("cust/q", "a BOOM b"), nil)
	<-crashed
	assert.Assert(t, !c.read(other).done)
	_, err := c.do("GET", "/healthz", nil, nil)
	assert.Assert(t, err != nil)
}

func TestLoadReportLags(t *testing.T) {
	e := StartEngine(t, Options{Speed: testSpeed, LoadLag: time.Hour, BatchLimit: 3})
	e.SetRateFactor(0)
	c := newTestClient(t, e.URL())
	var before, after loadReport
	c.doExpecting("GET", "/v1/load", nil, 200, &before)
	c.chat("r1", chatBody("cust/p", "hello"), nil)
	waitFor(t, "the request to run", func() bool { return e.Stats().Running == 1 })
	c.doExpecting("GET", "/v1/load", nil, 200, &after)
	assert.Equal(t, before.BatchLimit, 3)
	assert.Equal(t, after.Running, 0)
	assert.Assert(t, after.AgeMS >= before.AgeMS)
}
