package sidecar

import (
	"bytes"
	"container/list"
	"encoding/json"
	"sync"

	"ibistray.example/ibistray/internal/shard"
)

// maxCachedHistoryBytes limits the total size of the cached histories. The newest one is
// kept even if it alone is larger.
const maxCachedHistoryBytes = 64 << 20

// cachedHistory is the history of one program as of its last call in this sidecar.
type cachedHistory struct {
	id       programID
	digest   []byte
	messages []json.RawMessage
	bytes    int
}

// historyCache caches the histories of the programs that run in this sidecar, so that a
// call carries only its new messages. It evicts the least recently used histories. It is
// safe for concurrent use.
type historyCache struct {
	mu    sync.Mutex
	order *list.List // of *cachedHistory, most recently used first
	index map[programID]*list.Element
	bytes int
}

func newHistoryCache() *historyCache {
	return &historyCache{order: list.New(), index: make(map[programID]*list.Element)}
}

// get returns the messages of a program if its cached history has the given digest.
func (c *historyCache) get(id programID, digest []byte) ([]json.RawMessage, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	el, ok := c.index[id]
	if !ok {
		return nil, false
	}
	history := el.Value.(*cachedHistory)
	if !bytes.Equal(history.digest, digest) {
		return nil, false
	}
	c.order.MoveToFront(el)
	return history.messages, true
}

// put replaces the cached history of a program.
func (c *historyCache) put(id programID, digest []byte, messages []json.RawMessage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remove(id)
	history := &cachedHistory{id: id, digest: digest, messages: messages}
	for _, m := range messages {
		history.bytes += len(m)
	}
	c.index[id] = c.order.PushFront(history)
	c.bytes += history.bytes
	for c.bytes > maxCachedHistoryBytes && c.order.Len() > 1 {
		c.remove(c.order.Back().Value.(*cachedHistory).id)
	}
}

// extend appends the messages and the answer of a committed call to the history of a
// program. It does nothing if the cached history does not have the given digest.
func (c *historyCache) extend(id programID, digest, input, answer []byte) {
	messages, ok := c.get(id, digest)
	if !ok {
		return
	}
	added, err := decodeMessages(input)
	if err != nil {
		return
	}
	next := make([]json.RawMessage, 0, len(messages)+len(added)+1)
	next = append(next, messages...)
	next = append(next, added...)
	next = append(next, json.RawMessage(answer))
	c.put(id, shard.ChainDigest(digest, input, answer), next)
}

// removeHistory removes the history of a program.
func (c *historyCache) removeHistory(id programID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remove(id)
}

// remove removes the history of a program. The caller holds mu.
func (c *historyCache) remove(id programID) {
	el, ok := c.index[id]
	if !ok {
		return
	}
	c.bytes -= el.Value.(*cachedHistory).bytes
	c.order.Remove(el)
	delete(c.index, id)
}

// decodeMessages decodes a JSON array of messages. An empty body has no messages.
func decodeMessages(body []byte) ([]json.RawMessage, error) {
	var messages []json.RawMessage
	if len(body) == 0 {
		return nil, nil
	}
	err := json.Unmarshal(body, &messages)
	return messages, err
}
