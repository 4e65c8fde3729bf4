package daemon

import (
	"context"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"

	"ibistray.example/ibistray/internal/loop"
)

const (
	// filesTimeout limits how long a starting process waits for files that it can use.
	filesTimeout = 5 * time.Second
	// filesRetryInterval is the pause between attempts to load files.
	filesRetryInterval = 100 * time.Millisecond
)

// awaitFiles returns what load returns once it succeeds: certificates and keys may be in the middle of
// being replaced. After filesTimeout, or when ctx ends, it returns the error of load.
func awaitFiles[T any](ctx context.Context, log hclog.Logger, load func() (T, error)) (T, error) {
	end := time.Now().Add(filesTimeout)
	for waiting := false; ; waiting = true {
		value, err := load()
		if err == nil || !time.Now().Before(end) {
			return value, err
		}
		if !waiting {
			log.Error("files cannot be used yet: waiting", "for_ms", filesTimeout.Milliseconds(), "error", err)
		}
		if !loop.Sleep(ctx, filesRetryInterval) {
			return value, fmt.Errorf("%w: %w", ctx.Err(), err)
		}
	}
}
