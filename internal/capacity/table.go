package capacity

import (
	"errors"
	"strings"
)

// slopeReader reads the slopes of a report and collects the errors for missing ones.
type slopeReader struct {
	report *Report
	errs   []error
}

// get returns the value of a slope, or 0 if it is missing.
func (s *slopeReader) get(name SlopeName) float64 {
	value, err := s.report.Get(name)
	if err != nil {
		s.errs = append(s.errs, err)
	}
	return value
}

// Tables computes the resource use at the target size and returns the tables of
// docs/CAPACITY.md in Markdown. The error wraps ErrNoSlope if the report lacks a
// slope.
func Tables(r *Report) (string, error) {
	s := &slopeReader{report: r}
	var b strings.Builder
	writeTable(&b, "Sizes that follow", targetSizeRows())
	writeTable(&b, "Entry, one of 305: control", entryControlRows(s))
	writeTable(&b, "Entry, one of 305: the callers' own data", entryDataRows(s))
	writeTable(&b, "Sidecar, one of 11,000: control", sidecarControlRows(s))
	writeTable(&b, "Sidecar, one of 11,000: the callers' own data", sidecarDataRows(s))
	writeTable(&b, "Control host, one of 45: control", controlRows(s))
	writeTable(&b, "Control host, one of 45: the callers' own data", shardRows(s))
	writeTable(&b, "Failures and changes", failureRows(s))
	writeSlopes(&b, r)
	if len(s.errs) > 0 {
		return "", errors.Join(s.errs...)
	}
	return b.String(), nil
}

// targetSizeRows returns the sizes that the target and the assumptions lead to.
func targetSizeRows() []row {
	return []row{
		derivedRow("control hosts", count(targetControlHosts), "all that may be set aside").withKind(kindAssumed),
		derivedRow("entries", count(assumedEntries), "350 nodes less the control hosts").withKind(kindAssumed),
		derivedRow("tokens of a call", count(tokensPerCall), "tokens over requests a second"),
		derivedRow("duration of a call", duration(secondsPerCall), "48 ms a token, so an upper bound"),
		derivedRow("calls in progress", count(callsInProgress), "requests a second by their duration"),
		derivedRow("text of all histories", byteSize(totalHistoryBytes), "98,000 programs of 250,000 tokens, 4 B a token assumed; upper bound"),
		derivedRow("replicas on a control host", count(replicasPerControlHost), "1,024 shards of three replicas on 45 hosts"),
		derivedRow("shards led by a control host", count(leadersPerControlHost), "1,024 shards on 45 hosts"),
		derivedRow("servers in a region", count(serversPerRegion), "11,000 in 6 regions"),
	}
}

// entryControlRows returns the resource use of an entry that does not depend on calls.
func entryControlRows(s *slopeReader) []row {
	cpu := s.get(EntryIdleCPU) + serversInView*s.get(EntryServerCPU)
	memory := s.get(EntryIdleMemory) + serversInView*s.get(EntryServerMemory)
	currentBytes := serversInView * assumedAnnouncementRate * s.get(MembersReadMemberBytes)
	targetBytes := float64(targetModels) * assumedServersPerModel * assumedServerLoadBytes
	return []row{
		limitedRow("processor", corePercent(cpu/microsPerSecond*100), nodeCPULimit, "idle entry, and 640 servers in its view that announce themselves each second"),
		limitedRow("memory", byteSize(memory), nodeMemoryLimit, "idle entry and 640 servers in its view"),
		limitedRow("network, today", byteRate(currentBytes), nodeNetworkLimit, "640 servers change each second and every change is read with its whole announcement"),
		limitedRow("network, with 8 servers a model and only their load", byteRate(targetBytes), nodeNetworkLimit, "80 servers, 24 B each a second assumed; not built"),
	}
}

