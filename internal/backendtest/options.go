package backendtest

import (
	"time"

	"github.com/hashicorp/go-hclog"
)

// Options configures an engine. A zero field takes its default.
type Options struct {
	Listen             string        // address to listen on; default 127.0.0.1:0
	Models             []string      // models loaded at start; empty: every model is served
	BatchLimit         int           // largest number of requests decoded in one batch; default 8
	QueueLimit         int           // maximum number of waiting requests, others get 529; default 1024
	DecodeRate         float64       // answer tokens per second of each running request; default 50
	PrefillRate        float64       // prompt tokens per second of the whole engine; default 5000
	Speed              float64       // multiplier of both rates; default 1
	CacheTokens        int           // capacity of the prefix cache in tokens; default 200000
	CacheEventDelay    time.Duration // age at which a cache event becomes visible; default 0
	CacheEventGapEvery int           // every n-th cache event is dropped; 0: none
	LoadLag            time.Duration // interval between load snapshots; 0: a new one for each reader
	CheckFencing       bool          // refuse requests and orders with a fencing token below the highest one seen
	CrashMarker        string        // a request with this text crashes the engine when it starts to run
	SilentMarker       string        // the engine never responds to a request with this text
	StallMarker        string        // the first stream of a request with this text stops halfway and stays open
	OnCrash            func()        // called after a crash has closed all connections; default: no-op
	Logger             hclog.Logger  // default: no log
}

const (
	defaultListen      = "127.0.0.1:0"
	defaultBatchLimit  = 8
	defaultQueueLimit  = 1024
	defaultDecodeRate  = 50.0
	defaultPrefillRate = 5000.0
	defaultCacheTokens = 200_000
)

// withDefaults returns the options with zero fields set to their defaults.
func (o Options) withDefaults() Options {
	setDefault(&o.Listen, defaultListen)
	setDefault(&o.BatchLimit, defaultBatchLimit)
	setDefault(&o.QueueLimit, defaultQueueLimit)
	setDefault(&o.DecodeRate, defaultDecodeRate)
	setDefault(&o.PrefillRate, defaultPrefillRate)
	setDefault(&o.Speed, 1)
	setDefault(&o.CacheTokens, defaultCacheTokens)
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.OnCrash == nil {
		o.OnCrash = func() {}
	}
	return o
}

// setDefault sets a field that has its zero value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
