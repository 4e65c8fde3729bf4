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

// Usage is the token usage of one model call.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	Details          struct {
		CachedTokens int64 `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// receipt is the extension that the system adds to the last event of an answer. It
// confirms the commit, and lets the client check the text.
type receipt struct {
	Attempt   uint64 `json:"attempt"`
	Turn      uint64 `json:"turn"`
	Committed bool   `json:"committed"`
	Length    int    `json:"length"` // bytes of text
	SHA256    string `json:"sha256"` // hexadecimal, of the text
}

// chunk is the JSON data of one event of an answer.
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

// answerBuilder assembles an answer from its events.
type answerBuilder struct {
	call    string
	text    strings.Builder
	usage   Usage
	receipt *receipt
	done    bool
}

// add processes one event. It returns a *CallError for an error event, and
// ErrIncomplete for an event that is invalid or unexpected.
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
		return fmt.Errorf("invalid error event %q: %w", data, ErrIncomplete)
	}
	return body.callError(0)
}

func (b *answerBuilder) addChunk(data []byte) error {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return fmt.Errorf("decode event: %w: %w", err, ErrIncomplete)
	}
	if c.ID != b.call {
		return fmt.Errorf("event of call %q in the answer to call %q: %w", c.ID, b.call, ErrIncomplete)
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

// answer returns the answer if it is complete, committed and matches its receipt;
// otherwise it returns ErrIncomplete.
func (b *answerBuilder) answer() (*Answer, error) {
	if !b.done {
		return nil, fmt.Errorf("stream ended without the end marker: %w", ErrIncomplete)
	}
	if b.receipt == nil || !b.receipt.Committed {
		return nil, fmt.Errorf("answer without a receipt of its commit: %w", ErrIncomplete)
	}
	text := b.text.String()
	if len(text) != b.receipt.Length {
		return nil, fmt.Errorf("text has %d bytes, its receipt says %d: %w", len(text), b.receipt.Length, ErrIncomplete)
	}
	sum := sha256.Sum256([]byte(text))
	if hex.EncodeToString(sum[:]) != b.receipt.SHA256 {
		return nil, fmt.Errorf("SHA-256 digest of the text is %x, its receipt says %s: %w", sum, b.receipt.SHA256, ErrIncomplete)
	}
	return &Answer{Text: text, Usage: b.usage, Attempt: b.receipt.Attempt, Turn: b.receipt.Turn}, nil
}
