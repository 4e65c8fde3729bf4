package localcluster

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"ibistray.example/ibistray/internal/backendtest"
)

const (
	probeTimeout  = time.Second
	probeInterval = 50 * time.Millisecond
)

// Probe reads states of the processes over HTTP.
type Probe struct {
	http *client.Client
}

// NewProbe returns a probe. The caller closes it.
func NewProbe() (*Probe, error) {
	c, err := client.NewClient(
		client.WithDialer(standard.NewDialer()),
		client.WithDialTimeout(probeTimeout),
		client.WithClientReadTimeout(probeTimeout),
	)
	if err != nil {
		return nil, fmt.Errorf("new probe: %w", err)
	}
	return &Probe{http: c}, nil
}

// Close closes the idle connections.
func (p *Probe) Close() { p.http.CloseIdleConnections() }

// Get reads a JSON document; into may be nil.
func (p *Probe) Get(ctx context.Context, url string, into any) error {
	request := &protocol.Request{}
	response := &protocol.Response{}
	request.SetMethod(consts.MethodGet)
	request.SetRequestURI(url)
	if err := p.http.Do(ctx, request, response); err != nil {
		return fmt.Errorf("get %s: %w", url, err)
	}
	if response.StatusCode() != consts.StatusOK {
		return fmt.Errorf("get %s: status %d", url, response.StatusCode())
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(response.Body(), into); err != nil {
		return fmt.Errorf("get %s: %w", url, err)
	}
	return nil
}

// WaitFor asks until a condition holds; the error says what it waited for.
func (p *Probe) WaitFor(ctx context.Context, what string, condition func() bool) error {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("wait for %s: %w", what, context.Cause(ctx))
		}
	}
	return nil
}

// WaitReady waits until an entry accepts calls.
func (p *Probe) WaitReady(ctx context.Context, base string) error {
	return p.WaitFor(ctx, base+" to be ready", func() bool {
		return p.Get(ctx, base+"/readyz", nil) == nil
	})
}

// Effects returns the effects that the services had.
func (p *Probe) Effects(ctx context.Context, c *Cluster) ([]backendtest.Effect, error) {
	var effects []backendtest.Effect
	err := p.Get(ctx, c.Service.URL+"/effects", &effects)
	return effects, err
}

// cacheContents is the content of an engine's cache.
type cacheContents struct {
	Programs []struct {
		Program string `json:"program"`
		Tokens  int    `json:"tokens"`
	} `json:"programs"`
}

// CachedPrograms returns the cached tokens of one engine by program.
func (p *Probe) CachedPrograms(ctx context.Context, s *Server) (map[string]int, error) {
	var contents cacheContents
	if err := p.Get(ctx, s.URL+"/v1/cache", &contents); err != nil {
		return nil, err
	}
	cached := make(map[string]int, len(contents.Programs))
	for _, entry := range contents.Programs {
		cached[entry.Program] = entry.Tokens
	}
	return cached, nil
}

// Stats returns the counters of an engine.
func (p *Probe) Stats(ctx context.Context, s *Server) (backendtest.Stats, error) {
	var stats backendtest.Stats
	err := p.Get(ctx, s.URL+"/admin/stats", &stats)
	return stats, err
}
