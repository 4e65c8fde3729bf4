package daemon

import (
	"context"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// TestFilesBeingReplacedAreWaitedFor guards against a daemon that ends since a certificate and its key
// do not match, or are missing, while they are replaced.
func TestFilesBeingReplacedAreWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		value, err := awaitFiles(t.Context(), hclog.NewNullLogger(), func() (int, error) {
			if time.Since(start) < time.Second {
				return 0, os.ErrNotExist
			}
			return 1, nil
		})
		assert.NilError(t, err)
		assert.Equal(t, value, 1)
		assert.Equal(t, time.Since(start), time.Second)
	})
}

func TestUnusableFilesEndTheWaitAfterItsTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		missing := func() (int, error) { return 0, os.ErrNotExist }
		_, err := awaitFiles(t.Context(), hclog.NewNullLogger(), missing)
		assert.ErrorIs(t, err, os.ErrNotExist)
		assert.Equal(t, time.Since(start), filesTimeout)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err = awaitFiles(ctx, hclog.NewNullLogger(), missing)
		assert.ErrorIs(t, err, context.Canceled)
	})
}
