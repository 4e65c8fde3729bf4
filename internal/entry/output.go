package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"ibistray.example/ibistray/proto/shardpb"
)

// output is where the answer of a call goes. Its methods are called from one
// goroutine; a caller that has gone away is no error, since the call goes on
// without it.
type output interface {
	// text passes on the next piece of a model's answer.
	text(piece []byte)
	// end gives the final event; nothing follows.
	end(e *ending)
	// fail gives the final error; nothing follows.
	fail(f *Failure)
}

// ending is the end of a call that was answered.
type ending struct {
	call    string
	attempt uint64
	turn    uint64
	answer  *shardpb.Answer
	text    []byte // whole text of a model's answer, or body of a service's
}

// answerText returns the text of a model's answer, or the body of a service's.
func answerText(kind shardpb.CallKind, answer *shardpb.Answer) ([]byte, error) {
	if kind == shardpb.CallKind_CALL_KIND_SERVICE {
		return answer.GetBody(), nil
	}
	var m struct {
		Content string `json:"content"`
	}
	if err := json.Unmarshal(answer.GetBody(), &m); err != nil {
		return nil, fmt.Errorf("entry: decode answer: %w", err)
	}
	return []byte(m.Content), nil
}

// Documents of the callers' interface.
type (
	completion struct {
		ID      string         `json:"id"`
		Object  string         `json:"object"`
		Choices []choice       `json:"choices"`
		Usage   *usageDocument `json:"usage,omitempty"`
		Proof   *proof         `json:"ibistray,omitempty"`
	}
	choice struct {
		Index        int          `json:"index"`
		Delta        *textMessage `json:"delta,omitempty"`
		Message      *textMessage `json:"message,omitempty"`
		FinishReason *string      `json:"finish_reason"`
	}
	textMessage struct {
		Role    string `json:"role,omitempty"`
		Content string `json:"content"`
	}
	usageDocument struct {
		PromptTokens     uint64         `json:"prompt_tokens"`
		CompletionTokens uint64         `json:"completion_tokens"`
		TotalTokens      uint64         `json:"total_tokens"`
		PromptDetails    promptDocument `json:"prompt_tokens_details"`
	}
	promptDocument struct {
		CachedTokens uint64 `json:"cached_tokens"`
	}
	// proof lets the caller check that the answer is whole.
	proof struct {
		Attempt   uint64 `json:"attempt"`
		Turn      uint64 `json:"turn"`
		Committed bool   `json:"committed"`
		Length    int    `json:"length"` // bytes of text
		SHA256    string `json:"sha256"` // of the text
	}
	errorDocument struct {
		Error errorBody `json:"error"`
	}
	errorBody struct {
		Reason       string `json:"reason"`
		Message      string `json:"message"`
		NotRun       bool   `json:"not_run"`
		RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	}
)

const (
	objectChunk      = "chat.completion.chunk"
	objectCompletion = "chat.completion"
)

func usageOf(u *shardpb.Usage) *usageDocument {
	return &usageDocument{
		PromptTokens:     u.GetPromptTokens(),
		CompletionTokens: u.GetCompletionTokens(),
		TotalTokens:      u.GetPromptTokens() + u.GetCompletionTokens(),
		PromptDetails:    promptDocument{CachedTokens: u.GetCachedTokens()},
	}
}

func proofOf(e *ending) *proof {
	digest := sha256.Sum256(e.text)
	return &proof{
		Attempt:   e.attempt,
		Turn:      e.turn,
		Committed: true,
		Length:    len(e.text),
		SHA256:    hex.EncodeToString(digest[:]),
	}
}

func stopped() *string {
	reason := "stop"
	return &reason
}

func errorOf(f *Failure) errorDocument {
	return errorDocument{Error: errorBody{
		Reason:       f.Reason,
		Message:      f.Message,
		NotRun:       f.NotRun,
		RetryAfterMS: f.RetryAfter.Milliseconds(),
	}}
}
