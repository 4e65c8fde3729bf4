package peer

import (
	"context"
	"errors"
	"fmt"

	"ibistray.example/ibistray/internal/replica"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/rpcpb"
)

// RPCError converts an error of the replicated log to the *transport.Error that the
// caller in another process receives. An error without a code of its own is wrapped
// and names the group.
func RPCError(groups replica.Log, group uint64, err error) error {
	switch {
	case errors.Is(err, replica.ErrNotLeader), errors.Is(err, replica.ErrUnknownGroup):
		return NotLeaderError(groups, group, "%s", err)
	case errors.Is(err, replica.ErrStopped):
		return transport.Errorf(rpcpb.Code_CODE_STOPPING, "%s", err)
	case errors.Is(err, replica.ErrUnavailable), errors.Is(err, replica.ErrUncertain):
		return transport.Errorf(rpcpb.Code_CODE_UNAVAILABLE, "%s", err)
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return transport.Errorf(rpcpb.Code_CODE_TIMEOUT, "%s", err)
	default:
		return fmt.Errorf("peer: group %d: %w", group, err)
	}
}

// NotLeaderError returns a CODE_NOT_LEADER error with the address of the group's
// leader, which is empty if this host does not know it.
func NotLeaderError(groups replica.Log, group uint64, format string, args ...any) error {
	err := transport.Errorf(rpcpb.Code_CODE_NOT_LEADER, format, args...)
	err.Leader = groups.Leader(group)
	return err
}
