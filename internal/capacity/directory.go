package capacity

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"ibistray.example/ibistray/internal/pathbench"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/rpcpb"
)

const (
	directoryModels        = 10
	announcementWorkers    = 32
	announcementRounds     = 3
	directoryReads         = 60
	directoryIdleWindow    = 3 * time.Second
	maxViewServersPerModel = 64 // servers per model that an entry reads from the directory
	rpcTimeout             = 5 * time.Second
	announcementLeaseMs    = 30_000
)

// fakeServers announces nonexistent servers to control processes.
type fakeServers struct {
	pool     *transport.Pool
	sequence atomic.Uint64
}

// announcement returns the next announcement of a server.
func (f *fakeServers) announcement(i int) *rpcpb.Announcement {
	n := strconv.Itoa(i)
	return &rpcpb.Announcement{
		Server:        "engine-" + n,
		Sidecar:       "10.120.200.10:7001",
		Incarnation:   "ABCDEFGHIJKLMNOPQRSTUVWXYZ-" + n,
		Region:        "region-1",
		FailureDomain: "region-1-fd-a",
		Kind:          rpcpb.ServerKind_SERVER_KIND_ENGINE,
		Models:        []string{"model-" + strconv.Itoa(i%directoryModels)},
		State:         rpcpb.ServerState_SERVER_STATE_READY,
		Sequence:      f.sequence.Add(1),
		LeaseMs:       announcementLeaseMs,
		Load: &rpcpb.Load{
			Running: 12, Waiting: 3, BatchLimit: 64, CacheUsedTokens: 400_000, CacheCapacityTokens: 900_000,
			AgeMs: 300, TokensPerSecond: 30, PrefillTokensPerSecond: 9000,
		},
	}
}

// announce announces the given number of servers once to each address.
func (f *fakeServers) announce(ctx context.Context, addresses []string, servers int) error {
	var next atomic.Int64
	var failed atomic.Pointer[error]
	var workers sync.WaitGroup
	total := int64(servers * len(addresses))
	for range announcementWorkers {
		workers.Go(func() {
			for i := next.Add(1) - 1; i < total; i = next.Add(1) - 1 {
				address := addresses[int(i)%len(addresses)]
				if err := f.announceTo(ctx, address, int(i)/len(addresses)); err != nil {
					failed.Store(&err)
					return
				}
			}
		})
	}
	workers.Wait()
	if err := failed.Load(); err != nil {
		return *err
	}
	return nil
}

// announceTo announces one server to one address.
func (f *fakeServers) announceTo(ctx context.Context, address string, server int) error {
	ctx, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	return f.pool.Call(ctx, address, transport.MethodDirectoryAnnounce, f.announcement(server), new(rpcpb.AnnounceResponse))
}

// read reads the members of the directory like an entry without a cached view. It
// returns the number of members and the encoded size of the response.
func (f *fakeServers) read(ctx context.Context, address string) (members, bytes int, err error) {
	ctx, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	resp := new(rpcpb.MembersResponse)
	req := &rpcpb.MembersRequest{Viewer: "capacity", Limit: maxViewServersPerModel}
	if err := f.pool.Call(ctx, address, transport.MethodDirectoryMembers, req, resp); err != nil {
		return 0, 0, err
	}
	return len(resp.Members), proto.Size(resp), nil
}

// directoryCost is the cost of a directory with a given number of servers.
type directoryCost struct {
	announceCPU   float64 // us per announcement
	readCPU       float64 // us per read
	controlMemory float64 // resident bytes of one control process
	entryCPU      float64 // us/s while every server announces itself once per second
	entryMemory   float64 // resident bytes of the entry, under the same load
	memberBytes   float64 // encoded bytes per member of a response
}

// measureDirectory measures the processor time of announcements to the directory and
// of reads of it, and the memory and processor time that grow with the number of
// servers in it.
func measureDirectory(ctx context.Context, binDir, dir string) ([]Slope, error) {
	s, err := startSystem(ctx, pathbench.Layout{
		BinDir: binDir, Dir: filepath.Join(dir, "directory"), Control: 3, Entries: 1, Engines: 1, Shards: 16,
	}, 0)
	if err != nil {
		return nil, err
	}
	defer s.cluster.Stop()
	servers := &fakeServers{pool: transport.NewPool(transport.DialTCP)}
	defer servers.pool.Close()
	sizes := []float64{160, 320, 640, 2500, 5000}
	var costs []directoryCost
	for _, size := range sizes {
		cost, err := s.measureDirectoryCost(ctx, servers, int(size))
		if err != nil {
			return nil, fmt.Errorf("measure the directory with %.0f servers: %w", size, err)
		}
		costs = append(costs, cost)
	}
	return directorySlopes(sizes, costs, servers.announcement(0)), nil
}

// measureDirectoryCost fills the directory with the given number of servers and
// measures its cost.
func (s *system) measureDirectoryCost(ctx context.Context, servers *fakeServers, size int) (directoryCost, error) {
	var cost directoryCost
	var err error
	if cost.announceCPU, err = s.measureAnnouncementCPU(ctx, servers, size); err != nil {
		return cost, err
	}
	if cost.readCPU, cost.memberBytes, err = s.measureReadCost(ctx, servers); err != nil {
		return cost, err
	}
	err = s.measureEntryCost(ctx, servers, size, &cost)
	return cost, err
}

