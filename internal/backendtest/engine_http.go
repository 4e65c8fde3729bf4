package backendtest

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
)

// chatRequest is the body of a model call. User identifies the program.
type chatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
	Priority  int       `json:"priority"`
	User      string    `json:"user"`
}

// streamChunk is the data of one event of an answer stream.
type streamChunk struct {
	ID      string         `json:"id"`
	Choices []streamChoice `json:"choices"`
	Usage   *usage         `json:"usage,omitempty"`
}

type streamChoice struct {
	Delta        streamDelta `json:"delta"`
	FinishReason *string     `json:"finish_reason"`
}

type streamDelta struct {
	Content string `json:"content"`
}

func (e *Engine) registerRoutes() {
	h := e.http
	h.GET("/healthz", serveHealth)
	h.POST("/v1/chat/completions", e.serveChat)
	h.GET("/v1/requests/:id/stream", e.serveResume)
	h.DELETE("/v1/requests/:id", e.serveCancel)
	h.GET("/v1/load", e.serveLoad)
	h.GET("/v1/cache/events", e.serveCacheEvents)
	h.GET("/v1/cache", e.serveCache)
	h.GET("/v1/cache/:program", e.serveExport)
	h.PUT("/v1/cache/:program", e.serveImport)
	h.DELETE("/v1/cache/:program", e.serveRelease)
	h.POST("/v1/orders", e.serveOrder)
	h.GET("/admin/stats", e.serveStats)
	h.POST("/admin/refuse", e.serveRefuse)
	h.POST("/admin/slow", e.serveSlow)
}

func (e *Engine) serveChat(ctx context.Context, c *app.RequestContext) {
	var body chatRequest
	if !decodeBody(c, &body) {
		return
	}
	id := string(c.GetHeader(headerRequestID))
	if id == "" || len(body.Messages) == 0 || !body.Stream {
		writeError(c, consts.StatusBadRequest, "invalid_request", "header "+headerRequestID+", messages and stream are required")
		return
	}
	fencingToken, ok := parseFencingToken(c)
	if !ok {
		return
	}
	if refused, ok := e.refusals.take(); ok {
		writeRefusal(c, refused)
		return
	}
	r := newRequest(id, body)
	if r.contains(e.options.SilentMarker) {
		<-e.closed
		return
	}
	if err := e.submit(r, body.Model, fencingToken); err != nil {
		e.writeSubmitError(c, err)
		return
	}
	e.stream(ctx, c, r, 0)
}

// writeSubmitError responds to a request that submit refused.
func (e *Engine) writeSubmitError(c *app.RequestContext, err error) {
	switch {
	case errors.Is(err, errStaleFencing):
		writeError(c, consts.StatusConflict, "old_fencing_number", err.Error())
	case errors.Is(err, errModelNotLoaded):
		writeError(c, consts.StatusNotFound, "model_not_found", err.Error())
	default:
		e.refusals.countRefusal()
		writeRefusal(c, refusal{status: statusOverloaded, retryAfter: time.Second})
	}
}

// parseFencingToken returns the token in the fencing header, or 0 if there is none. If the
// header is malformed, it responds with status 400 and returns false.
func parseFencingToken(c *app.RequestContext) (uint64, bool) {
	text := string(c.GetHeader(headerFencingToken))
	if text == "" {
		return 0, true
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		writeError(c, consts.StatusBadRequest, "invalid_request", headerFencingToken+" is not an unsigned integer")
		return 0, false
	}
	return n, true
}

func (e *Engine) serveResume(ctx context.Context, c *app.RequestContext) {
	r := e.findRequest(c.Param("id"))
	if r == nil {
		writeError(c, consts.StatusNotFound, "unknown_request", "the engine has no request with this ID")
		return
	}
	offset, err := strconv.Atoi(c.DefaultQuery("offset", "0"))
	if err != nil || offset < 0 || offset > len(r.text) {
		writeError(c, consts.StatusBadRequest, "invalid_request", "offset is outside the answer text")
		return
	}
	e.mu.Lock()
	e.stats.Resumed++
	e.mu.Unlock()
	e.stream(ctx, c, r, offset)
}

