package capacity

// Slopes. The costs of calls and of configuration changes at the control processes
// are sums over the three replicas; processor times include all work of these
// processes. Every other value is for one process, replica, record or customer.
const (
	ControlCallCPU           SlopeName = "control.call.cpu"       // begin, dispatch record and commit of a call
	ControlTokenCPU          SlopeName = "control.token.cpu"      // per chunk of the committed answer
	ControlCallDiskBytes     SlopeName = "control.call.disk"      // written to the logs of the three replicas
	ControlCallSyncs         SlopeName = "control.call.syncs"     // syncs of the three logs
	ControlCallNetworkBytes  SlopeName = "control.call.wire"      // sent between the replicas
	CustomerCallRate         SlopeName = "control.customer.calls" // maximum calls per second of one customer
	ControlIdleCPU           SlopeName = "control.idle.cpu"
	ControlIdleBytes         SlopeName = "control.idle.bytes"
	ControlIdleMemory        SlopeName = "control.idle.memory"
	ControlChangeCPU         SlopeName = "control.change.cpu"
	ControlChangeBytes       SlopeName = "control.change.bytes"
	ControlChangeRecordCPU   SlopeName = "control.change.record.cpu"   // per change and record in force
	ControlChangeRecordBytes SlopeName = "control.change.record.bytes" // per change and record in force
	ChangeInForceTime        SlopeName = "change.in_force"             // time until in force at all processes
	ControlAnnouncementCPU   SlopeName = "control.announcement.cpu"
	AnnouncementBytes        SlopeName = "announcement.bytes"
	ControlServerMemory      SlopeName = "control.server.memory"     // per server in the directory
	ControlMembersReadCPU    SlopeName = "control.members_read.cpu"  // per read and server in the directory
	MembersReadMemberBytes   SlopeName = "members_read.member.bytes" // response bytes per server returned
	ProgramMemory            SlopeName = "control.program.memory"
	CallRecordMemory         SlopeName = "control.call_record.memory"
	BodyMemory               SlopeName = "control.body.memory" // index entry of a body that is stored on disk
	ContractMemory           SlopeName = "control.contract.memory"
	ReplicaMemory            SlopeName = "control.replica.memory"
	ReplicaIdleCPU           SlopeName = "control.replica.idle.cpu"
	ReplicaIdleMessages      SlopeName = "control.replica.idle.messages"
	LeaderlessTime           SlopeName = "control.leaderless" // time without a leader after it stopped
	EntryCallCPU             SlopeName = "entry.call.cpu"
	EntryChunkCPU            SlopeName = "entry.chunk.cpu" // per streamed chunk
	EntryOpenCallMemory      SlopeName = "entry.open_call.memory"
	EntryServerMemory        SlopeName = "entry.server.memory" // per server in the view
	EntryIdleCPU             SlopeName = "entry.idle.cpu"
	EntryServerCPU           SlopeName = "entry.server.cpu" // per server in the view, announced once per second
	EntryIdleMemory          SlopeName = "entry.idle.memory"
	SidecarCallCPU           SlopeName = "sidecar.call.cpu"
	SidecarChunkCPU          SlopeName = "sidecar.chunk.cpu" // per streamed chunk
	SidecarOpenCallMemory    SlopeName = "sidecar.open_call.memory"
	SidecarIdleCPU           SlopeName = "sidecar.idle.cpu"
	SidecarIdleBytes         SlopeName = "sidecar.idle.bytes"
	SidecarProbeCPU          SlopeName = "sidecar.probe.cpu" // idle sidecar without announcements
	SidecarAnnounceCPU       SlopeName = "sidecar.told.cpu"  // per control process announced to
	SidecarAnnounceBytes     SlopeName = "sidecar.told.bytes"
	SidecarIdleMemory        SlopeName = "sidecar.idle.memory"
)

// Units of slopes.
const (
	unitMicros          = "us"
	unitMicrosPerSecond = "us/s"
	unitBytes           = "B"
	unitBytesPerSecond  = "B/s"
	unitPerSecond       = "1/s"
	unitCount           = "count"
	unitMillis          = "ms"
)
