package shard

import (
	"crypto/sha256"
	"slices"

	"ibistray.example/ibistray/proto/shardpb"
)

// ReasonQuarantined is the reason of a Failure of a request that crashed backend
// servers.
const ReasonQuarantined = "quarantined"

const (
	// QuarantineCarryMs is how long the customer's shard itself refuses a request
	// that was quarantined. It covers the time until the quarantine, which is in
	// the configuration, is in force at each entry and sidecar.
	QuarantineCarryMs = 60 * 1000
	maxQuarantined    = 64 // requests of one customer
)

// quarantinedRequest is a request that is refused for a while.
type quarantinedRequest struct {
	content [sha256.Size]byte
	untilMs int64
}

// contentOf identifies a request together with the history that it continues.
func contentOf(p *program, fingerprint []byte) [sha256.Size]byte {
	h := sha256.New()
	if p != nil {
		h.Write(p.historyDigest)
	}
	h.Write(fingerprint)
	return [sha256.Size]byte(h.Sum(nil))
}

// noteQuarantine remembers the open call's request when it failed for being
// quarantined. The oldest are forgotten above the limit.
func (s *State) noteQuarantine(p *program, c *call) {
	if c.failure.GetReason() != ReasonQuarantined {
		return
	}
	list := slices.DeleteFunc(p.customer.quarantined, func(q quarantinedRequest) bool { return q.untilMs <= s.nowMs })
	if len(list) >= maxQuarantined {
		list = slices.Delete(list, 0, len(list)-maxQuarantined+1)
	}
	p.customer.quarantined = append(list, quarantinedRequest{
		content: contentOf(p, c.fingerprint[:]),
		untilMs: s.nowMs + QuarantineCarryMs,
	})
}

// checkQuarantine refuses a request that was quarantined a short time ago,
// whatever its call ID.
func (s *State) checkQuarantine(c *customer, p *program, op *shardpb.Begin) *shardpb.Refusal {
	if len(c.quarantined) == 0 {
		return nil
	}
	content := contentOf(p, op.GetFingerprint())
	for _, q := range c.quarantined {
		if q.content == content && s.nowMs < q.untilMs {
			return refuse(shardpb.Reason_REASON_QUARANTINED, "backend servers died while this request ran")
		}
	}
	return nil
}

func quarantineRecords(list []quarantinedRequest) []*shardpb.QuarantineRecord {
	var records []*shardpb.QuarantineRecord
	for i := range list {
		records = append(records, &shardpb.QuarantineRecord{Content: list[i].content[:], UntilMs: list[i].untilMs})
	}
	return records
}

func restoreQuarantined(records []*shardpb.QuarantineRecord) []quarantinedRequest {
	var list []quarantinedRequest
	for _, r := range records {
		q := quarantinedRequest{untilMs: r.GetUntilMs()}
		copy(q.content[:], r.GetContent())
		list = append(list, q)
	}
	return list
}
