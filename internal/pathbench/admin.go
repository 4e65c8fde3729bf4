package pathbench

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"google.golang.org/protobuf/encoding/protojson"

	"ibistray.example/ibistray/proto/configpb"
	"ibistray.example/ibistray/proto/rpcpb"
)

// applyRetryInterval is the delay before a contract is applied again after an
// error.
const applyRetryInterval = 100 * time.Millisecond

// contractTemplate is a contract document. It is formatted with the customer, the
// limit of concurrent calls, the model and the customer key.
const contractTemplate = `customer: %s
priority: 5
home_region: local
budget:
  tokens: 900000000000
  period: 24h
engine_share: 100%%
max_concurrent_calls: %d
max_turns: 1000
max_program_tokens: 1000000
program_idle: 8h
max_held_tokens: 100000000
models:
  - %s
keys:
  - key: %s
`

// maxConcurrentCalls is the limit of concurrent calls of a benchmark customer.
const maxConcurrentCalls = 2000

// Customer returns the name of the i-th benchmark customer.
func Customer(i int) string { return "customer-" + strconv.Itoa(i) }

func customerKey(customer string) string { return "ik_" + customer + "_0123456789abcdef0123456789" }

// ApplyContract creates the contract of a new customer through an entry. It
// retries every error until the context ends, because the customer's shard may
// have no leader yet.
func (c *Caller) ApplyContract(ctx context.Context, entryURL, customer string) error {
	document := fmt.Sprintf(contractTemplate, customer, maxConcurrentCalls, Model, customerKey(customer))
	url := entryURL + "/admin/v1/contracts/" + customer + "?expected_version=0&change_id=create-" + customer
	for {
		_, err := c.sendRequest(ctx, consts.MethodPut, url, operatorKey, []byte(document))
		if err == nil {
			return nil
		}
		if err := sleep(ctx, applyRetryInterval); err != nil {
			return fmt.Errorf("apply the contract of %s: %w", customer, err)
		}
	}
}

// AnnounceStop adds the planned stop of a server to the configuration. The server
// need not exist. It reports whether the change was already in force for
// every holder of the configuration when the entry responded.
func (c *Caller) AnnounceStop(ctx context.Context, entryURL, server string) (inForce bool, err error) {
	command := &configpb.Command{Op: &configpb.Command_Put{Put: &configpb.Put{Record: &configpb.Record{
		Value: &configpb.Record_Stop{Stop: &configpb.Stop{Scope: configpb.StopScope_STOP_SCOPE_SERVER, Name: server}},
	}}}}
	body, err := protojson.Marshal(command)
	if err != nil {
		return false, err
	}
	response, err := c.sendRequest(ctx, consts.MethodPost, entryURL+"/admin/v1/configuration", operatorKey, body)
	if err != nil {
		return false, err
	}
	status := new(rpcpb.ConfigStatus)
	if err := protojson.Unmarshal(response, status); err != nil {
		return false, fmt.Errorf("decode configuration status: %w", err)
	}
	return status.GetInForceVersion() >= status.GetVersion(), nil
}

// ReadMetrics reads the metrics of the process at a base URL. It returns the sum
// over all label values for each metric name.
func (c *Caller) ReadMetrics(ctx context.Context, baseURL string) (map[string]float64, error) {
	data, err := c.sendRequest(ctx, consts.MethodGet, baseURL+"/metrics", "", nil)
	if err != nil {
		return nil, err
	}
	sums := make(map[string]float64)
	for line := range strings.Lines(string(data)) {
		name, value, ok := parseMetricLine(line)
		if ok {
			sums[name] += value
		}
	}
	return sums, nil
}

// parseMetricLine parses a line "name{labels} value" of the Prometheus text
// format. ok is false for a comment and for any other line.
func parseMetricLine(line string) (name string, value float64, ok bool) {
	line = strings.TrimSpace(line)
	split := strings.LastIndexByte(line, ' ')
	if strings.HasPrefix(line, "#") || split < 0 {
		return "", 0, false
	}
	name, _, _ = strings.Cut(line[:split], "{")
	value, err := strconv.ParseFloat(line[split+1:], 64)
	return name, value, err == nil
}

// ReadMetricSums returns the sum of the metrics of several processes by name.
func (c *Caller) ReadMetricSums(ctx context.Context, baseURLs []string) (map[string]float64, error) {
	sums := make(map[string]float64)
	for _, baseURL := range baseURLs {
		processSums, err := c.ReadMetrics(ctx, baseURL)
		if err != nil {
			return nil, err
		}
		for name, value := range processSums {
			sums[name] += value
		}
	}
	return sums, nil
}

// waitReady waits until the process at a base URL reports that it is ready.
func waitReady(ctx context.Context, baseURL string) error {
	c, err := NewCaller()
	if err != nil {
		return err
	}
	for {
		_, err := c.sendRequest(ctx, consts.MethodGet, baseURL+"/readyz", "", nil)
		if err == nil {
			return nil
		}
		if ctxErr := sleep(ctx, readyInterval); ctxErr != nil {
			return fmt.Errorf("wait until %s is ready: %w: %w", baseURL, ctxErr, err)
		}
	}
}

// waitServers waits until each entry lists as many backend servers as there are
// engines.
func (c *Cluster) waitServers(ctx context.Context) error {
	caller, err := NewCaller()
	if err != nil {
		return err
	}
	for _, baseURL := range c.EntryURLs {
		for caller.serverCount(ctx, baseURL) < c.Layout.Engines {
			if err := sleep(ctx, readyInterval); err != nil {
				return fmt.Errorf("wait until %s lists %d servers: %w", baseURL, c.Layout.Engines, err)
			}
		}
	}
	return nil
}

// serverCount returns the number of backend servers that an entry lists, or 0 on
// an error.
func (c *Caller) serverCount(ctx context.Context, baseURL string) int {
	data, err := c.sendRequest(ctx, consts.MethodGet, baseURL+"/admin/v1/servers", operatorKey, nil)
	if err != nil {
		return 0
	}
	var doc struct {
		Members []json.RawMessage `json:"members"`
	}
	if json.Unmarshal(data, &doc) != nil {
		return 0
	}
	return len(doc.Members)
}

// sleep waits for d. It returns the context's error if the context ends first.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
