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

// Probe polls the HTTP interfaces of the processes of a cluster.
type Probe struct {
	http *client.Client
}

// NewProbe returns a probe. The caller must close it.
func NewProbe() (*Probe, error) {
	c, err := client.NewClient(
		client.WithDialer(standard.NewDialer()),
		client.WithDialTimeout(probeTimeout),
		client.WithClientReadTimeout(probeTimeout),
	)
	if err != nil {
		return nil, fmt.Errorf("create the probe's HTTP client: %w", err)
	}
	return &Probe{http: c}, nil
}

// Close closes idle connections.
func (p *Probe) Close() { p.http.CloseIdleConnections() }

// Get reads a JSON document into a value; into may be nil to check only the status. Any
// status other than 200 is an error.
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

// WaitFor polls until a condition holds or the context ends. The error contains what was
// waited for and the cause of the context's end.
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

// WaitReady waits until the entry with a base URL reports that it is ready.
func (p *Probe) WaitReady(ctx context.Context, baseURL string) error {
	return p.WaitFor(ctx, baseURL+" to be ready", func() bool {
		return p.Get(ctx, baseURL+"/readyz", nil) == nil
	})
}

// Effects returns the effects that the service has recorded.
func (p *Probe) Effects(ctx context.Context, c *Cluster) ([]backendtest.Effect, error) {
	var effects []backendtest.Effect
	err := p.Get(ctx, c.Service.URL+"/effects", &effects)
	return effects, err
}

// cacheContents is the response of an engine's /v1/cache.
type cacheContents struct {
	Programs []struct {
		Program string `json:"program"`
		Tokens  int    `json:"tokens"`
	} `json:"programs"`
}

// CachedPrograms returns the number of cached tokens of an engine by program.
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
