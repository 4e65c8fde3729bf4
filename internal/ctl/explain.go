package ctl

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
)

const (
	// contextMargin extends the time between the first and the last line of a request,
	// in which events of its hosts and servers are shown with them.
	contextMargin   = 2 * time.Second
	maxLogLineBytes = 1 << 20
)

// contextMessages are the messages of log lines that name no request but help to
// explain one.
var contextMessages = []string{
	"leader changed", "state host is out of reach", "state host is watched", "backend server is silent", "backend server changed", "backend server said",
	"membership step", "started", "stopping", "routes in force", "disk is full: the state host waits",
	"storage failed: the state host is opened again", "data directory is in use: the state host waits", "cannot listen yet", "process ends",
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "print the log lines of one request, and related events, from the log files of all hosts",
		ArgsUsage: "REQUEST FILE...",
		Description: "Reads JSON log lines, with or without a prefix, from the files or from standard input. Prints, in order of time, the\n" +
			"lines that name the request and the events of its hosts and servers shortly before and after.",
		Action: func(_ context.Context, cmd *cli.Command) error {
			return explain(cmd.Args().Slice(), os.Stdin, cmd.Root().Writer)
		},
	}
}

// logLine is a decoded log line. fields holds all of its fields, also those that have a
// struct field of their own.
type logLine struct {
	time    time.Time
	node    string
	message string
	fields  map[string]any
}

// explain prints the lines that are related to the request args[0]. It reads them from
// the files named by the other arguments, or from stdin if there are none.
func explain(args []string, stdin io.Reader, out io.Writer) error {
	if len(args) == 0 {
		return &UsageError{Problem: "the request ID is missing", Fix: "pass a request ID and the log files"}
	}
	lines, err := readLogs(args[1:], stdin)
	if err != nil {
		return err
	}
	related := relatedLines(args[0], lines)
	if len(related) == 0 {
		return fmt.Errorf("none of %d log lines names the request %s", len(lines), args[0])
	}
	for _, l := range related {
		fmt.Fprintf(out, "%s  %-22s %s%s\n", l.time.Format("15:04:05.000"), l.node, l.message, l.formatFields())
	}
	return nil
}

// readLogs reads the lines of the files, or of stdin if there are no files.
func readLogs(files []string, stdin io.Reader) ([]logLine, error) {
	if len(files) == 0 {
		return readLog(stdin)
	}
	var lines []logLine
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, fmt.Errorf("read log: %w", err)
		}
		fileLines, err := readLog(file)
		file.Close()
		if err != nil {
			return nil, fmt.Errorf("read log %s: %w", name, err)
		}
		lines = append(lines, fileLines...)
	}
	return lines, nil
}

// readLog reads the lines that contain a JSON object with a timestamp. It skips all
// others, since platforms add lines of their own.
func readLog(in io.Reader) ([]logLine, error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLineBytes)
	var lines []logLine
	for scanner.Scan() {
		if l, err := parseLine(scanner.Text()); err == nil {
			lines = append(lines, l)
		}
	}
	return lines, scanner.Err()
}

var errNotLogLine = errors.New("not a log line")

// parseLine decodes the JSON object that starts at the first brace of a line.
func parseLine(text string) (logLine, error) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return logLine{}, errNotLogLine
	}
	fields := make(map[string]any)
	if err := json.Unmarshal([]byte(text[start:]), &fields); err != nil {
		return logLine{}, fmt.Errorf("%w: %w", errNotLogLine, err)
	}
	timestamp, _ := fields["@timestamp"].(string)
	at, err := time.Parse(time.RFC3339Nano, timestamp)
	if err != nil {
		return logLine{}, fmt.Errorf("%w: %w", errNotLogLine, err)
	}
	l := logLine{time: at, fields: fields}
	l.node, _ = fields["node"].(string)
	l.message, _ = fields["@message"].(string)
	return l, nil
}

// relatedLines returns, in order of time, the lines that name a request and the events
// that may explain it: changes of leaders, and events of the hosts and servers that those
// lines name, all from contextMargin before to contextMargin after the request.
func relatedLines(request string, lines []logLine) []logLine {
	var requestLines []logLine
	involved := make(map[any]bool)
	for _, l := range lines {
		if l.fields["request"] == request || l.fields["previous"] == request {
			requestLines = append(requestLines, l)
			involved[l.node] = true
			involved[l.fields["server"]] = true
		}
	}
	if len(requestLines) == 0 {
		return nil
	}
	first, last := timeWindow(requestLines)
	related := requestLines
	for _, l := range lines {
		if l.fields["request"] == request || l.fields["previous"] == request || !slices.Contains(contextMessages, l.message) {
			continue
		}
		if l.time.Before(first) || l.time.After(last) {
			continue
		}
		if l.message == "leader changed" || involved[l.node] && l.fields["server"] == nil || l.fields["server"] != nil && involved[l.fields["server"]] && involved[l.node] {
			related = append(related, l)
		}
	}
	slices.SortStableFunc(related, func(a, b logLine) int { return a.time.Compare(b.time) })
	return related
}

// timeWindow returns the time from contextMargin before the arrival of a request to
// contextMargin after its last line. A line with a total_ms field is written when the
// request ends, so the request arrived that much earlier.
func timeWindow(lines []logLine) (first, last time.Time) {
	first, last = lines[0].time, lines[0].time
	for _, l := range lines {
		start := l.time
		if total, ok := l.fields["total_ms"].(float64); ok {
			start = start.Add(-time.Duration(total) * time.Millisecond)
		}
		if start.Before(first) {
			first = start
		}
		if l.time.After(last) {
			last = l.time
		}
	}
	return first.Add(-contextMargin), last.Add(contextMargin)
}

// formatFields returns the fields as "name=value" in order of name. It leaves out empty
// values, the node and the fields of the logger, whose names start with @.
func (l logLine) formatFields() string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		value := l.fields[name]
		if strings.HasPrefix(name, "@") || name == "node" || value == nil || value == "" {
			continue
		}
		fmt.Fprintf(&b, "  %s=%s", name, cmp.Or(strings.TrimSpace(fmt.Sprint(value)), "-"))
	}
	return b.String()
}
