// Package raft implements the Raft consensus algorithm. A Node is one replica of
// one group, as a deterministic state machine without a clock, goroutines or
// I/O. Its inputs are ticks, messages and proposals; its outputs are messages,
// entries to persist and entries to apply. Its host, the program that runs it,
// does the I/O. A Node is not safe for concurrent use: the host calls it from one
// goroutine at a time.
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
// Ready returns each item once. The host may take the next Ready while earlier
// ones are still being persisted, under these rules:
//
//   - Readies are persisted and reported by ReportPersisted in the order in which they
//     were taken. ReportPersisted must follow for each Ready, also one without MustSync.
//   - MessagesAfterPersist of a Ready are sent only when this Ready and all
//     earlier ones are durable. They are votes and acknowledgements: if one were
//     sent earlier, the replica could crash and no longer know that it had granted
//     the vote or stored the entries.
//   - Entries replace all entries of the log on disk from the index of the first
//     new entry. A Snapshot replaces the whole log on disk.
//   - Entries, messages and metadata in a Ready are shared with the Node and must
//     not be changed.
//
// Committed holds only entries that are durable on this replica, each once, in
// order and without gaps. These include membership entries, for a host that
// tracks the membership; the Node itself needs no call for them.
//
// # Time
//
// A tick is a fixed interval of the host's monotonic clock. Two rules make the
// leader lease safe:
//
//   - After a pause, the host delivers the overdue ticks before it delivers a
//     message or reads the lease.
//   - The lengths of a tick on two hosts differ by less than the factor
//     (ElectionTicks-1)/LeaseTicks, which is 1.5 by default.
//
// The result of LeaseRead is valid at the time of the call, provided that no
// tick is overdue then.
//
// # Leases and elections
//
// A replica that heard from a leader less than ElectionTicks ago grants no vote
// and no pre-vote, unless the candidate is that leader or the leader has given up
// its lease to transfer leadership. A restarted replica behaves as if it had
// heard from a leader at its start, or earlier by InitialState.SilentTicks. The lease of a leader starts at the tick at
// which it sent the latest heartbeat round that a quorum has acknowledged, and
// lasts LeaseTicks, which is less than ElectionTicks. A leader that has not heard
// from a quorum for QuorumTicks steps down.
//
// # Idle groups
//
// When all members hold the whole log durably and know that it is committed, no
// read or leadership transfer is pending and no request has come for
// QuiesceTicks, the leader tells its followers to quiesce and quiesces itself. A
// quiesced replica sends nothing and need not be ticked: Quiesced returns true,
// and Tick does nothing. Instead, the hosts exchange heartbeats with each other,
// independent of the groups. A host calls Wake(elapsed, true) on each quiesced
// follower if the host of the leader is suspected to have failed or has
// restarted. As these heartbeats may miss a failure, it also calls Wake(elapsed,
// false) on each quiesced replica every few minutes, which costs one heartbeat
// round.
//
// A proposal, a read, a membership change and most messages wake a group without
// a call of Wake. A pre-vote wakes a quiesced follower too, but is refused, so
// that a member that no longer hears the leader ends the quiescence of the group.
// The host checks Quiesced after each call and resumes ticking a replica that
// woke. A quiesced leader holds no lease: its first read after waking takes one
// heartbeat round to a quorum.
//
// # Identity
//
// A replica ID identifies one durable state. A host that lost its disk must not
// start a replica under the old ID again: the new replica gets a new ID
// (Status.NextID), is added as a learner and promoted when it has caught up, and
// the old ID is removed. A replica that started empty, in order to join a group,
// grants no vote until it knows the membership. If a member reports a shorter log
// than it has acknowledged, the leader marks it in Status as LostState and sends
// it nothing more.
//
// # Membership
//
// The membership changes by one member at a time. A replica uses a new membership
// as soon as the entry is in its log. A member is added as a learner, and becomes
// a voter by a second change once its durable log has reached the commit index of
// the last heartbeat round. Removing a member is a change of its own. A leader
// cannot remove itself; it transfers leadership first.
//
// # Snapshots
//
// A Node handles only the metadata of snapshots. For a MESSAGE_KIND_SNAPSHOT
// message, the sending host streams its latest snapshot and reports the end of
// the stream by ReportSnapshot. The receiving host stores the data and then
// passes the message to Step. If the Node accepts the snapshot, it returns it as
// Ready.Snapshot; otherwise its log already covers the snapshot, and the host
// deletes the data.
package raft
