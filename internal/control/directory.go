package control

import (
	"cmp"
	"context"
	"crypto/rand"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"ibistray.example/ibistray/internal/configlease"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/rpcpb"
)

const (
	directoryExpiryInterval = 500 * time.Millisecond
	maxServerLease          = 30 * time.Second
	// removedRetentionPeriod is how long entries can learn of the removal of a server.
	removedRetentionPeriod = 60 * time.Second
)

// Directory is the registry of backend servers on one control process. It lists each
// announced server until its lease expires. The directory is not replicated or
// stored; after a start it fills again from announcements. It is safe for concurrent
// use.
type Directory struct {
	incarnation  string // differs after each start, so that readers notice a restart
	configLeases *configlease.Grantor

	mu      sync.Mutex
	version uint64                   // raised by each change
	servers map[string]*serverRecord // by server ID
	removed map[string]removedServer // by server ID
}

// serverRecord is a server with the announcement that it sent last.
type serverRecord struct {
	announcement *rpcpb.Announcement
	expires      time.Time
	version      uint64 // of the directory after the announcement
}

// removedServer is a server whose lease expired.
type removedServer struct {
	at      time.Time // when it was removed
	version uint64    // of the directory after the removal
}

// NewDirectory returns an empty directory. It renews the configuration leases of the
// sidecars that announce servers and of the entries that read the directory.
func NewDirectory(configLeases *configlease.Grantor) *Directory {
	return &Directory{
		incarnation:  rand.Text(),
		configLeases: configLeases,
		servers:      make(map[string]*serverRecord),
		removed:      make(map[string]removedServer),
	}
}

// handleAnnounce records the announcement of a server and renews the configuration
// lease of its sidecar. An announcement that is not newer than the recorded one of
// the same incarnation renews the configuration lease but is not recorded.
func (d *Directory) handleAnnounce(_ context.Context, a *rpcpb.Announcement) (*rpcpb.AnnounceResponse, error) {
	if a.Server == "" || a.Sidecar == "" || a.Incarnation == "" {
		return nil, transport.Errorf(rpcpb.Code_CODE_INVALID, "announcement without server, sidecar or incarnation")
	}
	now := time.Now()
	d.store(a, now)
	configuration := d.configLeases.HandleRenewal(a.Server+" "+a.Incarnation, a.ConfigurationVersion, now)
	return &rpcpb.AnnounceResponse{Configuration: configuration}, nil
}

// store records an announcement unless one of the same incarnation with the same or a
// higher sequence number is known.
func (d *Directory) store(a *rpcpb.Announcement, now time.Time) {
	lease := min(time.Duration(a.LeaseMs)*time.Millisecond, maxServerLease)
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.servers[a.Server]
	if known != nil && known.announcement.Incarnation == a.Incarnation && known.announcement.Sequence >= a.Sequence {
		return
	}
	d.version++
	d.servers[a.Server] = &serverRecord{announcement: a, expires: now.Add(lease), version: d.version}
	delete(d.removed, a.Server)
}

// removeExpired removes the servers whose lease has expired, and the records of
// servers that were removed more than removedRetentionPeriod ago.
func (d *Directory) removeExpired(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, r := range d.servers {
		if now.After(r.expires) {
			d.version++
			delete(d.servers, id)
			d.removed[id] = removedServer{at: now, version: d.version}
		}
	}
	for id, s := range d.removed {
		if now.Sub(s.at) > removedRetentionPeriod {
			delete(d.removed, id)
		}
	}
}

// handleMembers returns the servers that an entry may use: for each model and service
// at most Limit servers, chosen by rendezvous hashing with the name of the entry, and
// of these only the changes since the version that the entry has.
func (d *Directory) handleMembers(_ context.Context, req *rpcpb.MembersRequest) (*rpcpb.MembersResponse, error) {
	resp := d.membersFor(req)
	resp.Configuration = d.configLeases.HandleRenewal(req.Viewer, req.ConfigurationVersion, time.Now())
	return resp, nil
}

// membersFor returns the servers that the viewer of a request may use. The response is
// full when the viewer has no version of this incarnation of the directory.
func (d *Directory) membersFor(req *rpcpb.MembersRequest) *rpcpb.MembersResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	full := req.Directory != d.incarnation || req.SinceVersion == 0
	resp := &rpcpb.MembersResponse{Directory: d.incarnation, Version: d.version, Full: full}
	visible := d.visibleServers(req.Viewer, int(req.Limit))
	now := time.Now()
	for _, r := range visible {
		if full || r.version > req.SinceVersion {
			resp.Members = append(resp.Members, withRemainingLease(r, now))
		}
	}
	if full {
		return resp
	}
	for id, s := range d.removed {
		if s.version > req.SinceVersion {
			resp.Gone = append(resp.Gone, id)
		}
	}
	slices.Sort(resp.Gone)
	return resp
}

// withRemainingLease returns a copy of a server's announcement whose lease is the time
// that remains until the server expires here.
func withRemainingLease(r *serverRecord, now time.Time) *rpcpb.Announcement {
	a := r.announcement
	return &rpcpb.Announcement{
		Server:        a.Server,
		Sidecar:       a.Sidecar,
		Incarnation:   a.Incarnation,
		Region:        a.Region,
		FailureDomain: a.FailureDomain,
		Kind:          a.Kind,
		Models:        a.Models,
		Services:      a.Services,
		State:         a.State,
		Sequence:      a.Sequence,
		Load:          a.Load,
		LeaseMs:       max(0, r.expires.Sub(now).Milliseconds()),
	}
}

// visibleServers returns the servers that a viewer may use, sorted by ID: at most
// limit servers of each model and service, or all servers without a limit.
func (d *Directory) visibleServers(viewer string, limit int) []*serverRecord {
	if limit <= 0 {
		return d.sortedByID(d.servers)
	}
	byOffer := make(map[string][]*serverRecord)
	for _, r := range d.servers {
		for _, offer := range offerNames(r.announcement) {
			byOffer[offer] = append(byOffer[offer], r)
		}
	}
	chosen := make(map[string]*serverRecord)
	for _, records := range byOffer {
		for _, r := range highestWeighted(viewer, records, limit) {
			chosen[r.announcement.Server] = r
		}
	}
	return d.sortedByID(chosen)
}

// offerNames returns one name for each model and service of a server.
func offerNames(a *rpcpb.Announcement) []string {
	list := make([]string, 0, len(a.Models)+len(a.Services))
	for _, m := range a.Models {
		list = append(list, "model "+m)
	}
	for _, s := range a.Services {
		list = append(list, "service "+s)
	}
	return list
}

// highestWeighted returns the limit servers with the highest rendezvous weights for a
// viewer. It may reorder the records.
func highestWeighted(viewer string, records []*serverRecord, limit int) []*serverRecord {
	if len(records) <= limit {
		return records
	}
	weight := func(r *serverRecord) uint64 { return xxhash.Sum64String(viewer + "\x00" + r.announcement.Server) }
	slices.SortFunc(records, func(a, b *serverRecord) int {
		return cmp.Or(
			cmp.Compare(weight(b), weight(a)),
			cmp.Compare(a.announcement.Server, b.announcement.Server),
		)
	})
	return records[:limit]
}

// sortedByID returns the records sorted by server ID.
func (d *Directory) sortedByID(servers map[string]*serverRecord) []*serverRecord {
	list := make([]*serverRecord, 0, len(servers))
	for _, r := range servers {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *serverRecord) int {
		return cmp.Compare(a.announcement.Server, b.announcement.Server)
	})
	return list
}
