package load

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"testing"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
	"gotest.tools/v3/assert"
)

// parseStream parses the raw body of an event stream as the answer to call c1.
func parseStream(raw string) (*Answer, error) {
	response := &protocol.Response{}
	response.Header.SetContentType("text/event-stream")
	response.SetBody([]byte(raw))
	reader, err := sse.NewReader(response)
	if err != nil {
		return nil, err
	}
	builder := &answerBuilder{call: "c1"}
	if err := readEvents(reader, builder.add); err != nil {
		return nil, err
	}
	return builder.answer()
}

func chunkEvent(call, text string) string {
	return fmt.Sprintf("data: {\"id\":%q,\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", call, text)
}

func receiptEvent(call, text string) string {
	sum := sha256.Sum256([]byte(text))
	return fmt.Sprintf("data: {\"id\":%q,\"choices\":[],\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":3,"+
		"\"prompt_tokens_details\":{\"cached_tokens\":5}},\"ibistray\":{\"attempt\":2,\"turn\":4,\"committed\":true,"+
		"\"length\":%d,\"sha256\":%q}}\n\n", call, len(text), hex.EncodeToString(sum[:]))
}

const doneEvent = "data: [DONE]\n\n"

func TestCompleteStreamGivesTheAnswer(t *testing.T) {
	raw := ": keep-alive\n\n" + chunkEvent("c1", "hello ") + chunkEvent("c1", "world") + receiptEvent("c1", "hello world") + doneEvent
	answer, err := parseStream(raw)
	assert.NilError(t, err)
	assert.Equal(t, answer.Text, "hello world")
	assert.Equal(t, answer.Attempt, uint64(2))
	assert.Equal(t, answer.Turn, uint64(4))
	assert.Equal(t, answer.Usage.Details.CachedTokens, int64(5))
}

func TestInvalidStreamsAreIncomplete(t *testing.T) {
	a, b, last := chunkEvent("c1", "hello "), chunkEvent("c1", "world"), receiptEvent("c1", "hello world")
	streams := map[string]string{
		"empty":                      "",
		"no end marker":              a + b + last,
		"no receipt":                 a + b + doneEvent,
		"missing event":              a + last + doneEvent,
		"duplicate event":            a + a + b + last + doneEvent,
		"reordered events":           b + a + last + doneEvent,
		"event of another call":      a + chunkEvent("c2", "world") + last + doneEvent,
		"receipt of another call":    a + b + receiptEvent("c2", "hello world") + doneEvent,
		"digest of another text":     a + b + receiptEvent("c1", "hello earth") + doneEvent,
		"not committed":              a + b + "data: {\"id\":\"c1\",\"ibistray\":{\"committed\":false,\"length\":11}}\n\n" + doneEvent,
		"text after the end":         a + b + last + doneEvent + a,
		"truncated event":            a + b + last[:len(last)/2],
		"truncated end marker":       a + b + last + "data: [DO",
		"not JSON":                   a + "data: {{\n\n" + b + last + doneEvent,
		"error event without reason": a + "event: error\ndata: {}\n\n",
		"error event not JSON":       a + "event: error\ndata: oops\n\n",
	}
	for name, raw := range streams {
		t.Run(name, func(t *testing.T) {
			answer, err := parseStream(raw)
			assert.Assert(t, answer == nil)
			assert.ErrorIs(t, err, ErrIncomplete)
		})
	}
}

func TestErrorEventGivesCallError(t *testing.T) {
	raw := chunkEvent("c1", "hello") + "event: error\ndata: {\"error\":{\"reason\":\"outcome_unknown\",\"message\":\"m\",\"not_run\":false,\"retry_after_ms\":1500}}\n\n"
	_, err := parseStream(raw)
	var callErr *CallError
	assert.Assert(t, errors.As(err, &callErr))
	assert.Equal(t, callErr.Reason, "outcome_unknown")
	assert.Equal(t, callErr.NotRun, false)
	assert.Equal(t, callErr.RetryAfter.Milliseconds(), int64(1500))
}

// TestTruncatedStreamIsIncomplete truncates a valid stream at each byte before the
// end of its end marker.
func TestTruncatedStreamIsIncomplete(t *testing.T) {
	whole := chunkEvent("c1", "hello world") + receiptEvent("c1", "hello world") + "data: [DONE]"
	for i := range len(whole) {
		_, err := parseStream(whole[:i])
		assert.ErrorIs(t, err, ErrIncomplete, "truncated at byte %d", i)
	}
}

// FuzzStream checks that parsing any input returns either an answer or an error,
// never both or neither.
func FuzzStream(f *testing.F) {
	f.Add(chunkEvent("c1", "hello")+receiptEvent("c1", "hello")+doneEvent, 10, byte('x'))
	f.Add("event: error\ndata: {\"error\":{\"reason\":\"r\"}}\n\n", 3, byte('\n'))
	f.Add("data: {\"id\":\"c1\",\"choices\":[{}],\"usage\":null}\n\ndata: [DONE]\n\n", 0, byte(0))
	f.Fuzz(func(t *testing.T, raw string, at int, replacement byte) {
		if at >= 0 && at < len(raw) {
			raw = raw[:at] + string(replacement) + raw[at+1:]
		}
		answer, err := parseStream(raw)
		if err == nil && answer == nil {
			t.Fatal("neither an answer nor an error")
		}
		if err != nil && answer != nil {
			t.Fatal("an answer and an error")
		}
	})
}
