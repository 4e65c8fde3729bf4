package peer

import (
	"ibistray.example/ibistray/internal/replica"
	"ibistray.example/ibistray/proto/rpcpb"
)

// ReplicaStatus converts the status of a replica to the message that operators' tools
// receive.
func ReplicaStatus(group uint64, status replica.GroupStatus) *rpcpb.ReplicaStatus {
	r := &rpcpb.ReplicaStatus{
		Group:     group,
		ReplicaId: status.ID,
		Leader:    status.Leader,
		Term:      status.Term,
		Commit:    status.CommitIndex,
		Applied:   status.AppliedIndex,
	}
	for _, m := range status.Membership.GetMembers() {
		r.Members = append(r.Members, &rpcpb.ReplicaMember{
			Id:            m.Id,
			Address:       m.Address,
			FailureDomain: m.FailureDomain,
			Learner:       m.Learner,
		})
	}
	return r
}
