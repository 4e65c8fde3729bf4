package backendtest

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"strings"
)

const (
	// bytesPerToken is the length of text that counts as one token.
	bytesPerToken = 4
	// defaultMaxTokens is the longest answer, in tokens, if the request sets no limit.
	defaultMaxTokens = 64
	// maxAnswerTokens is the longest answer, in tokens, whatever limit the request sets.
	maxAnswerTokens = 8192
	// digestLength is the number of hexadecimal digits in an answer's first line.
	digestLength = 16
)

// Message is one chat message. Role is for example "user" or "assistant".
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// CountTokens returns the number of tokens in a text: its length divided by four bytes,
// rounded up, and at least one.
func CountTokens(text string) int {
	n := (len(text) + bytesPerToken - 1) / bytesPerToken
	return max(n, 1)
}

// CountPromptTokens returns the number of tokens in the contents of the messages.
func CountPromptTokens(messages []Message) int {
	total := 0
	for _, m := range messages {
		total += CountTokens(m.Content)
	}
	return total
}

// Answer returns the engine's answer to a list of messages. It is deterministic: it
// depends only on the arguments. The first line holds the number of messages and a
// digest of their roles and contents; pseudorandom words follow. The answer is between
// maxTokens/2 and maxTokens tokens long; maxTokens 0 means 64.
func Answer(messages []Message, maxTokens int) string {
	digest := Digest(messages)
	length := answerTokens(digest, maxTokens) * bytesPerToken
	var b strings.Builder
	fmt.Fprintf(&b, "messages=%d digest=%s\n", len(messages), hex.EncodeToString(digest)[:digestLength])
	state := binary.BigEndian.Uint64(digest[8:16])
	for b.Len() < length {
		b.WriteString(answerWords[state>>32%uint64(len(answerWords))])
		b.WriteByte(' ')
		state = lcgStep(state)
	}
	return b.String()[:length]
}

// Digest returns the last link of a SHA-256 hash chain over the messages. It depends on
// their order and boundaries.
func Digest(messages []Message) []byte {
	sum := make([]byte, sha256.Size)
	for _, m := range messages {
		sum = chainDigest(sum, m)
	}
	return sum
}

// chainDigest returns the hash chain extended by one message.
func chainDigest(previous []byte, m Message) []byte {
	h := sha256.New()
	h.Write(previous)
	hashField(h.Write, m.Role)
	hashField(h.Write, m.Content)
	return h.Sum(nil)
}

// hashField writes a text after its length, so that different message lists cannot give
// the same input to the hash.
func hashField(write func([]byte) (int, error), text string) {
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(text)))
	_, _ = write(size[:])
	_, _ = write([]byte(text))
}

// answerTokens derives the length of an answer, in tokens, from the digest.
func answerTokens(digest []byte, maxTokens int) int {
	if maxTokens <= 0 {
		maxTokens = defaultMaxTokens
	}
	maxTokens = min(maxTokens, maxAnswerTokens)
	minTokens := (maxTokens + 1) / 2
	rangeSize := uint64(maxTokens - minTokens + 1)
	return minTokens + int(binary.BigEndian.Uint64(digest[:8])%rangeSize)
}

// lcgStep returns the next state of a 64-bit linear congruential generator, with the
// constants of Knuth's MMIX.
func lcgStep(state uint64) uint64 {
	return state*6364136223846793005 + 1442695040888963407
}

var answerWords = [...]string{
	"hose", "crane", "barge", "tide", "draft", "quote", "fitting", "berth",
	"wharf", "crew", "tug", "van", "pressure", "convoy", "valve", "depth",
}
