package backend

import (
	"errors"
	"time"

	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
)

// readTimeoutOption bounds the wait for each part of the answer. The library
// takes 0 for "no limit", so the shortest bound is a millisecond.
func readTimeoutOption(d time.Duration) config.RequestOption {
	return config.WithReadTimeout(max(d, time.Millisecond))
}

func ignoreNotFound(err error) error {
	var status *StatusError
	if errors.As(err, &status) && status.Status == consts.StatusNotFound {
		return nil
	}
	return err
}
