package contract

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// fields reads the fields of one object of a document. A field that is missing or
// invalid reads as a zero value, and the first error is stored in err.
type fields struct {
	path   string // of the object, with a trailing dot; empty for the document
	values map[string]any
	err    *error // shared by all objects of a document
}

// newFields returns a reader of an object. It fails when the value is not an object or
// has a field that is not allowed.
func newFields(path string, value any, err *error, allowed ...string) fields {
	f := fields{path: path, err: err}
	values, ok := value.(map[string]any)
	if !ok {
		f.fail(strings.TrimSuffix(path, "."), "an object with %s", strings.Join(allowed, ", "))
		return f
	}
	for _, name := range slices.Sorted(maps.Keys(values)) {
		if !slices.Contains(allowed, name) {
			f.fail(path+name, "omitted, it is unknown; the known fields are %s", strings.Join(allowed, ", "))
		}
	}
	f.values = values
	return f
}

// fail stores an error of a field, unless an earlier one is stored.
func (f *fields) fail(field, format string, args ...any) {
	if field == "" {
		field = "document"
	}
	if *f.err == nil {
		*f.err = newFieldError(field, format, args...)
	}
}

// has reports whether the field is present. A null value counts as absent.
func (f *fields) has(name string) bool {
	return f.values[name] != nil
}

// require fails when one of the named fields is absent.
func (f *fields) require(names ...string) {
	for _, name := range names {
		if !f.has(name) {
			f.fail(f.path+name, "present")
		}
	}
}

// text reads a string.
func (f *fields) text(name string) string {
	if !f.has(name) {
		return ""
	}
	text, ok := f.values[name].(string)
	if !ok {
		f.fail(f.path+name, "a string")
	}
	return text
}

// boolean reads true or false.
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

// integer reads an integer from 0 to limit.
func (f *fields) integer(name string, limit uint64) uint64 {
	if !f.has(name) {
		return 0
	}
	value, ok := toUint64(f.values[name])
	if !ok || value > limit {
		f.fail(f.path+name, "an integer from 0 to %d", limit)
		return 0
	}
	return value
}

// toUint64 converts a parsed number and reports whether it is a nonnegative integer.
func toUint64(value any) (uint64, bool) {
	switch v := value.(type) {
	case uint64:
		return v, true
	case int64:
		return uint64(v), v >= 0 // negative values are rejected
	case json.Number:
		n, err := strconv.ParseUint(v.String(), 10, 64)
		return n, err == nil
	default:
		return 0, false
	}
}

// list reads a list. The caller checks the items.
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

// texts reads a list of strings.
func (f *fields) texts(name string) []string {
	var texts []string
	for i, item := range f.list(name) {
		text, ok := item.(string)
		if !ok {
			f.fail(fmt.Sprintf("%s%s[%d]", f.path, name, i), "a string")
		}
		texts = append(texts, text)
	}
	return texts
}
