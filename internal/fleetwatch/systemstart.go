package fleetwatch

import (
	"time"

	"ibistray.example/ibistray/internal/policy/founding"
	"ibistray.example/ibistray/proto/fleetpb"
)

// NewSystemStart returns the message by which a process vouches for the time since the first start of
// its system, which is at most age. It returns nil if that is too long ago to matter.
func NewSystemStart(age time.Duration, seeds []string) *fleetpb.SystemStart {
	if age >= founding.Window {
		return nil
	}
	return &fleetpb.SystemStart{AgeMs: age.Milliseconds() + 1, Seeds: seeds}
}
