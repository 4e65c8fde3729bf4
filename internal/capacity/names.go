package capacity

// The slopes. Processor times of control are sums over the three replicas.
const (
	ControlCallCPU      Name = "control.call.cpu"       // begin, dispatch record and commit, whole processes
	ControlTokenCPU     Name = "control.token.cpu"      // for each event of the answer that a commit carries
	ControlCallDisk     Name = "control.call.disk"      // written to the three logs
	ControlCallSyncs    Name = "control.call.syncs"     // of the three logs
	ControlCallWire     Name = "control.call.wire"      // between the replicas
	ControlCeiling      Name = "control.customer.calls" // a second, of one customer
	ControlIdleCPU      Name = "control.idle.cpu"
	ControlIdleBytes    Name = "control.idle.bytes"
	ControlIdleMemory   Name = "control.idle.memory"
	ControlChangeCPU    Name = "control.change.cpu"
	ControlChangeBytes  Name = "control.change.bytes"
	ControlRecordCPU    Name = "control.change.record.cpu"   // of one change, for each record in force
	ControlRecordBytes  Name = "control.change.record.bytes" // of one change, for each record in force
	ChangeInForce       Name = "change.in_force"             // time until a change was in force everywhere
	ControlAnnounceCPU  Name = "control.announcement.cpu"
	AnnounceBytes       Name = "announcement.bytes"
	ControlServerMemory Name = "control.server.memory"
	ControlReadCPU      Name = "control.members_read.cpu" // for each server in the directory
	ReadMemberBytes     Name = "members_read.member.bytes"
	ProgramMemory       Name = "control.program.memory"
	CallMemory          Name = "control.call_record.memory"
	BodyMemory          Name = "control.body.memory" // of the index of bodies on disk
	ContractMemory      Name = "control.contract.memory"
	GroupMemory         Name = "control.replica.memory"
	GroupIdleCPU        Name = "control.replica.idle.cpu"
	GroupIdleMessages   Name = "control.replica.idle.messages"
	Leaderless          Name = "control.leaderless"
	EntryCallCPU        Name = "entry.call.cpu"
	EntryChunkCPU       Name = "entry.chunk.cpu"
	EntryOpenMemory     Name = "entry.open_call.memory"
	EntryServerMemory   Name = "entry.server.memory"
	EntryIdleCPU        Name = "entry.idle.cpu"
	EntryServerCPU      Name = "entry.server.cpu"
	EntryIdleMemory     Name = "entry.idle.memory"
	SidecarCallCPU      Name = "sidecar.call.cpu"
	SidecarChunkCPU     Name = "sidecar.chunk.cpu"
	SidecarOpenMemory   Name = "sidecar.open_call.memory"
	SidecarIdleCPU      Name = "sidecar.idle.cpu"
	SidecarIdleBytes    Name = "sidecar.idle.bytes"
	SidecarProbeCPU     Name = "sidecar.probe.cpu" // of an idle sidecar that tells no control process
	SidecarToldCPU      Name = "sidecar.told.cpu"  // for each control process that it tells
	SidecarToldBytes    Name = "sidecar.told.bytes"
	SidecarIdleMemory   Name = "sidecar.idle.memory"
)

// Units.
const (
	unitMicros          = "us"
	unitMicrosPerSecond = "us/s"
	unitBytes           = "B"
	unitBytesPerSecond  = "B/s"
	unitPerSecond       = "1/s"
	unitCount           = "count"
	unitMillis          = "ms"
)
