package daemon

import (
	"context"
	"fmt"
	"os"

	"github.com/hashicorp/go-hclog"

	"ibistray.example/ibistray/internal/config"
	"ibistray.example/ibistray/internal/control"
	"ibistray.example/ibistray/internal/placement"
	"ibistray.example/ibistray/internal/replica"
	"ibistray.example/ibistray/internal/replicatest"
	"ibistray.example/ibistray/internal/settings"
	"ibistray.example/ibistray/internal/shard"
	"ibistray.example/ibistray/internal/telemetry"
	"ibistray.example/ibistray/internal/transport"
)

const dataDirMode = 0o700

// controlRole is the replicated state of this process and the services on it.
type controlRole struct {
	service *control.Service
}

func newControlRole(s *settings.Settings, log hclog.Logger, _ *telemetry.Metrics, pool *transport.Pool) (*controlRole, error) {
	if err := os.MkdirAll(s.DataDir, dataDirMode); err != nil {
		return nil, fmt.Errorf("daemon: data folder: %w", err)
	}
	shards := make([]*shard.State, s.Shards)
	groups := make(map[uint64]replica.StateMachine)
	for i := range shards {
		shards[i] = shard.New(shard.NewMemoryBodies())
		groups[placement.GroupOf(uint32(i))] = shards[i]
	}
	configState := config.New()
	groups[placement.ConfigGroup] = configState
	host := replicatest.New(groups)
	configuration := control.NewConfiguration(host, configState, pool, s.Listen, addresses(s.ControlPeers))
	return &controlRole{service: control.New(log, host, shards, configuration)}, nil
}

func addresses(peers []settings.Peer) []string {
	list := make([]string, len(peers))
	for i, p := range peers {
		list[i] = p.Address
	}
	return list
}

func (r *controlRole) register(server *transport.Server) {
	r.service.Register(server)
}

func (r *controlRole) run(ctx context.Context) {
	r.service.Run(ctx)
}

func (r *controlRole) stop(context.Context) error {
	return nil
}
