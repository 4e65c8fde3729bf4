package contract

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// fields reads the named values of one object. The first error is kept and
// the later reads return zero values.
type fields struct {
	path   string // with a trailing dot, empty for the document
	values map[string]any
	err    *error
}

// newFields checks that a value is an object with allowed names only.
func newFields(path string, value any, err *error, allowed ...string) fields {
	f := fields{path: path, err: err}
	values, ok := value.(map[string]any)
	if !ok {
		f.fail(strings.TrimSuffix(path, "."), "an object with %s", strings.Join(allowed, ", "))
		return f
	}
	for _, name := range slices.Sorted(maps.Keys(values)) {
		if !slices.Contains(allowed, name) {
			f.fail(path+name, "left out; known fields here are %s", strings.Join(allowed, ", "))
		}
	}
	f.values = values
	return f
}

// fail keeps the first error.
func (f *fields) fail(field, format string, args ...any) {
	if field == "" {
		field = "document"
	}
	if *f.err == nil {
		*f.err = wrong(field, format, args...)
	}
}

// has reports whether the field is given; null counts as not given.
func (f *fields) has(name string) bool {
	return f.values[name] != nil
}

// require fails when one of the fields is missing.
func (f *fields) require(names ...string) {
	for _, name := range names {
		if !f.has(name) {
			f.fail(f.path+name, "given")
		}
	}
}

func (f *fields) text(name string) string {
	if !f.has(name) {
		return ""
	}
	text, ok := f.values[name].(string)
	if !ok {
		f.fail(f.path+name, "text")
	}
	return text
}

func (f *fields) boolean(name string) bool {
	if !f.has(name) {
		return false
	}
	value, ok := f.values[name].(bool)
	if !ok {
		f.fail(f.path+name, "true or false")
	}
	return value
}

// integer reads a whole number of at most limit.
func (f *fields) integer(name string, limit uint64) uint64 {
	if !f.has(name) {
		return 0
	}
	value, ok := wholeNumber(f.values[name])
	if !ok || value > limit {
		f.fail(f.path+name, "a whole number of 0 to %d", limit)
		return 0
	}
	return value
}

func wholeNumber(value any) (uint64, bool) {
	switch v := value.(type) {
	case uint64:
		return v, true
	case int64:
		return uint64(v), v >= 0 // negative ones are refused
	case json.Number:
		n, err := strconv.ParseUint(v.String(), 10, 64)
		return n, err == nil
	default:
		return 0, false
	}
}

// list reads a list; the items are checked by the caller.
func (f *fields) list(name string) []any {
	if !f.has(name) {
		return nil
	}
	items, ok := f.values[name].([]any)
	if !ok {
		f.fail(f.path+name, "a list")
	}
	return items
}

func (f *fields) texts(name string) []string {
	var texts []string
	for i, item := range f.list(name) {
		text, ok := item.(string)
		if !ok {
			f.fail(fmt.Sprintf("%s%s[%d]", f.path, name, i), "text")
		}
		texts = append(texts, text)
	}
	return texts
}
