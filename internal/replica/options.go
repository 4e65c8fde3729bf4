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
	defaultSnapshotBytes   = 4 << 20
	defaultRetainEntries   = 256
	defaultRetainBytes     = 8 << 20
	defaultMaxSegments     = 8
	// logShareOfSnapshot is the size of the log after which a snapshot is due, as a share of
	// the latest snapshot.
	logShareOfSnapshot  = 0.25
	defaultApplyWorkers = 4
)

// Options configures a Host. Zero values of optional fields select the defaults.
type Options struct {
	Dir       string    // data directory, not shared with other hosts
	Address   string    // address at which the other hosts reach this one
	Transport Transport // connection to the other hosts

	FS           wal.FS        // default: the file system of the operating system
	TickInterval time.Duration // unit of the durations in Raft; default 50 ms
	Raft         raft.Config   // election, heartbeat and lease times; the host sets Group, ID and Seed
	Workers      int           // goroutines that drive raft cores; default: GOMAXPROCS
	ApplyWorkers int           // goroutines that call state machines; default 4
	Seed         uint64        // seed of election timeouts and replica IDs; default: random
	// Clock returns the time from which ticks, and so leases, are counted. The
	// default is the monotonic clock, which stops while the host is suspended.
	Clock func() time.Duration

	// BootstrapQuorumDelay is how long an initial member of a new group waits until all others
	// have confirmed it. From then on a majority of the members, with itself, is enough, so that
	// a group starts without a host that is lost. 0: it always waits for all. Set it only if
	// AddGroup gets initial members at the first start of a group alone: a replica that lost its
	// disk could vote again if the members that know its disk are out of reach meanwhile.
	BootstrapQuorumDelay time.Duration

	SnapshotEntries uint64 // applied entries after which a snapshot is taken; default 4096
	SnapshotBytes   int    // bytes of applied commands after which a snapshot is taken; default 4 MiB
	// MinSnapshotBytes is the lower bound of the bytes after which a snapshot of a small state
	// is taken, so that a restart replays less than it restores. Default: SnapshotBytes.
	MinSnapshotBytes int
	// MaxUncoveredBytes limits the data of the entries that arrive while a snapshot is written, which
	// are held in memory: proposals fail with ErrUnavailable above it. 0: no limit.
	MaxUncoveredBytes int
	RetainEntries     uint64 // entries kept in memory after a snapshot, for slow members; default 256
	RetainBytes       int    // data of these entries in each group; default 8 MiB
	MaxSegments       int    // log segments above which lagging groups take a snapshot; default 8
	SegmentSize       int64  // bytes of a log segment; default: that of package wal

	// BeforeWrite is called once the data directory is locked and has been read, before anything
	// is written to it, so that it can remove what takes room without being needed.
	BeforeWrite func()

	Logger     hclog.Logger
	Registerer prometheus.Registerer // nil: no metrics
	// OnFailure is called once when the host has stopped because its storage
	// failed. The process must then exit.
	OnFailure func(error)
}

func (o *Options) setDefaults() error {
	switch {
	case o.Dir == "":
		return fmt.Errorf("%w: Dir is not set", ErrConfig)
	case o.Address == "":
		return fmt.Errorf("%w: Address is not set", ErrConfig)
	case o.Transport == nil:
		return fmt.Errorf("%w: Transport is not set", ErrConfig)
	}
	if o.FS == nil {
		o.FS = wal.OS()
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.BeforeWrite == nil {
		o.BeforeWrite = func() {}
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
	setDefault(&o.ApplyWorkers, defaultApplyWorkers)
	setDefault(&o.SnapshotEntries, defaultSnapshotEntries)
	setDefault(&o.SnapshotBytes, defaultSnapshotBytes)
	setDefault(&o.MinSnapshotBytes, o.SnapshotBytes)
	setDefault(&o.RetainEntries, defaultRetainEntries)
	setDefault(&o.RetainBytes, defaultRetainBytes)
	setDefault(&o.MaxSegments, defaultMaxSegments)
	return nil
}

func setDefault[T int | uint64 | time.Duration](value *T, defaultValue T) {
	if *value == 0 {
		*value = defaultValue
	}
}
