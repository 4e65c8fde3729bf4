package configlease

import (
	"context"
	"sync"
	"time"

	"ibistray.example/ibistray/internal/config"
	"ibistray.example/ibistray/internal/loop"
	"ibistray.example/ibistray/proto/rpcpb"
)

// Renewer sends lease renewals to the leader of the configuration group.
type Renewer interface {
	// Renew returns the leader's grant. On any error the lease is not renewed;
	// the Grantor retries after renewInterval.
	Renew(ctx context.Context, renewal *rpcpb.ConfigRenewal) (*rpcpb.ConfigGrant, error)
}

// Grantor keeps the lease of one control process and grants leases to the holders
// that the process serves. It is safe for concurrent use.
type Grantor struct {
	host    string
	state   *config.State
	renewer Renewer

	mu            sync.Mutex
	expires       time.Time // end of this process's own lease
	leaderVersion uint64    // leader's version when it granted the lease
	holders       map[string]holderRecord
}

type holderRecord struct {
	appliedVersion uint64
	lastSeen       time.Time
}

// NewGrantor returns a Grantor without a lease. host is the name of its control process,
// and state is the replica of the configuration in that process.
func NewGrantor(host string, state *config.State, renewer Renewer) *Grantor {
	return &Grantor{
		host:    host,
		state:   state,
		renewer: renewer,
		holders: make(map[string]holderRecord),
	}
}

// Run renews the lease every renewInterval until ctx is done.
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
	g.expires = laterTime(g.expires, sent.Add(HostLeaseDuration))
	g.leaderVersion = max(g.leaderVersion, grant.Version)
}

// holdersVersion returns the lowest version that any holder with a valid lease has
// applied, at most limit. It removes holders whose lease has expired.
func (g *Grantor) holdersVersion(now time.Time, limit uint64) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	lowest := limit
	for name, holder := range g.holders {
		if now.Sub(holder.lastSeen) > HolderLeaseDuration+clockMargin {
			delete(g.holders, name)
			continue
		}
		lowest = min(lowest, holder.appliedVersion)
	}
	return lowest
}

// HandleRenewal responds to a message of a holder that has applied the given version. The
// response holds the changes since that version and, in Fresh, whether it grants a
// lease. A lease is granted if this process's own lease is valid and its state is
// at least as new as the leader's was when that lease was granted.
func (g *Grantor) HandleRenewal(holder string, version uint64, now time.Time) *rpcpb.Configuration {
	changes := g.state.ChangesSince(version)
	g.mu.Lock()
	defer g.mu.Unlock()
	granted := now.Before(g.expires) && changes.Version >= g.leaderVersion
	if granted {
		g.holders[holder] = holderRecord{appliedVersion: version, lastSeen: now}
	}
	return &rpcpb.Configuration{Changes: changes, Fresh: granted}
}

// LeaseValid reports whether this process's own lease is valid at the given time.
func (g *Grantor) LeaseValid(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.Before(g.expires)
}
