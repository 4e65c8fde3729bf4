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

// parse reads the raw bytes of a stream as the answer of the call c1.
func parse(raw string) (*Answer, error) {
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

func lastEvent(call, text string) string {
	sum := sha256.Sum256([]byte(text))
	return fmt.Sprintf("data: {\"id\":%q,\"choices\":[],\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":3,"+
		"\"prompt_tokens_details\":{\"cached_tokens\":5}},\"ibistray\":{\"attempt\":2,\"turn\":4,\"committed\":true,"+
		"\"length\":%d,\"sha256\":%q}}\n\n", call, len(text), hex.EncodeToString(sum[:]))
}

const doneEvent = "data: [DONE]\n\n"

func TestWholeStream(t *testing.T) {
	raw := ": keep-alive\n\n" + chunkEvent("c1", "hello ") + chunkEvent("c1", "world") + lastEvent("c1", "hello world") + doneEvent
	answer, err := parse(raw)
	assert.NilError(t, err)
	assert.Equal(t, answer.Text, "hello world")
	assert.Equal(t, answer.Attempt, uint64(2))
	assert.Equal(t, answer.Turn, uint64(4))
	assert.Equal(t, answer.Usage.Details.CachedTokens, int64(5))
}

func TestBrokenStreams(t *testing.T) {
	a, b, last := chunkEvent("c1", "hello "), chunkEvent("c1", "world"), lastEvent("c1", "hello world")
	streams := map[string]string{
		"empty":                      "",
		"no end marker":              a + b + last,
		"no receipt":                 a + b + doneEvent,
		"an event is lost":           a + last + doneEvent,
		"an event comes twice":       a + a + b + last + doneEvent,
		"events change places":       b + a + last + doneEvent,
		"event of another call":      a + chunkEvent("c2", "world") + last + doneEvent,
		"receipt of another call":    a + b + lastEvent("c2", "hello world") + doneEvent,
		"digest of another text":     a + b + lastEvent("c1", "hello earth") + doneEvent,
		"not committed":              a + b + "data: {\"id\":\"c1\",\"ibistray\":{\"committed\":false,\"length\":11}}\n\n" + doneEvent,
		"text after the end":         a + b + last + doneEvent + a,
		"cut within an event":        a + b + last[:len(last)/2],
		"cut within the end marker":  a + b + last + "data: [DO",
		"not JSON":                   a + "data: {{\n\n" + b + last + doneEvent,
		"error event without reason": a + "event: error\ndata: {}\n\n",
		"error event not JSON":       a + "event: error\ndata: oops\n\n",
	}
	for name, raw := range streams {
		t.Run(name, func(t *testing.T) {
			answer, err := parse(raw)
			assert.Assert(t, answer == nil)
			assert.ErrorIs(t, err, ErrIncomplete)
		})
	}
}

func TestErrorEvent(t *testing.T) {
	raw := chunkEvent("c1", "hello") + "event: error\ndata: {\"error\":{\"reason\":\"outcome_unknown\",\"message\":\"m\",\"not_run\":false,\"retry_after_ms\":1500}}\n\n"
	_, err := parse(raw)
	var callErr *CallError
	assert.Assert(t, errors.As(err, &callErr))
	assert.Equal(t, callErr.Reason, "outcome_unknown")
	assert.Equal(t, callErr.NotRun, false)
	assert.Equal(t, callErr.RetryAfter.Milliseconds(), int64(1500))
}

// TestEveryPrefixOfAStreamIsBroken cuts a correct stream at each byte before
// the end of its end marker.
func TestEveryPrefixOfAStreamIsBroken(t *testing.T) {
	whole := chunkEvent("c1", "hello world") + lastEvent("c1", "hello world") + "data: [DONE]"
	for i := range len(whole) {
		_, err := parse(whole[:i])
		assert.ErrorIs(t, err, ErrIncomplete, "cut at byte %d", i)
	}
}

// FuzzStream checks that any input gives either an answer or an error.
func FuzzStream(f *testing.F) {
	f.Add(chunkEvent("c1", "hello")+lastEvent("c1", "hello")+doneEvent, 10, byte('x'))
	f.Add("event: error\ndata: {\"error\":{\"reason\":\"r\"}}\n\n", 3, byte('\n'))
	f.Add("data: {\"id\":\"c1\",\"choices\":[{}],\"usage\":null}\n\ndata: [DONE]\n\n", 0, byte(0))
	f.Fuzz(func(t *testing.T, raw string, at int, replacement byte) {
		if at >= 0 && at < len(raw) {
			raw = raw[:at] + string(replacement) + raw[at+1:]
		}
		answer, err := parse(raw)
		if err == nil && answer == nil {
			t.Fatal("neither an answer nor an error")
		}
		if err != nil && answer != nil {
			t.Fatal("an answer and an error")
		}
	})
}
