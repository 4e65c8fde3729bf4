package transport

// Names of the RPC methods.
const (
	// Methods of the control role.
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

	// Methods of state hosts, which serve pass-through routes.
	MethodHostMembers = "host.members"
	MethodFleetWatch  = "fleet.watch"
	MethodCrashReport = "fleet.crash"
	MethodNotices     = "fleet.notices"
	MethodPermits     = "fleet.permits"
	MethodAccounts    = "fleet.accounts"
	MethodRoutes      = "routes.call"
	MethodRoutesFetch = "routes.fetch"
	MethodLedger      = "ledger.call"
	MethodLedgerChain = "ledger.chain"

	// Methods of the sidecar role.
	MethodRun     = "sidecar.run"
	MethodFence   = "sidecar.fence"
	MethodRelease = "sidecar.release"
)
