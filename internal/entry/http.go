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

	"ibistray.example/ibistray/internal/telemetry"
	"ibistray.example/ibistray/proto/rpcpb"
	"ibistray.example/ibistray/proto/shardpb"
)

// RegisterCallerRoutes adds the callers' interface to an HTTP server.
func (e *Entry) RegisterCallerRoutes(h *server.Hertz) {
	h.POST("/v1/chat/completions", e.serveChat)
	h.POST("/v1/services/:service/:operation", e.serveService)
	h.GET("/v1/programs/:program", e.serveProgram)
	h.POST("/v1/programs/:program/end", e.serveEndProgram)
}

func headersOf(rc *app.RequestContext) headers {
	return func(name string) string { return string(rc.GetHeader(name)) }
}

// bodyOf returns a copy of the request's body, which is bounded by the settings.
func (e *Entry) bodyOf(rc *app.RequestContext) ([]byte, *Failure) {
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
	body, failure := e.bodyOf(rc)
	if failure != nil {
		e.refuse(rc, failure)
		return
	}
	req, failure := parseChat(headersOf(rc), body, e.cfg.MaxOutputTokens, time.Now())
	if failure != nil {
		e.refuse(rc, failure)
		return
	}
	var out output = &jsonOutput{rc: rc, call: req.Key.Call}
	if req.Stream {
		out = newSSEOutput(rc, req.Key.Call)
	}
	e.serveCall(ctx, req, out)
}

func (e *Entry) serveService(ctx context.Context, rc *app.RequestContext) {
	body, failure := e.bodyOf(rc)
	if failure != nil {
		e.refuse(rc, failure)
		return
	}
	req, failure := parseService(headersOf(rc), rc.Param("service"), rc.Param("operation"), body, time.Now())
	if failure != nil {
		e.refuse(rc, failure)
		return
	}
	e.serveCall(ctx, req, &serviceOutput{rc: rc})
}

