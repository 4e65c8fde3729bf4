package statehost

import (
	"errors"
	"path/filepath"

	"github.com/hashicorp/go-hclog"

	"ibistray.example/ibistray/internal/spill"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/rpcpb"
)

const (
	// bodyMemoryShare is the part of the memory limit that the inputs and outputs of kept turns may
	// take. Those beyond are on disk only.
	bodyMemoryShare = 4
	// spillDiskShare is the part of the disk that they may take besides the log and the snapshots,
	// and defaultSpillBytes the limit for a disk of unknown size.
	spillDiskShare    = 4
	defaultSpillBytes = 1 << 30
	// spillReserveShare is the further part of the disk that large ones may take, and others while
	// those in memory exceed their share by more than a fourth: after a start with a snapshot of more
	// turns than the host has room for.
	spillReserveShare = 2
)

// SpillDir returns the directory of the files that a state host does not need after its end.
func SpillDir(dataDir string) string { return filepath.Join(dataDir, "spill") }

// bodyMemoryBytes returns the bytes of inputs and outputs that a host holds in memory.
func bodyMemoryBytes(cfg *Config) int64 { return cfg.memoryBytes() / bodyMemoryShare }

// spillBytes returns the limit of inputs and outputs on a disk of diskBytes, 0 if not known.
func spillBytes(diskBytes int64) int64 {
	return diskShare(diskBytes, spillDiskShare, defaultSpillBytes)
}

func newSpill(cfg *Config) *spill.Store {
	reserve := diskShare(cfg.DiskBytes, spillReserveShare, defaultSpillBytes)
	return spill.NewWithReserve(SpillDir(cfg.DataDir), spillBytes(cfg.DiskBytes), reserve)
}

// removeSpill removes what an earlier process has left.
func removeSpill(cfg *Config, log hclog.Logger) {
	if err := spill.RemoveFiles(SpillDir(cfg.DataDir)); err != nil {
		log.Warn("files of the process before cannot be removed", "error", err)
	}
}

// reportSpill updates the metrics of the bodies on disk.
func (h *Host) reportSpill(stats spill.Stats) {
	h.metrics.turnSpilledBytes.Set(float64(stats.LiveBytes))
	if added := stats.Failures - h.spillReported; added > 0 {
		h.metrics.spillFailures.Add(float64(added))
		h.log.Warn("turns stay in memory: the disk takes no more of them", "turns", added, "file_bytes", stats.DiskBytes)
	}
	h.spillReported = stats.Failures
}

// unreadableTurn stops the replicas after kept turns could not be read from the disk. The host is
// opened again from the log and the snapshots.
func (h *Host) unreadableTurn(err error) error {
	if errors.Is(err, spill.ErrUnreadable) {
		h.replicas.Fail(err)
	}
	return transport.Errorf(rpcpb.Code_CODE_STOPPING, "%s", err)
}
