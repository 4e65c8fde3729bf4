package capacity

import (
	"errors"
	"strings"
)

// slopes gives the values of a document and collects what is missing.
type slopes struct {
	document *Report
	errs     []error
}

func (s *slopes) get(name Name) float64 {
	value, err := s.document.Get(name)
	if err != nil {
		s.errs = append(s.errs, err)
	}
	return value
}

// Tables returns the tables of docs/CAPACITY.md in Markdown. It returns
// ErrNoSlope when the document lacks a slope.
func Tables(d *Report) (string, error) {
	s := &slopes{document: d}
	var b strings.Builder
	writeTable(&b, "Sizes that follow", sizeRows())
	writeTable(&b, "Entry, one of 305: control", entryControlRows(s))
	writeTable(&b, "Entry, one of 305: the callers' own data", entryDataRows(s))
	writeTable(&b, "Sidecar, one of 11,000: control", sidecarControlRows(s))
	writeTable(&b, "Sidecar, one of 11,000: the callers' own data", sidecarDataRows(s))
	writeTable(&b, "Control host, one of 45: control", controlRows(s))
	writeTable(&b, "Control host, one of 45: the callers' own data", shardRows(s))
	writeTable(&b, "Failures and changes", failureRows(s))
	writeSlopes(&b, d)
	if len(s.errs) > 0 {
		return "", errors.Join(s.errs...)
	}
	return b.String(), nil
}

func sizeRows() []row {
	return []row{
		derived("control hosts", count(targetControlHosts), "all that may be set aside").as(kindAssumed),
		derived("entries", count(assumedEntries), "350 nodes less the control hosts").as(kindAssumed),
		derived("tokens of a call", count(tokensPerCall), "tokens over requests a second"),
		derived("duration of a call", secondsOf(callSeconds), "48 ms a token, so an upper bound"),
		derived("calls in progress", count(openCalls), "requests a second by their duration"),
		derived("text of all histories", bytesOf(historyBytes), "98,000 programs of 250,000 tokens, 4 B a token assumed; upper bound"),
		derived("replicas on a control host", count(replicasPerHost), "1,024 shards of three replicas on 45 hosts"),
		derived("shards led by a control host", count(ledPerHost), "1,024 shards on 45 hosts"),
		derived("servers in a region", count(serversInRegion), "11,000 in 6 regions"),
	}
}

func entryControlRows(s *slopes) []row {
	cpu := s.get(EntryIdleCPU) + viewServers*s.get(EntryServerCPU)
	memory := s.get(EntryIdleMemory) + viewServers*s.get(EntryServerMemory)
	today := viewServers * assumedAnnounceRate * s.get(ReadMemberBytes)
	target := float64(targetModels) * assumedTargetView * assumedLoadBytes
	return []row{
		bounded("processor", percent(cpu/microsPerSecond*100), targetNodeCPU, "idle entry, and 640 servers in its view that announce themselves each second"),
		bounded("memory", bytesOf(memory), targetNodeMemory, "idle entry and 640 servers in its view"),
		bounded("network, today", bytesEach(today), targetNodeBytes, "640 servers change each second and every change is read with its whole announcement"),
		bounded("network, with 8 servers a model and only their load", bytesEach(target), targetNodeBytes, "80 servers, 24 B each a second assumed; not built"),
	}
}

func entryDataRows(s *slopes) []row {
	call := callsPerEntry * s.get(EntryCallCPU) / microsPerSecond
	chunk := chunksPerEntry * s.get(EntryChunkCPU) / microsPerSecond
	open := openCalls / assumedEntries
	return []row{
		derived("calls", perSecond(callsPerEntry), "9,900 on 305"),
		derived("streamed events", perSecond(chunksPerEntry), "one event a token, upper bound"),
		derived("processor of calls", cores(call), "`entry.call.cpu`"),
		derived("processor of events", cores(chunk), "`entry.chunk.cpu`"),
		derived("memory of calls in progress", bytesOf(open*s.get(EntryOpenMemory)), formatNumber(open)+" calls, `entry.open_call.memory`"),
	}
}

