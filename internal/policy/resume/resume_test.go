package resume

import (
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestIsLater(t *testing.T) {
	cases := []struct {
		id, last string
		want     bool
	}{
		{"2", "1", true},
		{"10", "9", true},
		{"1", "1", false},
		{"1", "2", false},
		{"b", "a", true},
		{"a", "a", false},
		{"1", "", true},
	}
	for _, c := range cases {
		assert.Equal(t, IsLater(c.id, c.last), c.want, "%q after %q", c.id, c.last)
	}
}

func TestHeldAndStart(t *testing.T) {
	cases := map[string]struct {
		ids     []string
		last    string
		held    int
		after   string
		missing bool
	}{
		"all held":                       {[]string{"1", "2", "3"}, "3", 3, "3", false},
		"recorded but not received":      {[]string{"1", "2", "3"}, "2", 2, "2", false},
		"received before it was noted":   {[]string{"1", "2"}, "4", 2, "2", true},
		"nothing recorded":               {nil, "4", 0, "", true},
		"gaps between numbers":           {[]string{"10", "20", "30"}, "25", 2, "20", true},
		"event without an ID, held":      {[]string{"1", "", "3"}, "3", 3, "3", false},
		"event without an ID, after":     {[]string{"1", "", "3"}, "1", 1, "1", false},
		"names, recorded":                {[]string{"a", "b", "c"}, "b", 2, "b", false},
		"names, record ends before":      {[]string{"a", "b"}, "d", 2, "b", true},
		"only events without IDs":        {[]string{"", ""}, "2", 2, "", true},
		"number before the first record": {[]string{"5", "6"}, "4", 0, "", true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			held := Held(c.ids, c.last)
			assert.Equal(t, held, c.held)
			after, missing := Start(c.ids[:held], c.last)
			assert.Equal(t, after, c.after)
			assert.Equal(t, missing, c.missing)
		})
	}
}

// TestResumedTurnsAreWholeWhileEntriesFail replays entries that are killed one after the other
// while they send a long answer: each has noted some of its events, and the client has received
// some. What the last entry keeps is the whole stream, and the client gets each event once.
func TestResumedTurnsAreWholeWhileEntriesFail(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const last = 12
		var recorded []string // by the ledger
		received := 0         // events that the client holds
		for received < last {
			ids, after, repeatUntil := []string(nil), 0, ""
			if received > 0 {
				name := strconv.Itoa(received)
				ids = append(ids, recorded[:Held(recorded, name)]...)
				start, missing := Start(ids, name)
				after, _ = strconv.Atoi(start)
				if missing {
					repeatUntil = name
				}
			}
			until := rapid.IntRange(received+1, last).Draw(t, "until")
			for n := after + 1; n <= until; n++ {
				id := strconv.Itoa(n)
				ids = append(ids, id)
				if repeatUntil != "" && Repeats(id, repeatUntil) {
					if id == repeatUntil {
						repeatUntil = ""
					}
					continue
				}
				assert.Equal(t, n, received+1, "the client misses events or gets them twice")
				received = n
			}
			for i, id := range ids {
				assert.Equal(t, id, strconv.Itoa(i+1), "the kept turn is not whole: %v", ids)
			}
			recorded = ids[:rapid.IntRange(0, len(ids)).Draw(t, "recorded")]
		}
	})
}
