package shard

import (
	"crypto/sha256"
	"fmt"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"ibistray.example/ibistray/proto/shardpb"
)

// applyRandomCommand draws one command and sends it, or restarts a replica.
func (m *modelChecker) applyRandomCommand() {
	switch rapid.IntRange(0, 19).Draw(m.t, "command") {
	case 0, 1, 2, 3, 4, 5:
		m.send(&shardpb.Command{Op: &shardpb.Command_Begin{Begin: m.drawBegin()}})
	case 6, 7:
		m.sendDispatch()
	case 8, 9, 10, 11:
		m.sendCommit()
	case 12, 13:
		m.sendFail()
	case 14, 15:
		m.resend()
	case 16:
		m.sendContract()
	case 17:
		m.sendEndProgram()
	case 18:
		m.nowMs += rapid.SampledFrom([]int64{-5000, 1000, testIdleMs, testPeriodMs, EndedRetentionMs}).Draw(m.t, "time")
		m.send(&shardpb.Command{Op: &shardpb.Command_Expire{Expire: &shardpb.Expire{MaxPrograms: 3}}})
	case 19:
		m.restart()
	}
}

func (m *modelChecker) drawBegin() *shardpb.Begin {
	key := &shardpb.CallKey{
		Customer: rapid.SampledFrom([]string{"a", "b"}).Draw(m.t, "customer"),
		Program:  rapid.SampledFrom([]string{"p", "q", "sub"}).Draw(m.t, "program"),
		Call:     fmt.Sprintf("c%d", rapid.IntRange(0, 7).Draw(m.t, "call")),
	}
	op := &shardpb.Begin{
		Key:      key,
		KeyHash:  testKey(rapid.SampledFrom([]string{key.Customer, key.Customer, key.Customer, "a"}).Draw(m.t, "key")),
		Sequence: uint64(rapid.SampledFrom([]int{0, 0, 0, 1, 2, 3}).Draw(m.t, "sequence")),
		Body:     []byte(callName(key)),
	}
	if key.GetProgram() == "sub" {
		op.ParentProgram = "p"
	}
	if rapid.Bool().Draw(m.t, "dispatched") {
		op.Target = testTarget("s0")
	}
	m.drawKind(op)
	sum := sha256.Sum256([]byte(fmt.Sprint(callName(key), op.GetKind(), op.GetOperation())))
	op.Fingerprint = sum[:]
	op.DeadlineMs = m.nowMs + MaxOpenCallMs
	return op
}

func (m *modelChecker) drawKind(op *shardpb.Begin) {
	op.Kind = shardpb.CallKind_CALL_KIND_SERVICE
	op.Service = "tickets"
	switch rapid.IntRange(0, 3).Draw(m.t, "kind") {
	case 0:
		op.Operation = "create"
	case 1:
		op.Operation = "lookup"
	default:
		op.Kind = shardpb.CallKind_CALL_KIND_MODEL
		op.Model = testModel
		op.NewInputTokensMax = uint64(rapid.IntRange(0, 300).Draw(m.t, "input"))
		op.MaxOutputTokens = uint64(rapid.IntRange(0, 300).Draw(m.t, "output"))
	}
}

// drawCall returns a call that was begun, or nil if there is none. It prefers open
// calls.
func (m *modelChecker) drawCall() *callModel {
	if len(m.callOrder) == 0 {
		return nil
	}
	var open []string
	for _, id := range m.callOrder {
		if m.calls[id].final == nil {
			open = append(open, id)
		}
	}
	if len(open) > 0 && rapid.IntRange(0, 3).Draw(m.t, "any") != 0 {
		return m.calls[rapid.SampledFrom(open).Draw(m.t, "open")]
	}
	return m.calls[rapid.SampledFrom(m.callOrder).Draw(m.t, "call")]
}

// drawAttempt returns the newest attempt, or sometimes the one before or after it.
func (m *modelChecker) drawAttempt(newest uint64) uint64 {
	switch rapid.IntRange(0, 5).Draw(m.t, "attempt") {
	case 0:
		return newest + 1
	case 1:
		return max(newest, 1) - 1
	default:
		return newest
	}
}

func (m *modelChecker) sendDispatch() {
	c := m.drawCall()
	if c == nil {
		return
	}
	op := &shardpb.Dispatch{
		Key:     c.key,
		Epoch:   c.epoch,
		Attempt: m.drawAttempt(c.attempt + 1),
		Target:  testTarget(fmt.Sprintf("s%d", rapid.IntRange(0, 2).Draw(m.t, "server"))),
	}
	if rapid.Bool().Draw(m.t, "fenced") {
		op.FencedAttempt = m.drawAttempt(c.attempt)
	}
	m.send(&shardpb.Command{Op: &shardpb.Command_Dispatch{Dispatch: op}})
}

func (m *modelChecker) sendCommit() {
	c := m.drawCall()
	if c == nil {
		return
	}
	text := fmt.Sprintf("%s answered %d", callName(c.key), rapid.IntRange(0, 1).Draw(m.t, "version"))
	prompt := uint64(rapid.IntRange(0, 900).Draw(m.t, "prompt"))
	completion := uint64(rapid.IntRange(0, 400).Draw(m.t, "completion"))
	op := &shardpb.Commit{
		Key:     c.key,
		Epoch:   c.epoch,
		Attempt: m.drawAttempt(c.attempt),
		Answer:  testAnswer(text, prompt, completion),
	}
	m.send(&shardpb.Command{Op: &shardpb.Command_Commit{Commit: op}})
}

func (m *modelChecker) sendFail() {
	c := m.drawCall()
	if c == nil {
		return
	}
	op := &shardpb.Fail{
		Key:     c.key,
		Epoch:   c.epoch,
		Attempt: m.drawAttempt(c.attempt),
		Failure: &shardpb.Failure{Reason: "server_died", NotRun: rapid.Bool().Draw(m.t, "notRun")},
	}
	if rapid.Bool().Draw(m.t, "usage") {
		op.Usage = &shardpb.Usage{PromptTokens: uint64(rapid.IntRange(0, 900).Draw(m.t, "prompt"))}
	}
	m.send(&shardpb.Command{Op: &shardpb.Command_Fail{Fail: op}})
}

// resend sends any earlier command again.
func (m *modelChecker) resend() {
	m.send(rapid.SampledFrom(m.sent).Draw(m.t, "earlier"))
}

func (m *modelChecker) sendContract() {
	customer := rapid.SampledFrom([]string{"a", "b"}).Draw(m.t, "customer")
	next := proto.CloneOf(m.replicas[0].Contract(customer))
	next.Budget.Tokens = uint64(rapid.IntRange(0, 3_000).Draw(m.t, "tokens"))
	next.Suspended = rapid.IntRange(0, 4).Draw(m.t, "suspended") == 0
	next.ProgramIdleMs = int64(rapid.IntRange(1000, testIdleMs).Draw(m.t, "idle"))
	expected := next.GetVersion() - uint64(rapid.IntRange(0, 1).Draw(m.t, "stale"))
	m.send(contractCommand(next, expected, fmt.Sprintf("change-%d", rapid.IntRange(0, 9).Draw(m.t, "change"))))
}

func (m *modelChecker) sendEndProgram() {
	customer := rapid.SampledFrom([]string{"a", "b"}).Draw(m.t, "customer")
	op := &shardpb.EndProgram{
		Customer: customer,
		Program:  rapid.SampledFrom([]string{"p", "q", "sub"}).Draw(m.t, "program"),
		KeyHash:  testKey(customer),
	}
	m.send(&shardpb.Command{Op: &shardpb.Command_EndProgram{EndProgram: op}})
}