func sidecarControlRows(s *slopes) []row {
	told := s.get(SidecarToldCPU)
	toldBytes := s.get(SidecarToldBytes)
	cpu := func(controls float64) quantity {
		return percent((s.get(SidecarProbeCPU) + controls*told) / microsPerSecond * 100)
	}
	return []row{
		bounded("processor, today", cpu(targetControlHosts), targetNodeCPU, "probes each 500 ms, and 45 control processes told each second"),
		bounded("processor, two of its region told", cpu(assumedAnnounceTo), targetNodeCPU, "not built"),
		bounded("memory", bytesOf(s.get(SidecarIdleMemory)), targetNodeMemory, "idle process").as(kindMeasured),
		bounded("network, today", bytesEach(targetControlHosts*toldBytes), targetNodeBytes, "written, 45 control processes told each second"),
		bounded("network, two of its region told", bytesEach(assumedAnnounceTo*toldBytes), targetNodeBytes, "not built"),
	}
}

func sidecarDataRows(s *slopes) []row {
	call := callsPerServer * s.get(SidecarCallCPU) / microsPerSecond
	chunk := chunksPerServer * s.get(SidecarChunkCPU) / microsPerSecond
	open := openCalls / targetWorkers
	return []row{
		derived("calls", perSecond(callsPerServer), "9,900 on 11,000"),
		derived("streamed events", perSecond(chunksPerServer), "one event a token, upper bound"),
		derived("processor", cores(call+chunk), "`sidecar.call.cpu` and `sidecar.chunk.cpu`"),
		derived("memory of calls in progress", bytesOf(open*s.get(SidecarOpenMemory)), formatNumber(open)+" calls, `sidecar.open_call.memory`"),
		derived("text of its programs", bytesOf(historyBytes/targetWorkers), "each program's text at one sidecar; the cache is limited to 64 MB"),
	}
}

func controlRows(s *slopes) []row {
	announce := s.get(ControlAnnounceCPU) / microsPerSecond
	announced := targetWorkers * assumedAnnounceTo / targetControlHosts
	reads := assumedEntries * assumedReadRate / targetControlHosts
	read := reads * s.get(ControlReadCPU) / microsPerSecond
	changes := targetChanges / secondsPerDay * assumedChangePeak
	changeCPU := changes * s.get(ControlChangeCPU) / microsPerSecond
	changeBytes := changes * s.get(ControlChangeBytes)
	recordCPU := changes * assumedRecords * s.get(ControlRecordCPU) / microsPerSecond
	recordBytes := changes * assumedRecords * s.get(ControlRecordBytes)
	server := s.get(ControlServerMemory)
	answers := reads * viewServers / assumedReadRate * s.get(ReadMemberBytes)
	return []row{
		derived("processor, idle", percent(s.get(ControlIdleCPU)/microsPerSecond*100), "16 shards, three control processes").as(kindMeasured),
		derived("processor, idle replicas", percent(replicasPerHost*s.get(GroupIdleCPU)/microsPerSecond*100), "`control.replica.idle.cpu`"),
		derived("processor, announcements today", cores(targetWorkers*announce), "each sidecar tells each control process each second"),
		derived("processor, announcements to two of the region", cores(announced*announce), formatNumber(announced)+" a second; not built"),
		derived("processor, reads of the directory today", cores(read*targetWorkers), formatNumber(reads)+" reads a second over 11,000 servers"),
		derived("processor, reads of a region's directory", cores(read*serversInRegion), "not built"),
		derived("network, answers to reads", bytesEach(answers), "each entry reads the changes of 640 servers a second"),
		derived("processor, changes whose wait reads all records, over all replicas", cores(changeCPU+recordCPU), formatNumber(changes)+" changes a second (ten times the mean of the day assumed), 2,000 records in force assumed"),
		derived("network and disk, changes whose wait reads all records, over all replicas", bytesEach(changeBytes+recordBytes), "as above; as measured, before the wait was changed"),
		derived("processor, changes, today", cores(changeCPU), "`control.change.cpu`; not measured again since the wait was changed"),
		derived("network and disk, changes, today", bytesEach(changeBytes), "`control.change.bytes`; not measured again since the wait was changed"),
		derived("memory, idle", bytesOf(s.get(ControlIdleMemory)), "resident, 16 shards").as(kindMeasured),
		derived("memory, directory today", bytesOf(targetWorkers*server), "11,000 servers"),
		derived("memory, directory of a region", bytesOf(serversInRegion*server), "not built"),
	}
}

