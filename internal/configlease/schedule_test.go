package configlease

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/config"
	"ibistray.example/ibistray/proto/configpb"
	"ibistray.example/ibistray/proto/rpcpb"
)

const (
	scheduleSeeds      = 400
	scheduleSteps      = 150
	maxInterleaveDepth = 2 // nesting of steps that run while a message is in flight
)

var errUnreachable = errors.New("the leader is unreachable")

// simulation runs a group of control processes, one of which leads, and their
// holders. Time is virtual and all steps run on one goroutine, so a seed always
// gives the same schedule.
type simulation struct {
	t               *testing.T
	random          *rand.Rand
	log             [][]byte // committed commands
	hosts           []*controlHost
	holders         []*Holder
	leader          int
	tracker         *VersionTracker // of the leader
	interleaveDepth int             // current nesting of interleave
	maxInForce      uint64          // highest version that was ever in force
	lastVersions    []uint64        // of each holder, at the last check
}

// controlHost is one control process and its replica of the state.
type controlHost struct {
	simulation  *simulation
	name        string
	state       *config.State
	applied     int // number of commands of the log that are applied
	grantor     *Grantor
	partitioned bool // messages between this host and the leader are lost
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	const hosts, holders = 3, 4
	s := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 1)), tracker: NewVersionTracker(), lastVersions: make([]uint64, holders)}
	for i := range hosts {
		h := &controlHost{simulation: s, name: fmt.Sprintf("control-%d", i), state: config.New()}
		h.grantor = NewGrantor(h.name, h.state, h)
		s.hosts = append(s.hosts, h)
	}
	for range holders {
		s.holders = append(s.holders, NewHolder())
	}
	s.tracker.BecomeLeader(time.Now())
	return s
}

// Renew implements Renewer: the leader handles the renewal of this host. Other steps
// may run while the request or the response is in flight.
func (h *controlHost) Renew(_ context.Context, renewal *rpcpb.ConfigRenewal) (*rpcpb.ConfigGrant, error) {
	s := h.simulation
	s.interleave()
	if h.partitioned {
		return nil, errUnreachable
	}
	s.tracker.RecordRenewal(renewal.Host, min(renewal.Version, renewal.HoldersVersion), time.Now())
	grant := &rpcpb.ConfigGrant{Version: s.leaderHost().state.Version()}
	s.interleave()
	if h.partitioned {
		return nil, errUnreachable
	}
	return grant, nil
}

func (s *simulation) leaderHost() *controlHost { return s.hosts[s.leader] }

// catchUp applies committed commands to the replica, up to a position in the log.
func (h *controlHost) catchUp(position int) {
	for h.applied < position {
		h.state.Apply(uint64(h.applied+1), h.simulation.log[h.applied])
		h.applied++
	}
}

// interleave runs a few random steps, sometimes, while a message is in flight.
func (s *simulation) interleave() {
	if s.interleaveDepth >= maxInterleaveDepth || s.random.IntN(3) > 0 {
		return
	}
	s.interleaveDepth++
	for range 1 + s.random.IntN(4) {
		s.randomStep()
	}
	s.interleaveDepth--
}

func (s *simulation) randomStep() {
	host := s.hosts[s.random.IntN(len(s.hosts))]
	switch s.random.IntN(12) {
	case 0:
		s.appendChange()
	case 1:
		host.partitioned = s.random.IntN(2) == 0
	case 2:
		if s.random.IntN(6) == 0 {
			s.electLeader()
		}
	case 3, 4:
		host.catchUp(host.applied + s.random.IntN(len(s.log)-host.applied+1))
	case 5, 6, 7:
		host.grantor.renew(s.t.Context())
	case 8, 9:
		s.renewHolder(host, s.random.IntN(len(s.holders)))
	default:
		s.advanceTime()
	}
	s.checkInvariants()
}

// advanceTime sleeps for less than a second, or now and then for up to
// hostExpiryTimeout, as if all processes were paused.
func (s *simulation) advanceTime() {
	limit := time.Second
	if s.random.IntN(8) == 0 {
		limit = hostExpiryTimeout
	}
	time.Sleep(time.Duration(s.random.Int64N(int64(limit))))
}

func (s *simulation) appendChange() {
	stop := &configpb.Stop{Scope: configpb.StopScope_STOP_SCOPE_SERVER, Name: fmt.Sprintf("server-%d", len(s.log))}
	put := &configpb.Put{Record: &configpb.Record{Value: &configpb.Record_Stop{Stop: stop}}}
	data, err := proto.Marshal(&configpb.Command{ChangeId: stop.Name, Op: &configpb.Command_Put{Put: put}})
	assert.NilError(s.t, err)
	s.log = append(s.log, data)
	s.leaderHost().catchUp(len(s.log))
}

// electLeader makes a random host the leader. The new leader has the whole log but does
// not know the leases that were granted under its predecessor.
func (s *simulation) electLeader() {
	s.leader = s.random.IntN(len(s.hosts))
	s.leaderHost().catchUp(len(s.log))
	s.tracker = NewVersionTracker()
	s.tracker.BecomeLeader(time.Now())
}

// renewHolder sends the message of a holder to a control process and applies the
// response.
func (s *simulation) renewHolder(host *controlHost, i int) {
	holder := s.holders[i]
	sent := time.Now()
	version := holder.View().Version()
	s.interleave()
	response := host.grantor.HandleRenewal(fmt.Sprintf("holder-%d", i), version, time.Now())
	s.interleave()
	holder.Renew(response, sent)
}

// checkInvariants checks that each holder with a valid lease has at least the version
// in force, that no holder reverts to a lower version, and that the version in force
// exists in the log.
func (s *simulation) checkInvariants() {
	names := make([]string, len(s.hosts))
	for i, h := range s.hosts {
		names[i] = h.name
	}
	now := time.Now()
	s.maxInForce = max(s.maxInForce, s.tracker.InForce(s.leaderHost().state.Version(), names, now))
	assert.Assert(s.t, s.maxInForce <= uint64(len(s.log)))
	for i, holder := range s.holders {
		version := holder.View().Version()
		assert.Assert(s.t, version >= s.lastVersions[i], "holder %d reverted from version %d to %d", i, s.lastVersions[i], version)
		s.lastVersions[i] = version
		if holder.Valid(now) {
			assert.Assert(s.t, version >= s.maxInForce, "holder %d has a valid lease and version %d, but version %d is in force", i, version, s.maxInForce)
		}
	}
}

// TestVersionInForceIsHeldByAllValidLeases runs random schedules of changes, lagging
// replicas, partitioned and paused control processes, new leaders and late messages.
// A version must not be in force while a holder with a valid lease has a lower one.
func TestVersionInForceIsHeldByAllValidLeases(t *testing.T) {
	totalInForce := uint64(0)
	for seed := range uint64(scheduleSeeds) {
		synctest.Test(t, func(t *testing.T) {
			defer func() {
				if t.Failed() {
					t.Logf("seed %d", seed)
				}
			}()
			s := newSimulation(t, seed)
			for range scheduleSteps {
				s.randomStep()
			}
			totalInForce += s.maxInForce
		})
	}
	t.Logf("%d versions came into force over %d seeds", totalInForce, scheduleSeeds)
	assert.Assert(t, totalInForce > scheduleSeeds)
}
