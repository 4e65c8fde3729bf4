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
	scheduleSeeds = 400
	scheduleSteps = 150
	maxNesting    = 2 // steps that may run within a message that is under way
)

var errCutOff = errors.New("the leader is not reached")

// world is a group of control processes, one of which leads, and the holders of
// copies. Time is virtual and one goroutine makes each step, so a seed always
// gives the same schedule.
type world struct {
	t       *testing.T
	random  *rand.Rand
	log     [][]byte // committed commands
	hosts   []*controlHost
	holders []*Holder
	leader  int
	tracker *VersionTracker // of the leader
	nesting int
	inForce uint64   // highest version that was reported as in force
	seen    []uint64 // highest version of each holder
}

// controlHost is one control process and its replica of the state.
type controlHost struct {
	world   *world
	name    string
	state   *config.State
	applied int
	grantor *Grantor
	cut     bool // its messages to the leader are lost
}

func newWorld(t *testing.T, seed uint64) *world {
	const hosts, holders = 3, 4
	w := &world{t: t, random: rand.New(rand.NewPCG(seed, 1)), tracker: NewVersionTracker(), seen: make([]uint64, holders)}
	for i := range hosts {
		h := &controlHost{world: w, name: fmt.Sprintf("control-%d", i), state: config.New()}
		h.grantor = NewGrantor(h.name, h.state, h)
		w.hosts = append(w.hosts, h)
	}
	for range holders {
		w.holders = append(w.holders, NewHolder())
	}
	w.tracker.BecomeLeader(time.Now())
	return w
}

// Renew implements Renewer: the leader serves the renewal of this host. Other
// steps may happen while the request and while the answer are under way.
func (h *controlHost) Renew(_ context.Context, renewal *rpcpb.ConfigRenewal) (*rpcpb.ConfigGrant, error) {
	w := h.world
	w.nest()
	if h.cut {
		return nil, errCutOff
	}
	w.tracker.RecordRenewal(renewal.Host, min(renewal.Version, renewal.HoldersVersion), time.Now())
	grant := &rpcpb.ConfigGrant{Version: w.leading().state.Version()}
	w.nest()
	if h.cut {
		return nil, errCutOff
	}
	return grant, nil
}

func (w *world) leading() *controlHost { return w.hosts[w.leader] }

// catchUp applies committed commands on a replica, up to a position of the log.
func (h *controlHost) catchUp(position int) {
	for h.applied < position {
		h.state.Apply(uint64(h.applied+1), h.world.log[h.applied])
		h.applied++
	}
}

// nest makes some steps while a message is under way.
func (w *world) nest() {
	if w.nesting >= maxNesting || w.random.IntN(3) > 0 {
		return
	}
	w.nesting++
	for range 1 + w.random.IntN(4) {
		w.step()
	}
	w.nesting--
}

func (w *world) step() {
	host := w.hosts[w.random.IntN(len(w.hosts))]
	switch w.random.IntN(12) {
	case 0:
		w.change()
	case 1:
		host.cut = w.random.IntN(2) == 0
	case 2:
		if w.random.IntN(6) == 0 {
			w.elect()
		}
	case 3, 4:
		host.catchUp(host.applied + w.random.IntN(len(w.log)-host.applied+1))
	case 5, 6, 7:
		host.grantor.renew(w.t.Context())
	case 8, 9:
		w.exchange(host, w.random.IntN(len(w.holders)))
	default:
		w.pass()
	}
	w.check()
}

// pass lets time pass; now and then a long time, as for frozen processes.
func (w *world) pass() {
	limit := time.Second
	if w.random.IntN(8) == 0 {
		limit = silence
	}
	time.Sleep(time.Duration(w.random.Int64N(int64(limit))))
}

func (w *world) change() {
	stop := &configpb.Stop{Scope: configpb.StopScope_STOP_SCOPE_SERVER, Name: fmt.Sprintf("server-%d", len(w.log))}
	put := &configpb.Put{Record: &configpb.Record{Value: &configpb.Record_Stop{Stop: stop}}}
	data, err := proto.Marshal(&configpb.Command{ChangeId: stop.Name, Op: &configpb.Command_Put{Put: put}})
	assert.NilError(w.t, err)
	w.log = append(w.log, data)
	w.leading().catchUp(len(w.log))
}

// elect makes another host the leader. It knows the whole log, and nothing of
// the leases that were granted under the one before.
func (w *world) elect() {
	w.leader = w.random.IntN(len(w.hosts))
	w.leading().catchUp(len(w.log))
	w.tracker = NewVersionTracker()
	w.tracker.BecomeLeader(time.Now())
}

// exchange is a message of a holder to a control process and its answer.
func (w *world) exchange(host *controlHost, i int) {
	holder := w.holders[i]
	sent := time.Now()
	version := holder.View().Version()
	w.nest()
	answer := host.grantor.HandleRenewal(fmt.Sprintf("holder-%d", i), version, time.Now())
	w.nest()
	holder.Renew(answer, sent)
}

// check requires that each holder with a valid lease has what is in force, that
// no copy reverts, and that a version in force exists.
func (w *world) check() {
	names := make([]string, len(w.hosts))
	for i, h := range w.hosts {
		names[i] = h.name
	}
	now := time.Now()
	w.inForce = max(w.inForce, w.tracker.InForce(w.leading().state.Version(), names, now))
	assert.Assert(w.t, w.inForce <= uint64(len(w.log)))
	for i, holder := range w.holders {
		version := holder.View().Version()
		assert.Assert(w.t, version >= w.seen[i], "holder %d went back from %d to %d", i, w.seen[i], version)
		w.seen[i] = version
		if holder.Valid(now) {
			assert.Assert(w.t, version >= w.inForce, "holder %d has a lease and version %d; %d is in force", i, version, w.inForce)
		}
	}
}

// TestNothingIsInForceWhileALeaseLacksIt makes random schedules of changes,
// lagging replicas, cut off and frozen control processes, new leaders and late
// messages.
func TestNothingIsInForceWhileALeaseLacksIt(t *testing.T) {
	reached := uint64(0)
	for seed := range uint64(scheduleSeeds) {
		synctest.Test(t, func(t *testing.T) {
			defer func() {
				if t.Failed() {
					t.Logf("seed %d", seed)
				}
			}()
			w := newWorld(t, seed)
			for range scheduleSteps {
				w.step()
			}
			reached += w.inForce
		})
	}
	t.Logf("%d versions came into force over %d seeds", reached, scheduleSeeds)
	assert.Assert(t, reached > scheduleSeeds)
}
