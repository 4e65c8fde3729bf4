package entry

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"ibistray.example/ibistray/internal/contract"
	"ibistray.example/ibistray/internal/leaderclient"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/rpcpb"
	"ibistray.example/ibistray/proto/shardpb"
)

const (
	adminTimeout   = 5 * time.Second
	methodRelease  = transport.MethodRelease
	minOperatorKey = 16 // characters
)

// Query parameters of the administration API.
const (
	queryExpectedVersion = "expected_version"
	queryChangeID        = "change_id"
)

// OperatorKeys are the hashes of the keys that operators may use.
type OperatorKeys struct {
	hashes [][sha256.Size]byte
}

// LoadOperatorKeys reads a file with one key a line; empty lines and lines that
// begin with # are skipped.
func LoadOperatorKeys(path string) (*OperatorKeys, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("entry: operators' keys: %w", err)
	}
	keys := new(OperatorKeys)
	scanner := bufio.NewScanner(bytes.NewReader(data))
	for scanner.Scan() {
		line := strings.TrimSpace(scanner.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		if len(line) < minOperatorKey {
			return nil, fmt.Errorf("entry: operators' keys: %s holds a key shorter than %d characters", path, minOperatorKey)
		}
		keys.hashes = append(keys.hashes, sha256.Sum256([]byte(line)))
	}
	if len(keys.hashes) == 0 {
		return nil, fmt.Errorf("entry: operators' keys: %s holds no key", path)
	}
	return keys, nil
}

// valid reports in constant time whether a key is one of the operators'.
func (k *OperatorKeys) valid(key string) bool {
	hash := sha256.Sum256([]byte(key))
	found := 0
	for i := range k.hashes {
		found |= subtle.ConstantTimeCompare(hash[:], k.hashes[i][:])
	}
	return found == 1
}

// RegisterAdminRoutes adds the operators' interface to an HTTP server.
func (e *Entry) RegisterAdminRoutes(h *server.Hertz) {
	admin := h.Group("/admin/v1", e.requireOperator)
	admin.GET("/contracts", e.listContracts)
	admin.GET("/contracts/:customer", e.showContract)
	admin.PUT("/contracts/:customer", e.applyContract)
	admin.GET("/programs/:customer", e.listPrograms)
	admin.GET("/servers", e.listServers)
	admin.GET("/replicas", e.listReplicas)
	admin.GET("/configuration", e.showConfiguration)
	admin.POST("/configuration", e.changeConfiguration)
}

func (e *Entry) requireOperator(ctx context.Context, rc *app.RequestContext) {
	key, ok := strings.CutPrefix(string(rc.GetHeader(headerAuthorization)), bearerPrefix)
	if !ok || !e.cfg.OperatorKeys.valid(key) {
		rc.Abort()
		e.refuse(rc, &Failure{Status: statusUnauthorized, Reason: reasonUnauthenticated, Message: "an operator's key is needed", NotRun: true})
		return
	}
	rc.Next(ctx)
}

