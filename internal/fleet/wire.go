package fleet

import (
	"time"

	"ibistray.example/ibistray/proto/fleetpb"
)

// ToProto returns the message of an instance.
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
	}
}

// FromProto returns the instance of a message.
func FromProto(m *fleetpb.Instance, now time.Time) *Instance {
	return &Instance{
		ID:            m.Id,
		Service:       m.Service,
		Address:       m.Address,
		FailureDomain: m.FailureDomain,
		Slots:         int(m.Slots),
		State:         m.State,
		StartUnixMs:   m.BornMs,
		Sequence:      m.Sequence,
		LastHeartbeat: now.Add(-time.Duration(m.AgeMs) * time.Millisecond),
		ColdUntil:     now.Add(time.Duration(m.ColdMs) * time.Millisecond),
		Silent:        m.Silent,
	}
}
