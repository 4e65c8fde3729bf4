package capacity

import (
	"context"
	"fmt"
	"path/filepath"

	"ibistray.example/ibistray/internal/pathbench"
)

// announcementSidecars is the number of sidecars over which the usage is averaged.
const announcementSidecars = 3

// measureSidecarAnnouncements measures the usage of idle sidecars as a function
// of the number of control processes that they announce themselves to.
func measureSidecarAnnouncements(ctx context.Context, binDir, dir string) ([]Slope, error) {
	sizes := []float64{1, 2, 3}
	var cpu, bytes []float64
	for _, size := range sizes {
		s, err := startSystem(ctx, pathbench.Layout{
			BinDir: binDir, Dir: filepath.Join(dir, fmt.Sprintf("announcing-%.0f", size)),
			Control: 3, ControlPerSidecar: int(size), Entries: 1, Engines: announcementSidecars, Shards: 16,
		}, 0)
		if err != nil {
			return nil, err
		}
		s.cluster.Stop()
		cpu = append(cpu, s.idle.sidecarCPU)
		bytes = append(bytes, s.idle.sidecarBytes)
	}
	const method = "3 idle sidecars that tell 1, 2 and 3 control processes; mean of the sidecars; "
	cpuLine := Fit(sizes, cpu)
	return []Slope{
		{Name: SidecarProbeCPU, Unit: unitMicrosPerSecond, Value: cpuLine.Intercept, Sizes: sizes, Readings: cpu, Method: method + "intercept"},
		{Name: SidecarAnnounceCPU, Unit: unitMicrosPerSecond, Value: cpuLine.Slope, Sizes: sizes, Readings: cpu, Method: method + "slope"},
		{Name: SidecarAnnounceBytes, Unit: unitBytesPerSecond, Value: Fit(sizes, bytes).Slope, Sizes: sizes, Readings: bytes, Method: method + "slope, bytes written"},
	}, nil
}
