package backendtest

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"strings"
)

const (
	// bytesPerToken is the size of one token of text.
	bytesPerToken = 4
	// defaultMaxTokens bounds an answer when the request sets no limit.
	defaultMaxTokens = 64
	// maxAnswerTokens bounds an answer whatever the request asks for.
	maxAnswerTokens = 8192
	// digestLength is the number of hexadecimal digits in an answer's first line.
	digestLength = 16
)

// Message is one message of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// CountTokens returns the number of tokens of a text: one for each four bytes begun,
// and at least one.
func CountTokens(text string) int {
	n := (len(text) + bytesPerToken - 1) / bytesPerToken
	return max(n, 1)
}

// CountPromptTokens returns the number of tokens of a message list.
func CountPromptTokens(messages []Message) int {
	total := 0
	for _, m := range messages {
		total += CountTokens(m.Content)
	}
	return total
}

// Answer returns the engine's answer to a message list. It depends on nothing
// but its arguments. The first line names the number of messages and a digest
// of all their roles and contents; words follow. The answer takes between half
// of maxTokens and maxTokens tokens; maxTokens 0 means 64.
func Answer(messages []Message, maxTokens int) string {
	digest := Digest(messages)
	limit := answerTokens(digest, maxTokens) * bytesPerToken
	var b strings.Builder
	fmt.Fprintf(&b, "messages=%d digest=%s\n", len(messages), hex.EncodeToString(digest)[:digestLength])
	state := binary.BigEndian.Uint64(digest[8:16])
	for b.Len() < limit {
		b.WriteString(answerWords[state>>32%uint64(len(answerWords))])
		b.WriteByte(' ')
		state = nextState(state)
	}
	return b.String()[:limit]
}

// Digest returns the SHA-256 chain digest of a message list.
func Digest(messages []Message) []byte {
	sum := make([]byte, sha256.Size)
	for _, m := range messages {
		sum = chainDigest(sum, m)
	}
	return sum
}

// chainDigest extends a digest by one message.
func chainDigest(previous []byte, m Message) []byte {
	h := sha256.New()
	h.Write(previous)
	writeField(h.Write, m.Role)
	writeField(h.Write, m.Content)
	return h.Sum(nil)
}

// writeField writes a text with its length, so that no two lists share a digest.
func writeField(write func([]byte) (int, error), text string) {
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(text)))
	_, _ = write(size[:])
	_, _ = write([]byte(text))
}

func answerTokens(digest []byte, maxTokens int) int {
	if maxTokens <= 0 {
		maxTokens = defaultMaxTokens
	}
	maxTokens = min(maxTokens, maxAnswerTokens)
	least := (maxTokens + 1) / 2
	span := uint64(maxTokens - least + 1)
	return least + int(binary.BigEndian.Uint64(digest[:8])%span)
}

// nextState is one step of a 64-bit linear congruential generator.
func nextState(state uint64) uint64 {
	return state*6364136223846793005 + 1442695040888963407
}

var answerWords = [...]string{
	"hose", "crane", "barge", "tide", "draft", "quote", "fitting", "berth",
	"wharf", "crew", "tug", "van", "pressure", "convoy", "valve", "depth",
}
