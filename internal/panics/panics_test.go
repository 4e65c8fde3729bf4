package panics

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

func newLog() (hclog.Logger, *bytes.Buffer) {
	output := new(bytes.Buffer)
	return hclog.New(&hclog.LoggerOptions{Output: output, JSONFormat: true}), output
}

func TestPanicIsLoggedAndReturned(t *testing.T) {
	log, output := newLog()
	assert.NilError(t, Contain(log, "part", func() {}))
	assert.Equal(t, output.Len(), 0)
	err := Contain(log, "part", func() { panic("boom") })
	var panicked *Error
	assert.Assert(t, errors.As(err, &panicked))
	assert.Equal(t, panicked.Part, "part")
	assert.Assert(t, strings.Contains(output.String(), "boom") && strings.Contains(output.String(), "panics_test.go"), output)
}

func TestPanicOfAHandlerIsLogged(t *testing.T) {
	for value, logged := range map[any]bool{"boom": true, http.ErrAbortHandler: false} {
		log, output := newLog()
		server := httptest.NewUnstartedServer(Handler(log, "http", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(value) })))
		server.Start()
		resp, err := http.Get(server.URL)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		assert.Assert(t, err != nil)
		server.Close()
		assert.Equal(t, output.Len() > 0, logged, output)
	}
}
