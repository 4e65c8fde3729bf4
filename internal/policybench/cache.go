package main

import (
	"container/list"
	"time"
)

// prefixCache simulates the KV cache of one engine. It holds one prefix for each
// program and evicts the least recently used prefix that no call is using.
type prefixCache struct {
	sim      *simulator
	capacity int64 // tokens
	used     int64 // tokens; exceeds capacity if the running calls need more
	entries  map[*client]*cacheEntry
	idle     *list.List // of *cacheEntry, least recently used first
	onEvict  func(*client)
	// unusedTokenSeconds adds up, for removed prefixes, their tokens times the time
	// since their last use.
	unusedTokenSeconds float64
}

// cacheEntry is the cached prefix of a program.
type cacheEntry struct {
	client      *client
	tokens      int64
	activeCalls int // that use the prefix
	lastUsed    time.Duration
	keepUntil   time.Duration
	tool        string        // that the program waits for, empty if unknown
	idleElement *list.Element // in prefixCache.idle, nil while a call uses the prefix
}

func newPrefixCache(sim *simulator, capacity int64) *prefixCache {
	return &prefixCache{sim: sim, capacity: capacity, entries: make(map[*client]*cacheEntry), idle: list.New()}
}

// acquire marks the program's prefix as in use, reserves space for totalTokens,
// prompt and output of the call, and returns the number of tokens already cached.
func (c *prefixCache) acquire(cl *client, totalTokens int64) int64 {
	e := c.entries[cl]
	if e == nil {
		e = &cacheEntry{client: cl}
		c.entries[cl] = e
	}
	if e.idleElement != nil {
		c.idle.Remove(e.idleElement)
		e.idleElement = nil
	}
	e.activeCalls++
	cachedTokens := e.tokens
	c.used += max(totalTokens-e.tokens, 0)
	e.tokens = max(totalTokens, e.tokens)
	c.evictToFit()
	return cachedTokens
}

// release ends the use of the prefix by one call. If no other call uses it, the
// prefix becomes idle, or is removed if keep is false.
func (c *prefixCache) release(cl *client, keep bool) *cacheEntry {
	e := c.entries[cl]
	e.activeCalls--
	if e.activeCalls > 0 {
		return e
	}
	e.lastUsed = c.sim.now
	e.idleElement = c.idle.PushBack(e)
	if !keep {
		c.remove(e)
	}
	return e
}

// evictToFit evicts idle prefixes until the cache is within its capacity or none is
// left.
func (c *prefixCache) evictToFit() {
	for c.used > c.capacity && c.idle.Len() > 0 {
		e := c.idle.Front().Value.(*cacheEntry)
		c.remove(e)
		c.onEvict(e.client)
	}
}

// put stores a prefix that was moved from another engine. It reports false if the
// prefix does not fit, or if the program already has one here.
func (c *prefixCache) put(cl *client, tokens int64) bool {
	if c.entries[cl] != nil || c.used+tokens > c.capacity {
		return false
	}
	e := &cacheEntry{client: cl, tokens: tokens, lastUsed: c.sim.now, keepUntil: c.sim.now + movedKeepPeriod}
	e.idleElement = c.idle.PushBack(e)
	c.entries[cl] = e
	c.used += tokens
	return true
}

// remove removes an idle prefix and counts the time since its last use as unused.
func (c *prefixCache) remove(e *cacheEntry) {
	c.unusedTokenSeconds += float64(e.tokens) * (c.sim.now - e.lastUsed).Seconds()
	c.idle.Remove(e.idleElement)
	delete(c.entries, e.client)
	c.used -= e.tokens
}

// removeMoved removes an idle prefix that was moved to another engine. Its idle time
// does not count as unused.
func (c *prefixCache) removeMoved(e *cacheEntry) {
	e.lastUsed = c.sim.now
	c.remove(e)
}

// clear empties the cache, as a crash does, and counts no time as unused.
func (c *prefixCache) clear() {
	c.entries = make(map[*client]*cacheEntry)
	c.idle.Init()
	c.used = 0
}

// removeUnneeded removes the idle prefixes that no call will use again: their
// program has stopped or continued on another engine. It is called at the end of a
// run, so that unusedTokenSeconds includes them.
func (c *prefixCache) removeUnneeded(engineID string) {
	for element := c.idle.Front(); element != nil; {
		e := element.Value.(*cacheEntry)
		element = element.Next()
		if e.client.stopped || e.client.cachedOn != engineID {
			c.remove(e)
		}
	}
}
