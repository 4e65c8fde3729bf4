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
	directoryModels  = 10
	directorySenders = 32
	directoryRounds  = 3
	directoryReads   = 60
	directoryWindow  = 3 * time.Second
	viewLimit        = 64 // servers of one model in an entry's view
	exchangeTimeout  = 5 * time.Second
	serverLeaseMs    = 30_000
)

// fakeServers announces servers that don't exist to control processes.
type fakeServers struct {
	pool     *transport.Pool
	sequence atomic.Uint64
}

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
		LeaseMs:       serverLeaseMs,
		Load: &rpcpb.Load{
			Running: 12, Waiting: 3, BatchLimit: 64, CacheUsedTokens: 400_000, CacheCapacityTokens: 900_000,
			AgeMs: 300, TokensPerSecond: 30, PrefillTokensPerSecond: 9000,
		},
	}
}

// announce announces servers to each address once.
func (f *fakeServers) announce(ctx context.Context, addresses []string, servers int) error {
	var next atomic.Int64
	var failed atomic.Pointer[error]
	var senders sync.WaitGroup
	total := int64(servers * len(addresses))
	for range directorySenders {
		senders.Go(func() {
			for i := next.Add(1) - 1; i < total; i = next.Add(1) - 1 {
				address := addresses[int(i)%len(addresses)]
				if err := f.tell(ctx, address, int(i)/len(addresses)); err != nil {
					failed.Store(&err)
					return
				}
			}
		})
	}
	senders.Wait()
	if err := failed.Load(); err != nil {
		return *err
	}
	return nil
}

func (f *fakeServers) tell(ctx context.Context, address string, server int) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	return f.pool.Call(ctx, address, transport.MethodDirectoryAnnounce, f.announcement(server), new(rpcpb.AnnounceResponse))
}

// read reads the view of one viewer and returns the size of the answer.
func (f *fakeServers) read(ctx context.Context, address string) (members, bytes int, err error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	resp := new(rpcpb.MembersResponse)
	req := &rpcpb.MembersRequest{Viewer: "capacity", Limit: viewLimit}
	if err := f.pool.Call(ctx, address, transport.MethodDirectoryMembers, req, resp); err != nil {
		return 0, 0, err
	}
	return len(resp.Members), proto.Size(resp), nil
}

// directoryReading is what one size of the directory costs.
type directoryReading struct {
	announceCPU float64 // us each
	readCPU     float64 // us each
	memory      float64 // resident bytes of a control process
	entryCPU    float64 // us/s while each server announces itself once a second
	entryMemory float64
	memberBytes float64 // of one member in an answer
}

// measureDirectory measures announcements and reads of the directory.
func measureDirectory(ctx context.Context, binDir, dir string) ([]Slope, error) {
	s, err := startSystem(ctx, pathbench.Layout{
		BinDir: binDir, Dir: filepath.Join(dir, "directory"), Control: 3, Entries: 1, Engines: 1, Shards: 16,
	}, 0)
	if err != nil {
		return nil, err
	}
	defer s.cluster.Stop()
	f := &fakeServers{pool: transport.NewPool(transport.DialTCP)}
	defer f.pool.Close()
	sizes := []float64{160, 320, 640, 2500, 5000}
	var readings []directoryReading
	for _, size := range sizes {
		r, err := s.readDirectory(ctx, f, int(size))
		if err != nil {
			return nil, fmt.Errorf("%.0f servers: %w", size, err)
		}
		readings = append(readings, r)
	}
	return directorySlopes(sizes, readings, f.announcement(0)), nil
}

func (s *system) readDirectory(ctx context.Context, f *fakeServers, size int) (directoryReading, error) {
	var r directoryReading
	var err error
	if r.announceCPU, err = s.announceCost(ctx, f, size); err != nil {
		return r, err
	}
	if r.readCPU, r.memberBytes, err = s.readCost(ctx, f); err != nil {
		return r, err
	}
	err = s.entryCost(ctx, f, size, &r)
	return r, err
}

func (s *system) announceCost(ctx context.Context, f *fakeServers, size int) (float64, error) {
	addresses := s.cluster.ControlAddresses
	var costs []float64
	for range directoryRounds {
		before, err := readRoles(s.cluster)
		if err != nil {
			return 0, err
		}
		start := time.Now()
		if err := f.announce(ctx, addresses, size); err != nil {
			return 0, err
		}
		elapsed := time.Since(start).Seconds()
		after, err := readRoles(s.cluster)
		if err != nil {
			return 0, err
		}
		used := micros(after.sub(before).control.CPU) - elapsed*s.idle.controlCPU*float64(len(addresses))
		costs = append(costs, used/float64(size*len(addresses)))
	}
	return median(costs), nil
}

