package entry

import (
	"context"
	"crypto/rand"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"google.golang.org/protobuf/encoding/protojson"

	"ibistray.example/ibistray/proto/configpb"
	"ibistray.example/ibistray/proto/rpcpb"
)

// inForceTimeout limits the wait until a change is in force at every process.
const inForceTimeout = 13 * time.Second

func (e *Entry) showConfiguration(ctx context.Context, rc *app.RequestContext) {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	status, err := e.config.Status(ctx, 0)
	if err != nil {
		e.refuse(rc, controlErrorFailure(err))
		return
	}
	writeProto(rc, consts.StatusOK, status)
}

// changeConfiguration proposes the command in the body. It responds when the change is in
// force at every process. If that is not confirmed within inForceTimeout, the response
// has no InForceVersion: the change is recorded but may not be in force yet.
func (e *Entry) changeConfiguration(ctx context.Context, rc *app.RequestContext) {
	cmd := new(configpb.Command)
	if err := protojson.Unmarshal(rc.Request.Body(), cmd); err != nil {
		e.refuse(rc, invalidRequest("body: %s", err))
		return
	}
	if cmd.ChangeId == "" {
		cmd.ChangeId = rand.Text()
	}
	proposeCtx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	result, err := e.config.Propose(proposeCtx, cmd)
	if err != nil {
		e.refuse(rc, controlErrorFailure(err))
		return
	}
	if result.Refusal != nil {
		e.refuseConfiguration(rc, result.Refusal)
		return
	}
	waitCtx, cancelWait := context.WithTimeout(ctx, inForceTimeout)
	defer cancelWait()
	status := &rpcpb.ConfigStatus{Version: result.Version, Records: result.Records}
	if e.config.WaitInForce(waitCtx, result.Version) == nil {
		status.InForceVersion = result.Version
	}
	writeProto(rc, consts.StatusOK, status)
}

var statusByConfigReason = map[configpb.Reason]int{
	configpb.Reason_REASON_INVALID:          statusBadRequest,
	configpb.Reason_REASON_VERSION_CONFLICT: statusConflict,
	configpb.Reason_REASON_CHANGE_ID_REUSED: statusConflict,
	configpb.Reason_REASON_TABLE_FULL:       statusUnavailable,
}

func (e *Entry) refuseConfiguration(rc *app.RequestContext, refusal *configpb.Refusal) {
	status, ok := statusByConfigReason[refusal.Reason]
	if !ok {
		status = statusConflict
	}
	e.refuse(rc, &Failure{
		Status:  status,
		Reason:  strings.ToLower(strings.TrimPrefix(refusal.Reason.String(), "REASON_")),
		Message: refusal.Detail,
		NotRun:  true,
	})
}
