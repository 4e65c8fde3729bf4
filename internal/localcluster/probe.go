package demo

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

// probe reads states of the processes over HTTP.
type probe struct {
	http *client.Client
}

func newProbe() (*probe, error) {
	c, err := client.NewClient(
		client.WithDialer(standard.NewDialer()),
		client.WithDialTimeout(probeTimeout),
		client.WithClientReadTimeout(probeTimeout),
	)
	if err != nil {
		return nil, fmt.Errorf("new probe: %w", err)
	}
	return &probe{http: c}, nil
}

// get reads a JSON document; into may be nil.
func (p *probe) get(ctx context.Context, url string, into any) error {
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

// waitFor asks until a condition holds; the error says what it waited for.
func (p *probe) waitFor(ctx context.Context, what string, condition func() bool) error {
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

func (p *probe) waitReady(ctx context.Context, base string) error {
	return p.waitFor(ctx, base+" to be ready", func() bool {
		return p.get(ctx, base+"/readyz", nil) == nil
	})
}

// effects returns the effects that the services had.
func (p *probe) effects(ctx context.Context, c *cluster) ([]backendtest.Effect, error) {
	var effects []backendtest.Effect
	err := p.get(ctx, c.service.url+"/effects", &effects)
	return effects, err
}

// cacheContents is the content of an engine's cache.
type cacheContents struct {
	Programs []struct {
		Program string `json:"program"`
		Tokens  int    `json:"tokens"`
	} `json:"programs"`
}

// cachedPrograms returns the cached tokens of one engine by program.
func (p *probe) cachedPrograms(ctx context.Context, s *server) (map[string]int, error) {
	var contents cacheContents
	if err := p.get(ctx, s.url+"/v1/cache", &contents); err != nil {
		return nil, err
	}
	cached := make(map[string]int, len(contents.Programs))
	for _, entry := range contents.Programs {
		cached[entry.Program] = entry.Tokens
	}
	return cached, nil
}

func (p *probe) stats(ctx context.Context, s *server) (backendtest.Stats, error) {
	var stats backendtest.Stats
	err := p.get(ctx, s.url+"/admin/stats", &stats)
	return stats, err
}
