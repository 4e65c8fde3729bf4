package shard

import (
	"crypto/sha256"
	"fmt"

	"ibistray.example/ibistray/proto/shardpb"
)

// Limits that do not depend on a contract.
const (
	MaxNameBytes      = 256     // program, call and change IDs; names of models, services, operations and targets
	MaxBodyBytes      = 8 << 20 // body of a call or answer
	MaxTokens         = 1 << 40 // any token count in a command
	MaxAttempts       = 1 << 20 // attempts of one call
	MaxDetailBytes    = 4096    // detail text of a failure
	maxTimeMs         = 1 << 52 // Unix milliseconds
	maxHoldTTLMs      = 60 * 60 * 1000
	maxExpirePrograms = 1000 // programs processed by one Expire
)

// newRefusal returns a refusal with a formatted detail text.
func newRefusal(reason shardpb.Reason, format string, args ...any) *shardpb.Refusal {
	return &shardpb.Refusal{Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// refusalResult returns a result that is a refusal.
func refusalResult(reason shardpb.Reason, format string, args ...any) *shardpb.Result {
	return &shardpb.Result{Refusal: newRefusal(reason, format, args...)}
}

// invalidCommand returns a refusal with REASON_INVALID_COMMAND.
func invalidCommand(format string, args ...any) *shardpb.Refusal {
	return newRefusal(shardpb.Reason_REASON_INVALID_COMMAND, format, args...)
}

// checkCommand checks the limits that do not depend on the state.
func checkCommand(cmd *shardpb.Command) *shardpb.Refusal {
	if cmd.GetNowMs() < 0 || cmd.GetNowMs() > maxTimeMs {
		return invalidCommand("now_ms is out of bounds")
	}
	switch op := cmd.GetOp().(type) {
	case *shardpb.Command_ApplyContract:
		return checkApplyContract(op.ApplyContract)
	case *shardpb.Command_Begin:
		return checkBegin(op.Begin)
	case *shardpb.Command_Dispatch:
		return checkDispatch(op.Dispatch)
	case *shardpb.Command_Commit:
		return checkCommit(op.Commit)
	case *shardpb.Command_Fail:
		return checkFail(op.Fail)
	case *shardpb.Command_EndProgram:
		return checkName("program", op.EndProgram.GetProgram())
	case *shardpb.Command_Expire:
		return nil
	case *shardpb.Command_RenewHold:
		return checkRenewHold(op.RenewHold)
	default:
		return invalidCommand("no operation")
	}
}

// checkName checks that a required name is set and not too long.
func checkName(field, value string) *shardpb.Refusal {
	if value == "" {
		return invalidCommand("%s is empty", field)
	}
	return checkLength(field, value)
}

func checkLength(field, value string) *shardpb.Refusal {
	if len(value) > MaxNameBytes {
		return invalidCommand("%s is longer than %d bytes", field, MaxNameBytes)
	}
	return nil
}

func checkTokens(field string, value uint64) *shardpb.Refusal {
	if value > MaxTokens {
		return invalidCommand("%s is above %d", field, uint64(MaxTokens))
	}
	return nil
}

func checkApplyContract(op *shardpb.ApplyContract) *shardpb.Refusal {
	if op.GetContract() == nil {
		return invalidCommand("contract is missing")
	}
	return checkName("change_id", op.GetChangeId())
}

func checkKey(key *shardpb.CallKey) *shardpb.Refusal {
	return firstRefusal(
		checkName("key.program", key.GetProgram()),
		checkName("key.call", key.GetCall()),
	)
}

func checkBegin(op *shardpb.Begin) *shardpb.Refusal {
	if len(op.GetFingerprint()) != sha256.Size {
		return invalidCommand("fingerprint is not %d bytes", sha256.Size)
	}
	if len(op.GetBody()) > MaxBodyBytes {
		return invalidCommand("body is above %d bytes", MaxBodyBytes)
	}
	if op.GetDeadlineMs() < 0 || op.GetDeadlineMs() > maxTimeMs {
		return invalidCommand("deadline_ms is out of bounds")
	}
	return firstRefusal(
		checkKey(op.GetKey()),
		checkKind(op),
		checkTokens("max_output_tokens", op.GetMaxOutputTokens()),
		checkTokens("new_input_tokens_max", op.GetNewInputTokensMax()),
		checkLength("parent_program", op.GetParentProgram()),
		checkOptionalTarget(op.GetTarget()),
	)
}

// checkKind checks the kind of a call and the names that the kind requires.
func checkKind(op *shardpb.Begin) *shardpb.Refusal {
	switch op.GetKind() {
	case shardpb.CallKind_CALL_KIND_MODEL:
		return checkName("model", op.GetModel())
	case shardpb.CallKind_CALL_KIND_SERVICE:
		return firstRefusal(checkName("service", op.GetService()), checkName("operation", op.GetOperation()))
	default:
		return invalidCommand("kind is unknown")
	}
}

func checkOptionalTarget(target *shardpb.Target) *shardpb.Refusal {
	if target == nil {
		return nil
	}
	return checkTarget(target)
}

func checkTarget(target *shardpb.Target) *shardpb.Refusal {
	return firstRefusal(
		checkName("target.server", target.GetServer()),
		checkLength("target.sidecar", target.GetSidecar()),
		checkLength("target.incarnation", target.GetIncarnation()),
	)
}

func checkDispatch(op *shardpb.Dispatch) *shardpb.Refusal {
	if op.GetAttempt() == 0 || op.GetAttempt() > MaxAttempts {
		return invalidCommand("attempt is not in 1 to %d", MaxAttempts)
	}
	return firstRefusal(checkKey(op.GetKey()), checkTarget(op.GetTarget()))
}

func checkCommit(op *shardpb.Commit) *shardpb.Refusal {
	if op.GetAnswer() == nil {
		return invalidCommand("answer is missing")
	}
	if len(op.GetAnswer().GetBody()) > MaxBodyBytes {
		return invalidCommand("answer.body is above %d bytes", MaxBodyBytes)
	}
	return firstRefusal(checkKey(op.GetKey()), checkUsage(op.GetAnswer().GetUsage()), checkDigest(op.GetAnswer()))
}

// checkDigest compares the answer's body with its SHA-256 digest, if it has one,
// so that a truncated or damaged answer is not recorded.
func checkDigest(answer *shardpb.Answer) *shardpb.Refusal {
	if len(answer.GetDigest()) == 0 {
		return nil
	}
	sum := sha256.Sum256(answer.GetBody())
	if string(sum[:]) != string(answer.GetDigest()) {
		return invalidCommand("answer.digest does not match answer.body")
	}
	return nil
}

func checkUsage(usage *shardpb.Usage) *shardpb.Refusal {
	return firstRefusal(
		checkTokens("usage.prompt_tokens", usage.GetPromptTokens()),
		checkTokens("usage.completion_tokens", usage.GetCompletionTokens()),
	)
}

func checkFail(op *shardpb.Fail) *shardpb.Refusal {
	if op.GetFailure() == nil {
		return invalidCommand("failure is missing")
	}
	if len(op.GetFailure().GetDetail()) > MaxDetailBytes {
		return invalidCommand("failure.detail is longer than %d bytes", MaxDetailBytes)
	}
	return firstRefusal(
		checkKey(op.GetKey()),
		checkName("failure.reason", op.GetFailure().GetReason()),
		checkUsage(op.GetUsage()),
	)
}

func checkRenewHold(op *shardpb.RenewHold) *shardpb.Refusal {
	if op.GetTtlMs() < 0 || op.GetTtlMs() > maxHoldTTLMs {
		return invalidCommand("ttl_ms is not in 0 to %d", maxHoldTTLMs)
	}
	return firstRefusal(
		checkName("program", op.GetProgram()),
		checkTokens("tokens", op.GetTokens()),
		checkOptionalTarget(op.GetTarget()),
	)
}

// firstRefusal returns the first of the refusals that is not nil, or nil.
func firstRefusal(refusals ...*shardpb.Refusal) *shardpb.Refusal {
	for _, refusal := range refusals {
		if refusal != nil {
			return refusal
		}
	}
	return nil
}
