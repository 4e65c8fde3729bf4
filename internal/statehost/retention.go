package statehost

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"ibistray.example/ibistray/internal/ledger"
	"ibistray.example/ibistray/internal/policy/retention"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/ledgerpb"
	"ibistray.example/ibistray/proto/raftpb"
	"ibistray.example/ibistray/proto/rpcpb"
)

const (
	// indexMemoryShare is the part of the memory limit for what turns, programs and streams take
	// besides the inputs and outputs, and for those that the disk has refused.
	indexMemoryShare = 4
	// What a turn, a program and a stream that can be resumed take in memory.
	turnIndexBytes    = 300
	programIndexBytes = 700
	streamIndexBytes  = 400
	// minScanShare is the part of a capacity below which no turn is refused, whatever the programs
	// under way are expected to add.
	minScanShare = 0.2
)

// Resources that kept turns use, as labels of metrics.
const (
	resourceDisk   = "disk"
	resourceMemory = "memory"
)

// room is what is known about the room for kept turns.
type room struct {
	disk  atomic.Int64                // capacity of the disks of this host and of a quorum, in bytes; 0: not limited
	state atomic.Pointer[ledger.Room] // at the latest sweep, nil: all turns may begin
	begun atomic.Int64                // programs that have begun since then
}

// logBytes returns the most that the log of both groups takes on the disk of a host.
func logBytes(cfg *Config, diskBytes int64) int64 {
	uncovered := uncoveredBytes(cfg, diskBytes)
	return max(diskShare(diskBytes, snapshotDiskShare, snapshotBytes), uncovered) + uncovered +
		2*maxSegments*diskShare(diskBytes, segmentDiskShare, maxSegmentBytes)
}

// uncoveredBytes returns the limit of the entries that arrive while a snapshot is written.
func uncoveredBytes(cfg *Config, diskBytes int64) int64 {
	return diskShare(diskBytes, snapshotDiskShare, cfg.memoryBytes()/uncoveredMemoryShare)
}

// diskCapacity returns how many bytes of turns a host with a disk of diskBytes and the memory of this
// one can keep if none is large; 0: not limited.
func (h *Host) diskCapacity(diskBytes int64) int64 { return h.disk(diskBytes).Capacity() }

// currentDiskCapacity is like diskCapacity beside the bodies that are on disk now.
func (h *Host) currentDiskCapacity(diskBytes int64) int64 {
	disk, stats := h.disk(diskBytes), h.ledger.Stats()
	disk.Large, disk.Spilled = stats.Large, stats.Bytes-stats.Memory-stats.Large
	return disk.Capacity()
}

// disk returns the division of a disk of diskBytes on a host with the memory of this one.
func (h *Host) disk(diskBytes int64) retention.Disk {
	return retention.Disk{
		Size: diskBytes, Log: logBytes(&h.cfg, diskBytes), Bodies: spillBytes(diskBytes), Memory: bodyMemoryBytes(&h.cfg),
	}
}

// indexBytes returns what the records of a ledger take in memory besides the inputs and outputs of
// kept turns.
func indexBytes(stats ledger.Stats) int64 {
	return int64(stats.Turns)*turnIndexBytes + int64(stats.Programs)*programIndexBytes + int64(stats.Streams)*streamIndexBytes + stats.Outputs
}

// keptResources returns the use of the disk and of the memory by kept turns, in that order.
func (h *Host) keptResources() [2]keptResource {
	var programs, running int64
	if room := h.room.state.Load(); room != nil {
		begun := h.room.begun.Load()
		programs, running = room.Programs+begun, room.Running+begun
	}
	stats := h.ledger.Stats()
	index := indexBytes(stats) + max(0, stats.Memory-bodyMemoryBytes(&h.cfg))
	return [...]keptResource{
		{resourceDisk, retention.Resource{Used: stats.Bytes, Capacity: h.room.disk.Load(), Programs: programs, Running: running}},
		{resourceMemory, retention.Resource{Used: index, Capacity: h.cfg.memoryBytes() / indexMemoryShare, Programs: programs, Running: running}},
	}
}

