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

// discardTransport drops all messages.
type discardTransport struct{}

func (discardTransport) Send(string, *raftpb.MessageBatch) {}

func (discardTransport) SendSnapshot(context.Context, string, *raftpb.Message, io.Reader) error {
	return nil
}

// allMetrics returns the metrics of a process with the control role. Its replica host also
// registers the metrics of the replicated log and of the write-ahead log.
func allMetrics(t *testing.T) map[string]Metric {
	t.Helper()
	m := telemetry.NewMetrics()
	host, err := replica.NewHost(replica.Options{
		Dir:        t.TempDir(),
		Address:    "127.0.0.1:1",
		Transport:  discardTransport{},
		Registerer: m.Registry,
	})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = host.Stop(context.Background()) })
	metrics, err := CollectMetrics(m.Registry)
	assert.NilError(t, err)
	return metrics
}

func TestEachMetricIsDocumented(t *testing.T) {
	text, err := Section(readPage(t, operatorsPage), "metrics")
	assert.NilError(t, err)
	documented := map[string]Metric{}
	for _, row := range TableRows(text) {
		labels := strings.FieldsFunc(row[2], func(r rune) bool { return r == ',' || r == ' ' })
		slices.Sort(labels)
		documented[row[0]] = Metric{Name: row[0], Labels: labels}
		assert.Assert(t, row[1] != "", "%s has no unit", row[0])
		assert.Assert(t, row[3] != "", "%s has no meaning", row[0])
	}
	assert.DeepEqual(t, documented, allMetrics(t))
}

// The documented unit of a metric must be the one that its name ends with.
func TestDocumentedUnitsMatchTheNames(t *testing.T) {
	text, err := Section(readPage(t, operatorsPage), "metrics")
	assert.NilError(t, err)
	for _, row := range TableRows(text) {
		name := strings.TrimSuffix(row[0], "_total")
		for _, unit := range []string{"seconds", "bytes", "tokens"} {
			if strings.HasSuffix(name, "_"+unit) {
				assert.Equal(t, row[1], unit, row[0])
			}
		}
	}
}
