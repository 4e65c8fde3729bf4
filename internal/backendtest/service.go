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
	Names       []string      // names of the services that it offers
	EffectsFile string        // file to which each effect is appended; empty: none
	HangMarker  string        // a request with this text has its effect and is never answered
	Delay       time.Duration // time between the effect and the answer
}

// Effect is one effect that a request had on the world.
type Effect struct {
	Number    int             `json:"number"` // 1-based order of the effects
	RequestID string          `json:"request_id"`
	Service   string          `json:"service"`
	Operation string          `json:"operation"`
	Body      json.RawMessage `json:"body"`
}

// ServiceAnswer is the body of a successful answer.
type ServiceAnswer struct {
	Service   string          `json:"service"`
	Operation string          `json:"operation"`
	Effect    int             `json:"effect"`
	Request   json.RawMessage `json:"request"`
}

// Service is a fake plain service. Every request that it runs has an effect:
// it never recognises a repeated one.
type Service struct {
	options ServiceOptions
	http    *httpServer
	faults  faults
	closed  chan struct{}
	once    sync.Once

	mu      sync.Mutex
	effects []Effect
	file    *os.File
}

// NewService starts a plain service. The caller closes it. Effects that the
// log file holds already are served again.
func NewService(options ServiceOptions) (*Service, error) {
	setDefault(&options.Listen, defaultListen)
	s := &Service{options: options, closed: make(chan struct{})}
	if err := s.openLog(); err != nil {
		return nil, fmt.Errorf("start service %v: %w", options.Names, err)
	}
	server, err := newHTTPServer(options.Listen)
	if err != nil {
		s.closeLog()
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

// StartService starts a service that ends with the test.
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

// Effects returns the effects so far, in order.
func (s *Service) Effects() []Effect {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Effect{}, s.effects...)
}

// RefuseNext makes the service answer the next n requests with a status.
func (s *Service) RefuseNext(n, status int, retryAfter time.Duration) {
	s.faults.refuseNext(n, status, retryAfter)
}

// Close cuts every connection.
func (s *Service) Close() {
	s.once.Do(func() {
		s.http.abort()
		close(s.closed)
		s.closeLog()
	})
}

func (s *Service) openLog() error {
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

func (s *Service) closeLog() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.file != nil {
		_ = s.file.Close()
		s.file = nil
	}
}

// ReadEffects reads a log file of effects; a missing file has none.
func ReadEffects(path string) ([]Effect, error) {
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read effects: %w", err)
	}
	var effects []Effect
	for line := range strings.Lines(string(data)) {
		var effect Effect
		if err := json.Unmarshal([]byte(line), &effect); err != nil {
			return nil, fmt.Errorf("read effects: line %d: %w", len(effects)+1, err)
		}
		effects = append(effects, effect)
	}
	return effects, nil
}

func (s *Service) serveOperation(ctx context.Context, c *app.RequestContext) {
	service := c.Param("service")
	if !slices.Contains(s.options.Names, service) {
		writeError(c, consts.StatusNotFound, "unknown_service", fmt.Sprintf("%v are offered", s.options.Names))
		return
	}
	body := append([]byte{}, c.Request.Body()...)
	if !json.Valid(body) {
		writeError(c, consts.StatusBadRequest, "invalid_request", "the body is not JSON")
		return
	}
	if refused, ok := s.faults.take(); ok {
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
	if !s.wait(ctx, body) {
		return
	}
	answer := ServiceAnswer{Service: service, Operation: effect.Operation, Effect: effect.Number, Request: effect.Body}
	writeJSON(c, consts.StatusOK, answer)
}

// record numbers an effect and appends it.
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

// wait delays the answer; false means that there will be none.
func (s *Service) wait(ctx context.Context, body []byte) bool {
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
	serveRefuse(c, &s.faults)
}
