package docsgen

import (
	"context"
	"io"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/replica"
	"ibistray.example/ibistray/internal/telemetry"
	"ibistray.example/ibistray/proto/raftpb"
)

// noTransport drops every message.
type noTransport struct{}

func (noTransport) Send(string, *raftpb.MessageBatch) {}

func (noTransport) SendSnapshot(context.Context, string, *raftpb.Message, io.Reader) error {
	return nil
}

// allMetrics returns the metrics of a process with the control role, which
// registers those of the replicated log and of the write-ahead log.
func allMetrics(t *testing.T) map[string]Metric {
	t.Helper()
	m := telemetry.NewMetrics()
	host, err := replica.NewHost(replica.Options{
		Dir:        t.TempDir(),
		Address:    "127.0.0.1:1",
		Transport:  noTransport{},
		Registerer: m.Registry,
	})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = host.Stop(context.Background()) })
	metrics, err := Metrics(m.Registry)
	assert.NilError(t, err)
	return metrics
}

func TestEachMetricHasALine(t *testing.T) {
	text, err := Section(read(t, operatorsPage), "metrics")
	assert.NilError(t, err)
	got := map[string]Metric{}
	for _, row := range Rows(text) {
		labels := strings.FieldsFunc(row[2], func(r rune) bool { return r == ',' || r == ' ' })
		slices.Sort(labels)
		got[row[0]] = Metric{Name: row[0], Labels: labels}
		assert.Assert(t, row[1] != "", "%s has no unit", row[0])
		assert.Assert(t, row[3] != "", "%s has no meaning", row[0])
	}
	assert.DeepEqual(t, got, allMetrics(t))
}

func TestUnitsFollowTheNames(t *testing.T) {
	text, err := Section(read(t, operatorsPage), "metrics")
	assert.NilError(t, err)
	for _, row := range Rows(text) {
		name := strings.TrimSuffix(row[0], "_total")
		for _, unit := range []string{"seconds", "bytes", "tokens"} {
			if strings.HasSuffix(name, "_"+unit) {
				assert.Equal(t, row[1], unit, row[0])
			}
		}
	}
}
