package streampin

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestDecide(t *testing.T) {
	both := []string{"v1", "v1.1"}
	cases := map[string]struct {
		stream  Stream
		serving []string
		want    Constraint
		err     error
	}{
		"new stream":                       {Stream{}, both, Constraint{}, nil},
		"new stream without servers":       {Stream{}, nil, Constraint{}, nil},
		"assigned, no output yet":          {Stream{Assigned: true, Version: "v1"}, both, Constraint{Preferred, "v1"}, nil},
		"assigned, no output, gone":        {Stream{Assigned: true, Version: "v0"}, both, Constraint{Preferred, "v0"}, nil},
		"output":                           {Stream{HasOutput: true, Assigned: true, Version: "v1"}, both, Constraint{Required, "v1"}, nil},
		"output, version gone":             {Stream{HasOutput: true, Assigned: true, Version: "v0"}, both, Constraint{}, ErrVersionNotServed},
		"output, version without name":     {Stream{HasOutput: true, Assigned: true}, []string{""}, Constraint{Strength: Required}, nil},
		"output, not recorded":             {Stream{HasOutput: true}, []string{"v1"}, Constraint{}, ErrUnknownVersion},
		"output, several versions":         {Stream{HasOutput: true}, both, Constraint{}, ErrUnknownVersion},
		"output, service withdrawn":        {Stream{HasOutput: true, Assigned: true, Version: "v1", Withdrawn: true}, both, Constraint{}, ErrVersionNotServed},
		"output, no servers":               {Stream{HasOutput: true}, nil, Constraint{}, ErrUnknownVersion},
		"output, version without a server": {Stream{HasOutput: true, Assigned: true, Version: "v1"}, nil, Constraint{}, ErrVersionNotServed},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got, err := Decide(c.stream, View{Serving: c.serving, Current: true})
			assert.Equal(t, got, c.want)
			assert.Equal(t, err, c.err)
		})
	}
}

// TestLocateFindsTheServiceThatBeganTheStream replays a change of weights under which most streams
// began at the service that gets few requests now.
func TestLocateFindsTheServiceThatBeganTheStream(t *testing.T) {
	cases := map[string]struct {
		record           string
		services         []string
		service, version string
		found            bool
	}{
		"one service":               {"s/v1", []string{"s"}, "s", "v1", true},
		"second of two":             {"t/v1", []string{"s", "t"}, "t", "v1", true},
		"name that begins another":  {"st/v1", []string{"s", "st"}, "st", "v1", true},
		"version without name":      {"t/", []string{"s", "t"}, "t", "", true},
		"version with a slash":      {"t/v1/a", []string{"s", "t"}, "t", "v1/a", true},
		"service has left":          {"u/v1", []string{"s", "t"}, "", "", false},
		"two services fit":          {"s/t/v1", []string{"s", "s/t"}, "", "", false},
		"record without a service":  {"v1", []string{"s"}, "", "", false},
		"route without any service": {"s/v1", nil, "", "", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			service, version, found := Locate(c.record, c.services)
			assert.Equal(t, service, c.service)
			assert.Equal(t, version, c.version)
			assert.Equal(t, found, c.found)
		})
	}
}

// TestDecideWithOutdatedView replays an entry that stood still during a release: a server that it
// takes for the old version has started anew at the new one.
func TestDecideWithOutdatedView(t *testing.T) {
	outdated := View{Serving: []string{"v1"}}
	cases := map[string]struct {
		stream Stream
		want   Constraint
		err    error
	}{
		"resumed":             {Stream{HasOutput: true, Assigned: true, Version: "v1"}, Constraint{}, ErrOutdatedView},
		"resumed, other":      {Stream{HasOutput: true, Assigned: true, Version: "v2"}, Constraint{}, ErrOutdatedView},
		"new, to be recorded": {Stream{NeedsRecord: true}, Constraint{}, ErrOutdatedView},
		"new, recorded":       {Stream{NeedsRecord: true, Assigned: true, Version: "v1"}, Constraint{}, ErrOutdatedView},
		"new, not recorded":   {Stream{}, Constraint{}, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got, err := Decide(c.stream, outdated)
			assert.Equal(t, got, c.want)
			assert.Equal(t, err, c.err)
		})
	}
}

// TestStreamNeverMixesVersionsDuringRelease replays releases in which servers of versions
// come and go, unseen at times, while a stream breaks and is resumed.
func TestStreamNeverMixesVersionsDuringRelease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		versions := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"v1", "v1.1", "v1.2", ""}), 1, 3, rapid.ID[string])
		s := Stream{}
		output := map[string]bool{}
		for range rapid.IntRange(1, 12).Draw(t, "attempts") {
			view := View{Serving: versions.Draw(t, "serving"), Current: rapid.Bool().Draw(t, "current")}
			constraint, err := Decide(s, view)
			if err != nil {
				assert.Assert(t, s.HasOutput)
				continue
			}
			known := rapid.SampledFrom(view.Serving).Draw(t, "server")
			if !constraint.Allows(known) {
				continue
			}
			server := known
			if view.Current {
				s.Assigned, s.Version = true, known
			} else {
				server = rapid.SampledFrom([]string{"v1", "v1.1", "v1.2"}).Draw(t, "started anew")
				s.Assigned = false
			}
			if rapid.Bool().Draw(t, "output") {
				s.HasOutput = true
				output[server] = true
			}
			assert.Assert(t, len(output) <= 1, "output of %v", output)
		}
	})
}
