package backend

import (
	"context"
	"errors"
	"time"

	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
)

// maxReadTimeout bounds an answer whose context has no deadline.
const maxReadTimeout = time.Hour

// readTimeoutOption bounds the whole answer: the library sets one deadline when
// it begins to read. It takes 0 for "no limit", so the shortest bound is a
// millisecond.
func readTimeoutOption(ctx context.Context) config.RequestOption {
	limit := maxReadTimeout
	if deadline, ok := ctx.Deadline(); ok {
		limit = min(limit, time.Until(deadline))
	}
	return config.WithReadTimeout(max(limit, time.Millisecond))
}

func ignoreNotFound(err error) error {
	var status *StatusError
	if errors.As(err, &status) && status.Status == consts.StatusNotFound {
		return nil
	}
	return err
}
