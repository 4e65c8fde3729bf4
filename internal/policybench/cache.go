package main

import (
	"container/list"
	"time"
)

// prefixCache is the fake memory of one engine: a prefix for each program, of
// which the least recently used one that no call needs is evicted first.
type prefixCache struct {
	sim      *simulator
	capacity int64
	used     int64
	entries  map[*client]*cacheEntry
	idle     *list.List // of *cacheEntry, least recently used first
	evicted  func(*client)
	// vain counts token-seconds of prefixes that were not used again.
	vain float64
}

type cacheEntry struct {
	client    *client
	tokens    int64
	busy      int
	lastUse   time.Duration
	keepUntil time.Duration
	tool      string
	position  *list.Element // in idle, nil while busy
}

func newPrefixCache(sim *simulator, capacity int64) *prefixCache {
	return &prefixCache{sim: sim, capacity: capacity, entries: make(map[*client]*cacheEntry), idle: list.New()}
}

// acquire marks the program's prefix as busy, makes room for the whole call and
// returns the cached tokens.
func (c *prefixCache) acquire(cl *client, total int64) int64 {
	e := c.entries[cl]
	if e == nil {
		e = &cacheEntry{client: cl}
		c.entries[cl] = e
	}
	if e.position != nil {
		c.idle.Remove(e.position)
		e.position = nil
	}
	e.busy++
	cached := e.tokens
	c.used += max(total-e.tokens, 0)
	e.tokens = max(total, e.tokens)
	c.makeRoom()
	return cached
}

// finish ends a use of the prefix. It stays cached unless the call was lost.
func (c *prefixCache) finish(cl *client, keep bool) *cacheEntry {
	e := c.entries[cl]
	e.busy--
	if e.busy > 0 {
		return e
	}
	e.lastUse = c.sim.now
	e.position = c.idle.PushBack(e)
	if !keep {
		c.remove(e)
	}
	return e
}

func (c *prefixCache) makeRoom() {
	for c.used > c.capacity && c.idle.Len() > 0 {
		e := c.idle.Front().Value.(*cacheEntry)
		c.remove(e)
		c.evicted(e.client)
	}
}

// put stores a prefix that was moved from another engine, if it fits.
func (c *prefixCache) put(cl *client, tokens int64) bool {
	if c.entries[cl] != nil || c.used+tokens > c.capacity {
		return false
	}
	e := &cacheEntry{client: cl, tokens: tokens, lastUse: c.sim.now, keepUntil: c.sim.now + moveKeep}
	e.position = c.idle.PushBack(e)
	c.entries[cl] = e
	c.used += tokens
	return true
}

// remove drops an idle prefix. It was held in vain since its last use.
func (c *prefixCache) remove(e *cacheEntry) {
	c.vain += float64(e.tokens) * (c.sim.now - e.lastUse).Seconds()
	c.idle.Remove(e.position)
	delete(c.entries, e.client)
	c.used -= e.tokens
}

// take drops a prefix that goes on living elsewhere.
func (c *prefixCache) take(e *cacheEntry) {
	e.lastUse = c.sim.now
	c.remove(e)
}

func (c *prefixCache) clear() {
	c.entries = make(map[*client]*cacheEntry)
	c.idle.Init()
	c.used = 0
}

// settle counts what is held in vain when the run ends: prefixes of programs
// that are gone or went on elsewhere.
func (c *prefixCache) settle(self string) {
	for element := c.idle.Front(); element != nil; {
		e := element.Value.(*cacheEntry)
		element = element.Next()
		if e.client.gone || e.client.cachedOn != self {
			c.remove(e)
		}
	}
}
