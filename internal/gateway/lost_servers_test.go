package gateway

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/proto/fleetpb"
)

// TestContentServedBeforeCrashesAreConfirmedIsNotQuarantined loses three servers while each runs
// the same request, which other servers then answer. That the three crashed is known only later.
func TestContentServedBeforeCrashesAreConfirmedIsNotQuarantined(t *testing.T) {
	var lost []*backend
	for i := range 3 {
		var crashed atomic.Bool
		lost = append(lost, newBackend(t, fmt.Sprint("s", i), func(w http.ResponseWriter, r *http.Request, body string) {
			if !crashed.Swap(true) {
				abortConnection(w, r, body)
			}
			respondOK(w, r, body)
		}))
	}
	f := newFixture(t, lost...)
	for i := 0; len(lost[0].executed()) < 2 || len(lost[1].executed()) < 2 || len(lost[2].executed()) < 2; i++ {
		assert.Assert(t, i < 100)
		f.send(t, http.MethodGet, "/safe/x", "", "Id", fmt.Sprint(i))
	}
	update := new(fleetpb.Update)
	for _, b := range lost {
		i := instanceOf(b)
		i.BornMs = 2
		update.Instances = append(update.Instances, i)
	}
	f.view.apply("test", update)
	got := f.send(t, http.MethodGet, "/safe/x", "", "Id", "after")
	assert.Equal(t, got.status, http.StatusOK, got.body)
}