// keptResource is a resource with its label in metrics.
type keptResource struct {
	name string
	retention.Resource
}

// updateRoom looks at what the ledger keeps, if this host leads it, and updates the metrics.
func (h *Host) updateRoom(ctx context.Context) {
	status, leads := h.leaderStatus(ctx, LedgerGroup)
	h.room.disk.Store(h.membersCapacity(status.Membership.GetMembers()))
	var room *ledger.Room
	resources := h.keptResources()
	if leads && slices.ContainsFunc(resources[:], func(r keptResource) bool { return float64(r.Used) >= minScanShare*float64(r.Capacity) }) {
		current := h.ledger.Room(retention.GrowthPeriod)
		room = &current
	}
	h.room.state.Store(room)
	h.room.begun.Store(0)
	for _, r := range h.keptResources() {
		level := retention.Free
		if leads {
			level = r.Level()
		}
		if previous := h.roomLevels[r.name]; level != previous {
			h.log.Warn("room for kept turns", "resource", r.name, "level", level.String(), "before", previous.String(),
				"used_bytes", r.Used, "growth_bytes", r.Growth(), "capacity_bytes", r.Capacity)
		}
		h.roomLevels[r.name] = level
		h.metrics.roomLevel.WithLabelValues(r.name).Set(float64(level))
		h.metrics.roomUsed.WithLabelValues(r.name).Set(float64(r.Used))
		h.metrics.roomCapacity.WithLabelValues(r.name).Set(float64(r.Capacity))
	}
}

// membersCapacity returns what the disk of this host and those of a quorum of the voters can keep. A
// standby host with a smaller disk takes part only for a while.
func (h *Host) membersCapacity(members []*raftpb.Member) int64 {
	own := h.currentDiskCapacity(h.cfg.DiskBytes)
	capacities := make(map[string]int64) // 0 for hosts that are not known yet
	for _, m := range members {
		if !m.Learner {
			capacities[m.Address] = 0
		}
	}
	for _, known := range h.hosts.all() {
		if _, votes := capacities[known.host.Address]; votes {
			capacities[known.host.Address] = h.currentDiskCapacity(known.host.DiskBytes)
		}
	}
	if _, votes := capacities[h.cfg.Address]; votes {
		capacities[h.cfg.Address] = own
	}
	quorum := retention.QuorumCapacity(slices.Collect(maps.Values(capacities)))
	if own == 0 || quorum > 0 && quorum < own {
		return quorum
	}
	return own
}

// admitTurn refuses a turn for which there may be no room once it is to be kept, before it is
// proposed. A turn that has begun is not refused.
func (h *Host) admitTurn(req *ledgerpb.Request) error {
	begin := req.Command.GetBegin()
	if begin == nil || h.replicas.Leader(LedgerGroup) != h.cfg.Address {
		return nil
	}
	turn := retention.Turn{First: begin.Previous == "", Kept: !req.TurnNotKept, Priority: int(req.RoutePriority)}
	if !turn.First || !turn.Kept {
		return nil
	}
	for _, r := range h.keptResources() {
		d := retention.Decide(turn, r.Resource, h.freedAfter(r.Resource))
		if d.Admit || h.ledger.Begun(begin.Account, begin.Program, begin.CallId) {
			continue
		}
		h.metrics.refusedTurns.WithLabelValues(r.name).Inc()
		err := transport.Errorf(rpcpb.Code_CODE_EXHAUSTED, "no room for more kept turns: %d of %d bytes (%s) are in use, %d are expected of programs under way", r.Used, r.Capacity, r.name, r.Growth())
		err.RetryAfter = d.RetryAfter
		return err
	}
	h.room.begun.Add(1)
	return nil
}

// freedAfter returns the time after which a part of a resource will have been freed, from what the
// ledger kept at the latest sweep.
func (h *Host) freedAfter(r retention.Resource) func(bytes int64) time.Duration {
	return func(bytes int64) time.Duration {
		room := h.room.state.Load()
		if room == nil || r.Used == 0 {
			return 0
		}
		return room.FreedAfter(int64(float64(bytes) / float64(r.Used) * float64(room.Bytes)))
	}
}
