package backendtest

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
)

// ServiceOptions configures a plain service.
type ServiceOptions struct {
	Listen      string        // address to listen on; default 127.0.0.1:0
	Names       []string      // services that it offers
	EffectsFile string        // file to which effects are appended; empty: kept in memory only
	HangMarker  string        // a request whose body contains this text is executed but gets no response
	Delay       time.Duration // time between the execution and the response
}

// Effect records one execution of an operation, which stands for its side effect.
type Effect struct {
	Number    int             `json:"number"` // position in the order of execution, from 1
	RequestID string          `json:"request_id"`
	Service   string          `json:"service"`
	Operation string          `json:"operation"`
	Body      json.RawMessage `json:"body"`
}

// ServiceAnswer is the body of a successful response. Effect is the number of the
// recorded effect, and Request the body of the request.
type ServiceAnswer struct {
	Service   string          `json:"service"`
	Operation string          `json:"operation"`
	Effect    int             `json:"effect"`
	Request   json.RawMessage `json:"request"`
}

// Service is a fake plain service. It does not deduplicate requests: each execution is
// recorded as an effect, even that of a repeated request. It is safe for concurrent use.
type Service struct {
	options  ServiceOptions
	http     *httpServer
	refusals refusalInjector
	closed   chan struct{}
	once     sync.Once

	mu      sync.Mutex
	effects []Effect
	file    *os.File
}

// NewService starts a plain service with the effects that the effects file already
// contains. The caller must close it.
func NewService(options ServiceOptions) (*Service, error) {
	setDefault(&options.Listen, defaultListen)
	s := &Service{options: options, closed: make(chan struct{})}
	if err := s.openEffectsFile(); err != nil {
		return nil, fmt.Errorf("start service %v: %w", options.Names, err)
	}
	server, err := newHTTPServer(options.Listen)
	if err != nil {
		s.closeEffectsFile()
		return nil, fmt.Errorf("start service %v: %w", options.Names, err)
	}
	s.http = server
	server.GET("/healthz", serveHealth)
	server.POST("/v1/services/:service/:operation", s.serveOperation)
	server.GET("/effects", s.serveEffects)
	server.POST("/admin/refuse", s.serveRefuse)
	server.start()
	return s, nil
}

// StartService starts a service that is closed at the end of the test.
func StartService(t testing.TB, options ServiceOptions) *Service {
	t.Helper()
	s, err := NewService(options)
	if err != nil {
		t.Fatalf("start service: %v", err)
	}
	t.Cleanup(s.Close)
	return s
}

// URL returns the base URL of the service.
func (s *Service) URL() string { return s.http.url() }

// Effects returns the effects so far, in the order of execution.
func (s *Service) Effects() []Effect {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Effect{}, s.effects...)
}

// RefuseNext makes the service refuse the next n requests with an HTTP status and a
// Retry-After header. It replaces an earlier call.
func (s *Service) RefuseNext(n, status int, retryAfter time.Duration) {
	s.refusals.refuseNext(n, status, retryAfter)
}

// Close closes every connection and the effects file.
func (s *Service) Close() {
	s.once.Do(func() {
		s.http.abort()
		close(s.closed)
		s.closeEffectsFile()
	})
}

func (s *Service) openEffectsFile() error {
	if s.options.EffectsFile == "" {
		return nil
	}
	effects, err := ReadEffects(s.options.EffectsFile)
	if err != nil {
		return err
	}
	s.effects = effects
	s.file, err = os.OpenFile(s.options.EffectsFile, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	return err
}

func (s *Service) closeEffectsFile() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.file != nil {
		_ = s.file.Close()
		s.file = nil
	}
}

// ReadEffects reads an effects file: one JSON document per line. A missing file has no
// effects.
func ReadEffects(path string) ([]Effect, error) {
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read effects file: %w", err)
	}
	var effects []Effect
	for line := range strings.Lines(string(data)) {
		var effect Effect
		if err := json.Unmarshal([]byte(line), &effect); err != nil {
			return nil, fmt.Errorf("read effects file %s: line %d: %w", path, len(effects)+1, err)
		}
		effects = append(effects, effect)
	}
	return effects, nil
}

func (s *Service) serveOperation(ctx context.Context, c *app.RequestContext) {
	service := c.Param("service")
	if !slices.Contains(s.options.Names, service) {
		writeError(c, consts.StatusNotFound, "unknown_service", fmt.Sprintf("this server offers the services %v", s.options.Names))
		return
	}
	body := append([]byte{}, c.Request.Body()...)
	if !json.Valid(body) {
		writeError(c, consts.StatusBadRequest, "invalid_request", "the body is not valid JSON")
		return
	}
	if refused, ok := s.refusals.take(); ok {
		writeRefusal(c, refused)
		return
	}
	effect, err := s.record(Effect{
		RequestID: string(c.GetHeader(headerRequestID)),
		Service:   service,
		Operation: c.Param("operation"),
		Body:      body,
	})
	if err != nil {
		writeError(c, consts.StatusInternalServerError, "log_failed", err.Error())
		return
	}
	if !s.delayResponse(ctx, body) {
		return
	}
	answer := ServiceAnswer{Service: service, Operation: effect.Operation, Effect: effect.Number, Request: effect.Body}
	writeJSON(c, consts.StatusOK, answer)
}

// record assigns the next number to an effect and appends it to the effects file and to
// memory.
func (s *Service) record(effect Effect) (Effect, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	effect.Number = len(s.effects) + 1
	if s.file != nil {
		line, err := json.Marshal(effect)
		if err != nil {
			return Effect{}, err
		}
		if _, err := s.file.Write(append(line, '\n')); err != nil {
			return Effect{}, err
		}
	}
	s.effects = append(s.effects, effect)
	return effect, nil
}

// delayResponse waits for the configured delay. It returns false if the request must not
// get a response: it contains the hang marker, the client has disconnected or the service
// is closed.
func (s *Service) delayResponse(ctx context.Context, body []byte) bool {
	if s.options.HangMarker != "" && strings.Contains(string(body), s.options.HangMarker) {
		<-s.closed
		return false
	}
	select {
	case <-time.After(s.options.Delay):
		return true
	case <-ctx.Done():
		return false
	case <-s.closed:
		return false
	}
}

func (s *Service) serveEffects(_ context.Context, c *app.RequestContext) {
	writeJSON(c, consts.StatusOK, s.Effects())
}

func (s *Service) serveRefuse(_ context.Context, c *app.RequestContext) {
	scheduleRefusals(c, &s.refusals)
}
