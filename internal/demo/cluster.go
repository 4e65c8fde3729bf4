package demo

import (
	"strconv"

	"ibistray.example/ibistray/internal/localcluster"
)

const (
	engineCount = 2
	// fencingEngine is the number of the engine that refuses old fencing
	// numbers; the others ignore them.
	fencingEngine = 1
	serviceDelay  = "1s"
	// retainIdleLimit is longer than every pause of the demo's programs.
	retainIdleLimit = "4s"
)

// tuning changes the engines of a cluster.
type tuning struct {
	speed      float64 // factor on the engines' rates
	batchLimit int     // requests that decode together
}

// demoTuning is the tuning of the demo.
var demoTuning = tuning{speed: 1, batchLimit: 8}

// newCluster lays out the processes of the demo without starting them.
func newCluster(binDir, dataDir string, t tuning) (*localcluster.Cluster, error) {
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
			"--speed", strconv.FormatFloat(t.speed, 'g', -1, 64),
			"--batch-limit", strconv.Itoa(t.batchLimit),
		},
		ServiceArgs: []string{"--delay", serviceDelay},
		SidecarArgs: []string{"--retain-idle-limit", retainIdleLimit},
	})
}
