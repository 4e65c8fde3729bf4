package backendtest

import (
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

type booking struct {
	Berth string `json:"berth"`
}

func TestServiceRecordsEachExecution(t *testing.T) {
	path := filepath.Join(t.TempDir(), "effects.log")
	s := StartService(t, ServiceOptions{Names: []string{"berths"}, EffectsFile: path})
	c := newTestClient(t, s.URL())
	var answer ServiceAnswer
	c.doExpecting("POST", "/v1/services/berths/book", booking{Berth: "3"}, 200, &answer)
	c.doExpecting("POST", "/v1/services/berths/book", booking{Berth: "3"}, 200, &answer)
	assert.Equal(t, answer.Effect, 2)
	c.doExpecting("POST", "/v1/services/other/book", booking{Berth: "3"}, 404, nil)
	c.doExpecting("POST", "/v1/services/berths/book", []byte("{"), 400, nil)
	c.doExpecting("POST", "/admin/refuse", refuseRequest{Count: 1, Status: 503}, 204, nil)
	c.doExpecting("POST", "/v1/services/berths/book", booking{Berth: "4"}, 503, nil)
	var effects []Effect
	c.doExpecting("GET", "/effects", nil, 200, &effects)
	assert.Equal(t, len(effects), 2)
	logged, err := ReadEffects(path)
	assert.NilError(t, err)
	assert.DeepEqual(t, logged, effects)
}

func TestRestartedServiceReadsItsEffectsFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "effects.log")
	first := StartService(t, ServiceOptions{Names: []string{"berths"}, EffectsFile: path})
	newTestClient(t, first.URL()).doExpecting("POST", "/v1/services/berths/book", booking{Berth: "3"}, 200, nil)
	first.Close()
	second := StartService(t, ServiceOptions{Names: []string{"berths"}, EffectsFile: path})
	assert.Equal(t, len(second.Effects()), 1)
}

func TestHangingOperationIsExecuted(t *testing.T) {
	s := StartService(t, ServiceOptions{Names: []string{"berths"}, HangMarker: "HANG"})
	c := newTestClient(t, s.URL())
	ended := make(chan error, 1)
	go func() {
		_, err := c.do("POST", "/v1/services/berths/book", booking{Berth: "HANG"}, nil)
		ended <- err
	}()
	waitFor(t, "the effect", func() bool { return len(s.Effects()) == 1 })
	s.Close()
	assert.Assert(t, <-ended != nil)
}
