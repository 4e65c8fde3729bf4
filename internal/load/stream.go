package load

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cloudwego/hertz/pkg/protocol/sse"
)

const (
	doneMarker = "[DONE]"
	errorEvent = "error"
)

// Usage is what one model call consumed, in tokens.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	Details          struct {
		CachedTokens int64 `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// receipt is the system's statement on an answer that it has committed.
type receipt struct {
	Attempt   uint64 `json:"attempt"`
	Turn      uint64 `json:"turn"`
	Committed bool   `json:"committed"`
	Length    int    `json:"length"` // bytes of text
	SHA256    string `json:"sha256"` // hexadecimal, of the text
}

// chunk is the data of one event of an answer.
type chunk struct {
	ID      string `json:"id"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage    *Usage   `json:"usage"`
	Ibistray *receipt `json:"ibistray"`
}

// answerBuilder collects the events of one answer.
type answerBuilder struct {
	call    string
	text    strings.Builder
	usage   Usage
	receipt *receipt
	done    bool
}

// add takes one event. It returns a *CallError for an error event, and
// ErrIncomplete for an event that does not belong to a correct answer.
func (b *answerBuilder) add(e *sse.Event) error {
	if e.Type == errorEvent {
		return decodeStreamError(e.Data)
	}
	if len(e.Data) == 0 {
		return nil
	}
	if b.done {
		return fmt.Errorf("data after the end marker: %w", ErrIncomplete)
	}
	if string(e.Data) == doneMarker {
		b.done = true
		return nil
	}
	return b.addChunk(e.Data)
}

func decodeStreamError(data []byte) error {
	var body errorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Reason == "" {
		return fmt.Errorf("unreadable error event: %w", ErrIncomplete)
	}
	return body.callError(0)
}

func (b *answerBuilder) addChunk(data []byte) error {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return fmt.Errorf("unreadable event: %w: %w", err, ErrIncomplete)
	}
	if c.ID != b.call {
		return fmt.Errorf("event of call %q within the answer of %q: %w", c.ID, b.call, ErrIncomplete)
	}
	for _, choice := range c.Choices {
		b.text.WriteString(choice.Delta.Content)
	}
	if c.Usage != nil {
		b.usage = *c.Usage
	}
	if c.Ibistray != nil {
		b.receipt = c.Ibistray
	}
	return nil
}

// answer returns the answer if it is whole and committed, else ErrIncomplete.
func (b *answerBuilder) answer() (*Answer, error) {
	if !b.done {
		return nil, fmt.Errorf("no end marker: %w", ErrIncomplete)
	}
	if b.receipt == nil || !b.receipt.Committed {
		return nil, fmt.Errorf("no receipt of the commit: %w", ErrIncomplete)
	}
	text := b.text.String()
	if len(text) != b.receipt.Length {
		return nil, fmt.Errorf("%d bytes in place of %d: %w", len(text), b.receipt.Length, ErrIncomplete)
	}
	sum := sha256.Sum256([]byte(text))
	if hex.EncodeToString(sum[:]) != b.receipt.SHA256 {
		return nil, fmt.Errorf("digest differs: %w", ErrIncomplete)
	}
	return &Answer{Text: text, Usage: b.usage, Attempt: b.receipt.Attempt, Turn: b.receipt.Turn}, nil
}
