package capacity

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// kind tells how a value was obtained.
type kind string

const (
	kindMeasured kind = "measured"
	kindDerived  kind = "derived"
	kindAssumed  kind = "assumed"
)

// row is one row of a capacity table.
type row struct {
	label string
	value string
	limit string // empty if the users set none
	fits  string // whether the value is within the limit
	kind  kind
	basis string // assumptions and slopes that the value is computed from
}

// quantity is a value and the function that formats it with its unit.
type quantity struct {
	value  float64
	format func(float64) string
}

func coreCount(v float64) quantity   { return quantity{v, formatCores} }
func corePercent(v float64) quantity { return quantity{v, formatPercent} }
func byteSize(v float64) quantity    { return quantity{v, formatBytes} }
func byteRate(v float64) quantity {
	return quantity{v, func(v float64) string { return formatBytes(v) + "/s" }}
}
func rate(v float64) quantity {
	return quantity{v, func(v float64) string { return formatNumber(v) + "/s" }}
}
func count(v float64) quantity { return quantity{v, formatNumber} }
func duration(v float64) quantity {
	return quantity{v, func(v float64) string { return formatNumber(v) + " s" }}
}
func formatCores(v float64) string   { return formatNumber(v) + " cores" }
func formatPercent(v float64) string { return formatNumber(v) + " % of a core" }

// formatNumber formats whole numbers without a fraction, others with about three
// significant digits, and values below 0.1 with four decimals.
func formatNumber(v float64) string {
	switch {
	case v == math.Trunc(v):
		return strconv.FormatInt(int64(v), 10)
	case v >= 100 || v <= -100:
		return fmt.Sprintf("%.0f", v)
	case v >= 10:
		return fmt.Sprintf("%.1f", v)
	case v >= 0.1:
		return fmt.Sprintf("%.2f", v)
	default:
		return fmt.Sprintf("%.4f", v)
	}
}

// formatBytes formats a size in powers of 1024.
func formatBytes(v float64) string {
	const step = 1024.0
	units := []string{"B", "KB", "MB", "GB", "TB"}
	unit := 0
	for v >= step && unit < len(units)-1 {
		v /= step
		unit++
	}
	return formatNumber(v) + " " + units[unit]
}

// derivedRow returns a row without a limit for a computed value.
func derivedRow(label string, q quantity, basis string) row {
	return row{label: label, value: q.format(q.value), kind: kindDerived, basis: basis}
}

// limitedRow returns a row that compares a computed value with a limit that the
// users set.
func limitedRow(label string, q quantity, limit float64, basis string) row {
	r := derivedRow(label, q, basis)
	r.limit = q.format(limit)
	r.fits = "yes"
	if q.value > limit {
		r.fits = fmt.Sprintf("**no**, %s times the limit", formatNumber(q.value/limit))
	}
	return r
}

// withKind returns the row with another kind.
func (r row) withKind(k kind) row {
	r.kind = k
	return r
}

// writeTable writes a section with a Markdown table of rows.
func writeTable(b *strings.Builder, title string, rows []row) {
	fmt.Fprintf(b, "### %s\n\n", title)
	b.WriteString("| what | value | limit | fits | kind | from |\n|---|---|---|---|---|---|\n")
	for _, r := range rows {
		fmt.Fprintf(b, "| %s | %s | %s | %s | %s | %s |\n", r.label, r.value, r.limit, r.fits, r.kind, r.basis)
	}
	b.WriteString("\n")
}

// writeSlopes writes a section with a Markdown table of the slopes and a list of the
// measurements that failed.
func writeSlopes(b *strings.Builder, r *Report) {
	fmt.Fprintf(b, "### Slopes\n\nMeasured on %s with %d cores; load averages before %s, after %s.\n\n", r.Date, r.Cores, r.LoadBefore, r.LoadAfter)
	b.WriteString("| slope | value | unit | sizes | readings | method |\n|---|---|---|---|---|---|\n")
	for _, s := range r.Slopes {
		fmt.Fprintf(b, "| `%s` | %s | %s | %s | %s | %s |\n", s.Name, formatNumber(s.Value), s.Unit, formatList(s.Sizes), formatList(s.Readings), s.Method)
	}
	b.WriteString("\n")
	for _, failure := range r.NotMeasured {
		fmt.Fprintf(b, "Not measured: %s\n\n", failure)
	}
}

func formatList(values []float64) string {
	texts := make([]string, len(values))
	for i, v := range values {
		texts[i] = formatNumber(v)
	}
	return strings.Join(texts, ", ")
}
