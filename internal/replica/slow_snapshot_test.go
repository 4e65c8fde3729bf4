package replica_test

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/replica"
	"ibistray.example/ibistray/proto/raftpb"
)

// slowSnapshots is a state machine whose snapshots are not written before the gate is closed.
type slowSnapshots struct {
	*kv
	gate chan struct{}
}

func (s *slowSnapshots) CaptureSnapshot() func(io.Writer) error {
	return func(w io.Writer) error {
		<-s.gate
		return s.Snapshot(w)
	}
}

// TestSlowSnapshotLimitsTheEntriesInMemory guards against entries that fill the memory while a
// snapshot of a large state is written. Proposals are taken again once it is written.
func TestSlowSnapshotLimitsTheEntriesInMemory(t *testing.T) {
	const group, valueBytes, limit = 7, 1000, 20_000
	limited := func(opts *replica.Options) {
		opts.SnapshotBytes, opts.MinSnapshotBytes, opts.MaxUncoveredBytes = 5*valueBytes, 5*valueBytes, limit
	}
	runClusterWith(t, limited, func(t *testing.T, c *cluster) {
		const address = "a"
		machine := &slowSnapshots{kv: newKV(), gate: make(chan struct{})}
		release := sync.OnceFunc(func() { close(machine.gate) })
		defer release()
		host := c.nodes[address].host
		assert.NilError(t, host.AddGroup(group, []*raftpb.Member{{Id: 1, Address: address}}, machine))
		c.eventually("leader", func() bool { return host.Leader(group) == address })
		taken := 0
		propose := func() error {
			_, err := host.Propose(t.Context(), group, fmt.Appendf(nil, "k%d=%s", taken, strings.Repeat("v", valueBytes)))
			taken++
			return err
		}
		var err error
		for err == nil && taken < 10*limit/valueBytes {
			err = propose()
		}
		assert.ErrorIs(t, err, replica.ErrUnavailable)
		assert.Assert(t, !errors.Is(err, replica.ErrUncertain))
		assert.Assert(t, taken > limit/valueBytes && taken <= 2*limit/valueBytes, "%d taken", taken)
		release()
		c.eventually("proposals are taken", func() bool { return propose() == nil })
	})
}
