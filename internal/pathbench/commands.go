package pathbench

import (
	"crypto/sha256"
	"fmt"
	"strconv"
	"strings"

	"ibistray.example/ibistray/proto/shardpb"
)

const (
	bodyBytes   = 400  // new messages of a call
	answerBytes = 1400 // of a call
	maxTurns    = 1000
	periodMs    = 24 * 3600 * 1000
	idleMs      = 8 * 3600 * 1000
	hugeTokens  = 1 << 40
)

func keyHash(customer string) []byte {
	sum := sha256.Sum256([]byte(customerKey(customer)))
	return sum[:]
}

// ApplyContractCommand creates the contract of a customer.
func ApplyContractCommand(customer string, nowMs int64) *shardpb.Command {
	contract := &shardpb.Contract{
		Customer:            customer,
		Priority:            5,
		Budget:              &shardpb.Budget{Tokens: hugeTokens, PeriodMs: periodMs},
		EngineSharePermille: 1000,
		MaxConcurrentCalls:  contractConcurrency,
		MaxTurns:            maxTurns,
		MaxProgramTokens:    hugeTokens,
		ProgramIdleMs:       idleMs,
		MaxHeldTokens:       hugeTokens,
		Models:              []string{Model},
		KeyHashes:           [][]byte{keyHash(customer)},
		HomeRegion:          "local",
	}
	apply := &shardpb.ApplyContract{Contract: contract, ChangeId: "create-" + customer}
	return &shardpb.Command{NowMs: nowMs, Op: &shardpb.Command_ApplyContract{ApplyContract: apply}}
}

// Call names one call of a benchmark program.
type Call struct {
	Customer string
	Program  string
	Turn     int
}

func (c Call) key() *shardpb.CallKey {
	return &shardpb.CallKey{Customer: c.Customer, Program: c.Program, Call: c.Program + "-" + strconv.Itoa(c.Turn)}
}

// BeginCommand begins a call and records its first attempt.
func BeginCommand(c Call, nowMs int64) *shardpb.Command {
	body := fmt.Appendf(nil, `[{"role":"user","content":"%s"}]`, strings.Repeat("x", bodyBytes))
	sum := sha256.Sum256(body)
	begin := &shardpb.Begin{
		Key:               c.key(),
		KeyHash:           keyHash(c.Customer),
		Kind:              shardpb.CallKind_CALL_KIND_MODEL,
		Model:             Model,
		Fingerprint:       sum[:],
		Body:              body,
		NewInputTokensMax: bodyBytes,
		MaxOutputTokens:   answerBytes,
		Target:            &shardpb.Target{Server: "engine-1", Sidecar: "127.0.0.1:7001", Incarnation: "abcdefghijklmnopqrstuvwxyz"},
	}
	return &shardpb.Command{NowMs: nowMs, Op: &shardpb.Command_Begin{Begin: begin}}
}

// CommitCommand commits the first attempt of a call.
func CommitCommand(c Call, begun *shardpb.BeginResult, nowMs int64) *shardpb.Command {
	text := []byte(strings.Repeat("y", answerBytes))
	sum := sha256.Sum256(text)
	commit := &shardpb.Commit{
		Key:     c.key(),
		Epoch:   begun.GetEpoch(),
		Attempt: begun.GetAttempt(),
		Answer: &shardpb.Answer{
			Body:   text,
			Usage:  &shardpb.Usage{PromptTokens: bodyBytes / 4, CompletionTokens: answerBytes / 4},
			Status: 200,
			Digest: sum[:],
		},
	}
	return &shardpb.Command{NowMs: nowMs, Op: &shardpb.Command_Commit{Commit: commit}}
}
