// Package raft is the consensus core of the replicated log: the state of one
// replica of one group as a deterministic state machine. It has no clock, no
// goroutine and no I/O. Ticks, messages and proposals go in; messages, entries
// to persist and entries to apply come out. A Node is not safe for concurrent
// use: its host calls it from one goroutine at a time.
//
// # The host's loop
//
//	for each event {
//		node.Tick() for each overdue tick, before anything else
//		node.Step(message), node.Propose(data), ...
//		if !node.HasReady() { continue }
//		rd := node.Ready()
//		send rd.Messages
//		persist rd.Snapshot, rd.HardState and rd.Entries; sync if rd.MustSync
//		node.ReportPersisted(rd.Receipt)
//		send rd.MessagesAfterPersist
//		restore rd.Snapshot; apply rd.Committed; node.ReportApplied(index)
//	}
//
// Ready hands each item out once. The host may take further Readies while an
// earlier one is still being persisted, under these rules:
//
//   - Readies are persisted and reported by ReportPersisted in the order in which they
//     were taken. ReportPersisted must follow for each Ready, also one without MustSync.
//   - MessagesAfterPersist of a Ready are sent only when this Ready and each
//     earlier one are durable. They are votes and acknowledgements: sent early,
//     a crash breaks the promise that they carry.
//   - Entries replace whatever the log on disk holds at and after the index of
//     the first of them. A Snapshot replaces the whole log on disk.
//   - Entries, messages and metadata that come out are shared with the core and
//     must not be changed.
//
// Committed entries are always durable here already; they are handed out in
// order, without gaps, once. A membership entry is among them, so that the host
// can follow the membership; it needs no action in the core.
//
// # Time
//
// A tick is the host's unit of time, taken from the monotonic clock. Two rules
// make the leader lease safe:
//
//   - After a pause the host delivers the overdue ticks before it delivers a
//     message or asks for the lease.
//   - The length of a tick, as measured by one host, differs between two hosts
//     by less than the factor (ElectionTicks-1)/LeaseTicks, 1.5 by default.
//
// LeaseRead is right at the tick at which it is called. A host that answers from
// it must make sure that no tick was overdue at the time of the call.
//
// # Leases and elections
//
// A replica that heard from a leader less than ElectionTicks ago grants no vote
// and no pre-vote, unless the candidate is that very leader or the leader has
// given up its lease to hand over leadership. A restarted replica behaves as if
// it had heard from a leader at its start. The lease of a leader counts from the
// tick at which a heartbeat round was sent that a quorum has acknowledged and
// lasts LeaseTicks, which is less than ElectionTicks. A leader that has not
// heard from a quorum for QuorumTicks steps down.
//
// # Idle groups
//
// When all members hold the whole log, know that it is committed and nothing is
// outstanding, the leader tells its followers to quiesce and does so itself. A
// quiesced group sends nothing and need not be ticked (Quiesced reports it; Tick
// is then a no-op). The host watches its peers by its own host-to-host
// heartbeats and calls Wake(elapsed, true) on each quiesced follower whose
// leader's host it suspects or has seen restart. As a bound on what that may
// miss, it calls Wake(elapsed, false) on each quiesced replica now and then, some
// minutes apart; the answer costs one heartbeat round.
//
// A proposal, a read, a membership change and most messages wake a group by
// themselves. A pre-vote wakes a quiesced follower too, without a grant, so that
// a member that misses the leader ends the quiescence of the group. The host
// resumes ticking a group that woke: it checks Quiesced after each call. A
// quiesced leader holds no lease: its first read after waking takes one round to
// a quorum.
//
// # Identity
//
// A replica ID stands for one durable state. A host that lost its disk must not
// start the old ID again: it is given a new ID (Status.NextID), added as a
// learner, promoted when it has caught up, and the old ID is removed. A replica
// without a membership (started empty, to join) grants no vote. A leader that
// sees a member answer with less than the member had acknowledged reports it in
// Status as LostState and sends it nothing more.
//
// # Membership
//
// One change at a time, in force as soon as it is in the log of a replica. A
// member is added as a learner, becomes a voter by a second change once its
// durable log has reached the commit index of the last heartbeat round, and is
// removed by a third. A leader does not remove itself; it transfers leadership
// first.
//
// # Snapshots
//
// The core knows snapshots by their metadata only. A MESSAGE_KIND_SNAPSHOT
// message asks the sending host to stream its latest snapshot, and to report the
// end of the stream by ReportSnapshot. The receiving host stores the data and
// then passes the message to Step. If the core takes the snapshot it comes out
// as Ready.Snapshot; otherwise the replica was already past it and the host
// drops the data.
package raft
