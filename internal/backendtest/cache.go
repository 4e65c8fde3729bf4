package backendtest

import (
	"container/list"
	"encoding/hex"
	"slices"
	"time"
)

// maxFormerEntries bounds the memory of what programs once had in the cache.
const maxFormerEntries = 8192

// cacheLink is one message of a cached prefix.
type cacheLink struct {
	Digest string `json:"digest"` // chain digest up to and including this message
	Tokens int    `json:"tokens"`
}

// cacheEntry is the cached prefix of one program.
type cacheEntry struct {
	program string
	chain   []cacheLink
	tokens  int
	pins    int // running requests that use the entry
	lastUse time.Time
	element *list.Element
}

// prefixCache holds prefixes by program and evicts the least recently used one
// that no running request uses. It is not safe for concurrent use.
type prefixCache struct {
	capacity int // tokens
	used     int // tokens
	entries  map[string]*cacheEntry
	recent   *list.List // of *cacheEntry, most recently used first
	former   map[string][]cacheLink
	events   eventLog

	evictedTokens    int64
	idleTokenSeconds float64 // tokens held, after their last use, by entries that are gone
}

func newPrefixCache(capacity int, events eventLog) *prefixCache {
	return &prefixCache{
		capacity: capacity,
		entries:  make(map[string]*cacheEntry),
		recent:   list.New(),
		former:   make(map[string][]cacheLink),
		events:   events,
	}
}

// chainOf returns the links of a message list.
func chainOf(messages []Message) []cacheLink {
	chain := make([]cacheLink, 0, len(messages))
	sum := Digest(nil)
	for _, m := range messages {
		sum = chainDigest(sum, m)
		chain = append(chain, cacheLink{Digest: hex.EncodeToString(sum), Tokens: CountTokens(m.Content)})
	}
	return chain
}

func chainTokens(chain []cacheLink) int {
	total := 0
	for _, link := range chain {
		total += link.Tokens
	}
	return total
}

// commonTokens returns the tokens of the longest common prefix of two chains.
func commonTokens(a, b []cacheLink) int {
	total := 0
	for i := range min(len(a), len(b)) {
		if a[i].Digest != b[i].Digest {
			break
		}
		total += a[i].Tokens
	}
	return total
}

// lookup returns how many tokens of a chain are cached, and how many of the
// others had been cached before.
func (c *prefixCache) lookup(program string, chain []cacheLink) (cached, recomputed int) {
	if entry := c.entries[program]; entry != nil {
		cached = commonTokens(entry.chain, chain)
	}
	recomputed = max(0, commonTokens(c.former[program], chain)-cached)
	return cached, recomputed
}

// store replaces the prefix of a program. It reports false, and keeps nothing,
// when no room can be made.
func (c *prefixCache) store(program string, chain []cacheLink, now time.Time) bool {
	entry := c.entries[program]
	if entry == nil {
		entry = &cacheEntry{program: program}
		entry.element = c.recent.PushFront(entry)
		c.entries[program] = entry
	}
	c.recent.MoveToFront(entry.element)
	entry.lastUse = now
	tokens := chainTokens(chain)
	if !c.makeRoom(tokens-entry.tokens, entry, now) {
		c.remove(entry, now)
		return false
	}
	c.used += tokens - entry.tokens
	entry.tokens = tokens
	entry.chain = slices.Clone(chain)
	c.remember(program, entry.chain)
	c.events.add(EventStored, program, tokens, now)
	return true
}

func (c *prefixCache) remember(program string, chain []cacheLink) {
	if len(c.former) >= maxFormerEntries {
		clear(c.former)
	}
	c.former[program] = chain
}

// makeRoom evicts entries until the given number of tokens is free.
func (c *prefixCache) makeRoom(tokens int, keep *cacheEntry, now time.Time) bool {
	for c.used+tokens > c.capacity {
		victim := c.leastRecent(keep)
		if victim == nil {
			return false
		}
		c.evictedTokens += int64(victim.tokens)
		c.remove(victim, now)
	}
	return true
}

// leastRecent returns the entry to evict next, nil when every one is in use.
func (c *prefixCache) leastRecent(keep *cacheEntry) *cacheEntry {
	for e := c.recent.Back(); e != nil; e = e.Prev() {
		entry := e.Value.(*cacheEntry)
		if entry != keep && entry.pins == 0 {
			return entry
		}
	}
	return nil
}

func (c *prefixCache) remove(entry *cacheEntry, now time.Time) {
	c.used -= entry.tokens
	c.idleTokenSeconds += float64(entry.tokens) * now.Sub(entry.lastUse).Seconds()
	c.recent.Remove(entry.element)
	delete(c.entries, entry.program)
	c.events.add(EventEvicted, entry.program, entry.tokens, now)
}

// release removes the prefix of a program; it reports whether there was one.
func (c *prefixCache) release(program string, now time.Time) bool {
	entry := c.entries[program]
	if entry == nil {
		return false
	}
	c.remove(entry, now)
	return true
}

// pin marks the entry of a program as used by a running request.
func (c *prefixCache) pin(program string, delta int) {
	if entry := c.entries[program]; entry != nil {
		entry.pins = max(0, entry.pins+delta)
	}
}
