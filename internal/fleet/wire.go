package fleet

import (
	"time"

	"ibistray.example/ibistray/proto/fleetpb"
)

// ToProto converts an instance to its wire format, in which times are relative to now.
func ToProto(i *Instance, now time.Time) *fleetpb.Instance {
	return &fleetpb.Instance{
		Id:            i.ID,
		Service:       i.Service,
		Address:       i.Address,
		FailureDomain: i.FailureDomain,
		Slots:         uint32(i.Slots),
		State:         i.State,
		BornMs:        i.StartUnixMs,
		Sequence:      i.Sequence,
		AgeMs:         max(0, now.Sub(i.LastHeartbeat).Milliseconds()),
		ColdMs:        max(0, i.ColdUntil.Sub(now).Milliseconds()),
		Silent:        i.Silent,
		Version:       i.Version,
	}
}

// FromProto converts an instance from its wire format, in which times are relative to
// now.
func FromProto(msg *fleetpb.Instance, now time.Time) *Instance {
	return &Instance{
		ID:            msg.Id,
		Service:       msg.Service,
		Address:       msg.Address,
		FailureDomain: msg.FailureDomain,
		Slots:         int(msg.Slots),
		State:         msg.State,
		StartUnixMs:   msg.BornMs,
		Sequence:      msg.Sequence,
		LastHeartbeat: now.Add(-time.Duration(msg.AgeMs) * time.Millisecond),
		ColdUntil:     now.Add(time.Duration(msg.ColdMs) * time.Millisecond),
		Silent:        msg.Silent,
		Version:       msg.Version,
	}
}
