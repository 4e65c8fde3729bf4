package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"ibistray.example/ibistray/internal/panics"
	"ibistray.example/ibistray/internal/telemetry"
	"ibistray.example/ibistray/proto/rpcpb"
	"ibistray.example/ibistray/proto/shardpb"
)

// RegisterCallerRoutes adds the routes of the API for callers to an HTTP server.
func (e *Entry) RegisterCallerRoutes(h *server.Hertz) {
	h.POST("/v1/chat/completions", e.serveChat)
	h.POST("/v1/services/:service/:operation", e.serveService)
	h.GET("/v1/programs/:program", e.serveProgram)
	h.POST("/v1/programs/:program/end", e.serveEndProgram)
}

func headerReader(rc *app.RequestContext) headerFunc {
	return func(name string) string { return string(rc.GetHeader(name)) }
}

// requestBody returns a copy of the request's body, or a failure if the body is larger
// than Config.MaxBodyBytes.
func (e *Entry) requestBody(rc *app.RequestContext) ([]byte, *Failure) {
	body := rc.Request.Body()
	if len(body) > e.cfg.MaxBodyBytes {
		return nil, &Failure{
			Status:  statusTooLarge,
			Reason:  reasonBodyTooLarge,
			Message: fmt.Sprintf("the body has %d bytes, at most %d are allowed", len(body), e.cfg.MaxBodyBytes),
			NotRun:  true,
		}
	}
	return append([]byte(nil), body...), nil
}

func (e *Entry) serveChat(ctx context.Context, rc *app.RequestContext) {
	body, failure := e.requestBody(rc)
	if failure != nil {
		e.refuse(rc, failure)
		return
	}
	req, failure := parseChat(headerReader(rc), body, e.cfg.MaxOutputTokens, time.Now())
	if failure != nil {
		e.refuse(rc, failure)
		return
	}
	var out output = &jsonOutput{rc: rc, callID: req.Key.Call}
	if req.Stream {
		out = newSSEOutput(rc, req.Key.Call)
	}
	e.serveCall(ctx, req, out)
}

func (e *Entry) serveService(ctx context.Context, rc *app.RequestContext) {
	body, failure := e.requestBody(rc)
	if failure != nil {
		e.refuse(rc, failure)
		return
	}
	req, failure := parseService(headerReader(rc), rc.Param("service"), rc.Param("operation"), body, time.Now())
	if failure != nil {
		e.refuse(rc, failure)
		return
	}
	e.serveCall(ctx, req, &serviceOutput{rc: rc})
}

func (e *Entry) serveCall(ctx context.Context, req *Request, out output) {
	if !e.startCall() {
		f := stoppingFailure()
		e.metrics.Refusals.WithLabelValues(f.Reason).Inc()
		out.fail(f)
		return
	}
	defer e.runningCalls.Done()
	e.metrics.RunningCalls.Inc()
	defer e.metrics.RunningCalls.Dec()
	e.budget.RecordFirstAttempt()
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	e.newCall(req, out).run(ctx)
}

func stoppingFailure() *Failure {
	return &Failure{
		Status:     statusUnavailable,
		Reason:     reasonStopping,
		Message:    "this entry is stopping; ask another one",
		RetryAfter: time.Second,
	}
}

// refuse responds to a request with a failure and counts the refusal.
func (e *Entry) refuse(rc *app.RequestContext, f *Failure) {
	e.metrics.Refusals.WithLabelValues(f.Reason).Inc()
	writeFailure(rc, f)
}

