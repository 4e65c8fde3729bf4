package shard

import (
	"crypto/sha256"
	"crypto/subtle"

	"google.golang.org/protobuf/proto"

	"ibistray.example/ibistray/internal/contract"
	"ibistray.example/ibistray/proto/shardpb"
)

// MaxChanges is how many accepted changes of one customer's contract are
// remembered for resends. An older resend is refused with a version conflict,
// so it is never applied twice.
const MaxChanges = 512

// change is one accepted contract change.
type change struct {
	id     string
	digest [sha256.Size]byte
	result *shardpb.ContractResult
}

// changeTable remembers the newest MaxChanges changes, oldest first.
type changeTable struct {
	list []change
}

func (t *changeTable) find(id string) *change {
	for i := range t.list {
		if t.list[i].id == id {
			return &t.list[i]
		}
	}
	return nil
}

func (t *changeTable) add(c change) {
	t.list = append(t.list, c)
	if len(t.list) > MaxChanges {
		t.list = append([]change(nil), t.list[len(t.list)-MaxChanges:]...)
	}
}

// applyContract creates or changes a contract. It is in force for the next
// command.
func (s *State) applyContract(index uint64, op *shardpb.ApplyContract) *shardpb.Result {
	name := op.GetContract().GetCustomer()
	c := s.customers[name]
	digest := changeDigest(op)
	if c != nil {
		if known := c.changes.find(op.GetChangeId()); known != nil {
			return resentChange(known, digest)
		}
	}
	if err := contract.Validate(op.GetContract()); err != nil {
		return refused(shardpb.Reason_REASON_INVALID_CONTRACT, "%v", err)
	}
	if refusal := checkVersion(c, op.GetExpectedVersion()); refusal != nil {
		return &shardpb.Result{Refusal: refusal}
	}
	if c == nil {
		c = newCustomer()
		s.customers[name] = c
	}
	result := s.setContract(c, index, op)
	c.changes.add(change{id: op.GetChangeId(), digest: digest, result: result})
	return contractOutcome(result)
}

func resentChange(known *change, digest [sha256.Size]byte) *shardpb.Result {
	if known.digest != digest {
		return refused(shardpb.Reason_REASON_CHANGE_ID_REUSED, "change ID %q was used for another change", known.id)
	}
	return contractOutcome(known.result)
}

// checkVersion lets exactly one of two changes with equal expected versions
// through.
func checkVersion(c *customer, expected uint64) *shardpb.Refusal {
	var current uint64
	var winner *shardpb.Contract
	if c != nil {
		current = c.contract.GetVersion()
		winner = c.contract
	}
	if expected == current {
		return nil
	}
	refusal := refuse(shardpb.Reason_REASON_VERSION_CONFLICT, "expected version %d, version %d is in force", expected, current)
	refusal.Winner = winner
	return refusal
}

func (s *State) setContract(c *customer, index uint64, op *shardpb.ApplyContract) *shardpb.ContractResult {
	next := proto.CloneOf(op.GetContract())
	c.budget.setLength(c.contract.GetBudget(), next.GetBudget(), s.nowMs)
	next.Version = c.contract.GetVersion() + 1
	c.contract = next
	c.contractIndex = index
	s.rescheduleAll(c)
	return &shardpb.ContractResult{Contract: next, Index: index}
}

func contractOutcome(result *shardpb.ContractResult) *shardpb.Result {
	return &shardpb.Result{Outcome: &shardpb.Result_Contract{Contract: result}}
}

// changeDigest identifies the contract of a change, without the versions that its
// sender saw: a resend may be based on the version that the change itself made.
func changeDigest(op *shardpb.ApplyContract) [sha256.Size]byte {
	body := proto.CloneOf(op.GetContract())
	if body != nil {
		body.Version = 0
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(body)
	if err != nil {
		return [sha256.Size]byte{}
	}
	return sha256.Sum256(data)
}

// authenticate returns the customer if the key hash is one of its contract's.
// The time it takes does not depend on which hash matches.
func (s *State) authenticate(name string, keyHash []byte) (*customer, *shardpb.Refusal) {
	c := s.customers[name]
	if c == nil {
		return nil, refuse(shardpb.Reason_REASON_UNKNOWN_CUSTOMER, "customer %q has no contract", name)
	}
	match := 0
	for _, known := range c.contract.GetKeyHashes() {
		match |= subtle.ConstantTimeCompare(known, keyHash)
	}
	if match == 0 {
		return nil, refuse(shardpb.Reason_REASON_BAD_KEY, "the key is not one of customer %q", name)
	}
	return c, nil
}
