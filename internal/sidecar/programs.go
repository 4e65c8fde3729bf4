package sidecar

import (
	"bytes"
	"container/list"
	"encoding/json"
	"sync"

	"ibistray.example/ibistray/internal/shard"
)

// maxProgramTextBytes bounds the text of programs that a sidecar caches.
const maxProgramTextBytes = 64 << 20

// programText is the history of one program as far as this sidecar knows it.
type programText struct {
	id       programID
	digest   []byte
	messages []json.RawMessage
	bytes    int
}

// programTexts caches the histories of the programs that run here, so that a
// call carries its new messages only. The least recently used are dropped.
type programTexts struct {
	mu    sync.Mutex
	order *list.List // of *programText, most recently used first
	index map[programID]*list.Element
	bytes int
}

func newProgramTexts() *programTexts {
	return &programTexts{order: list.New(), index: make(map[programID]*list.Element)}
}

// get returns the messages of a program if the cached history has the digest.
func (t *programTexts) get(id programID, digest []byte) ([]json.RawMessage, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	el, ok := t.index[id]
	if !ok {
		return nil, false
	}
	text := el.Value.(*programText)
	if !bytes.Equal(text.digest, digest) {
		return nil, false
	}
	t.order.MoveToFront(el)
	return text.messages, true
}

// put replaces the cached history of a program.
func (t *programTexts) put(id programID, digest []byte, messages []json.RawMessage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remove(id)
	text := &programText{id: id, digest: digest, messages: messages}
	for _, m := range messages {
		text.bytes += len(m)
	}
	t.index[id] = t.order.PushFront(text)
	t.bytes += text.bytes
	for t.bytes > maxProgramTextBytes && t.order.Len() > 1 {
		t.remove(t.order.Back().Value.(*programText).id)
	}
}

// extend adds a committed exchange to a cached history that has the digest.
func (t *programTexts) extend(id programID, digest, input, answer []byte) {
	messages, ok := t.get(id, digest)
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
	t.put(id, shard.ChainDigest(digest, input, answer), next)
}

// drop forgets a program.
func (t *programTexts) drop(id programID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remove(id)
}

func (t *programTexts) remove(id programID) {
	el, ok := t.index[id]
	if !ok {
		return
	}
	t.bytes -= el.Value.(*programText).bytes
	t.order.Remove(el)
	delete(t.index, id)
}

func decodeMessages(body []byte) ([]json.RawMessage, error) {
	var messages []json.RawMessage
	if len(body) == 0 {
		return nil, nil
	}
	err := json.Unmarshal(body, &messages)
	return messages, err
}
