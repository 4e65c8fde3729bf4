package docsgen

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
)

// Metric is the description of a metric.
type Metric struct {
	Name   string
	Labels []string // sorted
}

var descriptionPattern = regexp.MustCompile(`fqName: "([^"]+)".*variableLabels: \{([^}]*)\}`)

// CollectMetrics returns the metrics of a collector whose names start with "ibistray_", by
// name.
func CollectMetrics(collector prometheus.Collector) (map[string]Metric, error) {
	descriptions := make(chan *prometheus.Desc)
	go func() {
		collector.Describe(descriptions)
		close(descriptions)
	}()
	metrics := make(map[string]Metric)
	var err error
	for d := range descriptions {
		match := descriptionPattern.FindStringSubmatch(d.String())
		if match == nil {
			err = fmt.Errorf("docsgen: cannot parse the description of a metric: %s", d)
			continue
		}
		if !strings.HasPrefix(match[1], "ibistray_") {
			continue
		}
		labels := strings.FieldsFunc(match[2], func(r rune) bool { return r == ',' || r == ' ' })
		slices.Sort(labels)
		metrics[match[1]] = Metric{Name: match[1], Labels: labels}
	}
	return metrics, err
}
