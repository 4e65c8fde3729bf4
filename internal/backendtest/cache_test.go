package backendtest

import (
	"net/url"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// prefix returns a chain of one message with the given number of tokens.
func prefix(name string, tokens int) []chainSegment {
	return []chainSegment{{Digest: name, Tokens: tokens}}
}

func TestCacheEvictsLeastRecentlyUsedPrefix(t *testing.T) {
	c := newPrefixCache(100, eventLog{})
	now := time.Unix(0, 0)
	assert.Assert(t, c.store("a", prefix("a", 40), now))
	assert.Assert(t, c.store("b", prefix("b", 40), now))
	assert.Assert(t, c.store("a", prefix("a", 40), now))
	assert.Assert(t, c.store("c", prefix("c", 40), now.Add(2*time.Second)))
	cached, recomputed := c.lookup("b", prefix("b", 40))
	assert.Equal(t, cached, 0)
	assert.Equal(t, recomputed, 40)
	cached, recomputed = c.lookup("a", prefix("a", 40))
	assert.Equal(t, cached, 40)
	assert.Equal(t, recomputed, 0)
	assert.Equal(t, c.used, 80)
	assert.Equal(t, c.evictedTokens, int64(40))
	assert.Equal(t, c.idleTokenSeconds, 80.0)
}

func TestCacheDoesNotEvictPinnedPrefixes(t *testing.T) {
	c := newPrefixCache(100, eventLog{})
	now := time.Unix(0, 0)
	assert.Assert(t, c.store("a", prefix("a", 60), now))
	c.adjustPins("a", 1)
	assert.Assert(t, !c.store("b", prefix("b", 60), now))
	assert.Equal(t, c.used, 60)
	c.adjustPins("a", -1)
	assert.Assert(t, c.store("b", prefix("b", 60), now))
	assert.Equal(t, c.used, 60)
}

func TestConversationReusesItsCachedPrefix(t *testing.T) {
	e := StartEngine(t, Options{Speed: testSpeed})
	c := newTestClient(t, e.URL())
	body := chatBody("cust/p", "first message")
	first := c.complete("r1", body)
	body.Messages = append(body.Messages, Message{Role: "assistant", Content: first.text}, Message{Role: "user", Content: "next"})
	second := c.complete("r2", body)
	assert.Equal(t, second.usage.Details.CachedTokens, first.usage.PromptTokens+first.usage.CompletionTokens)
	changed := body
	changed.Messages = append([]Message{{Role: "system", Content: "x"}}, body.Messages...)
	assert.Equal(t, c.complete("r3", changed).usage.Details.CachedTokens, 0)
	other := body
	other.User = "cust/q"
	assert.Equal(t, c.complete("r4", other).usage.Details.CachedTokens, 0)
}

func TestReleaseExportAndImport(t *testing.T) {
	from := StartEngine(t, Options{Speed: testSpeed})
	to := StartEngine(t, Options{Speed: testSpeed})
	a, b := newTestClient(t, from.URL()), newTestClient(t, to.URL())
	path := "/v1/cache/" + url.PathEscape("cust/p")
	body := chatBody("cust/p", "first message")
	a.complete("r1", body)
	resp, err := a.do("GET", path, nil, nil)
	assert.NilError(t, err)
	exported, err := resp.BodyE()
	assert.NilError(t, err)
	b.doExpecting("PUT", path, exported, 204, nil)
	b.doExpecting("PUT", "/v1/cache/other", exported, 400, nil)
	a.doExpecting("DELETE", path, nil, 204, nil)
	a.doExpecting("DELETE", path, nil, 404, nil)
	assert.Equal(t, from.Stats().CacheUsed, 0)
	assert.Equal(t, a.complete("r2", body).usage.Details.CachedTokens, 0)
	assert.Equal(t, from.Stats().RecomputedTokens, int64(CountTokens("first message")))
	assert.Equal(t, b.complete("r3", body).usage.Details.CachedTokens, CountTokens("first message"))
}

func TestCacheEventsAreDelayedAndHaveGaps(t *testing.T) {
	l := eventLog{delay: time.Second, gapEvery: 2}
	now := time.Unix(0, 0)
	for i := range 4 {
		l.add(EventStored, "p", i, now.Add(time.Duration(i)*time.Second))
	}
	events, next := l.after(0, now.Add(time.Second))
	assert.Equal(t, len(events), 1)
	assert.Equal(t, next, uint64(1))
	events, next = l.after(next, now.Add(time.Minute))
	assert.Equal(t, len(events), 1)
	assert.Equal(t, events[0].Sequence, uint64(3))
	assert.Equal(t, next, uint64(3))
	assert.Equal(t, l.last, uint64(4))
}

func TestCacheReportMatchesEventSequence(t *testing.T) {
	e := StartEngine(t, Options{Speed: testSpeed})
	c := newTestClient(t, e.URL())
	c.complete("r1", chatBody("cust/p", "hello"))
	var report cacheReport
	c.doExpecting("GET", "/v1/cache", nil, 200, &report)
	assert.DeepEqual(t, report.Programs, []cachedProgram{{Program: "cust/p", Tokens: e.CachedPrograms()["cust/p"]}})
	var events cacheEventsReport
	c.doExpecting("GET", "/v1/cache/events?after=0", nil, 200, &events)
	assert.Equal(t, events.Next, report.Sequence)
	assert.Equal(t, len(events.Events), 2)
}
