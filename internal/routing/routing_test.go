package routing

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func document(routes ...*Route) *Document {
	return &Document{
		Version:  1,
		Routes:   routes,
		Services: map[string]*Service{"chat": {Name: "chat"}, "tools": {Name: "tools"}},
	}
}

func route(host, prefix string, backends ...Backend) *Route {
	if len(backends) == 0 {
		backends = []Backend{{Service: "chat", Weight: 1}}
	}
	return &Route{Name: prefix, Host: host, Prefix: prefix, Timeout: time.Second, Backends: backends}
}

func TestValidateRejectsInvalidDocuments(t *testing.T) {
	noTimeout := route("a.example", "/x/")
	noTimeout.Timeout = 0
	cases := map[string]*Document{
		"unknown service":      document(route("a.example", "/x/", Backend{Service: "nobody", Weight: 1})),
		"same host and prefix": document(route("a.example", "/x/"), route("A.example", "/x/")),
		"weights are 0":        document(route("a.example", "/x/", Backend{Service: "chat"}, Backend{Service: "tools"})),
		"negative weight":      document(route("a.example", "/x/", Backend{Service: "chat", Weight: -1}, Backend{Service: "tools", Weight: 2})),
		"timeout is 0":         document(noTimeout),
		"no backend named":     document(&Route{Host: "a.example", Prefix: "/x/", Timeout: time.Second}),
	}
	for name, doc := range cases {
		t.Run(name, func(t *testing.T) {
			assert.ErrorIs(t, doc.Validate(), ErrInvalid)
		})
	}
}

func TestMatchPrefersLongestPrefixOfHost(t *testing.T) {
	doc := document(route("a.example", "/x/"), route("a.example", "/x/y/"), route("b.example", "/"))
	assert.NilError(t, doc.Validate())
	cases := []struct{ host, path, prefix string }{
		{"a.example", "/x/1", "/x/"},
		{"a.example:8080", "/x/y/1", "/x/y/"},
		{"A.EXAMPLE", "/x/y", "/x/"},
		{"a.example", "/x", ""},
		{"a.example", "/z/", ""},
		{"b.example", "/anything", "/"},
		{"c.example", "/x/", ""},
	}
	for _, c := range cases {
		got := ""
		if r := doc.Match(c.host, c.path); r != nil {
			got = r.Prefix
		}
		assert.Equal(t, got, c.prefix, "%s%s", c.host, c.path)
	}
}

func TestChooseServiceFollowsWeightsAndIsStablePerKey(t *testing.T) {
	r := route("a.example", "/", Backend{Service: "chat", Weight: 900}, Backend{Service: "tools", Weight: 100})
	counts := make(map[string]int)
	for i := range 10_000 {
		key := fmt.Sprint("key ", i)
		counts[r.ChooseService(key)]++
		assert.Equal(t, r.ChooseService(key), r.ChooseService(key))
	}
	assert.Assert(t, counts["tools"] > 800 && counts["tools"] < 1200, "%v", counts)
	assert.Equal(t, counts["tools"]+counts["chat"], 10_000)
}

func TestRepeatable(t *testing.T) {
	cases := []struct {
		kind      Kind
		resumable bool
		want      bool
	}{
		{KindSafe, false, true}, {KindUnsafe, false, false}, {KindUnsafe, true, false}, {KindStream, false, false}, {KindStream, true, true},
	}
	for _, c := range cases {
		assert.Equal(t, (&Route{Kind: c.kind, Resumable: c.resumable}).Repeatable(), c.want, "%s", c.kind)
	}
}

func TestEventTimeout(t *testing.T) {
	assert.Equal(t, (&Route{LatencyTarget: 250 * time.Millisecond}).EventTimeout(), 2*time.Second)
	assert.Equal(t, (&Route{LatencyTarget: time.Second}).EventTimeout(), 4*time.Second)
	assert.Equal(t, (&Route{LatencyTarget: 250 * time.Millisecond, MaxEventGap: 400 * time.Millisecond}).EventTimeout(), 3200*time.Millisecond)
}
