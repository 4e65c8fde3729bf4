package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"ibistray.example/ibistray/proto/shardpb"
)

// output sends the answer of a call to the caller. Its methods are called from a single
// goroutine. They return no error, because the call continues if the caller has
// disconnected.
type output interface {
	// writeText sends the next part of a model's answer.
	writeText(chunk []byte)
	// finish completes a successful answer. No other method is called after it.
	finish(a *finalAnswer)
	// fail ends the output with an error. No other method is called after it.
	fail(f *Failure)
}

// finalAnswer is the recorded answer of a call.
type finalAnswer struct {
	callID  string
	attempt uint64
	turn    uint64
	answer  *shardpb.Answer
	text    []byte // complete text of a model's answer, or body of a service's answer
}

// answerText returns the text of a model's answer or the body of a service's answer.
func answerText(kind shardpb.CallKind, answer *shardpb.Answer) ([]byte, error) {
	if kind == shardpb.CallKind_CALL_KIND_SERVICE {
		return answer.GetBody(), nil
	}
	var m struct {
		Content string `json:"content"`
	}
	if err := json.Unmarshal(answer.GetBody(), &m); err != nil {
		return nil, fmt.Errorf("entry: decode model answer: %w", err)
	}
	return []byte(m.Content), nil
}

// JSON documents of the API for callers. Model answers have the form of OpenAI chat
// completions.
type (
	completion struct {
		ID       string          `json:"id"`
		Object   string          `json:"object"`
		Choices  []choice        `json:"choices"`
		Usage    *usageDocument  `json:"usage,omitempty"`
		Metadata *answerMetadata `json:"ibistray,omitempty"`
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
		PromptTokens     uint64        `json:"prompt_tokens"`
		CompletionTokens uint64        `json:"completion_tokens"`
		TotalTokens      uint64        `json:"total_tokens"`
		PromptDetails    promptDetails `json:"prompt_tokens_details"`
	}
	promptDetails struct {
		CachedTokens uint64 `json:"cached_tokens"`
	}
	// answerMetadata lets the caller verify that the answer is complete and committed.
	answerMetadata struct {
		Attempt   uint64 `json:"attempt"`
		Turn      uint64 `json:"turn"`
		Committed bool   `json:"committed"`
		Length    int    `json:"length"` // of the text, in bytes
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

func newUsageDocument(u *shardpb.Usage) *usageDocument {
	return &usageDocument{
		PromptTokens:     u.GetPromptTokens(),
		CompletionTokens: u.GetCompletionTokens(),
		TotalTokens:      u.GetPromptTokens() + u.GetCompletionTokens(),
		PromptDetails:    promptDetails{CachedTokens: u.GetCachedTokens()},
	}
}

func newAnswerMetadata(a *finalAnswer) *answerMetadata {
	digest := sha256.Sum256(a.text)
	return &answerMetadata{
		Attempt:   a.attempt,
		Turn:      a.turn,
		Committed: true,
		Length:    len(a.text),
		SHA256:    hex.EncodeToString(digest[:]),
	}
}

func stopFinishReason() *string {
	reason := "stop"
	return &reason
}

func newErrorDocument(f *Failure) errorDocument {
	return errorDocument{Error: errorBody{
		Reason:       f.Reason,
		Message:      f.Message,
		NotRun:       f.NotRun,
		RetryAfterMS: f.RetryAfter.Milliseconds(),
	}}
}
