package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// share is the share of a service in the traffic of a route.
type share struct {
	Backend string  `json:"backend"`
	Weight  float64 `json:"weight"`
}

// streamRoute is a route whose answers are streams.
type streamRoute struct {
	prefix            string
	backend           string  // of a route that is not split
	split             []share // nil: the route is not split
	retain, resumable bool
}

// configDocument returns a config in the format of the operator's API.
func configDocument(version int, services []string, routes ...streamRoute) ([]byte, error) {
	var routeList, serviceList []any
	for i, r := range routes {
		route := map[string]any{
			"name": fmt.Sprintf("r-%d", i+1), "hostname": hostName, "path_prefix": r.prefix, "route_type": "stream", "timeout_ms": clientDeadline.Milliseconds(),
			"target_latency_ms": 250, "priority": 1, "max_attempts": 2, "retain": r.retain, "retention_s": 60.0, "session_affinity": true,
			"resumable": r.resumable, "target_gap_ms": 300,
		}
		if r.split != nil {
			route["traffic_split"] = r.split
		} else {
			route["backend"] = r.backend
		}
		routeList = append(routeList, route)
	}
	for _, name := range services {
		serviceList = append(serviceList, map[string]any{
			"name": name, "health_path": "/health", "max_connections": 320, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 32, "kv_capacity": 204013, "kv_token_bytes": 131072, "stride": stride, "most": 12, "models": []any{map[string]any{"name": "m"}}},
		})
	}
	return json.Marshal(map[string]any{
		"version": version, "routes": routeList, "services": serviceList,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// putConfig sends a config until it is acknowledged.
func (d *deployment) putConfig(limit time.Duration, version int, services []string, routes ...streamRoute) error {
	document, err := configDocument(version, services, routes...)
	if err != nil {
		return err
	}
	status, answer, err := d.operate(limit, http.MethodPost, "/api/Config.Replace", document)
	if err != nil {
		return fmt.Errorf("config %d: %w", version, err)
	}
	if status != http.StatusOK {
		return fmt.Errorf("config %d: status %d: %s", version, status, answer)
	}
	d.record.add("operator: config %d acknowledged", version)
	return nil
}
