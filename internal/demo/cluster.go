package demo

import "ibistray.example/ibistray/internal/localcluster"

const (
	engineCount = 2
	// fencingEngine is the 1-based number of the engine that checks fencing tokens; the
	// others ignore them.
	fencingEngine = 1
	serviceDelay  = "1s"
	// retainIdleLimit is longer than every pause in the demo's programs, so that the
	// sidecars do not release a prefix during a pause.
	retainIdleLimit = "4s"
)

// newCluster returns the cluster of the demo without starting its processes.
func newCluster(binDir, dataDir string) (*localcluster.Cluster, error) {
	return localcluster.New(localcluster.Options{
		BinDir:        binDir,
		DataDir:       dataDir,
		Engines:       engineCount,
		FencingEngine: fencingEngine,
		Models:        "diagnosis-70b,quote-70b,berth-plan-70b,shipping-agent-70b",
		Services:      "stock,tickets,manifests,berths",
		EngineArgs: []string{
			"--decode-rate", "300",
			"--prefill-rate", "20000",
			"--cache-event-delay", "200ms",
			"--cache-event-gap-every", "7",
			"--load-lag", "200ms",
		},
		ServiceArgs: []string{"--delay", serviceDelay},
		SidecarArgs: []string{"--retain-idle-limit", retainIdleLimit},
	})
}
