package fleet

import (
	"time"

	"ibistray.example/ibistray/internal/clock"
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
		Limit:         LimitToProto(i.Limit),
		LeavingSource: i.LeavingSource,
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
		Limit:         LimitFromProto(msg.Limit),
		LeavingSource: msg.LeavingSource,
	}
}

// LimitToProto converts a limit to its wire format.
func LimitToProto(l *Limit) *fleetpb.Limit {
	if l == nil {
		return nil
	}
	age := max(0, clock.SinceBoot()-l.ReceivedAt)
	return &fleetpb.Limit{Named: l.Named, RequestsPerSecond: l.RequestsPerSecond, AgeMs: age.Milliseconds(), Source: l.Source}
}

// LimitFromProto converts a limit from its wire format. It returns nil if there is none, or
// if its rate is not valid.
func LimitFromProto(msg *fleetpb.Limit) *Limit {
	if msg == nil || !(msg.RequestsPerSecond >= 0) {
		return nil
	}
	age := time.Duration(max(0, msg.AgeMs)) * time.Millisecond
	return &Limit{Named: msg.Named, RequestsPerSecond: msg.RequestsPerSecond, ReceivedAt: clock.SinceBoot() - age, Source: msg.Source}
}

// NoticeToProto converts a notice to its wire format.
func NoticeToProto(n Notice) *fleetpb.Notice {
	return &fleetpb.Notice{Server: n.ID, Address: n.Address, BornMs: n.StartUnixMs, Leaving: n.Leaving, Limit: LimitToProto(n.Limit)}
}

// NoticeFromProto converts a notice that an entry sent from its wire format. A nil notice names no
// server.
func NoticeFromProto(msg *fleetpb.Notice, source string) Notice {
	return Notice{
		ID: msg.GetServer(), Address: msg.GetAddress(), StartUnixMs: msg.GetBornMs(), Leaving: msg.GetLeaving(),
		Limit: LimitFromProto(msg.GetLimit()), Source: source,
	}
}
