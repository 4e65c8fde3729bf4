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
	adminTimeout        = 5 * time.Second
	methodRelease       = transport.MethodRelease
	minOperatorKeyBytes = 16
)

// Query parameters of the administration API.
const (
	queryExpectedVersion = "expected_version"
	queryChangeID        = "change_id"
)

// OperatorKeys holds the hashes of the operators' keys for the administration API.
type OperatorKeys struct {
	hashes [][sha256.Size]byte
}

// LoadOperatorKeys reads a file with one key per line. Empty lines and lines that begin
// with # are skipped. It returns an error if the file has no key or a key that is too
// short.
func LoadOperatorKeys(path string) (*OperatorKeys, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("entry: read operators' keys: %w", err)
	}
	keys := new(OperatorKeys)
	scanner := bufio.NewScanner(bytes.NewReader(data))
	for scanner.Scan() {
		line := strings.TrimSpace(scanner.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		if len(line) < minOperatorKeyBytes {
			return nil, fmt.Errorf("entry: operators' keys: %s contains a key shorter than %d bytes", path, minOperatorKeyBytes)
		}
		keys.hashes = append(keys.hashes, sha256.Sum256([]byte(line)))
	}
	if len(keys.hashes) == 0 {
		return nil, fmt.Errorf("entry: operators' keys: %s contains no key", path)
	}
	return keys, nil
}

// contains reports whether key is an operator's key. It compares hashes in constant time.
func (k *OperatorKeys) contains(key string) bool {
	hash := sha256.Sum256([]byte(key))
	found := 0
	for i := range k.hashes {
		found |= subtle.ConstantTimeCompare(hash[:], k.hashes[i][:])
	}
	return found == 1
}

// RegisterAdminRoutes adds the routes of the administration API to an HTTP server.
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

// requireOperator aborts a request that has no valid operator's key.
func (e *Entry) requireOperator(ctx context.Context, rc *app.RequestContext) {
	key, ok := strings.CutPrefix(string(rc.GetHeader(headerAuthorization)), bearerPrefix)
	if !ok || !e.cfg.OperatorKeys.contains(key) {
		rc.Abort()
		e.refuse(rc, &Failure{Status: statusUnauthorized, Reason: reasonUnauthenticated, Message: "an operator's key is needed", NotRun: true})
		return
	}
	rc.Next(ctx)
}

// applyContract creates or changes a contract. When it responds with success, the contract
// applies to every later call of the customer, at every entry.
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
		e.refuse(rc, controlErrorFailure(err))
		return
	}
	if result.Refusal != nil {
		e.refuseContract(rc, result.Refusal)
		return
	}
	writeProto(rc, consts.StatusOK, result.GetContract())
}

// refuseContract responds to a refused change of a contract. For a version conflict the
// response contains the current contract.
func (e *Entry) refuseContract(rc *app.RequestContext, refusal *shardpb.Refusal) {
	if refusal.Reason != shardpb.Reason_REASON_VERSION_CONFLICT {
		e.refuse(rc, refusalFailure(refusal))
		return
	}
	e.metrics.Refusals.WithLabelValues(reasonName(refusal.Reason)).Inc()
	writeProto(rc, consts.StatusConflict, refusal)
}

func (e *Entry) listContracts(ctx context.Context, rc *app.RequestContext) {
	e.writeMergedView(ctx, rc)
}

// writeMergedView responds with the merged views of all control processes. Each control
// process reports the shards that it leads. Processes that do not respond are left out.
func (e *Entry) writeMergedView(ctx context.Context, rc *app.RequestContext) {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	merged := new(rpcpb.ViewResponse)
	responses := 0
	for _, address := range e.cfg.Control {
		part := new(rpcpb.ViewResponse)
		if err := e.pool.Call(ctx, address, transport.MethodShardView, &rpcpb.ViewRequest{}, part); err != nil {
			e.log.Warn("control process does not respond", "control", address, "error", err)
			continue
		}
		proto.Merge(merged, part)
		responses++
	}
	if responses == 0 {
		e.refuse(rc, controlErrorFailure(leaderclient.ErrUnavailable))
		return
	}
	writeProto(rc, consts.StatusOK, merged)
}

func (e *Entry) showContract(ctx context.Context, rc *app.RequestContext) {
	e.writeCustomerView(ctx, rc, rc.Param("customer"))
}

func (e *Entry) listPrograms(ctx context.Context, rc *app.RequestContext) {
	e.writeCustomerView(ctx, rc, rc.Param("customer"))
}

// writeCustomerView responds with the contract and the programs of a customer.
func (e *Entry) writeCustomerView(ctx context.Context, rc *app.RequestContext, customer string) {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	view, err := e.shards.View(ctx, &rpcpb.ViewRequest{Customer: customer})
	if err != nil {
		e.refuse(rc, controlErrorFailure(err))
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
	for _, m := range e.members.snapshot.Load().members {
		resp.Members = append(resp.Members, m.announcement)
	}
	writeProto(rc, consts.StatusOK, resp)
}

// listReplicas responds with the replicas of all control processes. Processes that do not
// respond are listed as silent.
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

// controlErrorFailure returns the failure for an error from the control processes.
func controlErrorFailure(err error) *Failure {
	var remote *transport.Error
	if errors.As(err, &remote) && remote.Code == rpcpb.Code_CODE_UNAUTHENTICATED {
		return unauthenticated(remote.Detail)
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