// readCost measures whole reads; the share of the running entry is taken off.
func (s *system) readCost(ctx context.Context, f *fakeServers) (cpu, memberBytes float64, err error) {
	idle, _, err := s.window(directoryWindow)
	if err != nil {
		return 0, 0, err
	}
	idlePerSecond := micros(idle.control.CPU) / directoryWindow.Seconds()
	before, err := readRoles(s.cluster)
	if err != nil {
		return 0, 0, err
	}
	start := time.Now()
	members, bytes := 0, 0
	for range directoryReads {
		m, b, err := f.read(ctx, s.cluster.ControlAddresses[0])
		if err != nil {
			return 0, 0, err
		}
		members += m
		bytes += b
	}
	elapsed := time.Since(start).Seconds()
	after, err := readRoles(s.cluster)
	if err != nil {
		return 0, 0, err
	}
	if members == 0 {
		return 0, 0, errors.New("the directory is empty")
	}
	cpu = (micros(after.sub(before).control.CPU) - elapsed*idlePerSecond) / directoryReads
	return cpu, float64(bytes) / float64(members), nil
}

// entryCost measures the entry while all servers announce themselves each second.
func (s *system) entryCost(ctx context.Context, f *fakeServers, size int, r *directoryReading) error {
	before, err := readRoles(s.cluster)
	if err != nil {
		return err
	}
	start := time.Now()
	for range directoryRounds {
		begin := time.Now()
		if err := f.announce(ctx, s.cluster.ControlAddresses, size); err != nil {
			return err
		}
		time.Sleep(max(0, time.Second-time.Since(begin)))
	}
	after, err := readRoles(s.cluster)
	if err != nil {
		return err
	}
	r.entryCPU = micros(after.sub(before).entry.CPU) / time.Since(start).Seconds()
	r.entryMemory = float64(after.entry.ResidentBytes)
	r.memory = float64(after.control.ResidentBytes) / float64(len(s.cluster.Control))
	return nil
}

func directorySlopes(sizes []float64, readings []directoryReading, sample *rpcpb.Announcement) []Slope {
	collect := func(pick func(directoryReading) float64) []float64 {
		values := make([]float64, len(readings))
		for i, r := range readings {
			values[i] = pick(r)
		}
		return values
	}
	const method = "3 control, 1 entry, servers that don't exist announced to all three; "
	announce := collect(func(r directoryReading) float64 { return r.announceCPU })
	reads := collect(func(r directoryReading) float64 { return r.readCPU })
	memory := collect(func(r directoryReading) float64 { return r.memory })
	member := collect(func(r directoryReading) float64 { return r.memberBytes })
	entryCPU := collect(func(r directoryReading) float64 { return r.entryCPU })
	entryMemory := collect(func(r directoryReading) float64 { return r.entryMemory })
	// Up to viewLimit servers of each model are in the entry's view.
	inView := slices.Clone(sizes)
	for i := range inView {
		inView[i] = min(inView[i], directoryModels*viewLimit)
	}
	known := 3 // sizes that the view holds whole
	return []Slope{
		{Name: ControlAnnounceCPU, Unit: unitMicros, Value: median(announce), Sizes: sizes, Readings: announce, Method: method + "median over the sizes, one exchange"},
		{Name: AnnounceBytes, Unit: unitBytes, Value: float64(proto.Size(sample)), Sizes: []float64{1}, Readings: []float64{float64(proto.Size(sample))}, Method: "encoded announcement"},
		{Name: ControlReadCPU, Unit: unitMicros, Value: Fit(sizes, reads).Slope, Sizes: sizes, Readings: reads, Method: method + "a whole read of at most 64 servers a model; slope over the servers in the directory"},
		{Name: ControlServerMemory, Unit: unitBytes, Value: Fit(sizes, memory).Slope, Sizes: sizes, Readings: memory, Method: method + "resident memory, slope"},
		{Name: ReadMemberBytes, Unit: unitBytes, Value: median(member), Sizes: sizes, Readings: member, Method: method + "answer's bytes for each member"},
		{Name: EntryServerCPU, Unit: unitMicrosPerSecond, Value: Fit(inView[:known], entryCPU[:known]).Slope, Sizes: inView, Readings: entryCPU, Method: method + "entry, for each server in its view, each announced once a second; slope over the sizes that the view holds whole"},
		{Name: EntryServerMemory, Unit: unitBytes, Value: Fit(inView[:known], entryMemory[:known]).Slope, Sizes: inView, Readings: entryMemory, Method: method + "entry's resident memory for each server in its view; slope over the sizes that the view holds whole"},
	}
}