// stream sends the answer from a byte offset until the request ends or the connection
// is lost. A lost connection does not cancel the request.
func (e *Engine) stream(ctx context.Context, c *app.RequestContext, r *request, offset int) {
	w := sse.NewWriter(c)
	defer w.Close()
	if w.WriteKeepAlive() != nil {
		return
	}
	stall := e.consumeStall(r)
	for {
		text, finishReason, changed := e.read(r, offset)
		if stall && offset+len(text) > len(r.text)/2 {
			<-e.closed
			return
		}
		if text != "" {
			offset += len(text)
			if writeChunk(w, r.id, offset, text, nil, nil) != nil {
				return
			}
		}
		if finishReason != "" {
			e.writeFinalChunk(w, r, offset, finishReason)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		case <-e.closed:
			return
		}
	}
}

// consumeStall reports whether this stream must stall halfway. Only the first stream of a
// request with the stall marker does.
func (e *Engine) consumeStall(r *request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	stall := r.stall
	r.stall = false
	return stall
}

// read returns the available text from a byte offset, the finish reason if the request
// has ended, and a channel that is closed when either changes.
func (e *Engine) read(r *request, offset int) (text, finishReason string, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	available := r.available()
	if offset < len(available) {
		text = available[offset:]
	}
	return text, r.finishReason, r.changed
}

// writeFinalChunk ends a stream with the finish reason, the usage and the end marker.
func (e *Engine) writeFinalChunk(w *sse.Writer, r *request, offset int, finishReason string) {
	e.mu.Lock()
	used := r.usage()
	e.mu.Unlock()
	if writeChunk(w, r.id, offset, "", &finishReason, &used) != nil {
		return
	}
	_ = w.WriteEvent("", "", []byte("[DONE]"))
}

// writeChunk sends one event. Its ID is the byte offset after the text.
func writeChunk(w *sse.Writer, id string, offset int, text string, finishReason *string, used *usage) error {
	chunk := streamChunk{
		ID:      id,
		Choices: []streamChoice{{Delta: streamDelta{Content: text}, FinishReason: finishReason}},
		Usage:   used,
	}
	data, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	return w.WriteEvent(strconv.Itoa(offset), "", data)
}

func (e *Engine) serveCancel(_ context.Context, c *app.RequestContext) {
	if !e.cancel(c.Param("id")) {
		writeError(c, consts.StatusNotFound, "unknown_request", "the engine has no request with this ID")
		return
	}
	c.SetStatusCode(consts.StatusNoContent)
}

func (e *Engine) serveStats(_ context.Context, c *app.RequestContext) {
	writeJSON(c, consts.StatusOK, e.Stats())
}

// refuseRequest is the body of a request to refuse the next Count requests.
type refuseRequest struct {
	Count        int `json:"count"`
	Status       int `json:"status"`
	RetryAfterMS int `json:"retry_after_ms"`
}

func (e *Engine) serveRefuse(_ context.Context, c *app.RequestContext) {
	scheduleRefusals(c, &e.refusals)
}

// scheduleRefusals decodes a refuseRequest and injects its refusals.
func scheduleRefusals(c *app.RequestContext, injector *refusalInjector) {
	body := refuseRequest{Status: statusOverloaded}
	if !decodeBody(c, &body) {
		return
	}
	injector.refuseNext(body.Count, body.Status, time.Duration(body.RetryAfterMS)*time.Millisecond)
	c.SetStatusCode(consts.StatusNoContent)
}

// slowRequest is the body of a request to set the multiplier of the decode and prefill rates.
type slowRequest struct {
	Factor float64 `json:"factor"`
}

func (e *Engine) serveSlow(_ context.Context, c *app.RequestContext) {
	var body slowRequest
	if !decodeBody(c, &body) {
		return
	}
	e.SetRateFactor(max(0, body.Factor))
	c.SetStatusCode(consts.StatusNoContent)
}
