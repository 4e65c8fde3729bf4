package entry

import (
	"bytes"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/cloudwego/hertz/pkg/app"
	"gotest.tools/v3/assert"
)

const testKey = "ik_wharf_0123456789abcdef0123"

func testHeaders(extra map[string]string) headerFunc {
	return func(name string) string {
		if value, ok := extra[name]; ok {
			return value
		}
		return map[string]string{
			headerAuthorization: bearerPrefix + testKey,
			headerProgram:       "p1",
			headerCall:          "c1",
		}[name]
	}
}

func TestParseChatReportsWhatIsInvalid(t *testing.T) {
	const valid = `{"model":"m","messages":[{"role":"user","content":"x"}]}`
	tests := map[string]struct {
		body    string
		headers map[string]string
		reason  string
		message string
	}{
		"valid":             {body: valid},
		"no key":            {body: valid, headers: map[string]string{headerAuthorization: ""}, reason: reasonUnauthenticated, message: "Authorization"},
		"malformed key":     {body: valid, headers: map[string]string{headerAuthorization: "Bearer nonsense"}, reason: reasonUnauthenticated, message: "malformed"},
		"not UTF-8":         {body: "{\"model\":\"\xff\"}", reason: reasonInvalidUTF8, message: "UTF-8"},
		"not JSON":          {body: `{"model":`, reason: reasonInvalidRequest, message: "body"},
		"two values":        {body: valid + valid, reason: reasonInvalidRequest, message: "more than one"},
		"unknown field":     {body: `{"model":"m","messages":[{"role":"user"}],"flavour":1}`, reason: reasonInvalidRequest, message: "flavour"},
		"no model":          {body: `{"messages":[{"role":"user"}]}`, reason: reasonInvalidRequest, message: "model"},
		"no messages":       {body: `{"model":"m","messages":[]}`, reason: reasonInvalidRequest, message: "messages"},
		"message role":      {body: `{"model":"m","messages":[{"content":"x"}]}`, reason: reasonInvalidRequest, message: "messages[0].role"},
		"negative limit":    {body: `{"model":"m","messages":[{"role":"user"}],"max_tokens":-1}`, reason: reasonInvalidRequest, message: "max_tokens"},
		"absurd limit":      {body: `{"model":"m","messages":[{"role":"user"}],"max_tokens":9007199254740993}`, reason: reasonInvalidRequest, message: "max_tokens"},
		"program name":      {body: valid, headers: map[string]string{headerProgram: "a/b"}, reason: reasonInvalidRequest, message: headerProgram},
		"long call":         {body: valid, headers: map[string]string{headerCall: strings.Repeat("x", 129)}, reason: reasonInvalidRequest, message: headerCall},
		"sequence":          {body: valid, headers: map[string]string{headerSequence: "0"}, reason: reasonInvalidRequest, message: headerSequence},
		"negative deadline": {body: valid, headers: map[string]string{headerDeadline: "-5"}, reason: reasonInvalidRequest, message: headerDeadline},
		"absurd deadline":   {body: valid, headers: map[string]string{headerDeadline: "99999999999"}, reason: reasonInvalidRequest, message: headerDeadline},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			req, failure := parseChat(testHeaders(test.headers), []byte(test.body), 100, time.Unix(0, 0))
			if test.reason == "" {
				assert.Assert(t, failure == nil, "%v", failure)
				assert.Equal(t, req.MaxOutputTokens, uint64(100))
				assert.Equal(t, req.Key.Customer, "wharf")
				return
			}
			assert.Equal(t, failure.Reason, test.reason)
			assert.Assert(t, strings.Contains(failure.Message, test.message), failure.Message)
			assert.Assert(t, failure.NotRun)
		})
	}
}

func TestOversizeBodyIsRefused(t *testing.T) {
	e := &Entry{cfg: Config{MaxBodyBytes: 10}}
	rc := app.NewContext(0)
	rc.Request.SetBody([]byte("0123456789"))
	body, failure := e.requestBody(rc)
	assert.Assert(t, failure == nil)
	assert.Equal(t, string(body), "0123456789")
	rc.Request.SetBody([]byte("0123456789x"))
	_, failure = e.requestBody(rc)
	assert.Equal(t, failure.Reason, reasonBodyTooLarge)
	assert.Equal(t, failure.Status, statusTooLarge)
	assert.Assert(t, failure.NotRun)
}

func TestFingerprintDependsOnContentNotOnEncoding(t *testing.T) {
	parse := func(body string) []byte {
		req, failure := parseChat(testHeaders(nil), []byte(body), 100, time.Unix(0, 0))
		assert.Assert(t, failure == nil, "%v", failure)
		return req.Fingerprint
	}
	base := parse(`{"model":"m","messages":[{"role":"user","content":"x"}]}`)
	streamed := parse(`{ "stream": true, "messages":[{"role":"user","content":"x"}], "model":"m" }`)
	other := parse(`{"model":"m","messages":[{"role":"user","content":"y"}]}`)
	withTemperature := parse(`{"model":"m","messages":[{"role":"user","content":"x"}],"temperature":1}`)
	assert.Assert(t, bytes.Equal(base, streamed))
	assert.Assert(t, !bytes.Equal(base, other))
	assert.Assert(t, !bytes.Equal(base, withTemperature))
}

func TestCompleteRunesNeverSplitsRune(t *testing.T) {
	text := []byte("ña€𝄞x")
	for cut := range len(text) + 1 {
		complete := completeRunes(text[:cut])
		assert.Assert(t, utf8.Valid(text[:complete]), "cut at %d", cut)
		assert.Assert(t, cut-complete < utf8.UTFMax)
	}
	assert.Equal(t, completeRunes([]byte{'a', 0xff}), 2)
}

func FuzzParseChat(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":5}`))
	f.Add([]byte(`{"messages":[{}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		req, failure := parseChat(testHeaders(nil), body, 100, time.Unix(0, 0))
		if failure != nil {
			if !failure.NotRun {
				t.Fatal("a refused request may have run")
			}
			return
		}
		if req.MaxOutputTokens == 0 || req.MaxOutputTokens > 100 || !utf8.Valid(req.Body) || req.MaxInputTokens < uint64(len(req.Body)) {
			t.Fatalf("accepted %+v", req)
		}
	})
}

func FuzzParseService(f *testing.F) {
	f.Add("berths", "book", []byte(`{"berth":4}`))
	f.Fuzz(func(t *testing.T, service, operation string, body []byte) {
		req, failure := parseService(testHeaders(nil), service, operation, body, time.Unix(0, 0))
		if failure == nil && (req.Service != service || len(req.Body) == 0) {
			t.Fatalf("accepted %+v", req)
		}
	})
}
