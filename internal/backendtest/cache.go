package backendtest

import (
	"container/list"
	"encoding/hex"
	"slices"
	"time"
)

// maxLastChains limits the number of programs whose last cached chain is kept, and so the
// memory. When it is reached, all of them are dropped.
const maxLastChains = 8192

// chainSegment is one message of a cached prefix, identified by a hash chain.
type chainSegment struct {
	Digest string `json:"digest"` // of all messages up to and including this one
	Tokens int    `json:"tokens"`
}

// cacheEntry is the cached prefix of one program.
type cacheEntry struct {
	program    string
	chain      []chainSegment
	tokens     int
	pins       int // running requests that use the entry; evicted only at 0
	lastUsed   time.Time
	lruElement *list.Element
}

// prefixCache holds one cached prefix per program. When it is full it evicts the least
// recently used prefix that no running request uses. It is not safe for concurrent use.
type prefixCache struct {
	capacity   int // tokens
	used       int // tokens
	entries    map[string]*cacheEntry
	lru        *list.List // of *cacheEntry, most recently used at the front
	lastChains map[string][]chainSegment
	events     eventLog

	evictedTokens    int64
	idleTokenSeconds float64 // sum over removed entries of tokens times seconds since the last use
}

func newPrefixCache(capacity int, events eventLog) *prefixCache {
	return &prefixCache{
		capacity:   capacity,
		entries:    make(map[string]*cacheEntry),
		lru:        list.New(),
		lastChains: make(map[string][]chainSegment),
		events:     events,
	}
}

// messageChain returns the hash chain of a list of messages, one segment per message.
func messageChain(messages []Message) []chainSegment {
	chain := make([]chainSegment, 0, len(messages))
	sum := Digest(nil)
	for _, m := range messages {
		sum = chainDigest(sum, m)
		chain = append(chain, chainSegment{Digest: hex.EncodeToString(sum), Tokens: CountTokens(m.Content)})
	}
	return chain
}

func chainTokens(chain []chainSegment) int {
	total := 0
	for _, segment := range chain {
		total += segment.Tokens
	}
	return total
}

// commonTokens returns the number of tokens in the longest common prefix of two chains.
func commonTokens(a, b []chainSegment) int {
	total := 0
	for i := range min(len(a), len(b)) {
		if a[i].Digest != b[i].Digest {
			break
		}
		total += a[i].Tokens
	}
	return total
}

// lookup returns how many tokens of a chain are cached, and how many of the others were
// cached earlier and must be computed again.
func (c *prefixCache) lookup(program string, chain []chainSegment) (cachedTokens, recomputedTokens int) {
	if entry := c.entries[program]; entry != nil {
		cachedTokens = commonTokens(entry.chain, chain)
	}
	recomputedTokens = max(0, commonTokens(c.lastChains[program], chain)-cachedTokens)
	return cachedTokens, recomputedTokens
}

// store replaces the cached prefix of a program and evicts others as needed. If that
// does not free enough tokens, it removes the program's entry and returns false.
func (c *prefixCache) store(program string, chain []chainSegment, now time.Time) bool {
	entry := c.entries[program]
	if entry == nil {
		entry = &cacheEntry{program: program}
		entry.lruElement = c.lru.PushFront(entry)
		c.entries[program] = entry
	}
	c.lru.MoveToFront(entry.lruElement)
	entry.lastUsed = now
	tokens := chainTokens(chain)
	if !c.evictUntilFree(tokens-entry.tokens, entry, now) {
		c.remove(entry, now)
		return false
	}
	c.used += tokens - entry.tokens
	entry.tokens = tokens
	entry.chain = slices.Clone(chain)
	c.recordLastChain(program, entry.chain)
	c.events.add(EventStored, program, tokens, now)
	return true
}

// recordLastChain keeps the last chain of a program, even after its eviction, so that
// lookup can count recomputed tokens.
func (c *prefixCache) recordLastChain(program string, chain []chainSegment) {
	if len(c.lastChains) >= maxLastChains {
		clear(c.lastChains)
	}
	c.lastChains[program] = chain
}

// evictUntilFree evicts entries other than the excluded one until the given number of
// tokens is free. It returns false if nothing more can be evicted.
func (c *prefixCache) evictUntilFree(neededTokens int, excluded *cacheEntry, now time.Time) bool {
	for c.used+neededTokens > c.capacity {
		victim := c.evictionCandidate(excluded)
		if victim == nil {
			return false
		}
		c.evictedTokens += int64(victim.tokens)
		c.remove(victim, now)
	}
	return true
}

// evictionCandidate returns the entry to evict next, or nil if every other entry is
// pinned.
func (c *prefixCache) evictionCandidate(excluded *cacheEntry) *cacheEntry {
	for e := c.lru.Back(); e != nil; e = e.Prev() {
		entry := e.Value.(*cacheEntry)
		if entry != excluded && entry.pins == 0 {
			return entry
		}
	}
	return nil
}

// remove deletes an entry and records it as evicted.
func (c *prefixCache) remove(entry *cacheEntry, now time.Time) {
	c.used -= entry.tokens
	c.idleTokenSeconds += float64(entry.tokens) * now.Sub(entry.lastUsed).Seconds()
	c.lru.Remove(entry.lruElement)
	delete(c.entries, entry.program)
	c.events.add(EventEvicted, entry.program, entry.tokens, now)
}

// release removes the cached prefix of a program and reports whether there was one.
func (c *prefixCache) release(program string, now time.Time) bool {
	entry := c.entries[program]
	if entry == nil {
		return false
	}
	c.remove(entry, now)
	return true
}

// adjustPins adds delta to the number of running requests that use a program's entry.
func (c *prefixCache) adjustPins(program string, delta int) {
	if entry := c.entries[program]; entry != nil {
		entry.pins = max(0, entry.pins+delta)
	}
}
