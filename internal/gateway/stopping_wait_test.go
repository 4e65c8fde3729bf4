package gateway

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRequestsThatArriveWhileAStopWaits guards against an entry that ends with "sync: WaitGroup is reused
// before previous Wait has returned" when requests begin just as the last one ends.
func TestRequestsThatArriveWhileAStopWaits(t *testing.T) {
	for range 1500 {
		f := newFixture(t)
		f.Drain(time.Now().Add(time.Hour))
		stopped := make(chan struct{})
		var clients sync.WaitGroup
		for range 3 {
			clients.Go(func() {
				for {
					select {
					case <-stopped:
						return
					default:
						f.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/unknown", http.NoBody))
					}
				}
			})
		}
		assert.NilError(t, f.Stop(t.Context()))
		close(stopped)
		clients.Wait()
	}
}
