package statehost

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"ibistray.example/ibistray/internal/ledger"
	"ibistray.example/ibistray/internal/policy/retention"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/ledgerpb"
	"ibistray.example/ibistray/proto/rpcpb"
)

// waitForRoom waits until the host has looked at what the ledger keeps now. A sweep that is under way may
// have looked before, so it waits for the end of the next one.
func waitForRoom(t *testing.T, h *Host) {
	t.Helper()
	for range 2 {
		before := h.room.state.Load()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if h.room.state.Load() != before {
				return poll.Success()
			}
			return poll.Continue("no sweep")
		}, poll.WithTimeout(20*sweepInterval))
	}
}

// startLeader starts the only state host of a cluster and waits until it leads the ledger.
func startLeader(t *testing.T, memoryBytes int64) *Host {
	t.Helper()
	h := startLimitedHost(t, t.TempDir(), memoryBytes, 8*memoryBytes, func(err error) { t.Error(err) })
	t.Cleanup(func() { stopHost(t, h) })
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, leads := h.leaderStatus(t.Context(), LedgerGroup); leads {
			return poll.Success()
		}
		return poll.Continue("the host does not lead")
	})
	return h
}

// TestFirstTurnsAreRefusedBeforeTheRoomIsUsedUp guards against turns that are kept beyond the disk,
// and against turns of programs under way that are refused.
func TestFirstTurnsAreRefusedBeforeTheRoomIsUsedUp(t *testing.T) {
	const turnBytes = 256 << 10
	h := startLeader(t, 24<<20)
	call := func(req *ledgerpb.Request) error {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		_, err := h.handleLedger(ctx, req)
		return err
	}
	first := func(id string, priority uint32) *ledgerpb.Request {
		return &ledgerpb.Request{Command: beginCommand(id, id, "", 1, 10), RoutePriority: priority}
	}
	kept := 0
	keepUntil := func(share float64) {
		for ; float64(h.ledger.Stats().Bytes) < share*float64(h.room.disk.Load()); kept++ {
			cmd := keptTurn(kept, turnBytes)
			cmd.NowMs = h.ledgerClock.nowMs()
			data, err := proto.Marshal(cmd)
			assert.NilError(t, err)
			h.ledger.Apply(uint64(kept), data)
		}
		waitForRoom(t, h)
	}
	refused := func(req *ledgerpb.Request) {
		t.Helper()
		err := call(req)
		assert.Equal(t, transport.CodeOf(err), rpcpb.Code_CODE_EXHAUSTED, "%v", err)
		// The turns are kept for 600 s and the margin of 30 s.
		var refusal *transport.Error
		assert.Assert(t, errors.As(err, &refusal))
		assert.Assert(t, refusal.RetryAfter > 600*time.Second && refusal.RetryAfter <= 640*time.Second, "%s", refusal.RetryAfter)
	}
	keepUntil(0.7)
	assert.NilError(t, call(first("room", 1)))
	keepUntil(0.8)
	refused(first("low", 1))
	assert.NilError(t, call(first("urgent", 0)))
	keepUntil(1.1)
	refused(first("full", 0))
	assert.NilError(t, call(first("urgent", 1)), "a turn that has begun already")
	assert.NilError(t, call(&ledgerpb.Request{Command: beginCommand("later", "p", "turn-1", 1, 10), RoutePriority: 1}))
	assert.NilError(t, call(&ledgerpb.Request{Command: beginCommand("unkept", "q", "", 1, 10), TurnNotKept: true, RoutePriority: 1}))
	assert.NilError(t, call(&ledgerpb.Request{Command: finishCommand("urgent", "urgent", "", 1)}))
	assert.Equal(t, h.ledger.Stats().Turns, kept+1)
	assert.Equal(t, h.ledger.Begun("", "full", "full"), false)
}

