package daemon

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"

	"ibistray.example/ibistray/internal/loop"
	"ibistray.example/ibistray/internal/telemetry"
	"ibistray.example/ibistray/internal/wal"
)

const (
	// lockRetryInterval is the pause between attempts to open a data directory that is in use.
	lockRetryInterval = 300 * time.Millisecond
	// filesTimeout limits how long a starting process waits for files that it can use.
	filesTimeout = 5 * time.Second
	// filesRetryInterval is the pause between attempts to load files.
	filesRetryInterval = 100 * time.Millisecond
)

// openControl opens the control role. It waits until no other process uses the data directory, such
// as a predecessor that ends, or until ctx ends. Each attempt registers its metrics anew.
func (d *Daemon) openControl(ctx context.Context) error {
	for waiting := false; ; waiting = true {
		d.metrics = telemetry.NewMetrics()
		role, err := newControlRole(d.settings, d.log.Named("control"), d.metrics, d.pool, d.fail)
		if !errors.Is(err, wal.ErrLocked) {
			d.control = role
			return err
		}
		if !waiting {
			d.log.Error("data directory is in use: the control role waits", "error", err)
		}
		if !loop.Sleep(ctx, lockRetryInterval) {
			return fmt.Errorf("daemon: %w", ctx.Err())
		}
	}
}

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