func writeFailure(rc *app.RequestContext, f *Failure) {
	if f.RetryAfter > 0 {
		seconds := int64((f.RetryAfter + time.Second - 1) / time.Second)
		rc.Response.Header.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	rc.JSON(f.Status, newErrorDocument(f))
}

// jsonOutput responds to a model call with a single JSON document.
type jsonOutput struct {
	rc     *app.RequestContext
	callID string
}

func (o *jsonOutput) writeText([]byte) {}

func (o *jsonOutput) finish(a *finalAnswer) {
	o.rc.JSON(consts.StatusOK, completion{
		ID:     o.callID,
		Object: objectCompletion,
		Choices: []choice{{
			Message:      &textMessage{Role: "assistant", Content: string(a.text)},
			FinishReason: stopFinishReason(),
		}},
		Usage:    newUsageDocument(a.answer.GetUsage()),
		Metadata: newAnswerMetadata(a),
	})
}

func (o *jsonOutput) fail(f *Failure) {
	writeFailure(o.rc, f)
}

// serviceOutput responds to a service call with the status and body of the service.
type serviceOutput struct {
	rc *app.RequestContext
}

func (o *serviceOutput) writeText([]byte) {}

func (o *serviceOutput) finish(a *finalAnswer) {
	o.rc.Data(int(a.answer.GetStatus()), consts.MIMEApplicationJSON, a.text)
}

func (o *serviceOutput) fail(f *Failure) {
	writeFailure(o.rc, f)
}

// keepAliveInterval is the time without output after which a stream sends a comment, so
// that the caller can tell a slow answer from a lost connection.
const keepAliveInterval = 5 * time.Second

// sseOutput streams a model's answer as server-sent events. A failure before the first
// event or keep-alive is a plain HTTP error, a later failure is an error event.
type sseOutput struct {
	rc      *app.RequestContext
	callID  string
	pending []byte // incomplete UTF-8 sequence at the end of the text so far

	mu           sync.Mutex // guards the fields below
	writer       *sse.Writer
	idle         bool          // no event was written since the last tick of keepAlive
	disconnected bool          // a write failed: the caller has closed the connection
	done         chan struct{} // closed when the output ends
}

func newSSEOutput(rc *app.RequestContext, callID string) *sseOutput {
	o := &sseOutput{rc: rc, callID: callID, done: make(chan struct{})}
	go func() { _ = panics.Contain(nil, "keep-alive", o.keepAlive) }()
	return o
}

// keepAlive sends a comment after each interval without an event, until done is closed.
func (o *sseOutput) keepAlive() {
	ticker := time.NewTicker(keepAliveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-o.done:
			return
		case <-ticker.C:
			o.sendKeepAlive()
		}
	}
}

func (o *sseOutput) sendKeepAlive() {
	o.mu.Lock()
	defer o.mu.Unlock()
	select {
	case <-o.done:
		return
	default:
	}
	if o.idle && !o.disconnected {
		o.disconnected = o.openWriter().WriteKeepAlive() != nil
	}
	o.idle = true
}

// openWriter returns the event writer. The first call creates it, which starts the
// response with status 200. The caller holds mu.
func (o *sseOutput) openWriter() *sse.Writer {
	if o.writer == nil {
		o.writer = sse.NewWriter(o.rc)
	}
	return o.writer
}

// stopKeepAlive ends the keep-alives and reports whether the response has started.
func (o *sseOutput) stopKeepAlive() (started bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	close(o.done)
	return o.writer != nil
}

// sseDoneMarker is the data of the event that ends a successful stream.
const sseDoneMarker = "[DONE]"

func (o *sseOutput) writeText(chunk []byte) {
	o.pending = append(o.pending, chunk...)
	complete := completeRunes(o.pending)
	if complete == 0 {
		return
	}
	o.writeDocument("", completion{
		ID:      o.callID,
		Object:  objectChunk,
		Choices: []choice{{Delta: &textMessage{Content: string(o.pending[:complete])}}},
	})
	o.pending = append(o.pending[:0], o.pending[complete:]...)
}

// completeRunes returns the length of data without an incomplete UTF-8 sequence at its
// end.
func completeRunes(data []byte) int {
	for n := 1; n <= min(utf8.UTFMax, len(data)); n++ {
		start := len(data) - n
		if !utf8.RuneStart(data[start]) {
			continue
		}
		if utf8.FullRune(data[start:]) {
			return len(data)
		}
		return start
	}
	return len(data)
}