// entryDataRows returns the resource use of an entry for the calls of its share.
func entryDataRows(s *slopeReader) []row {
	callCPU := callsPerEntry * s.get(EntryCallCPU) / microsPerSecond
	chunkCPU := chunksPerEntry * s.get(EntryChunkCPU) / microsPerSecond
	callsAtEntry := callsInProgress / assumedEntries
	return []row{
		derivedRow("calls", rate(callsPerEntry), "9,900 on 305"),
		derivedRow("streamed events", rate(chunksPerEntry), "one event a token, upper bound"),
		derivedRow("processor of calls", coreCount(callCPU), "`entry.call.cpu`"),
		derivedRow("processor of events", coreCount(chunkCPU), "`entry.chunk.cpu`"),
		derivedRow("memory of calls in progress", byteSize(callsAtEntry*s.get(EntryOpenCallMemory)), formatNumber(callsAtEntry)+" calls, `entry.open_call.memory`"),
	}
}

// sidecarControlRows returns the resource use of a sidecar that does not depend on
// calls.
func sidecarControlRows(s *slopeReader) []row {
	announceCPU := s.get(SidecarAnnounceCPU)
	announceBytes := s.get(SidecarAnnounceBytes)
	cpu := func(controlProcesses float64) quantity {
		return corePercent((s.get(SidecarProbeCPU) + controlProcesses*announceCPU) / microsPerSecond * 100)
	}
	return []row{
		limitedRow("processor, today", cpu(targetControlHosts), nodeCPULimit, "probes each 500 ms, and 45 control processes told each second"),
		limitedRow("processor, two of its region told", cpu(assumedControlsPerSidecar), nodeCPULimit, "not built"),
		limitedRow("memory", byteSize(s.get(SidecarIdleMemory)), nodeMemoryLimit, "idle process").withKind(kindMeasured),
		limitedRow("network, today", byteRate(targetControlHosts*announceBytes), nodeNetworkLimit, "written, 45 control processes told each second"),
		limitedRow("network, two of its region told", byteRate(assumedControlsPerSidecar*announceBytes), nodeNetworkLimit, "not built"),
	}
}

// sidecarDataRows returns the resource use of a sidecar for the calls of its share.
func sidecarDataRows(s *slopeReader) []row {
	callCPU := callsPerServer * s.get(SidecarCallCPU) / microsPerSecond
	chunkCPU := chunksPerServer * s.get(SidecarChunkCPU) / microsPerSecond
	callsAtServer := callsInProgress / targetServers
	return []row{
		derivedRow("calls", rate(callsPerServer), "9,900 on 11,000"),
		derivedRow("streamed events", rate(chunksPerServer), "one event a token, upper bound"),
		derivedRow("processor", coreCount(callCPU+chunkCPU), "`sidecar.call.cpu` and `sidecar.chunk.cpu`"),
		derivedRow("memory of calls in progress", byteSize(callsAtServer*s.get(SidecarOpenCallMemory)), formatNumber(callsAtServer)+" calls, `sidecar.open_call.memory`"),
		derivedRow("text of its programs", byteSize(totalHistoryBytes/targetServers), "each program's text at one sidecar; the cache is limited to 64 MB"),
	}
}

