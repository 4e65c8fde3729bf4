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
	// contextTime is how long before and after the lines of a request changes of the
	// hosts are shown with them.
	contextTime     = 2 * time.Second
	maxLogLineBytes = 1 << 20
)

// contextMessages are the log lines that explain requests without naming them.
var contextMessages = []string{
	"leader changed", "state host is out of reach", "state host is watched", "backend server is silent", "backend server changed",
	"membership step", "started", "stopping", "routes in force", "disk is full: the state host waits", "process ends",
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "print the story of one request from the log files of all hosts",
		ArgsUsage: "REQUEST FILE...",
		Description: "Reads JSON lines, also behind a prefix, from the files or from standard input. Prints in order of time the lines that\n" +
			"name the request, and what changed on its hosts and servers shortly before and after.",
		Action: func(_ context.Context, cmd *cli.Command) error {
			return explain(cmd.Args().Slice(), os.Stdin, cmd.Root().Writer)
		},
	}
}

// logLine is one line of a log.
type logLine struct {
	time    time.Time
	node    string
	message string
	fields  map[string]any
}

func explain(args []string, in io.Reader, out io.Writer) error {
	if len(args) == 0 {
		return &UsageError{Problem: "no request is named", Fix: "give the ID of a request and the log files"}
	}
	lines, err := readLogs(args[1:], in)
	if err != nil {
		return err
	}
	story := storyOf(args[0], lines)
	if len(story) == 0 {
		return fmt.Errorf("no line of %d names the request %s", len(lines), args[0])
	}
	for _, l := range story {
		fmt.Fprintf(out, "%s  %-22s %s%s\n", l.time.Format("15:04:05.000"), l.node, l.message, l.describe())
	}
	return nil
}

func readLogs(files []string, in io.Reader) ([]logLine, error) {
	if len(files) == 0 {
		return readLog(in)
	}
	var lines []logLine
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, fmt.Errorf("read log: %w", err)
		}
		part, err := readLog(file)
		file.Close()
		if err != nil {
			return nil, fmt.Errorf("read log %s: %w", name, err)
		}
		lines = append(lines, part...)
	}
	return lines, nil
}

// readLog reads the lines that hold a JSON object; others are skipped, since
// platforms mix their own lines in.
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

var errNoLogLine = errors.New("no log line")

func parseLine(text string) (logLine, error) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return logLine{}, errNoLogLine
	}
	fields := make(map[string]any)
	if err := json.Unmarshal([]byte(text[start:]), &fields); err != nil {
		return logLine{}, fmt.Errorf("%w: %w", errNoLogLine, err)
	}
	at, _ := fields["@timestamp"].(string)
	when, err := time.Parse(time.RFC3339Nano, at)
	if err != nil {
		return logLine{}, fmt.Errorf("%w: %w", errNoLogLine, err)
	}
	l := logLine{time: when, fields: fields}
	l.node, _ = fields["node"].(string)
	l.message, _ = fields["@message"].(string)
	return l, nil
}

// storyOf returns the lines that name a request, and those of the hosts and servers
// in them around that time.
func storyOf(request string, lines []logLine) []logLine {
	var own []logLine
	involved := make(map[any]bool)
	for _, l := range lines {
		if l.fields["request"] == request || l.fields["previous"] == request {
			own = append(own, l)
			involved[l.node] = true
			involved[l.fields["server"]] = true
		}
	}
	if len(own) == 0 {
		return nil
	}
	first, last := span(own)
	story := own
	for _, l := range lines {
		if l.fields["request"] == request || l.fields["previous"] == request || !slices.Contains(contextMessages, l.message) {
			continue
		}
		if l.time.Before(first) || l.time.After(last) {
			continue
		}
		if l.message == "leader changed" || involved[l.node] && l.fields["server"] == nil || l.fields["server"] != nil && involved[l.fields["server"]] && involved[l.node] {
			story = append(story, l)
		}
	}
	slices.SortStableFunc(story, func(a, b logLine) int { return a.time.Compare(b.time) })
	return story
}

// span returns the time around the lines of a request, from when it arrived.
func span(own []logLine) (first, last time.Time) {
	first, last = own[0].time, own[0].time
	for _, l := range own {
		began := l.time
		if total, ok := l.fields["total_ms"].(float64); ok {
			began = began.Add(-time.Duration(total) * time.Millisecond)
		}
		if began.Before(first) {
			first = began
		}
		if l.time.After(last) {
			last = l.time
		}
	}
	return first.Add(-contextTime), last.Add(contextTime)
}

// describe returns the fields that say something.
func (l logLine) describe() string {
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
