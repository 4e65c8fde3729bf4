package ctl

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

const columnPadding = 2

// table prints rows in aligned columns.
type table struct {
	w *tabwriter.Writer
}

// newTable returns a table with a header row. It prints nothing before flush.
func newTable(out io.Writer, columns ...string) *table {
	t := &table{w: tabwriter.NewWriter(out, 0, 0, columnPadding, ' ', 0)}
	t.row(toAny(columns)...)
	return t
}

func toAny(columns []string) []any {
	values := make([]any, len(columns))
	for i, c := range columns {
		values[i] = c
	}
	return values
}

func (t *table) row(values ...any) {
	cells := make([]string, len(values))
	for i, v := range values {
		cells[i] = fmt.Sprint(v)
	}
	fmt.Fprintln(t.w, strings.Join(cells, "\t"))
}

func (t *table) flush() error {
	return t.w.Flush()
}

// printProto prints a message as indented JSON with the field names of its proto file.
func printProto(out io.Writer, m proto.Message) error {
	data, err := protojson.MarshalOptions{Multiline: true, UseProtoNames: true}.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode output: %w", err)
	}
	_, err = fmt.Fprintln(out, string(data))
	return err
}
