package entry

import (
	"fmt"
	"strings"
	"time"

	"ibistray.example/ibistray/internal/shard"
	"ibistray.example/ibistray/proto/shardpb"
)

// Reasons of failures that the entry itself finds. Refusals of the shard use
// the names of shardpb.Reason in lower case.
const (
	reasonInvalidRequest     = "invalid_request"
	reasonInvalidUTF8        = "invalid_utf8"
	reasonBodyTooLarge       = "body_too_large"
	reasonUnauthenticated    = "unauthenticated"
	reasonNoServer           = "no_backend_server"
	reasonControlUnavailable = "control_unavailable"
	reasonOutcomeUnknown     = "outcome_unknown"
	reasonDeadlineExceeded   = "deadline_exceeded"
	reasonAnswerReplaced     = "answer_replaced"
	reasonStopping           = "stopping"
	reasonServerError        = "backend_error"
	reasonNotFound           = "not_found"
	reasonInternal           = "internal"
	reasonQuarantined        = shard.ReasonQuarantined
	reasonOverloaded         = "overloaded"
	reasonStaleConfiguration = "stale_configuration"
)

// HTTP statuses of failures.
const (
	statusBadRequest      = 400
	statusUnauthorized    = 401
	statusForbidden       = 403
	statusNotFound        = 404
	statusConflict        = 409
	statusTooLarge        = 413
	statusUnprocessable   = 422
	statusTooManyRequests = 429
	statusInternal        = 500
	statusBadGateway      = 502
	statusUnavailable     = 503
	statusTimeout         = 504
)

// Failure is the final error of a request, as the caller sees it.
type Failure struct {
	Status     int
	Reason     string
	Message    string
	NotRun     bool          // proven: the call was not run and will not be
	RetryAfter time.Duration // 0: no hint

	serverStatus int // HTTP status of the backend server, 0: none
}

func (f *Failure) Error() string {
	return fmt.Sprintf("entry: %s: %s", f.Reason, f.Message)
}

func invalidRequest(format string, args ...any) *Failure {
	return &Failure{
		Status:  statusBadRequest,
		Reason:  reasonInvalidRequest,
		Message: fmt.Sprintf(format, args...),
		NotRun:  true,
	}
}

var statusByReason = map[shardpb.Reason]int{
	shardpb.Reason_REASON_UNKNOWN_CUSTOMER:          statusUnauthorized,
	shardpb.Reason_REASON_BAD_KEY:                   statusUnauthorized,
	shardpb.Reason_REASON_VERSION_CONFLICT:          statusConflict,
	shardpb.Reason_REASON_INVALID_CONTRACT:          statusUnprocessable,
	shardpb.Reason_REASON_CHANGE_ID_REUSED:          statusConflict,
	shardpb.Reason_REASON_PROGRAM_OF_OTHER_CUSTOMER: statusForbidden,
	shardpb.Reason_REASON_PROGRAM_ENDED:             statusConflict,
	shardpb.Reason_REASON_PROGRAM_BUSY:              statusConflict,
	shardpb.Reason_REASON_SEQUENCE_GAP:              statusConflict,
	shardpb.Reason_REASON_SEQUENCE_REUSED:           statusConflict,
	shardpb.Reason_REASON_CALL_ID_REUSED:            statusConflict,
	shardpb.Reason_REASON_BUDGET_EXHAUSTED:          statusTooManyRequests,
	shardpb.Reason_REASON_CONCURRENCY_LIMIT:         statusTooManyRequests,
	shardpb.Reason_REASON_TURN_LIMIT:                statusTooManyRequests,
	shardpb.Reason_REASON_PROGRAM_TOKEN_LIMIT:       statusTooManyRequests,
	shardpb.Reason_REASON_MODEL_NOT_ALLOWED:         statusForbidden,
	shardpb.Reason_REASON_OPERATION_NOT_ALLOWED:     statusForbidden,
	shardpb.Reason_REASON_UNKNOWN_CALL:              statusNotFound,
	shardpb.Reason_REASON_UNKNOWN_PROGRAM:           statusNotFound,
	shardpb.Reason_REASON_DEADLINE_EXCEEDED:         statusTimeout,
	shardpb.Reason_REASON_QUARANTINED:               statusUnprocessable,
	shardpb.Reason_REASON_INVALID_COMMAND:           statusBadRequest,
	shardpb.Reason_REASON_SUSPENDED:                 statusForbidden,
	shardpb.Reason_REASON_HOLD_LIMIT:                statusTooManyRequests,
	shardpb.Reason_REASON_STALE_ATTEMPT:             statusConflict,
	shardpb.Reason_REASON_CALL_FINAL:                statusConflict,
	shardpb.Reason_REASON_NOT_FENCED:                statusConflict,
}

// refusalFailure turns a refusal of the shard: a refused command changed
// nothing, so the call was not run.
func refusalFailure(r *shardpb.Refusal) *Failure {
	status, ok := statusByReason[r.Reason]
	if !ok {
		status = statusConflict
	}
	return &Failure{
		Status:     status,
		Reason:     reasonName(r.Reason),
		Message:    r.Detail,
		NotRun:     true,
		RetryAfter: time.Duration(r.RetryAfterMs) * time.Millisecond,
	}
}

func reasonName(r shardpb.Reason) string {
	return strings.ToLower(strings.TrimPrefix(r.String(), "REASON_"))
}

// recordedFailure turns the failure that the shard recorded for a call.
func recordedFailure(state shardpb.CallState, f *shardpb.Failure) *Failure {
	failure := &Failure{
		Status:  statusOfFailure(f),
		Reason:  f.GetReason(),
		Message: f.GetDetail(),
		NotRun:  f.GetNotRun(),
	}
	if state == shardpb.CallState_CALL_STATE_UNKNOWN {
		failure.Reason = reasonOutcomeUnknown
		failure.NotRun = false
	}
	return failure
}

var statusByOwnReason = map[string]int{
	reasonDeadlineExceeded:   statusTimeout,
	reasonQuarantined:        statusUnprocessable,
	reasonOverloaded:         statusTooManyRequests,
	reasonNoServer:           statusUnavailable,
	reasonStaleConfiguration: statusUnavailable,
}

// statusOfFailure returns the status of a recorded failure: that of its reason,
// or what the backend server answered.
func statusOfFailure(f *shardpb.Failure) int {
	if status, ok := statusByOwnReason[f.GetReason()]; ok {
		return status
	}
	if f.GetStatus() >= statusBadRequest {
		return int(f.GetStatus())
	}
	return statusBadGateway
}