// measureAnnouncementCPU returns the control processor time per announcement, in
// microseconds: the median of several rounds, idle usage subtracted.
func (s *system) measureAnnouncementCPU(ctx context.Context, servers *fakeServers, size int) (float64, error) {
	addresses := s.cluster.ControlAddresses
	var costs []float64
	for range announcementRounds {
		before, err := readRoleUsage(s.cluster)
		if err != nil {
			return 0, err
		}
		start := time.Now()
		if err := servers.announce(ctx, addresses, size); err != nil {
			return 0, err
		}
		elapsed := time.Since(start).Seconds()
		after, err := readRoleUsage(s.cluster)
		if err != nil {
			return 0, err
		}
		used := microseconds(after.sub(before).control.CPU) - elapsed*s.idle.controlCPU*float64(len(addresses))
		costs = append(costs, used/float64(size*len(addresses)))
	}
	return median(costs), nil
}

// measureReadCost returns the control processor time per full read of the
// directory, in microseconds, and the response bytes per member. It subtracts what
// the control processes use without these reads, which includes serving the entry.
func (s *system) measureReadCost(ctx context.Context, servers *fakeServers) (cpu, memberBytes float64, err error) {
	idle, _, err := s.usageDuring(directoryIdleWindow)
	if err != nil {
		return 0, 0, err
	}
	idlePerSecond := microseconds(idle.control.CPU) / directoryIdleWindow.Seconds()
	before, err := readRoleUsage(s.cluster)
	if err != nil {
		return 0, 0, err
	}
	start := time.Now()
	members, bytes := 0, 0
	for range directoryReads {
		m, b, err := servers.read(ctx, s.cluster.ControlAddresses[0])
		if err != nil {
			return 0, 0, err
		}
		members += m
		bytes += b
	}
	elapsed := time.Since(start).Seconds()
	after, err := readRoleUsage(s.cluster)
	if err != nil {
		return 0, 0, err
	}
	if members == 0 {
		return 0, 0, errors.New("the reads of the directory returned no members")
	}
	cpu = (microseconds(after.sub(before).control.CPU) - elapsed*idlePerSecond) / directoryReads
	return cpu, float64(bytes) / float64(members), nil
}

// measureEntryCost measures the entry, and the memory of the control processes,
// while every server announces itself once per second.
func (s *system) measureEntryCost(ctx context.Context, servers *fakeServers, size int, cost *directoryCost) error {
	before, err := readRoleUsage(s.cluster)
	if err != nil {
		return err
	}
	start := time.Now()
	for range announcementRounds {
		roundStart := time.Now()
		if err := servers.announce(ctx, s.cluster.ControlAddresses, size); err != nil {
			return err
		}
		time.Sleep(max(0, time.Second-time.Since(roundStart)))
	}
	after, err := readRoleUsage(s.cluster)
	if err != nil {
		return err
	}
	cost.entryCPU = microseconds(after.sub(before).entry.CPU) / time.Since(start).Seconds()
	cost.entryMemory = float64(after.entry.ResidentBytes)
	cost.controlMemory = float64(after.control.ResidentBytes) / float64(len(s.cluster.Control))
	return nil
}

// directorySlopes computes the slopes from the costs at each size. The encoded
// size of sample is reported as the size of an announcement.
func directorySlopes(sizes []float64, costs []directoryCost, sample *rpcpb.Announcement) []Slope {
	collect := func(field func(directoryCost) float64) []float64 {
		values := make([]float64, len(costs))
		for i, c := range costs {
			values[i] = field(c)
		}
		return values
	}
	const method = "3 control, 1 entry, servers that don't exist announced to all three; "
	announce := collect(func(c directoryCost) float64 { return c.announceCPU })
	reads := collect(func(c directoryCost) float64 { return c.readCPU })
	memory := collect(func(c directoryCost) float64 { return c.controlMemory })
	member := collect(func(c directoryCost) float64 { return c.memberBytes })
	entryCPU := collect(func(c directoryCost) float64 { return c.entryCPU })
	entryMemory := collect(func(c directoryCost) float64 { return c.entryMemory })
	// The view of the entry holds at most maxViewServersPerModel servers of each model.
	viewSizes := slices.Clone(sizes)
	for i := range viewSizes {
		viewSizes[i] = min(viewSizes[i], directoryModels*maxViewServersPerModel)
	}
	uncapped := 3 // number of leading sizes at which the view holds every server
	return []Slope{
		{Name: ControlAnnouncementCPU, Unit: unitMicros, Value: median(announce), Sizes: sizes, Readings: announce, Method: method + "median over the sizes, one exchange"},
		{Name: AnnouncementBytes, Unit: unitBytes, Value: float64(proto.Size(sample)), Sizes: []float64{1}, Readings: []float64{float64(proto.Size(sample))}, Method: "encoded announcement"},
		{Name: ControlMembersReadCPU, Unit: unitMicros, Value: Fit(sizes, reads).Slope, Sizes: sizes, Readings: reads, Method: method + "a whole read of at most 64 servers a model; slope over the servers in the directory"},
		{Name: ControlServerMemory, Unit: unitBytes, Value: Fit(sizes, memory).Slope, Sizes: sizes, Readings: memory, Method: method + "resident memory, slope"},
		{Name: MembersReadMemberBytes, Unit: unitBytes, Value: median(member), Sizes: sizes, Readings: member, Method: method + "answer's bytes for each member"},
		{Name: EntryServerCPU, Unit: unitMicrosPerSecond, Value: Fit(viewSizes[:uncapped], entryCPU[:uncapped]).Slope, Sizes: viewSizes, Readings: entryCPU, Method: method + "entry, for each server in its view, each announced once a second; slope over the sizes that the view holds whole"},
		{Name: EntryServerMemory, Unit: unitBytes, Value: Fit(viewSizes[:uncapped], entryMemory[:uncapped]).Slope, Sizes: viewSizes, Readings: entryMemory, Method: method + "entry's resident memory for each server in its view; slope over the sizes that the view holds whole"},
	}
}
