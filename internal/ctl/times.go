package ctl

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/urfave/cli/v3"
)

// defaultInterval is the default length of the intervals by which the times command groups
// requests.
const defaultInterval = 2 * time.Second

func timesCommand() *cli.Command {
	const flagEvery = "every"
	return &cli.Command{
		Name:      "times",
		Usage:     "print mean request times by interval and route, from the log files of entries",
		ArgsUsage: "FILE...",
		Description: "Reads JSON log lines, with or without a prefix, from the files or from standard input. Times are means in milliseconds\n" +
			"over the requests that were answered.",
		Flags: []cli.Flag{&cli.DurationFlag{Name: flagEvery, Usage: "length of the intervals", Value: defaultInterval}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			return printTimes(cmd.Args().Slice(), cmd.Duration(flagEvery), os.Stdin, cmd.Root().Writer)
		},
	}
}

// rowKey identifies a row: the requests of one route that ended in one interval.
type rowKey struct {
	start time.Time
	route string
}

// rowTotals holds the request counts of a row and, in milliseconds, the sums of the times
// of its answered requests: reserving the turn (begin), until the first output (first), the
// whole request (total) and storing the turn (keep).
type rowTotals struct {
	ended, answered, refused, resent int
	begin, first, total, keep        float64
}

// printTimes prints a Markdown table of the requests that ended in each interval.
func printTimes(files []string, interval time.Duration, stdin io.Reader, out io.Writer) error {
	if interval <= 0 {
		return &UsageError{Problem: fmt.Sprintf("--every %s is not positive", interval), Fix: "use a positive duration"}
	}
	lines, err := readLogs(files, stdin)
	if err != nil {
		return err
	}
	rows := sumRows(lines, interval)
	if len(rows) == 0 {
		return fmt.Errorf("none of %d log lines reports the end of a request", len(lines))
	}
	fmt.Fprintln(out, "| from | route | ended | answered | refused | sent again | begin | first | whole | keep |\n|---|---|---|---|---|---|---|---|---|---|")
	keys := slices.SortedFunc(maps.Keys(rows), func(a, b rowKey) int {
		return cmp.Or(a.start.Compare(b.start), cmp.Compare(a.route, b.route))
	})
	for _, key := range keys {
		row := rows[key]
		n := float64(max(1, row.answered))
		fmt.Fprintf(out, "| %s | %s | %d | %d | %d | %d | %.0f | %.0f | %.0f | %.0f |\n", key.start.Format("15:04:05"), key.route,
			row.ended, row.answered, row.refused, row.resent, row.begin/n, row.first/n, row.total/n, row.keep/n)
	}
	return nil
}

// sumRows sums up the lines that report the end of a request by interval and route.
func sumRows(lines []logLine, interval time.Duration) map[rowKey]*rowTotals {
	rows := make(map[rowKey]*rowTotals)
	for _, l := range lines {
		if l.message != "request ended" {
			continue
		}
		route, _ := l.fields["route"].(string)
		key := rowKey{l.time.Truncate(interval), route}
		if rows[key] == nil {
			rows[key] = new(rowTotals)
		}
		rows[key].add(l)
	}
	return rows
}

// add counts the request that the line l reports.
func (r *rowTotals) add(l logLine) {
	r.ended++
	if l.number("sends") > 0 || l.number("refused") > 0 {
		r.resent++
	}
	switch {
	case l.fields["outcome"] == "answered":
		r.answered++
		r.begin += l.number("begin_ms")
		r.first += l.number("first_ms")
		r.total += l.number("total_ms")
		r.keep += l.number("keep_ms")
	case l.number("status") > 0:
		r.refused++
	}
}

// number returns the value of a numeric field, or 0 if the line has no such field.
func (l logLine) number(name string) float64 {
	value, _ := l.fields[name].(float64)
	return value
}
