package pathbench

import (
	"crypto/sha256"
	"fmt"
	"strconv"
	"strings"

	"ibistray.example/ibistray/proto/shardpb"
)

const (
	newMessageBytes = 400  // length of the new messages of a call
	answerBytes     = 1400 // length of the answer to a call
	maxTurns        = 1000
	budgetPeriodMs  = 24 * 3600 * 1000
	programIdleMs   = 8 * 3600 * 1000
	unlimitedTokens = 1 << 40
)

func keyHash(customer string) []byte {
	sum := sha256.Sum256([]byte(customerKey(customer)))
	return sum[:]
}

// ApplyContractCommand returns a command that creates the contract of a customer,
// with high limits.
func ApplyContractCommand(customer string, nowMs int64) *shardpb.Command {
	contract := &shardpb.Contract{
		Customer:            customer,
		Priority:            5,
		Budget:              &shardpb.Budget{Tokens: unlimitedTokens, PeriodMs: budgetPeriodMs},
		EngineSharePermille: 1000,
		MaxConcurrentCalls:  maxConcurrentCalls,
		MaxTurns:            maxTurns,
		MaxProgramTokens:    unlimitedTokens,
		ProgramIdleMs:       programIdleMs,
		MaxHeldTokens:       unlimitedTokens,
		Models:              []string{Model},
		KeyHashes:           [][]byte{keyHash(customer)},
		HomeRegion:          "local",
	}
	apply := &shardpb.ApplyContract{Contract: contract, ChangeId: "create-" + customer}
	return &shardpb.Command{NowMs: nowMs, Op: &shardpb.Command_ApplyContract{ApplyContract: apply}}
}

// Call identifies a call of a benchmark program.
type Call struct {
	Customer string
	Program  string
	Turn     int
}

func (c Call) key() *shardpb.CallKey {
	return &shardpb.CallKey{Customer: c.Customer, Program: c.Program, Call: c.Program + "-" + strconv.Itoa(c.Turn)}
}

// BeginCommand returns a command that begins a call and records its first attempt.
func BeginCommand(c Call, nowMs int64) *shardpb.Command {
	body := fmt.Appendf(nil, `[{"role":"user","content":"%s"}]`, strings.Repeat("x", newMessageBytes))
	sum := sha256.Sum256(body)
	begin := &shardpb.Begin{
		Key:               c.key(),
		KeyHash:           keyHash(c.Customer),
		Kind:              shardpb.CallKind_CALL_KIND_MODEL,
		Model:             Model,
		Fingerprint:       sum[:],
		Body:              body,
		NewInputTokensMax: newMessageBytes,
		MaxOutputTokens:   answerBytes,
		Target:            &shardpb.Target{Server: "engine-1", Sidecar: "127.0.0.1:7001", Incarnation: "abcdefghijklmnopqrstuvwxyz"},
	}
	return &shardpb.Command{NowMs: nowMs, Op: &shardpb.Command_Begin{Begin: begin}}
}

// CommitCommand returns a command that commits the attempt that begun describes,
// with an answer of answerBytes.
func CommitCommand(c Call, begun *shardpb.BeginResult, nowMs int64) *shardpb.Command {
	text := []byte(strings.Repeat("y", answerBytes))
	sum := sha256.Sum256(text)
	commit := &shardpb.Commit{
		Key:     c.key(),
		Epoch:   begun.GetEpoch(),
		Attempt: begun.GetAttempt(),
		Answer: &shardpb.Answer{
			Body:   text,
			Usage:  &shardpb.Usage{PromptTokens: newMessageBytes / 4, CompletionTokens: answerBytes / 4},
			Status: 200,
			Digest: sum[:],
		},
	}
	return &shardpb.Command{NowMs: nowMs, Op: &shardpb.Command_Commit{Commit: commit}}
}
