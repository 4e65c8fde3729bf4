package telemetry

import (
	"fmt"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"gotest.tools/v3/assert"
)

// collect returns the values by account, for a single outcome.
func collect(t *testing.T, a *AccountRequests) map[string]float64 {
	t.Helper()
	registry := prometheus.NewPedanticRegistry()
	registry.MustRegister(a)
	families, err := registry.Gather()
	assert.NilError(t, err)
	values := make(map[string]float64)
	for _, family := range families {
		for _, m := range family.Metric {
			values[labelOf(m, "account")] = m.Counter.GetValue()
		}
	}
	return values
}

func labelOf(m *dto.Metric, name string) string {
	for _, label := range m.Label {
		if label.GetName() == name {
			return label.GetValue()
		}
	}
	return ""
}

func TestAccountLabelsAreBounded(t *testing.T) {
	a := newAccountRequests()
	for i := range 3 * maxNamedAccounts {
		for range i + 1 {
			a.Inc(fmt.Sprintf("account-%02d", i), "admitted")
		}
	}
	before := collect(t, a)["other"]
	for range 5 {
		a.Inc("account-59", "admitted")
		a.Inc("account-00", "admitted")
	}
	values := collect(t, a)
	assert.Equal(t, len(values), 2, "%v", values)
	assert.Equal(t, values["account-59"], 5.0)
	assert.Equal(t, values["other"], before+5)
}
