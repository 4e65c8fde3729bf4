package replica

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"ibistray.example/ibistray/internal/raft"
	"ibistray.example/ibistray/internal/wal"
)

const (
	defaultTickInterval    = 50 * time.Millisecond
	defaultSnapshotEntries = 4096
	defaultSnapshotBytes   = 4 << 20 // bytes
	defaultRetainEntries   = 256
	defaultMaxSegments     = 8
	defaultAppliers        = 4
)

// Options are the settings of a Host. Zero values of the optional fields stand
// for the defaults.
type Options struct {
	Dir       string    // data folder of this host alone
	Address   string    // under which the other hosts reach this one
	Transport Transport // to the other hosts

	FS           wal.FS        // default: the operating system
	TickInterval time.Duration // unit of the times in Raft; default 50 ms
	Raft         raft.Config   // election, heartbeat, lease; Group, ID and Seed are set by the host
	Workers      int           // goroutines that drive the groups; default: GOMAXPROCS
	Appliers     int           // goroutines that call state machines; default 4
	Seed         uint64        // of election timeouts and replica IDs; default: random
	// Clock measures the ticks and with them the leases. The default is the
	// monotonic clock, which stands still while the host is suspended.
	Clock func() time.Duration

	SnapshotEntries uint64 // applied entries after which a snapshot is taken; default 4096
	SnapshotBytes   int    // bytes of applied commands after which a snapshot is taken; default 4 MiB
	RetainEntries   uint64 // entries kept in memory after a snapshot, for slow members; default 256
	MaxSegments     int    // segments of the log above which groups that hold them take a snapshot; default 8
	SegmentSize     int64  // bytes; default: that of the log

	Logger     hclog.Logger
	Registerer prometheus.Registerer // nil: no metrics
	// OnFailure is called once when the host stops because its storage failed.
	// The process has to end then.
	OnFailure func(error)
}

func (o *Options) setDefaults() error {
	switch {
	case o.Dir == "":
		return fmt.Errorf("%w: no data folder", ErrConfig)
	case o.Address == "":
		return fmt.Errorf("%w: no address", ErrConfig)
	case o.Transport == nil:
		return fmt.Errorf("%w: no transport", ErrConfig)
	}
	if o.FS == nil {
		o.FS = wal.OS()
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.OnFailure == nil {
		o.OnFailure = func(error) {}
	}
	if o.Clock == nil {
		start := time.Now()
		o.Clock = func() time.Duration { return time.Since(start) }
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	setDefault(&o.TickInterval, defaultTickInterval)
	setDefault(&o.Raft.ElectionTicks, raft.DefaultElectionTicks)
	setDefault(&o.Raft.HeartbeatTicks, raft.DefaultHeartbeatTicks)
	setDefault(&o.Workers, runtime.GOMAXPROCS(0))
	setDefault(&o.Appliers, defaultAppliers)
	setDefault(&o.SnapshotEntries, defaultSnapshotEntries)
	setDefault(&o.SnapshotBytes, defaultSnapshotBytes)
	setDefault(&o.RetainEntries, defaultRetainEntries)
	setDefault(&o.MaxSegments, defaultMaxSegments)
	return nil
}

func setDefault[T int | uint64 | time.Duration](value *T, fallback T) {
	if *value == 0 {
		*value = fallback
	}
}