// controlRows returns the resource use of a control host that does not depend on
// calls.
func controlRows(s *slopeReader) []row {
	announcementCPU := s.get(ControlAnnouncementCPU) / microsPerSecond
	announcements := targetServers * assumedControlsPerSidecar / targetControlHosts
	reads := assumedEntries * assumedDirectoryReadRate / targetControlHosts
	readCPUPerServer := reads * s.get(ControlMembersReadCPU) / microsPerSecond
	changes := targetChangesPerDay / secondsPerDay * assumedChangePeakFactor
	changeCPU := changes * s.get(ControlChangeCPU) / microsPerSecond
	changeBytes := changes * s.get(ControlChangeBytes)
	recordCPU := changes * assumedConfigRecords * s.get(ControlChangeRecordCPU) / microsPerSecond
	recordBytes := changes * assumedConfigRecords * s.get(ControlChangeRecordBytes)
	serverMemory := s.get(ControlServerMemory)
	responseBytes := reads * serversInView / assumedDirectoryReadRate * s.get(MembersReadMemberBytes)
	return []row{
		derivedRow("processor, idle", corePercent(s.get(ControlIdleCPU)/microsPerSecond*100), "16 shards, three control processes").withKind(kindMeasured),
		derivedRow("processor, idle replicas", corePercent(replicasPerControlHost*s.get(ReplicaIdleCPU)/microsPerSecond*100), "`control.replica.idle.cpu`"),
		derivedRow("processor, announcements today", coreCount(targetServers*announcementCPU), "each sidecar tells each control process each second"),
		derivedRow("processor, announcements to two of the region", coreCount(announcements*announcementCPU), formatNumber(announcements)+" a second; not built"),
		derivedRow("processor, reads of the directory today", coreCount(readCPUPerServer*targetServers), formatNumber(reads)+" reads a second over 11,000 servers"),
		derivedRow("processor, reads of a region's directory", coreCount(readCPUPerServer*serversPerRegion), "not built"),
		derivedRow("network, answers to reads", byteRate(responseBytes), "each entry reads the changes of 640 servers a second"),
		derivedRow("processor, changes whose wait reads all records, over all replicas", coreCount(changeCPU+recordCPU), formatNumber(changes)+" changes a second (ten times the mean of the day assumed), 2,000 records in force assumed"),
		derivedRow("network and disk, changes whose wait reads all records, over all replicas", byteRate(changeBytes+recordBytes), "as above; as measured, before the wait was changed"),
		derivedRow("processor, changes, today", coreCount(changeCPU), "`control.change.cpu`; not measured again since the wait was changed"),
		derivedRow("network and disk, changes, today", byteRate(changeBytes), "`control.change.bytes`; not measured again since the wait was changed"),
		derivedRow("memory, idle", byteSize(s.get(ControlIdleMemory)), "resident, 16 shards").withKind(kindMeasured),
		derivedRow("memory, directory today", byteSize(targetServers*serverMemory), "11,000 servers"),
		derivedRow("memory, directory of a region", byteSize(serversPerRegion*serverMemory), "not built"),
	}
}

// shardRows returns the resource use of a control host for calls: its replicas of
// customer shards.
func shardRows(s *slopeReader) []row {
	programs := targetPrograms * dataSharePerControlHost
	calls := programs * targetTurnsPerProgram
	recordMemory := programs*s.get(ProgramMemory) + calls*s.get(CallRecordMemory)
	contractMemory := targetCustomers * dataSharePerControlHost * s.get(ContractMemory)
	replicaMemory := replicasPerControlHost * s.get(ReplicaMemory)
	diskPerCall := s.get(ControlCallDiskBytes)
	period := snapshotPeriod(diskPerCall)
	snapshotBytes := replicasPerControlHost * totalHistoryBytes / plannedShards / period
	customerRate := s.get(CustomerCallRate)
	callCPU := s.get(ControlCallCPU) + tokensPerCall*s.get(ControlTokenCPU)
	return []row{
		derivedRow("calls led", rate(callsPerControlHost), "9,900 on 45"),
		derivedRow("log entries written", rate(callsPerControlHost*logEntriesPerCall*replicasPerShard), "two a call on three replicas"),
		derivedRow("processor", coreCount(callsPerControlHost*callCPU/microsPerSecond), "`control.call.cpu` and `control.token.cpu`, all three replicas"),
		derivedRow("disk, log", byteRate(callsPerControlHost*diskPerCall), "`control.call.disk`, calls of 0.4 and answers of 1.4 KB"),
		derivedRow("network between replicas", byteRate(callsPerControlHost*s.get(ControlCallNetworkBytes)), "`control.call.wire`, sent"),
		derivedRow("memory, programs and call records", byteSize(recordMemory), "65 calls in each program, upper bound"),
		derivedRow("memory, contracts", byteSize(contractMemory), "`control.contract.memory`"),
		derivedRow("memory, replicas", byteSize(replicaMemory), "`control.replica.memory`"),
		derivedRow("memory, index of bodies", byteSize(calls*bodiesPerCall*s.get(BodyMemory)), "two bodies a call, `control.body.memory`"),
		derivedRow("disk, bodies", byteSize(totalHistoryBytes*dataSharePerControlHost), "the store on disk, without what its compaction leaves"),
		derivedRow("disk, snapshots today", byteRate(snapshotBytes), "each shard writes all of its bodies every "+formatNumber(period)+" s"),
		derivedRow("mean calls of one customer", rate(targetRequestsPerSecond/targetCustomers), "9,900 on 3,300"),
		derivedRow("ceiling of one customer", rate(customerRate), "one shard leader; this is "+formatNumber(100*customerRate/targetRequestsPerSecond)+" % of all requests").withKind(kindMeasured),
	}
}

