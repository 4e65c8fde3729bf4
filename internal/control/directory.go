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
	directorySweepInterval = 500 * time.Millisecond
	maxLease               = 30 * time.Second
	goneRetention          = 60 * time.Second
)

// Directory is the soft state of one control process: the backend servers that
// announced themselves, each for the time of its lease. It is rebuilt from
// announcements after a start. It is safe for concurrent use.
type Directory struct {
	incarnation string
	leases      *configlease.Grantor

	mu      sync.Mutex
	version uint64
	servers map[string]*record
	gone    map[string]goneRecord
}

type record struct {
	announcement *rpcpb.Announcement
	expires      time.Time
	version      uint64
}

type goneRecord struct {
	at      time.Time
	version uint64
}

// NewDirectory returns an empty directory that renews the configuration leases
// of those who announce themselves or read it.
func NewDirectory(leases *configlease.Grantor) *Directory {
	return &Directory{
		incarnation: rand.Text(),
		leases:      leases,
		servers:     make(map[string]*record),
		gone:        make(map[string]goneRecord),
	}
}

// announce takes an announcement. An older one of the same incarnation changes
// nothing.
func (d *Directory) announce(_ context.Context, a *rpcpb.Announcement) (*rpcpb.AnnounceResponse, error) {
	if a.Server == "" || a.Sidecar == "" || a.Incarnation == "" {
		return nil, transport.Errorf(rpcpb.Code_CODE_INVALID, "announcement without server, sidecar or incarnation")
	}
	now := time.Now()
	d.record(a, now)
	configuration := d.leases.HandleRenewal(a.Server+" "+a.Incarnation, a.ConfigurationVersion, now)
	return &rpcpb.AnnounceResponse{Configuration: configuration}, nil
}

func (d *Directory) record(a *rpcpb.Announcement, now time.Time) {
	lease := min(time.Duration(a.LeaseMs)*time.Millisecond, maxLease)
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.servers[a.Server]
	if known != nil && known.announcement.Incarnation == a.Incarnation && known.announcement.Sequence >= a.Sequence {
		return
	}
	d.version++
	d.servers[a.Server] = &record{announcement: a, expires: now.Add(lease), version: d.version}
	delete(d.gone, a.Server)
}

// sweep removes servers whose lease has run out.
func (d *Directory) sweep(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, r := range d.servers {
		if now.After(r.expires) {
			d.version++
			delete(d.servers, id)
			d.gone[id] = goneRecord{at: now, version: d.version}
		}
	}
	for id, g := range d.gone {
		if now.Sub(g.at) > goneRetention {
			delete(d.gone, id)
		}
	}
}

// members serves the view of one entry: of each model and service at most
// Limit servers, chosen by rendezvous hashing with the viewer's name, and only
// what changed since the version that the viewer has.
func (d *Directory) members(_ context.Context, req *rpcpb.MembersRequest) (*rpcpb.MembersResponse, error) {
	resp := d.read(req)
	resp.Configuration = d.leases.HandleRenewal(req.Viewer, req.ConfigurationVersion, time.Now())
	return resp, nil
}

func (d *Directory) read(req *rpcpb.MembersRequest) *rpcpb.MembersResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	full := req.Directory != d.incarnation || req.SinceVersion == 0
	resp := &rpcpb.MembersResponse{Directory: d.incarnation, Version: d.version, Full: full}
	visible := d.subset(req.Viewer, int(req.Limit))
	now := time.Now()
	for _, r := range visible {
		if full || r.version > req.SinceVersion {
			resp.Members = append(resp.Members, withRemainingLease(r, now))
		}
	}
	if full {
		return resp
	}
	for id, g := range d.gone {
		if g.version > req.SinceVersion {
			resp.Gone = append(resp.Gone, id)
		}
	}
	slices.Sort(resp.Gone)
	return resp
}

// withRemainingLease returns an announcement that holds as long as it still
// does here.
func withRemainingLease(r *record, now time.Time) *rpcpb.Announcement {
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

// subset returns the servers that a viewer sees.
func (d *Directory) subset(viewer string, limit int) []*record {
	if limit <= 0 {
		return d.sorted(d.servers)
	}
	byOffer := make(map[string][]*record)
	for _, r := range d.servers {
		for _, offer := range offers(r.announcement) {
			byOffer[offer] = append(byOffer[offer], r)
		}
	}
	chosen := make(map[string]*record)
	for _, records := range byOffer {
		for _, r := range nearest(viewer, records, limit) {
			chosen[r.announcement.Server] = r
		}
	}
	return d.sorted(chosen)
}

func offers(a *rpcpb.Announcement) []string {
	list := make([]string, 0, len(a.Models)+len(a.Services))
	for _, m := range a.Models {
		list = append(list, "model "+m)
	}
	for _, s := range a.Services {
		list = append(list, "service "+s)
	}
	return list
}

// nearest returns the records with the highest rendezvous weights for a viewer.
func nearest(viewer string, records []*record, limit int) []*record {
	if len(records) <= limit {
		return records
	}
	weight := func(r *record) uint64 { return xxhash.Sum64String(viewer + "\x00" + r.announcement.Server) }
	slices.SortFunc(records, func(a, b *record) int {
		return cmp.Or(
			cmp.Compare(weight(b), weight(a)),
			cmp.Compare(a.announcement.Server, b.announcement.Server),
		)
	})
	return records[:limit]
}

func (d *Directory) sorted(servers map[string]*record) []*record {
	list := make([]*record, 0, len(servers))
	for _, r := range servers {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *record) int {
		return cmp.Compare(a.announcement.Server, b.announcement.Server)
	})
	return list
}
