// Package configlease distributes the configuration to every process and
// determines which version is in force. A version is in force once every holder
// with a valid lease has applied it or a higher one.
//
// Leases have two levels. A control process renews its lease with the leader of
// the configuration group every renewInterval; the lease is valid for
// HostLeaseDuration, counted from the time at which the renewal was sent.
// Entries and sidecars, the holders, keep a copy of the configuration. They
// renew their lease with a control process in the messages that they send to it
// anyway. A control process grants leases only while its own lease is valid and
// its state is at least as new as the leader's was when that lease was granted.
// A holder's lease is valid for HolderLeaseDuration, counted from the time at
// which its message was sent.
//
// A change is in force once each control process has reported that it and all
// its holders have applied the change, or has not renewed for longer than
// HostLeaseDuration and HolderLeaseDuration together, after which none of its
// holders has a valid lease. A new leader does not know which leases its
// predecessor granted, so it waits for that long before it ignores a control
// process that has not renewed.
//
// A holder applies only versions higher than its own, so its configuration never
// reverts.
package configlease

import "time"

// Lease durations, measured on the monotonic clock of each process. Their sum
// limits how long an unreachable process can delay a change.
const (
	HostLeaseDuration   = 3 * time.Second
	HolderLeaseDuration = 4 * time.Second
	// clockMargin is the most by which the clocks of two processes may drift
	// apart during one lease.
	clockMargin = 500 * time.Millisecond

	renewInterval = time.Second
	renewTimeout  = time.Second
)
