package shard

import (
	"crypto/sha256"
	"slices"

	"ibistray.example/ibistray/proto/shardpb"
)

// ReasonQuarantined is the reason in the Failure of a request that crashed backend
// servers.
const ReasonQuarantined = "quarantined"

const (
	// LocalQuarantineMs is how long the shard itself refuses a quarantined request.
	// It covers the time until the quarantine, which is part of the configuration,
	// is in force at all entries and sidecars.
	LocalQuarantineMs      = 60 * 1000
	maxQuarantinedRequests = 64 // requests of one customer
)

// quarantinedRequest identifies a request that is refused until a given time.
type quarantinedRequest struct {
	content [sha256.Size]byte
	untilMs int64
}

// contentDigest returns a digest of a request and the history that it continues.
func contentDigest(p *program, fingerprint []byte) [sha256.Size]byte {
	h := sha256.New()
	if p != nil {
		h.Write(p.historyDigest)
	}
	h.Write(fingerprint)
	return [sha256.Size]byte(h.Sum(nil))
}

// recordQuarantine adds the open call's request to the customer's quarantined
// requests if the call failed with ReasonQuarantined. Above the limit the oldest
// entries are dropped.
func (s *State) recordQuarantine(p *program, c *call) {
	if c.failure.GetReason() != ReasonQuarantined {
		return
	}
	list := slices.DeleteFunc(p.customer.quarantined, func(q quarantinedRequest) bool { return q.untilMs <= s.nowMs })
	if len(list) >= maxQuarantinedRequests {
		list = slices.Delete(list, 0, len(list)-maxQuarantinedRequests+1)
	}
	p.customer.quarantined = append(list, quarantinedRequest{
		content: contentDigest(p, c.fingerprint[:]),
		untilMs: s.nowMs + LocalQuarantineMs,
	})
}

// checkQuarantine refuses a request that was quarantined within the last
// LocalQuarantineMs, whatever its call ID.
func (s *State) checkQuarantine(c *customer, p *program, op *shardpb.Begin) *shardpb.Refusal {
	if len(c.quarantined) == 0 {
		return nil
	}
	digest := contentDigest(p, op.GetFingerprint())
	for _, q := range c.quarantined {
		if q.content == digest && s.nowMs < q.untilMs {
			return newRefusal(shardpb.Reason_REASON_QUARANTINED, "backend servers died while this request ran")
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

func quarantinedFromRecords(records []*shardpb.QuarantineRecord) []quarantinedRequest {
	var list []quarantinedRequest
	for _, r := range records {
		q := quarantinedRequest{untilMs: r.GetUntilMs()}
		copy(q.content[:], r.GetContent())
		list = append(list, q)
	}
	return list
}
