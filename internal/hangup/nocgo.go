//go:build !cgo

// Package hangup ignores SIGHUP from the initialization of packages until signal.Notify.
package hangup

import (
	"os/signal"
	"syscall"
)

func init() { signal.Ignore(syscall.SIGHUP) }
