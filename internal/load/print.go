package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

const columnGap = 2

// WriteText writes the report to w as a table, followed by the counts of retries
// and failures by reason.
func (r *Report) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "%g programs/s for %g s\n\n", r.Rate, r.Duration)
	table := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "kind\tdone\tfailed\tskipped\tp50 ms\tp95 ms\tp99 ms\tmax ms\tsystem p50 ms\tp99 ms\twasted tokens\tshare\tp99\t")
	for _, kind := range slices.Sorted(maps.Keys(r.Kinds)) {
		r.Kinds[kind].writeRow(table, string(kind))
	}
	r.All.writeRow(table, "all")
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	writeCounts(w, "retries", r.Retries)
	writeCounts(w, "failures", r.Failures)
	return nil
}

func (k *KindReport) writeRow(w io.Writer, name string) {
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t", name, k.Programs, k.Failed, k.Skipped)
	fmt.Fprintf(w, "%.1f\t%.1f\t%.1f\t%.1f\t", k.Latency.P50, k.Latency.P95, k.Latency.P99, k.Latency.Max)
	fmt.Fprintf(w, "%.1f\t%.1f\t", k.SystemLatency.P50, k.SystemLatency.P99)
	fmt.Fprintf(w, "%d\t%.2f%%\t%.0f\t\n", k.WastedTokens, k.wastedPercent(), k.WastedPerProgram.P99)
}

// wastedPercent returns the percentage of prompt tokens that were wasted.
func (k *KindReport) wastedPercent() float64 {
	if k.PromptTokens == 0 {
		return 0
	}
	return 100 * float64(k.WastedTokens) / float64(k.PromptTokens)
}

func writeCounts(w io.Writer, title string, counts map[string]int64) {
	if len(counts) == 0 {
		fmt.Fprintf(w, "%s: none\n", title)
		return
	}
	fmt.Fprintf(w, "%s:\n", title)
	for _, reason := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(w, "  %-24s %d\n", reason, counts[reason])
	}
}
