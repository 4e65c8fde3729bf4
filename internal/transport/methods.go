package transport

// Methods of the system's processes.
const (
	// Control role.
	MethodShardPropose      = "shard.propose"
	MethodShardHistory      = "shard.history"
	MethodShardView         = "shard.view"
	MethodDirectoryAnnounce = "directory.announce"
	MethodDirectoryMembers  = "directory.members"
	MethodConfigPropose     = "config.propose"
	MethodConfigRenew       = "config.renew"
	MethodConfigStatus      = "config.status"
	MethodReplicaMessages   = "replica.messages"
	MethodReplicaSnapshot   = "replica.snapshot"
	MethodReplicaPing       = "replica.ping"
	MethodReplicaJoin       = "replica.join"
	MethodReplicaStatus     = "replica.status"

	// Sidecar role.
	MethodRun     = "sidecar.run"
	MethodFence   = "sidecar.fence"
	MethodRelease = "sidecar.release"
)
