package gateway

import (
	"errors"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/policy/resume"
)

func TestEventReader(t *testing.T) {
	long := strings.Repeat("x", 10_000)
	cases := []struct {
		name, in string
		ids      []string
		data     []string
		err      error
	}{
		{"two events", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []string{"1", "2"}, []string{"a", "b"}, io.EOF},
		{"carriage returns", "id: 1\r\ndata: a\r\n\r\n", []string{"1"}, []string{"a"}, io.EOF},
		{"several data lines", "data: a\ndata:b\ndata\n\n", []string{""}, []string{"a\nb\n"}, io.EOF},
		{"comment", ": hello\n\n", []string{""}, []string{""}, io.EOF},
		{"long line", "data: " + long + "\n\n", []string{""}, []string{long}, io.EOF},
		{"cut inside a line", "id: 1\ndata: a\n\nid: 2\nda", []string{"1"}, []string{"a"}, io.ErrUnexpectedEOF},
		{"cut between lines", "id: 1\ndata: a\n", nil, nil, io.ErrUnexpectedEOF},
		{"empty", "", nil, nil, io.EOF},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newEventReader(strings.NewReader(c.in))
			var ids, data []string
			for {
				ev, err := r.next()
				if err != nil {
					assert.ErrorIs(t, err, c.err)
					break
				}
				ids = append(ids, ev.id)
				data = append(data, string(ev.data))
			}
			assert.DeepEqual(t, ids, c.ids)
			assert.DeepEqual(t, data, c.data)
		})
	}
}

func TestIsLaterEventID(t *testing.T) {
	cases := []struct {
		id, last string
		want     bool
	}{
		{"4", "3", true},
		{"10", "9", true},
		{"3", "3", false},
		{"9", "10", false},
		{"03", "3", false},
		{"18446744073709551615", "18446744073709551614", true},
		{"18446744073709551616", "18446744073709551615", true}, // not a 64-bit number
		{"-1", "1", true},
		{"a", "b", true},
		{"a", "a", false},
		{"1", "a", true},
	}
	for _, c := range cases {
		assert.Equal(t, resume.IsLater(c.id, c.last), c.want, "%q after %q", c.id, c.last)
	}
}

func FuzzEventReader(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n")
	f.Add(":\n\n\ndata")
	f.Add("0\n")
	f.Fuzz(func(t *testing.T, in string) {
		r := newEventReader(strings.NewReader(in))
		var raw strings.Builder
		for {
			ev, err := r.next()
			if err != nil {
				if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, errNotAnEvent) {
					t.Fatal(err)
				}
				break
			}
			raw.Write(ev.raw)
		}
		assert.Assert(t, strings.HasPrefix(in, raw.String()))
	})
}
