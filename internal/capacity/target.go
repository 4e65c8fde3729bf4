package capacity

// The target size, as the users give it.
const (
	targetNodes          = 350
	targetWorkers        = 11_000
	targetRequests       = 9_900.0     // a second, peak
	targetTokens         = 3_400_000.0 // generated a second, peak
	targetPrograms       = 98_000
	targetTurns          = 65
	targetHistoryTokens  = 250_000
	targetAccounts       = 3_300
	targetModels         = 10
	targetRegions        = 6
	targetDomains        = 14
	targetChanges        = 48_000.0 // a day
	targetInForceSeconds = 13.0
	targetControlHosts   = 45
	targetNodeCPU        = 1.3 // percent of a core, for control
	targetNodeMemory     = 256 << 20
	targetNodeBytes      = 11 << 10 // a second
	targetTokenGap       = 0.048    // seconds
	targetHostFailures   = 82.0     // a day
	targetRestarts       = 970.0    // a day
)

// Assumptions where the users give nothing.
const (
	assumedEntries       = targetNodes - targetControlHosts
	assumedTokenBytes    = 4.0
	assumedChangePeak    = 10.0    // peak of changes over their daily mean
	assumedRecords       = 2_000.0 // of the configuration in force at a time
	assumedHosts         = targetNodes + targetWorkers
	assumedReadRate      = 2.0 // reads of the directory a second, by each entry
	assumedAnnounceRate  = 1.0 // announcements a second to each control process that is told
	assumedAnnounceTo    = 2.0 // control processes that a sidecar tells at the target
	assumedLoadBytes     = 24.0
	assumedTargetView    = 8.0  // servers of a model in an entry's view at the target
	assumedRackHosts     = 30.0 // hosts of one rack
	plannedShards        = 1024.0
	replicasPerShard     = 3.0
	snapshotEntries      = 4096.0
	snapshotCommandBytes = 4 << 20
	entriesPerCall       = 2.0 // Begin with the first attempt, and Commit
	bodiesPerCall        = 2.0 // messages and answer
	secondsPerDay        = 86_400.0
	microsPerSecond      = 1e6
)

// Sizes that follow from the target and the assumptions.
var (
	tokensPerCall   = targetTokens / targetRequests
	callSeconds     = tokensPerCall * targetTokenGap
	openCalls       = targetRequests * callSeconds
	callsPerEntry   = targetRequests / assumedEntries
	chunksPerEntry  = targetTokens / assumedEntries
	callsPerServer  = targetRequests / targetWorkers
	chunksPerServer = targetTokens / targetWorkers
	replicasPerHost = plannedShards * replicasPerShard / targetControlHosts
	ledPerHost      = plannedShards / targetControlHosts
	callsPerHost    = targetRequests / targetControlHosts
	historyBytes    = float64(targetPrograms) * targetHistoryTokens * assumedTokenBytes
	copiesPerHost   = replicasPerShard / targetControlHosts
	serversInRegion = float64(targetWorkers) / targetRegions
	viewServers     = float64(targetModels) * viewLimit
)