// TestLargeTurnsFitTheDisk guards against turns that are on disk whatever the limit of bodies there is,
// and that exceed the disk together with two snapshots and the log before first turns are refused.
func TestLargeTurnsFitTheDisk(t *testing.T) {
	const memoryBytes, diskBytes, turnBytes = 144 << 20, 300 << 20, 3 << 20
	h := startLimitedHost(t, t.TempDir(), memoryBytes, diskBytes, func(err error) { t.Error(err) })
	defer stopHost(t, h)
	full := func() bool {
		h.room.disk.Store(h.membersCapacity(nil))
		return h.keptResources()[0].Level() == retention.Full
	}
	for n := 0; n < diskBytes/turnBytes && !full(); n++ {
		data, err := proto.Marshal(keptTurn(n, turnBytes))
		assert.NilError(t, err)
		h.ledger.Apply(uint64(n), data)
	}
	assert.Assert(t, full())
	kept, files := h.ledger.Stats().Bytes, 2*h.spill.Stats().LiveBytes // as sparse as they may be
	sum := logBytes(&h.cfg, diskBytes) + 2*kept + files + diskBytes/32
	t.Logf("%d bytes kept, up to %d of %d bytes on disk", kept, sum, diskBytes)
	assert.Assert(t, sum <= diskBytes)
	assert.Assert(t, kept >= diskBytes/8)
}

// TestManySmallTurnsAreLimitedByTheMemory guards against turns that fit the disk and whose index
// does not fit the memory.
func TestManySmallTurnsAreLimitedByTheMemory(t *testing.T) {
	h := startLeader(t, 8<<20)
	for n := range 8 << 20 / indexMemoryShare / turnIndexBytes {
		data, err := proto.Marshal(keptTurn(n, 10))
		assert.NilError(t, err)
		h.ledger.Apply(uint64(n), data)
	}
	waitForRoom(t, h)
	_, err := h.handleLedger(t.Context(), &ledgerpb.Request{Command: beginCommand("a", "a", "", 1, 10)})
	assert.Equal(t, transport.CodeOf(err), rpcpb.Code_CODE_EXHAUSTED, "%v", err)
	assert.ErrorContains(t, err, fmt.Sprintf("(%s)", resourceMemory))
}

// TestProgramsOfASteadyLoadFindRoom guards against first turns that are refused for the memory under a
// load that lasts longer than the retention: 103 programs a second, which are recorded for 5 minutes, of
// which 69 keep three turns for 90 s, on a host of 154 MB.
func TestProgramsOfASteadyLoadFindRoom(t *testing.T) {
	const memoryBytes, programs = 154_000_000, 103 * 300
	resource := retention.Resource{
		Used:     indexBytes(ledger.Stats{Programs: programs, Turns: 69 * 3 * 90}),
		Capacity: memoryBytes / indexMemoryShare,
		Programs: programs, Running: 103 * int64(retention.GrowthPeriod/time.Second),
	}
	assert.Equal(t, resource.Level(), retention.Free, "%d of %d bytes", resource.Used+resource.Growth(), resource.Capacity)
}

// TestTurnBeyondTheMemoryIsRefused guards against a turn whose copies exceed the memory of the replicas.
func TestTurnBeyondTheMemoryIsRefused(t *testing.T) {
	h := startLeader(t, 16<<20)
	limit := int(h.maxTurnBytes())
	finish := func(id string, size int) error {
		cmd := finishCommand(id, "p", "", 1)
		cmd.GetFinish().Input, cmd.GetFinish().Output = make([]byte, size/2), make([]byte, size-size/2)
		_, err := h.handleLedger(t.Context(), &ledgerpb.Request{Command: cmd})
		return err
	}
	assert.Equal(t, transport.CodeOf(finish("a", limit+1)), rpcpb.Code_CODE_INVALID)
	assert.NilError(t, finish("b", limit))
	assert.Equal(t, h.ledger.Stats().Bytes, int64(limit))
	assert.Equal(t, h.ledger.Stats().Memory, int64(0), "a large turn is on disk")
}
