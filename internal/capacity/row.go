package capacity

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// kind says where a number comes from.
type kind string

const (
	kindMeasured kind = "measured"
	kindDerived  kind = "derived"
	kindAssumed  kind = "assumed"
)

// row is one line of a table.
type row struct {
	what  string
	value string
	limit string // empty: the users name none
	fits  string
	kind  kind
	basis string
}

// quantity is a number with its unit.
type quantity struct {
	value float64
	text  func(float64) string
}

func cores(v float64) quantity   { return quantity{v, formatCores} }
func percent(v float64) quantity { return quantity{v, formatPercent} }
func bytesOf(v float64) quantity { return quantity{v, formatBytes} }
func bytesEach(v float64) quantity {
	return quantity{v, func(v float64) string { return formatBytes(v) + "/s" }}
}
func perSecond(v float64) quantity {
	return quantity{v, func(v float64) string { return formatNumber(v) + "/s" }}
}
func count(v float64) quantity { return quantity{v, formatNumber} }
func secondsOf(v float64) quantity {
	return quantity{v, func(v float64) string { return formatNumber(v) + " s" }}
}
func formatCores(v float64) string   { return formatNumber(v) + " cores" }
func formatPercent(v float64) string { return formatNumber(v) + " % of a core" }

// formatNumber writes whole numbers as they are, others with three significant
// digits.
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

// derived is a row without a limit.
func derived(what string, q quantity, basis string) row {
	return row{what: what, value: q.text(q.value), kind: kindDerived, basis: basis}
}

// bounded is a row with a limit of the users.
func bounded(what string, q quantity, limit float64, basis string) row {
	r := derived(what, q, basis)
	r.limit = q.text(limit)
	r.fits = "yes"
	if q.value > limit {
		r.fits = fmt.Sprintf("**no**, %s times the limit", formatNumber(q.value/limit))
	}
	return r
}

func (r row) as(k kind) row {
	r.kind = k
	return r
}

// writeTable writes rows as Markdown.
func writeTable(b *strings.Builder, title string, rows []row) {
	fmt.Fprintf(b, "### %s\n\n", title)
	b.WriteString("| what | value | limit | fits | kind | from |\n|---|---|---|---|---|---|\n")
	for _, r := range rows {
		fmt.Fprintf(b, "| %s | %s | %s | %s | %s | %s |\n", r.what, r.value, r.limit, r.fits, r.kind, r.basis)
	}
	b.WriteString("\n")
}

// writeSlopes writes the measured slopes as Markdown.
func writeSlopes(b *strings.Builder, d *Report) {
	fmt.Fprintf(b, "### Slopes\n\nMeasured on %s with %d cores; load averages before %s, after %s.\n\n", d.Date, d.Cores, d.LoadBefore, d.LoadAfter)
	b.WriteString("| slope | value | unit | sizes | readings | method |\n|---|---|---|---|---|---|\n")
	for _, s := range d.Slopes {
		fmt.Fprintf(b, "| `%s` | %s | %s | %s | %s | %s |\n", s.Name, formatNumber(s.Value), s.Unit, list(s.Sizes), list(s.Readings), s.Method)
	}
	b.WriteString("\n")
	for _, missing := range d.NotMeasured {
		fmt.Fprintf(b, "Not measured: %s\n\n", missing)
	}
}

func list(values []float64) string {
	texts := make([]string, len(values))
	for i, v := range values {
		texts[i] = formatNumber(v)
	}
	return strings.Join(texts, ", ")
}
