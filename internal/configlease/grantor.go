package configlease

import (
	"context"
	"sync"
	"time"

	"ibistray.example/ibistray/internal/config"
	"ibistray.example/ibistray/internal/loop"
	"ibistray.example/ibistray/proto/rpcpb"
)

// Renewer sends a renewal to the leader of the configuration group.
type Renewer interface {
	// Renew returns the leader's grant. Any error means that the lease was not
	// renewed; the next interval tries again.
	Renew(ctx context.Context, renewal *rpcpb.ConfigRenewal) (*rpcpb.ConfigGrant, error)
}

// Grantor is the lease of one control process and the holders that it serves.
// It is safe for concurrent use.
type Grantor struct {
	host    string
	state   *config.State
	renewer Renewer

	mu      sync.Mutex
	expires time.Time // end of this process's lease
	version uint64    // of the leader when the lease was granted
	holders map[string]holderRecord
}

type holderRecord struct {
	version uint64
	seen    time.Time
}

// NewGrantor returns the grantor of a control process over its replica's state.
func NewGrantor(host string, state *config.State, renewer Renewer) *Grantor {
	return &Grantor{
		host:    host,
		state:   state,
		renewer: renewer,
		holders: make(map[string]holderRecord),
	}
}

// Run renews the lease until the context ends.
func (g *Grantor) Run(ctx context.Context) {
	loop.Every(ctx, renewInterval, g.renew)
}

func (g *Grantor) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	sent := time.Now()
	version := g.state.Version()
	renewal := &rpcpb.ConfigRenewal{
		Host:           g.host,
		Version:        version,
		HoldersVersion: g.holdersVersion(sent, version),
	}
	grant, err := g.renewer.Renew(ctx, renewal)
	if err != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expires = later(g.expires, sent.Add(HostLeaseDuration))
	g.version = max(g.version, grant.Version)
}

// holdersVersion returns the least version that a holder with a valid lease has
// applied, at most limit, and forgets holders whose lease has run out.
func (g *Grantor) holdersVersion(now time.Time, limit uint64) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	least := limit
	for name, holder := range g.holders {
		if now.Sub(holder.seen) > HolderLeaseDuration+clockMargin {
			delete(g.holders, name)
			continue
		}
		least = min(least, holder.version)
	}
	return least
}

// HandleRenewal serves a holder that has applied a version: the changes since then, and
// a lease where this process may grant one.
func (g *Grantor) HandleRenewal(holder string, version uint64, now time.Time) *rpcpb.Configuration {
	changes := g.state.ChangesSince(version)
	g.mu.Lock()
	defer g.mu.Unlock()
	fresh := now.Before(g.expires) && changes.Version >= g.version
	if fresh {
		g.holders[holder] = holderRecord{version: version, seen: now}
	}
	return &rpcpb.Configuration{Changes: changes, Fresh: fresh}
}

// LeaseValid reports whether this process may grant leases.
func (g *Grantor) LeaseValid(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.Before(g.expires)
}