func (e *Entry) serveCall(ctx context.Context, req *Request, out output) {
	if !e.enter() {
		f := stoppingFailure()
		e.metrics.Refusals.WithLabelValues(f.Reason).Inc()
		out.fail(f)
		return
	}
	defer e.running.Done()
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

// refuse answers a request that was not taken.
func (e *Entry) refuse(rc *app.RequestContext, f *Failure) {
	e.metrics.Refusals.WithLabelValues(f.Reason).Inc()
	writeFailure(rc, f)
}

func writeFailure(rc *app.RequestContext, f *Failure) {
	if f.RetryAfter > 0 {
		seconds := int64((f.RetryAfter + time.Second - 1) / time.Second)
		rc.Response.Header.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	rc.JSON(f.Status, errorOf(f))
}

// jsonOutput answers a model call with one JSON document.
type jsonOutput struct {
	rc   *app.RequestContext
	call string
}

func (o *jsonOutput) text([]byte) {}

func (o *jsonOutput) end(e *ending) {
	o.rc.JSON(consts.StatusOK, completion{
		ID:     o.call,
		Object: objectCompletion,
		Choices: []choice{{
			Message:      &textMessage{Role: "assistant", Content: string(e.text)},
			FinishReason: stopped(),
		}},
		Usage: usageOf(e.answer.GetUsage()),
		Proof: proofOf(e),
	})
}

func (o *jsonOutput) fail(f *Failure) {
	writeFailure(o.rc, f)
}

// serviceOutput answers a call of a plain service with the service's body.
type serviceOutput struct {
	rc *app.RequestContext
}

func (o *serviceOutput) text([]byte) {}

func (o *serviceOutput) end(e *ending) {
	o.rc.Data(int(e.answer.GetStatus()), consts.MIMEApplicationJSON, e.text)
}

func (o *serviceOutput) fail(f *Failure) {
	writeFailure(o.rc, f)
}

// keepAliveInterval is how often a stream without output sends a comment, so
// that a caller can tell a long wait from a connection that is lost.
const keepAliveInterval = 5 * time.Second

// sseOutput streams a model's answer as server-sent events. Until the first event
// a failure is a plain HTTP error; after it, an error event.
type sseOutput struct {
	rc      *app.RequestContext
	call    string
	pending []byte // start of a character whose rest has not arrived

	mu     sync.Mutex // guards what follows
	writer *sse.Writer
	quiet  bool // nothing was written since the last keep-alive tick
	gone   bool // the caller does not read any more
	ended  chan struct{}
}

func newSSEOutput(rc *app.RequestContext, call string) *sseOutput {
	o := &sseOutput{rc: rc, call: call, ended: make(chan struct{})}
	go o.keepAlive()
	return o
}

// keepAlive sends a comment after each interval without an event.
func (o *sseOutput) keepAlive() {
	ticker := time.NewTicker(keepAliveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-o.ended:
			return
		case <-ticker.C:
			o.tick()
		}
	}
}

func (o *sseOutput) tick() {
	o.mu.Lock()
	defer o.mu.Unlock()
	select {
	case <-o.ended:
		return
	default:
	}
	if o.quiet && !o.gone {
		o.gone = o.open().WriteKeepAlive() != nil
	}
	o.quiet = true
}

// open returns the writer; the first call begins the answer with status 200. The
// caller holds mu.
func (o *sseOutput) open() *sse.Writer {
	if o.writer == nil {
		o.writer = sse.NewWriter(o.rc)
	}
	return o.writer
}

// finish ends the keep-alives and reports whether the answer has begun.
func (o *sseOutput) finish() (begun bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	close(o.ended)
	return o.writer != nil
}

const doneData = "[DONE]"

func (o *sseOutput) text(piece []byte) {
	o.pending = append(o.pending, piece...)
	whole := wholeCharacters(o.pending)
	if whole == 0 {
		return
	}
	o.send("", completion{
		ID:      o.call,
		Object:  objectChunk,
		Choices: []choice{{Delta: &textMessage{Content: string(o.pending[:whole])}}},
	})
	o.pending = append(o.pending[:0], o.pending[whole:]...)
}

// wholeCharacters returns the length of data without a last character that is
// cut off.
func wholeCharacters(data []byte) int {
	for back := 1; back <= min(utf8.UTFMax, len(data)); back++ {
		start := len(data) - back
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

func (o *sseOutput) end(e *ending) {
	o.send("", completion{
		ID:      o.call,
		Object:  objectChunk,
		Choices: []choice{{Delta: &textMessage{}, FinishReason: stopped()}},
		Usage:   usageOf(e.answer.GetUsage()),
		Proof:   proofOf(e),
	})
	o.write("", []byte(doneData))
	o.finish()
}

func (o *sseOutput) fail(f *Failure) {
	if o.finish() {
		o.send("error", errorOf(f))
		return
	}
	writeFailure(o.rc, f)
}

func (o *sseOutput) send(event string, document any) {
	data, err := json.Marshal(document)
	if err != nil {
		return // the documents are plain structs: this cannot happen
	}
	o.write(event, data)
}

func (o *sseOutput) write(event string, data []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.quiet = false
	if o.gone {
		return
	}
	if err := o.open().WriteEvent("", event, data); err != nil {
		o.gone = true
	}
}

// programDocument is what a caller sees of its program.
type programDocument struct {
	Program       string `json:"program"`
	Turns         uint64 `json:"turns"`
	HistoryTokens uint64 `json:"history_tokens"`
	OpenCall      string `json:"open_call,omitempty"`
	Ended         bool   `json:"ended"`
}

func (e *Entry) serveProgram(ctx context.Context, rc *app.RequestContext) {
	customer, hash, failure := parseKey(headersOf(rc))
	if failure != nil {
		e.refuse(rc, failure)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	view, err := e.shards.View(ctx, &rpcpb.ViewRequest{Customer: customer, Program: rc.Param("program"), KeyHash: hash})
	if err != nil {
		e.refuse(rc, viewFailure(err))
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

// serveEndProgram ends a program: its engine memory is released.
func (e *Entry) serveEndProgram(ctx context.Context, rc *app.RequestContext) {
	customer, hash, failure := parseKey(headersOf(rc))
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
		KeyHash:  hash,
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
	e.releaseAt(ctx, result.GetEndProgram().LastTarget, customer, program)
	rc.JSON(consts.StatusOK, programDocument{Program: program, Ended: true})
}

// releaseAt tells the sidecar that a program has ended. When that fails the
// sidecar's own idle limit releases the memory.
func (e *Entry) releaseAt(ctx context.Context, target *shardpb.Target, customer, program string) {
	if target.GetSidecar() == "" {
		return
	}
	err := e.pool.Call(ctx, target.Sidecar, methodRelease, &rpcpb.ReleaseRequest{Customer: customer, Program: program}, new(rpcpb.Empty))
	if err != nil {
		e.log.Debug("release not delivered", telemetry.KeyServer, target.Server, telemetry.KeyError, err)
	}
}
