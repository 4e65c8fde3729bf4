package shard

import (
	"crypto/sha256"
	"crypto/subtle"

	"google.golang.org/protobuf/proto"

	"ibistray.example/ibistray/internal/contract"
	"ibistray.example/ibistray/proto/shardpb"
)

// MaxChanges is the number of accepted changes of one customer's contract that
// are kept to answer resends. A resend of an older change is refused with a
// version conflict, so no change is applied twice.
const MaxChanges = 512

// change is one accepted contract change.
type change struct {
	id     string
	digest [sha256.Size]byte
	result *shardpb.ContractResult
}

// changeLog holds the newest MaxChanges changes, oldest first.
type changeLog struct {
	entries []change
}

func (l *changeLog) find(id string) *change {
	for i := range l.entries {
		if l.entries[i].id == id {
			return &l.entries[i]
		}
	}
	return nil
}

func (l *changeLog) add(c change) {
	l.entries = append(l.entries, c)
	if len(l.entries) > MaxChanges {
		l.entries = append([]change(nil), l.entries[len(l.entries)-MaxChanges:]...)
	}
}

// applyContract creates or changes a contract, which is in force from the next
// command on. A resend of a change returns the first result.
func (s *State) applyContract(index uint64, op *shardpb.ApplyContract) *shardpb.Result {
	name := op.GetContract().GetCustomer()
	c := s.customers[name]
	digest := changeDigest(op)
	if c != nil {
		if recorded := c.changes.find(op.GetChangeId()); recorded != nil {
			return resentChangeResult(recorded, digest)
		}
	}
	if err := contract.Validate(op.GetContract()); err != nil {
		return refusalResult(shardpb.Reason_REASON_INVALID_CONTRACT, "%v", err)
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

// resentChangeResult returns the recorded result of a change that is sent again,
// or a refusal if the change ID now stands for another contract.
func resentChangeResult(recorded *change, digest [sha256.Size]byte) *shardpb.Result {
	if recorded.digest != digest {
		return refusalResult(shardpb.Reason_REASON_CHANGE_ID_REUSED, "change ID %q was used for another change", recorded.id)
	}
	return contractOutcome(recorded.result)
}

// checkVersion refuses a change that was not based on the version in force, so
// that only one of two concurrent changes is applied.
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
	refusal := newRefusal(shardpb.Reason_REASON_VERSION_CONFLICT, "expected version %d, version %d is in force", expected, current)
	refusal.Winner = winner
	return refusal
}

// setContract replaces the customer's contract and gives it the next version.
func (s *State) setContract(c *customer, index uint64, op *shardpb.ApplyContract) *shardpb.ContractResult {
	next := proto.CloneOf(op.GetContract())
	c.budget.changePeriod(c.contract.GetBudget(), next.GetBudget(), s.nowMs)
	next.Version = c.contract.GetVersion() + 1
	c.contract = next
	c.contractIndex = index
	s.reschedulePrograms(c)
	return &shardpb.ContractResult{Contract: next, Index: index}
}

func contractOutcome(result *shardpb.ContractResult) *shardpb.Result {
	return &shardpb.Result{Outcome: &shardpb.Result_Contract{Contract: result}}
}

// changeDigest returns a digest of the contract of a change. It leaves the version
// out, because a resend may carry the version that the change itself created.
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

// authenticate returns the customer if its contract lists the key hash. All
// hashes are compared in constant time, so that the duration does not reveal
// which one matches.
func (s *State) authenticate(name string, keyHash []byte) (*customer, *shardpb.Refusal) {
	c := s.customers[name]
	if c == nil {
		return nil, newRefusal(shardpb.Reason_REASON_UNKNOWN_CUSTOMER, "customer %q has no contract", name)
	}
	matched := 0
	for _, contractHash := range c.contract.GetKeyHashes() {
		matched |= subtle.ConstantTimeCompare(contractHash, keyHash)
	}
	if matched == 0 {
		return nil, newRefusal(shardpb.Reason_REASON_BAD_KEY, "the key is not one of customer %q", name)
	}
	return c, nil
}
