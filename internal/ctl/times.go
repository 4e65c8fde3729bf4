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

// defaultSpan is the length of the spans that times prints.
const defaultSpan = 2 * time.Second

func timesCommand() *cli.Command {
	const every = "every"
	return &cli.Command{
		Name:      "times",
		Usage:     "print where the time of requests went, by span of time and route, from the log files of entries",
		ArgsUsage: "FILE...",
		Description: "Reads JSON lines, also behind a prefix, from the files or from standard input. Times are means in milliseconds of the\n" +
			"requests that were answered.",
		Flags: []cli.Flag{&cli.DurationFlag{Name: every, Usage: "length of the spans", Value: defaultSpan}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			return printTimes(cmd.Args().Slice(), cmd.Duration(every), os.Stdin, cmd.Root().Writer)
		},
	}
}

// spanKey names a row: what ended in a span of time on a route.
type spanKey struct {
	start time.Time
	route string
}

// spanTimes sums up the requests of a row. Times are in milliseconds.
type spanTimes struct {
	ended, answered, refused, again int
	begin, first, total, keep       float64
}

func printTimes(files []string, every time.Duration, in io.Reader, out io.Writer) error {
	if every <= 0 {
		return &UsageError{Problem: fmt.Sprintf("spans of %s", every), Fix: "give --every a positive time"}
	}
	lines, err := readLogs(files, in)
	if err != nil {
		return err
	}
	rows := timesOf(lines, every)
	if len(rows) == 0 {
		return fmt.Errorf("no line of %d tells the end of a request", len(lines))
	}
	fmt.Fprintln(out, "| from | route | ended | answered | refused | sent again | begin | first | whole | keep |\n|---|---|---|---|---|---|---|---|---|---|")
	keys := slices.SortedFunc(maps.Keys(rows), func(a, b spanKey) int {
		return cmp.Or(a.start.Compare(b.start), cmp.Compare(a.route, b.route))
	})
	for _, key := range keys {
		row := rows[key]
		n := float64(max(1, row.answered))
		fmt.Fprintf(out, "| %s | %s | %d | %d | %d | %d | %.0f | %.0f | %.0f | %.0f |\n", key.start.Format("15:04:05"), key.route,
			row.ended, row.answered, row.refused, row.again, row.begin/n, row.first/n, row.total/n, row.keep/n)
	}
	return nil
}

// timesOf sums up the lines that tell the end of a request.
func timesOf(lines []logLine, every time.Duration) map[spanKey]*spanTimes {
	rows := make(map[spanKey]*spanTimes)
	for _, l := range lines {
		if l.message != "request ended" {
			continue
		}
		route, _ := l.fields["route"].(string)
		key := spanKey{l.time.Truncate(every), route}
		if rows[key] == nil {
			rows[key] = new(spanTimes)
		}
		rows[key].add(l)
	}
	return rows
}

func (s *spanTimes) add(l logLine) {
	s.ended++
	if l.number("sends") > 0 || l.number("refused") > 0 {
		s.again++
	}
	switch {
	case l.fields["outcome"] == "answered":
		s.answered++
		s.begin += l.number("begin_ms")
		s.first += l.number("first_ms")
		s.total += l.number("total_ms")
		s.keep += l.number("keep_ms")
	case l.number("status") > 0:
		s.refused++
	}
}

// number returns a numeric field, 0 if the line has none.
func (l logLine) number(name string) float64 {
	value, _ := l.fields[name].(float64)
	return value
}
