package shard

import (
	"crypto/sha256"
	"fmt"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"ibistray.example/ibistray/proto/shardpb"
)

// step draws and sends one command.
func (w *world) step() {
	switch rapid.IntRange(0, 19).Draw(w.t, "command") {
	case 0, 1, 2, 3, 4, 5:
		w.send(&shardpb.Command{Op: &shardpb.Command_Begin{Begin: w.drawBegin()}})
	case 6, 7:
		w.sendDispatch()
	case 8, 9, 10, 11:
		w.sendCommit()
	case 12, 13:
		w.sendFail()
	case 14, 15:
		w.resend()
	case 16:
		w.sendContract()
	case 17:
		w.sendEnd()
	case 18:
		w.nowMs += rapid.SampledFrom([]int64{-5000, 1000, testIdleMs, testPeriodMs, EndedRetentionMs}).Draw(w.t, "time")
		w.send(&shardpb.Command{Op: &shardpb.Command_Expire{Expire: &shardpb.Expire{MaxPrograms: 3}}})
	case 19:
		w.restart()
	}
}

func (w *world) drawBegin() *shardpb.Begin {
	key := &shardpb.CallKey{
		Customer: rapid.SampledFrom([]string{"a", "b"}).Draw(w.t, "customer"),
		Program:  rapid.SampledFrom([]string{"p", "q", "sub"}).Draw(w.t, "program"),
		Call:     fmt.Sprintf("c%d", rapid.IntRange(0, 7).Draw(w.t, "call")),
	}
	op := &shardpb.Begin{
		Key:      key,
		KeyHash:  testKey(rapid.SampledFrom([]string{key.Customer, key.Customer, key.Customer, "a"}).Draw(w.t, "key")),
		Sequence: uint64(rapid.SampledFrom([]int{0, 0, 0, 1, 2, 3}).Draw(w.t, "sequence")),
		Body:     []byte(callName(key)),
	}
	if key.GetProgram() == "sub" {
		op.ParentProgram = "p"
	}
	if rapid.Bool().Draw(w.t, "dispatched") {
		op.Target = testTarget("s0")
	}
	w.drawKind(op)
	sum := sha256.Sum256([]byte(fmt.Sprint(callName(key), op.GetKind(), op.GetOperation())))
	op.Fingerprint = sum[:]
	op.DeadlineMs = w.nowMs + MaxOpenCallMs
	return op
}

func (w *world) drawKind(op *shardpb.Begin) {
	op.Kind = shardpb.CallKind_CALL_KIND_SERVICE
	op.Service = "tickets"
	switch rapid.IntRange(0, 3).Draw(w.t, "kind") {
	case 0:
		op.Operation = "create"
	case 1:
		op.Operation = "lookup"
	default:
		op.Kind = shardpb.CallKind_CALL_KIND_MODEL
		op.Model = testModel
		op.NewInputTokensMax = uint64(rapid.IntRange(0, 300).Draw(w.t, "input"))
		op.MaxOutputTokens = uint64(rapid.IntRange(0, 300).Draw(w.t, "output"))
	}
}

// drawCall returns a call that began, open ones more often, or nil.
func (w *world) drawCall() *modelOfCall {
	if len(w.order) == 0 {
		return nil
	}
	var open []string
	for _, id := range w.order {
		if w.calls[id].final == nil {
			open = append(open, id)
		}
	}
	if len(open) > 0 && rapid.IntRange(0, 3).Draw(w.t, "any") != 0 {
		return w.calls[rapid.SampledFrom(open).Draw(w.t, "open")]
	}
	return w.calls[rapid.SampledFrom(w.order).Draw(w.t, "call")]
}

// drawAttempt returns the newest attempt, or one beside it.
func (w *world) drawAttempt(newest uint64) uint64 {
	switch rapid.IntRange(0, 5).Draw(w.t, "attempt") {
	case 0:
		return newest + 1
	case 1:
		return max(newest, 1) - 1
	default:
		return newest
	}
}

func (w *world) sendDispatch() {
	c := w.drawCall()
	if c == nil {
		return
	}
	op := &shardpb.Dispatch{
		Key:     c.key,
		Epoch:   c.epoch,
		Attempt: w.drawAttempt(c.attempt + 1),
		Target:  testTarget(fmt.Sprintf("s%d", rapid.IntRange(0, 2).Draw(w.t, "server"))),
	}
	if rapid.Bool().Draw(w.t, "fenced") {
		op.FencedAttempt = w.drawAttempt(c.attempt)
	}
	w.send(&shardpb.Command{Op: &shardpb.Command_Dispatch{Dispatch: op}})
}

func (w *world) sendCommit() {
	c := w.drawCall()
	if c == nil {
		return
	}
	text := fmt.Sprintf("%s answered %d", callName(c.key), rapid.IntRange(0, 1).Draw(w.t, "version"))
	prompt := uint64(rapid.IntRange(0, 900).Draw(w.t, "prompt"))
	completion := uint64(rapid.IntRange(0, 400).Draw(w.t, "completion"))
	op := &shardpb.Commit{
		Key:     c.key,
		Epoch:   c.epoch,
		Attempt: w.drawAttempt(c.attempt),
		Answer:  testAnswer(text, prompt, completion),
	}
	w.send(&shardpb.Command{Op: &shardpb.Command_Commit{Commit: op}})
}

func (w *world) sendFail() {
	c := w.drawCall()
	if c == nil {
		return
	}
	op := &shardpb.Fail{
		Key:     c.key,
		Epoch:   c.epoch,
		Attempt: w.drawAttempt(c.attempt),
		Failure: &shardpb.Failure{Reason: "server_died", NotRun: rapid.Bool().Draw(w.t, "notRun")},
	}
	if rapid.Bool().Draw(w.t, "usage") {
		op.Usage = &shardpb.Usage{PromptTokens: uint64(rapid.IntRange(0, 900).Draw(w.t, "prompt"))}
	}
	w.send(&shardpb.Command{Op: &shardpb.Command_Fail{Fail: op}})
}

// resend sends an earlier command again, whichever it was.
func (w *world) resend() {
	w.send(rapid.SampledFrom(w.sent).Draw(w.t, "earlier"))
}

func (w *world) sendContract() {
	customer := rapid.SampledFrom([]string{"a", "b"}).Draw(w.t, "customer")
	next := proto.CloneOf(w.replicas[0].Contract(customer))
	next.Budget.Tokens = uint64(rapid.IntRange(0, 3_000).Draw(w.t, "tokens"))
	next.Suspended = rapid.IntRange(0, 4).Draw(w.t, "suspended") == 0
	next.ProgramIdleMs = int64(rapid.IntRange(1000, testIdleMs).Draw(w.t, "idle"))
	expected := next.GetVersion() - uint64(rapid.IntRange(0, 1).Draw(w.t, "stale"))
	w.send(contractCommand(next, expected, fmt.Sprintf("change-%d", rapid.IntRange(0, 9).Draw(w.t, "change"))))
}

func (w *world) sendEnd() {
	customer := rapid.SampledFrom([]string{"a", "b"}).Draw(w.t, "customer")
	op := &shardpb.EndProgram{
		Customer: customer,
		Program:  rapid.SampledFrom([]string{"p", "q", "sub"}).Draw(w.t, "program"),
		KeyHash:  testKey(customer),
	}
	w.send(&shardpb.Command{Op: &shardpb.Command_EndProgram{EndProgram: op}})
}
