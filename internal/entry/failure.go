package entry

import (
	"fmt"
	"strings"
	"time"

	"ibistray.example/ibistray/internal/shard"
	"ibistray.example/ibistray/proto/shardpb"
)

// Reasons of failures that the entry itself detects. A refusal by the shard has the
// name of its shardpb.Reason in lower case as its reason.
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

// Failure is the final error of a request, as it is returned to the caller.
type Failure struct {
	Status     int // HTTP status
	Reason     string
	Message    string
	NotRun     bool          // the call is proven not to have run and never to run
	RetryAfter time.Duration // when the caller may retry; 0 if unknown

	backendStatus int // HTTP status from the backend server; 0 if none
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

// refusalFailure returns the failure for a refusal by the shard. NotRun is set, because
// a refused command changes nothing.
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

// reasonName returns the reason in lower case without the prefix of the enum.
func reasonName(r shardpb.Reason) string {
	return strings.ToLower(strings.TrimPrefix(r.String(), "REASON_"))
}

// recordedFailure returns the failure that the shard has recorded for a call.
func recordedFailure(state shardpb.CallState, f *shardpb.Failure) *Failure {
	failure := &Failure{
		Status:  recordedStatus(f),
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

var statusByEntryReason = map[string]int{
	reasonDeadlineExceeded:   statusTimeout,
	reasonQuarantined:        statusUnprocessable,
	reasonOverloaded:         statusTooManyRequests,
	reasonNoServer:           statusUnavailable,
	reasonStaleConfiguration: statusUnavailable,
}

// recordedStatus returns the HTTP status of a recorded failure: the status of its
// reason, else the status from the backend server, else statusBadGateway.
func recordedStatus(f *shardpb.Failure) int {
	if status, ok := statusByEntryReason[f.GetReason()]; ok {
		return status
	}
	if f.GetStatus() >= statusBadRequest {
		return int(f.GetStatus())
	}
	return statusBadGateway
}
