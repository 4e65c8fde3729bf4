package capacity

// The target size and the limits that the users set.
const (
	targetNodes              = 350         // machines that run control processes or entries
	targetServers            = 11_000      // backend servers, each with a sidecar
	targetRequestsPerSecond  = 9_900.0     // at peak
	targetTokensPerSecond    = 3_400_000.0 // generated, at peak
	targetPrograms           = 98_000
	targetTurnsPerProgram    = 65      // at most
	targetTokensPerHistory   = 250_000 // at most
	targetCustomers          = 3_300
	targetModels             = 10
	targetRegions            = 6
	targetFailureDomains     = 14
	targetChangesPerDay      = 48_000.0
	changeInForceLimit       = 13.0      // seconds
	targetControlHosts       = 45        // at most, of the nodes above
	nodeCPULimit             = 1.3       // percent of a core, for control work
	nodeMemoryLimit          = 256 << 20 // bytes, for control work
	nodeNetworkLimit         = 11 << 10  // bytes per second, for control work
	targetTokenInterval      = 0.048     // seconds between two tokens of a stream
	targetHostFailuresPerDay = 82.0
	targetHostRestartsPerDay = 970.0
)

// Assumptions about what the users do not specify, and properties of the system.
const (
	assumedEntries            = targetNodes - targetControlHosts
	assumedBytesPerToken      = 4.0
	assumedChangePeakFactor   = 10.0    // ratio of the peak rate of changes to their daily mean
	assumedConfigRecords      = 2_000.0 // configuration records in force
	totalHosts                = targetNodes + targetServers
	assumedDirectoryReadRate  = 2.0  // per second and entry
	assumedAnnouncementRate   = 1.0  // announcements per second to each control process
	assumedControlsPerSidecar = 2.0  // control processes announced to, at the target size
	assumedServerLoadBytes    = 24.0 // bytes per server that an entry reads if only the load is sent
	assumedServersPerModel    = 8.0  // in the view of an entry at the target size
	assumedHostsPerRack       = 30.0
	plannedShards             = 1024.0
	replicasPerShard          = 3.0
	snapshotMaxEntries        = 4096.0  // log entries after which a shard takes a snapshot
	snapshotMaxBytes          = 4 << 20 // bytes of commands after which a shard takes a snapshot
	logEntriesPerCall         = 2.0     // Begin, which includes the first attempt, and Commit
	bodiesPerCall             = 2.0     // the request messages and the answer
	secondsPerDay             = 86_400.0
	microsPerSecond           = 1e6
)

// Sizes derived from the target and the assumptions. Rates are per second.
var (
	tokensPerCall           = targetTokensPerSecond / targetRequestsPerSecond
	secondsPerCall          = tokensPerCall * targetTokenInterval
	callsInProgress         = targetRequestsPerSecond * secondsPerCall
	callsPerEntry           = targetRequestsPerSecond / assumedEntries
	chunksPerEntry          = targetTokensPerSecond / assumedEntries
	callsPerServer          = targetRequestsPerSecond / targetServers
	chunksPerServer         = targetTokensPerSecond / targetServers
	replicasPerControlHost  = plannedShards * replicasPerShard / targetControlHosts
	leadersPerControlHost   = plannedShards / targetControlHosts
	callsPerControlHost     = targetRequestsPerSecond / targetControlHosts
	totalHistoryBytes       = float64(targetPrograms) * targetTokensPerHistory * assumedBytesPerToken
	dataSharePerControlHost = replicasPerShard / targetControlHosts // replicas included
	serversPerRegion        = float64(targetServers) / targetRegions
	serversInView           = float64(targetModels) * maxViewServersPerModel
)
