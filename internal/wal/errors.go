package wal

import (
	"errors"
	"fmt"
	"syscall"
)

// Errors that Open and the methods of Log return or wrap.
var (
	// ErrCorrupt reports that data which may have been acknowledged is damaged or
	// missing.
	ErrCorrupt = errors.New("wal: corrupt")
	// ErrFailed reports that this write or fsync or an earlier one failed. The log
	// refuses all later appends; it has to be closed and opened again.
	ErrFailed = errors.New("wal: failed")
	// ErrClosed reports an append to a closed log.
	ErrClosed = errors.New("wal: closed")
	// ErrLocked reports that another process uses the data directory.
	ErrLocked = errors.New("wal: data folder is in use")
	// ErrTooLarge reports an append that does not fit into one frame.
	ErrTooLarge = errors.New("wal: append is too large")
)

// IsDiskFull reports whether an operation failed because a disk, a quota or the limit of the size of
// files is used up.
func IsDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EFBIG)
}

// CorruptError reports where a segment file or the identity file is corrupt, and why.
// It wraps ErrCorrupt.
type CorruptError struct {
	Segment string // name of the segment file or of the identity file
	Offset  int64  // bytes from the start of the file
	Reason  string
}

// Error returns the location and the reason.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("wal: corrupt: segment %s, offset %d: %s", e.Segment, e.Offset, e.Reason)
}

// Unwrap returns ErrCorrupt.
func (e *CorruptError) Unwrap() error {
	return ErrCorrupt
}