// snapshotPeriod returns the seconds between two snapshots of a shard: a snapshot is
// due after a number of log entries or bytes of commands, whichever comes first.
// diskPerCall counts the bytes that a call writes to the logs of all replicas.
func snapshotPeriod(diskPerCall float64) float64 {
	calls := targetRequestsPerSecond / plannedShards
	byEntries := snapshotMaxEntries / (calls * logEntriesPerCall)
	byBytes := snapshotMaxBytes / (calls * diskPerCall / replicasPerShard)
	return min(byEntries, byBytes)
}

// failureRows returns the frequency of failures and restarts, and what they affect.
func failureRows(s *slopeReader) []row {
	leaderlessSeconds := s.get(LeaderlessTime) / 1000
	controlFailures := targetHostFailuresPerDay * targetControlHosts / totalHosts
	entryFailures := targetHostFailuresPerDay * assumedEntries / totalHosts
	serverFailures := targetHostFailuresPerDay * targetServers / totalHosts
	controlRestarts := targetHostRestartsPerDay * targetControlHosts / totalHosts
	inForceSeconds := s.get(ChangeInForceTime) / 1000
	callsAtServer := callsInProgress / targetServers
	return []row{
		limitedRow("a change is in force", duration(inForceSeconds), changeInForceLimit, "median, three control processes").withKind(kindMeasured),
		derivedRow("control hosts that fail in a day", count(controlFailures), "82 failures spread over 11,350 hosts assumed"),
		derivedRow("time without a leader", duration(leaderlessSeconds), "`control.leaderless`").withKind(kindMeasured),
		derivedRow("calls that wait for a new leader", count(callsPerControlHost*leaderlessSeconds), "begins of the failed host's shards in that time"),
		derivedRow("control hosts restarted in a day", count(controlRestarts), "970 spread over 11,350 hosts assumed; leadership is handed over"),
		derivedRow("entries that fail in a day", count(entryFailures), "spread as above"),
		derivedRow("calls in progress at an entry", count(callsInProgress/assumedEntries), "callers come back through another entry"),
		derivedRow("servers' hosts that fail in a day", count(serverFailures), "spread as above"),
		derivedRow("calls in progress at a server", count(callsAtServer), "run again elsewhere, or unknown if they may not be repeated"),
		derivedRow("prompt tokens computed again for a failed server", count(callsAtServer*targetTokensPerHistory), "upper bound: each with a whole history"),
		derivedRow("calls in progress in a rack", count(callsAtServer*assumedHostsPerRack), "30 hosts a rack assumed"),
		derivedRow("calls in progress in a failure domain", count(callsInProgress/targetFailureDomains), "14 domains"),
		derivedRow("failure domains of a region", count(float64(targetFailureDomains)/targetRegions), "mean; a group needs three"),
	}
}
