package ctl

import (
	"context"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"ibistray.example/ibistray/internal/placement"
	"ibistray.example/ibistray/proto/rpcpb"
)

func replicaCommand() *cli.Command {
	return &cli.Command{
		Name:  "replica",
		Usage: "show the replicas of the control processes",
		Commands: []*cli.Command{{
			Name:   "list",
			Usage:  "list the replicas of each control process",
			Flags:  []cli.Flag{watchFlag()},
			Action: watchable(listReplicas),
		}},
	}
}

func listReplicas(ctx context.Context, s *session, _ *cli.Command) error {
	report, err := s.client.Replicas(ctx)
	if err != nil {
		return err
	}
	if s.json {
		return printProto(s.out, report)
	}
	t := newTable(s.out, "PROCESS", "GROUP", "REPLICA", "STATE", "TERM", "COMMIT", "APPLIED", "MEMBERS")
	for _, process := range report.Processes {
		for _, r := range process.Replicas {
			t.row(process.Address, groupName(r.Group), r.ReplicaId, replicaState(r), r.Term, r.Commit, r.Applied, memberList(r.Members))
		}
	}
	for _, address := range report.Silent {
		t.row(address, "-", "-", "silent", "-", "-", "-", "-")
	}
	return t.flush()
}

func groupName(group uint64) string {
	if shard, ok := placement.ShardOfGroup(group); ok {
		return fmt.Sprintf("shard %d", shard)
	}
	return "configuration"
}

func replicaState(r *rpcpb.ReplicaStatus) string {
	switch {
	case r.Waits:
		return "waits"
	case r.Leader == r.ReplicaId:
		return "leader"
	case r.Leader == 0:
		return "no leader"
	default:
		return "follower"
	}
}

// memberList formats members as address@failure-domain, separated by commas.
func memberList(members []*rpcpb.ReplicaMember) string {
	list := make([]string, len(members))
	for i, m := range members {
		list[i] = m.Address + "@" + m.FailureDomain
		if m.Learner {
			list[i] += "(learner)"
		}
	}
	return strings.Join(list, ",")
}