func (o *sseOutput) finish(a *finalAnswer) {
	o.writeDocument("", completion{
		ID:       o.callID,
		Object:   objectChunk,
		Choices:  []choice{{Delta: &textMessage{}, FinishReason: stopFinishReason()}},
		Usage:    newUsageDocument(a.answer.GetUsage()),
		Metadata: newAnswerMetadata(a),
	})
	o.writeEvent("", []byte(sseDoneMarker))
	o.stopKeepAlive()
}

func (o *sseOutput) fail(f *Failure) {
	if o.stopKeepAlive() {
		o.writeDocument("error", newErrorDocument(f))
		return
	}
	writeFailure(o.rc, f)
}

func (o *sseOutput) writeDocument(event string, document any) {
	data, err := json.Marshal(document)
	if err != nil {
		return // cannot happen: the documents are plain structs
	}
	o.writeEvent(event, data)
}

func (o *sseOutput) writeEvent(event string, data []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.idle = false
	if o.disconnected {
		return
	}
	if err := o.openWriter().WriteEvent("", event, data); err != nil {
		o.disconnected = true
	}
}

// programDocument is the JSON form of a program's state in the API for callers.
type programDocument struct {
	Program       string `json:"program"`
	Turns         uint64 `json:"turns"`
	HistoryTokens uint64 `json:"history_tokens"`
	OpenCall      string `json:"open_call,omitempty"`
	Ended         bool   `json:"ended"`
}

func (e *Entry) serveProgram(ctx context.Context, rc *app.RequestContext) {
	customer, keyHash, failure := parseCustomerKey(headerReader(rc))
	if failure != nil {
		e.refuse(rc, failure)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	view, err := e.shards.View(ctx, &rpcpb.ViewRequest{Customer: customer, Program: rc.Param("program"), KeyHash: keyHash})
	if err != nil {
		e.refuse(rc, controlErrorFailure(err))
		return
	}
	if len(view.Programs) == 0 {
		e.refuse(rc, &Failure{Status: statusNotFound, Reason: reasonNotFound, Message: "unknown program"})
		return
	}
	p := view.Programs[0]
	rc.JSON(consts.StatusOK, programDocument{
		Program:       p.Program,
		Turns:         p.Turns,
		HistoryTokens: p.HistoryTokens,
		OpenCall:      p.OpenCall,
		Ended:         p.Ended,
	})
}

// serveEndProgram ends a program and has its sidecar release the program's prefix from
// the engine's cache.
func (e *Entry) serveEndProgram(ctx context.Context, rc *app.RequestContext) {
	customer, keyHash, failure := parseCustomerKey(headerReader(rc))
	if failure != nil {
		e.refuse(rc, failure)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	program := rc.Param("program")
	cmd := &shardpb.Command{Op: &shardpb.Command_EndProgram{EndProgram: &shardpb.EndProgram{
		Customer: customer,
		Program:  program,
		KeyHash:  keyHash,
	}}}
	result, err := e.shards.Propose(ctx, customer, cmd, 0)
	if err != nil {
		e.refuse(rc, &Failure{Status: statusUnavailable, Reason: reasonControlUnavailable, Message: err.Error(), RetryAfter: time.Second})
		return
	}
	if result.Refusal != nil {
		e.refuse(rc, refusalFailure(result.Refusal))
		return
	}
	e.releaseProgram(ctx, result.GetEndProgram().LastTarget, customer, program)
	rc.JSON(consts.StatusOK, programDocument{Program: program, Ended: true})
}

// releaseProgram tells the sidecar that a program has ended. If that fails, the sidecar
// releases the prefix after its own idle limit.
func (e *Entry) releaseProgram(ctx context.Context, target *shardpb.Target, customer, program string) {
	if target.GetSidecar() == "" {
		return
	}
	err := e.pool.Call(ctx, target.Sidecar, methodRelease, &rpcpb.ReleaseRequest{Customer: customer, Program: program}, new(rpcpb.Empty))
	if err != nil {
		e.log.Debug("release not delivered", telemetry.KeyServer, target.Server, telemetry.KeyError, err)
	}
}