func shardRows(s *slopes) []row {
	programs := targetPrograms * copiesPerHost
	calls := programs * targetTurns
	records := programs*s.get(ProgramMemory) + calls*s.get(CallMemory)
	contracts := targetAccounts * copiesPerHost * s.get(ContractMemory)
	groups := replicasPerHost * s.get(GroupMemory)
	disk := s.get(ControlCallDisk)
	period := snapshotPeriod(disk)
	snapshots := replicasPerHost * historyBytes / plannedShards / period
	ceiling := s.get(ControlCeiling)
	call := s.get(ControlCallCPU) + tokensPerCall*s.get(ControlTokenCPU)
	return []row{
		derived("calls led", perSecond(callsPerHost), "9,900 on 45"),
		derived("log entries written", perSecond(callsPerHost*entriesPerCall*replicasPerShard), "two a call on three replicas"),
		derived("processor", cores(callsPerHost*call/microsPerSecond), "`control.call.cpu` and `control.token.cpu`, all three replicas"),
		derived("disk, log", bytesEach(callsPerHost*disk), "`control.call.disk`, calls of 0.4 and answers of 1.4 KB"),
		derived("network between replicas", bytesEach(callsPerHost*s.get(ControlCallWire)), "`control.call.wire`, sent"),
		derived("memory, programs and call records", bytesOf(records), "65 calls in each program, upper bound"),
		derived("memory, contracts", bytesOf(contracts), "`control.contract.memory`"),
		derived("memory, replicas", bytesOf(groups), "`control.replica.memory`"),
		derived("memory, index of bodies", bytesOf(calls*bodiesPerCall*s.get(BodyMemory)), "two bodies a call, `control.body.memory`"),
		derived("disk, bodies", bytesOf(historyBytes*copiesPerHost), "the store on disk, without what its compaction leaves"),
		derived("disk, snapshots today", bytesEach(snapshots), "each shard writes all of its bodies every "+formatNumber(period)+" s"),
		derived("mean calls of one customer", perSecond(targetRequests/targetAccounts), "9,900 on 3,300"),
		derived("ceiling of one customer", perSecond(ceiling), "one shard leader; this is "+formatNumber(100*ceiling/targetRequests)+" % of all requests").as(kindMeasured),
	}
}

// snapshotPeriod returns the seconds between two snapshots of a shard: by
// entries or by bytes, whichever comes first.
func snapshotPeriod(diskPerCall float64) float64 {
	calls := targetRequests / plannedShards
	byEntries := snapshotEntries / (calls * entriesPerCall)
	byBytes := snapshotCommandBytes / (calls * diskPerCall / replicasPerShard)
	return min(byEntries, byBytes)
}

func failureRows(s *slopes) []row {
	leaderless := s.get(Leaderless) / 1000
	control := targetHostFailures * targetControlHosts / assumedHosts
	entries := targetHostFailures * assumedEntries / assumedHosts
	servers := targetHostFailures * targetWorkers / assumedHosts
	restarts := targetRestarts * targetControlHosts / assumedHosts
	inForce := s.get(ChangeInForce) / 1000
	perServer := openCalls / targetWorkers
	return []row{
		bounded("a change is in force", secondsOf(inForce), targetInForceSeconds, "median, three control processes").as(kindMeasured),
		derived("control hosts that fail in a day", count(control), "82 failures spread over 11,350 hosts assumed"),
		derived("time without a leader", secondsOf(leaderless), "`control.leaderless`").as(kindMeasured),
		derived("calls that wait for a new leader", count(callsPerHost*leaderless), "begins of the failed host's shards in that time"),
		derived("control hosts restarted in a day", count(restarts), "970 spread over 11,350 hosts assumed; leadership is handed over"),
		derived("entries that fail in a day", count(entries), "spread as above"),
		derived("calls in progress at an entry", count(openCalls/assumedEntries), "callers come back through another entry"),
		derived("servers' hosts that fail in a day", count(servers), "spread as above"),
		derived("calls in progress at a server", count(perServer), "run again elsewhere, or unknown if they may not be repeated"),
		derived("prompt tokens computed again for a failed server", count(perServer*targetHistoryTokens), "upper bound: each with a whole history"),
		derived("calls in progress in a rack", count(perServer*assumedRackHosts), "30 hosts a rack assumed"),
		derived("calls in progress in a failure domain", count(openCalls/targetDomains), "14 domains"),
		derived("failure domains of a region", count(float64(targetDomains)/targetRegions), "mean; a group needs three"),
	}
}
