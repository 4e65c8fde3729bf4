// Package configlease brings the configuration to every process and says when a
// change is in force.
//
// Leases form two levels. A control process renews its lease with the leader of
// the configuration group each renewInterval; the lease holds for HostLease from
// the time at which the renewal was sent. Entries and sidecars, the holders of
// copies, renew theirs with a control process by the messages that they send
// anyway; a control process grants only while its own lease is valid and its
// state is at least as new as the leader was. A holder's lease holds for
// HolderLease from the time at which its message was sent.
//
// A change is in force once each control process has reported that it and all
// of its holders have applied it, or has been silent for HostLease and
// HolderLease together, after which none of its holders has a lease. A new
// leader waits for that long before it counts a silent control process out.
//
// Copies apply higher versions only, so a configuration never reverts.
package configlease

import "time"

// Durations of the leases, by the monotonic clock of each process. Their sum
// bounds the time until a change is in force while processes are cut off.
const (
	HostLeaseDuration   = 3 * time.Second
	HolderLeaseDuration = 4 * time.Second
	// clockMargin covers the difference between the clocks of two processes
	// over one lease.
	clockMargin = 500 * time.Millisecond

	renewInterval = time.Second
	renewTimeout  = time.Second
)
