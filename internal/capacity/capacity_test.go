package capacity

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	slopesFile  = "../../docs/capacity-slopes.json"
	pageFile    = "../../docs/CAPACITY.md"
	tablesBegin = "<!-- tables: begin, printed by \"make capacity\" -->\n\n"
	tablesEnd   = "<!-- tables: end -->"
)

// TestCapacityPageHasCurrentTables fails if the slopes or formulas have changed but the
// tables of docs/CAPACITY.md were not printed again.
func TestCapacityPageHasCurrentTables(t *testing.T) {
	report, err := Load(slopesFile)
	assert.NilError(t, err)
	want, err := Tables(report)
	assert.NilError(t, err)
	page, err := os.ReadFile(pageFile)
	assert.NilError(t, err)
	_, rest, found := strings.Cut(string(page), tablesBegin)
	assert.Assert(t, found, "docs/CAPACITY.md lacks the line that begins the tables")
	got, _, found := strings.Cut(rest, tablesEnd)
	assert.Assert(t, found, "docs/CAPACITY.md lacks the line that ends the tables")
	assert.Equal(t, got, want)
}

func TestTablesFailOnMissingSlope(t *testing.T) {
	_, err := Tables(new(Report))
	assert.ErrorIs(t, err, ErrNoSlope)
	assert.ErrorContains(t, err, string(ControlCallCPU))
}

func TestFit(t *testing.T) {
	line := Fit([]float64{1, 2, 4}, []float64{5, 7, 11})
	assert.Equal(t, line, Line{Slope: 2, Intercept: 3})
}

func TestMedianAndQuartiles(t *testing.T) {
	assert.Equal(t, median([]float64{9, 1, 5}), 5.0)
	assert.Equal(t, median(nil), 0.0)
	assert.DeepEqual(t, quartiles([]float64{5, 4, 3, 2, 1}), []float64{1, 2, 3, 4, 5})
}

func TestLimitedRowShowsExcess(t *testing.T) {
	assert.Equal(t, limitedRow("memory", byteSize(1024), 2048, "").fits, "yes")
	over := limitedRow("memory", byteSize(4096), 2048, "")
	assert.Equal(t, over.fits, "**no**, 2 times the limit")
	assert.Equal(t, over.value, "4 KB")
}

func TestFormatNumber(t *testing.T) {
	for v, want := range map[float64]string{0: "0", -0.0001: "-0.0001", 45: "45", 12.34: "12.3", 0.567: "0.57", 1234.5: "1234", 0.0123: "0.0123"} {
		assert.Equal(t, formatNumber(v), want)
	}
}

func TestMergeReplacesSlopes(t *testing.T) {
	r := &Report{Slopes: []Slope{{Name: LeaderlessTime, Value: 1}, {Name: ChangeInForceTime, Value: 2}}}
	r.Merge(&Report{Slopes: []Slope{{Name: LeaderlessTime, Value: 3}}})
	assert.DeepEqual(t, r.Slopes, []Slope{{Name: ChangeInForceTime, Value: 2}, {Name: LeaderlessTime, Value: 3}})
}

func TestShardStateAcceptsCalls(t *testing.T) {
	s := newShardState()
	assert.NilError(t, s.addContract(0))
	assert.NilError(t, s.addPrograms(2, 3))
	assert.ErrorContains(t, newShardState().addPrograms(1, 1), "refused") // the customer has no contract
}

func TestSaveAndLoad(t *testing.T) {
	path := t.TempDir() + "/slopes.json"
	want := &Report{Date: "2026-01-01", Slopes: []Slope{{Name: LeaderlessTime, Value: 3, Sizes: []float64{1}}}}
	assert.NilError(t, want.Save(path))
	got, err := Load(path)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want)
}
