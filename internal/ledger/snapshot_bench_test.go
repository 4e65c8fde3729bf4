package ledger

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// BenchmarkRestore restores a state of 2,000 programs of ten turns, of which every other turn
// is kept.
func BenchmarkRestore(b *testing.B) {
	s := New()
	input := strings.Repeat("x", 2000)
	for p := range 2000 {
		program, previous := fmt.Sprintf("%016x", p), ""
		for c := range 10 {
			call := fmt.Sprintf("%016x", p*10+c)
			apply(b, s, startMs, begin(call, program, previous, 100, 100_000))
			if c%2 == 1 {
				apply(b, s, startMs, settleCall(call, program, 50))
				continue
			}
			apply(b, s, startMs, storeTurn(call, program, previous, input, input[:200], 50))
			apply(b, s, startMs, openStream(call, "v1", 0))
			previous = call
		}
	}
	var snapshot bytes.Buffer
	assert.NilError(b, s.Snapshot(&snapshot))
	b.ReportMetric(float64(snapshot.Len()), "B/snapshot")
	b.ReportAllocs()
	for b.Loop() {
		assert.NilError(b, New().Restore(bytes.NewReader(snapshot.Bytes())))
	}
}
