package shard

import (
	"crypto/sha256"

	"ibistray.example/ibistray/proto/shardpb"
)

// appendHistory adds the open call's exchange to the program's history.
func appendHistory(p *program, answer *shardpb.Answer) {
	p.historyDigest = chain(p.historyDigest, p.open.inputDigest, sha256.Sum256(answer.GetBody()))
	p.history = append(p.history, uint32(len(p.calls)-1)) // bounded by contract.MaxTurns
	p.historyTokens = historyTokens(p, answer.GetUsage())
	p.attainedTokens += min(answer.GetUsage().GetCompletionTokens(), p.open.maxOutputTokens)
}

// historyTokens returns the length of the history after the open call: the
// reported one, at most the bound that was known before the call ran.
func historyTokens(p *program, usage *shardpb.Usage) uint64 {
	bound := p.historyTokens + p.open.newInputTokensMax + p.open.maxOutputTokens
	if usage.GetPromptTokens() == 0 {
		return bound
	}
	return min(bound, tokensOf(usage))
}

// ChainDigest returns the digest of a history after one more exchange: SHA-256
// over the digest before and the SHA-256 of input and answer. The digest of an
// empty history is empty.
func ChainDigest(previous, input, answer []byte) []byte {
	return chain(previous, sha256.Sum256(input), sha256.Sum256(answer))
}

func chain(previous []byte, input, answer [sha256.Size]byte) []byte {
	h := sha256.New()
	h.Write(previous)
	h.Write(input[:])
	h.Write(answer[:])
	return h.Sum(nil)
}
