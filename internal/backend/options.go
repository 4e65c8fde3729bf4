package backend

import (
	"context"
	"errors"
	"time"

	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
)

// maxReadTimeout limits a response if the context has no deadline.
const maxReadTimeout = time.Hour

// readTimeoutOption limits the time to read the whole response, since Hertz sets one
// deadline when it begins to read. Hertz takes 0 as no limit, so the timeout is at least
// a millisecond.
func readTimeoutOption(ctx context.Context) config.RequestOption {
	timeout := maxReadTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline))
	}
	return config.WithReadTimeout(max(timeout, time.Millisecond))
}

// ignoreNotFound returns err, or nil if err is a *StatusError with status 404.
func ignoreNotFound(err error) error {
	var status *StatusError
	if errors.As(err, &status) && status.Status == consts.StatusNotFound {
		return nil
	}
	return err
}
