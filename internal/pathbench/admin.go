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

// applyInterval is the time between two tries to apply a contract.
const applyInterval = 100 * time.Millisecond

const contractDocument = `customer: %s
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

// contractConcurrency is the most calls of one benchmark customer at a time.
const contractConcurrency = 2000

// Customer returns the name of a benchmark customer.
func Customer(i int) string { return "customer-" + strconv.Itoa(i) }

func customerKey(customer string) string { return "ik_" + customer + "_0123456789abcdef0123456789" }

// ApplyContract creates the contract of a new customer. It tries again until
// the context ends, because the shard may have no leader yet.
func (c *Caller) ApplyContract(ctx context.Context, entry, customer string) error {
	document := fmt.Sprintf(contractDocument, customer, contractConcurrency, Model, customerKey(customer))
	url := entry + "/admin/v1/contracts/" + customer + "?expected_version=0&change_id=create-" + customer
	for {
		_, err := c.exchange(ctx, consts.MethodPut, url, operatorKey, []byte(document))
		if err == nil {
			return nil
		}
		if err := pause(ctx, applyInterval); err != nil {
			return fmt.Errorf("apply the contract of %s: %w", customer, err)
		}
	}
}

// AnnounceStop announces the planned stop of a server that does not exist and
// returns the version, and whether it came into force everywhere.
func (c *Caller) AnnounceStop(ctx context.Context, entry, server string) (inForce bool, err error) {
	command := &configpb.Command{Op: &configpb.Command_Put{Put: &configpb.Put{Record: &configpb.Record{
		Value: &configpb.Record_Stop{Stop: &configpb.Stop{Scope: configpb.StopScope_STOP_SCOPE_SERVER, Name: server}},
	}}}}
	body, err := protojson.Marshal(command)
	if err != nil {
		return false, err
	}
	answer, err := c.exchange(ctx, consts.MethodPost, entry+"/admin/v1/configuration", operatorKey, body)
	if err != nil {
		return false, err
	}
	status := new(rpcpb.ConfigStatus)
	if err := protojson.Unmarshal(answer, status); err != nil {
		return false, fmt.Errorf("decode the configuration's status: %w", err)
	}
	return status.GetInForceVersion() >= status.GetVersion(), nil
}

// ReadMetrics reads the sums of the metrics of a process by name, over all labels.
func (c *Caller) ReadMetrics(ctx context.Context, base string) (map[string]float64, error) {
	data, err := c.exchange(ctx, consts.MethodGet, base+"/metrics", "", nil)
	if err != nil {
		return nil, err
	}
	sums := make(map[string]float64)
	for line := range strings.Lines(string(data)) {
		name, value, ok := metricLine(line)
		if ok {
			sums[name] += value
		}
	}
	return sums, nil
}

// metricLine splits "name{labels} value".
func metricLine(line string) (name string, value float64, ok bool) {
	line = strings.TrimSpace(line)
	split := strings.LastIndexByte(line, ' ')
	if strings.HasPrefix(line, "#") || split < 0 {
		return "", 0, false
	}
	name, _, _ = strings.Cut(line[:split], "{")
	value, err := strconv.ParseFloat(line[split+1:], 64)
	return name, value, err == nil
}

// ReadMetricSums adds up the metrics of several processes.
func (c *Caller) ReadMetricSums(ctx context.Context, bases []string) (map[string]float64, error) {
	sums := make(map[string]float64)
	for _, base := range bases {
		part, err := c.ReadMetrics(ctx, base)
		if err != nil {
			return nil, err
		}
		for name, value := range part {
			sums[name] += value
		}
	}
	return sums, nil
}

func waitReady(ctx context.Context, base string) error {
	c, err := NewCaller()
	if err != nil {
		return err
	}
	for {
		_, err := c.exchange(ctx, consts.MethodGet, base+"/readyz", "", nil)
		if err == nil {
			return nil
		}
		if ctxErr := pause(ctx, readyInterval); ctxErr != nil {
			return fmt.Errorf("wait for %s: %w: %w", base, ctxErr, err)
		}
	}
}

// waitServers waits until each entry knows all engines.
func (c *Cluster) waitServers(ctx context.Context) error {
	caller, err := NewCaller()
	if err != nil {
		return err
	}
	for _, base := range c.EntryURLs {
		for caller.serverCount(ctx, base) < c.Layout.Engines {
			if err := pause(ctx, readyInterval); err != nil {
				return fmt.Errorf("wait for the servers at %s: %w", base, err)
			}
		}
	}
	return nil
}

func (c *Caller) serverCount(ctx context.Context, base string) int {
	data, err := c.exchange(ctx, consts.MethodGet, base+"/admin/v1/servers", operatorKey, nil)
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

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