// applyContract creates or changes a contract. Once it is answered the contract
// is in force for the customer's next call, at every entry.
func (e *Entry) applyContract(ctx context.Context, rc *app.RequestContext) {
	document, err := contract.Decode(rc.Request.Body())
	if err != nil {
		e.refuse(rc, invalidRequest("contract: %s", err))
		return
	}
	if customer := rc.Param("customer"); document.Customer != customer {
		e.refuse(rc, invalidRequest("contract: it is of customer %q, the path names %q", document.Customer, customer))
		return
	}
	expected, err := strconv.ParseUint(rc.Query(queryExpectedVersion), 10, 64)
	if err != nil {
		e.refuse(rc, invalidRequest("%s: a version is needed, 0 for a new contract", queryExpectedVersion))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	cmd := &shardpb.Command{Op: &shardpb.Command_ApplyContract{ApplyContract: &shardpb.ApplyContract{
		Contract:        document,
		ExpectedVersion: expected,
		ChangeId:        rc.Query(queryChangeID),
	}}}
	result, err := e.shards.Propose(ctx, document.Customer, cmd, 0)
	if err != nil {
		e.refuse(rc, viewFailure(err))
		return
	}
	if result.Refusal != nil {
		e.refuseContract(rc, result.Refusal)
		return
	}
	writeProto(rc, consts.StatusOK, result.GetContract())
}

// refuseContract answers a refused change; a conflict shows the contract in
// force.
func (e *Entry) refuseContract(rc *app.RequestContext, refusal *shardpb.Refusal) {
	if refusal.Reason != shardpb.Reason_REASON_VERSION_CONFLICT {
		e.refuse(rc, refusalFailure(refusal))
		return
	}
	e.metrics.Refusals.WithLabelValues(reasonName(refusal.Reason)).Inc()
	writeProto(rc, consts.StatusConflict, refusal)
}

func (e *Entry) listContracts(ctx context.Context, rc *app.RequestContext) {
	e.viewAll(ctx, rc)
}

// viewAll joins the views of all control processes: each answers for the shards
// that it leads.
func (e *Entry) viewAll(ctx context.Context, rc *app.RequestContext) {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	all := new(rpcpb.ViewResponse)
	answered := 0
	for _, address := range e.cfg.Control {
		part := new(rpcpb.ViewResponse)
		if err := e.pool.Call(ctx, address, transport.MethodShardView, &rpcpb.ViewRequest{}, part); err != nil {
			e.log.Warn("control process does not answer", "control", address, "error", err)
			continue
		}
		proto.Merge(all, part)
		answered++
	}
	if answered == 0 {
		e.refuse(rc, viewFailure(leaderclient.ErrUnavailable))
		return
	}
	writeProto(rc, consts.StatusOK, all)
}

func (e *Entry) showContract(ctx context.Context, rc *app.RequestContext) {
	e.viewCustomer(ctx, rc, rc.Param("customer"))
}

func (e *Entry) listPrograms(ctx context.Context, rc *app.RequestContext) {
	e.viewCustomer(ctx, rc, rc.Param("customer"))
}

func (e *Entry) viewCustomer(ctx context.Context, rc *app.RequestContext, customer string) {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	view, err := e.shards.View(ctx, &rpcpb.ViewRequest{Customer: customer})
	if err != nil {
		e.refuse(rc, viewFailure(err))
		return
	}
	if len(view.Contracts) == 0 {
		e.refuse(rc, &Failure{Status: statusNotFound, Reason: reasonNotFound, Message: "no contract of this customer"})
		return
	}
	writeProto(rc, consts.StatusOK, view)
}

func (e *Entry) listServers(_ context.Context, rc *app.RequestContext) {
	resp := new(rpcpb.MembersResponse)
	for _, m := range e.members.cell.Load().members {
		resp.Members = append(resp.Members, m.announcement)
	}
	writeProto(rc, consts.StatusOK, resp)
}

// listReplicas joins the replicas of all control processes.
func (e *Entry) listReplicas(ctx context.Context, rc *app.RequestContext) {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	report := new(rpcpb.ReplicaReport)
	for _, address := range e.cfg.Control {
		status := new(rpcpb.ReplicaStatusResponse)
		if err := e.pool.Call(ctx, address, transport.MethodReplicaStatus, &rpcpb.ReplicaStatusRequest{}, status); err != nil {
			report.Silent = append(report.Silent, address)
			continue
		}
		report.Processes = append(report.Processes, status)
	}
	writeProto(rc, consts.StatusOK, report)
}

// viewFailure turns an error of a read or an operator's change.
func viewFailure(err error) *Failure {
	var reported *transport.Error
	if errors.As(err, &reported) && reported.Code == rpcpb.Code_CODE_UNAUTHENTICATED {
		return unauthenticated(reported.Detail)
	}
	return &Failure{Status: statusUnavailable, Reason: reasonControlUnavailable, Message: err.Error(), RetryAfter: time.Second}
}

func writeProto(rc *app.RequestContext, status int, m proto.Message) {
	data, err := protojson.Marshal(m)
	if err != nil {
		writeFailure(rc, &Failure{Status: statusInternal, Reason: reasonInternal, Message: err.Error()})
		return
	}
	rc.Data(status, consts.MIMEApplicationJSON, data)
}
