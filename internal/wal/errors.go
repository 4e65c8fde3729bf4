package wal

import (
	"errors"
	"fmt"
)

// Errors of this package.
var (
	// ErrCorrupt reports damage of data that may have been acknowledged.
	ErrCorrupt = errors.New("wal: corrupt")
	// ErrFailed reports that a write or fsync failed earlier. The log accepts
	// nothing more; the process has to be restarted.
	ErrFailed = errors.New("wal: failed")
	// ErrClosed reports an append to a closed log.
	ErrClosed = errors.New("wal: closed")
	// ErrLocked reports that another process uses the data folder.
	ErrLocked = errors.New("wal: data folder is in use")
	// ErrTooLarge reports an update that does not fit into one frame.
	ErrTooLarge = errors.New("wal: update too large")
)

// CorruptError says where the log is damaged. It wraps ErrCorrupt.
type CorruptError struct {
	Segment string // file name of the segment
	Offset  int64  // bytes from the start of the segment
	Reason  string
}

// Error describes the damage.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("wal: corrupt: segment %s, offset %d: %s", e.Segment, e.Offset, e.Reason)
}

// Unwrap returns ErrCorrupt.
func (e *CorruptError) Unwrap() error {
	return ErrCorrupt
}
