package shard

import (
	"crypto/sha256"

	"ibistray.example/ibistray/proto/shardpb"
)

// appendHistory adds the open call and its answer to the program's history.
func appendHistory(p *program, answer *shardpb.Answer) {
	p.historyDigest = chainHashes(p.historyDigest, p.open.inputDigest, sha256.Sum256(answer.GetBody()))
	p.history = append(p.history, uint32(len(p.calls)-1)) // cannot overflow: contract.MaxTurns limits the calls
	p.historyTokens = historyTokensAfter(p, answer.GetUsage())
	p.attainedTokens += min(answer.GetUsage().GetCompletionTokens(), p.open.maxOutputTokens)
}

// historyTokensAfter returns the length of the history, in tokens, after the open
// call: the reported length, but at most the limit that was known before the call
// ran. Without a reported length it returns that limit.
func historyTokensAfter(p *program, usage *shardpb.Usage) uint64 {
	limit := p.historyTokens + p.open.newInputTokensMax + p.open.maxOutputTokens
	if usage.GetPromptTokens() == 0 {
		return limit
	}
	return min(limit, totalTokens(usage))
}

// ChainDigest returns the digest of a history after one more exchange: the SHA-256
// of the previous digest, the SHA-256 of the input and the SHA-256 of the answer,
// concatenated. The digest of an empty history is empty.
func ChainDigest(previous, input, answer []byte) []byte {
	return chainHashes(previous, sha256.Sum256(input), sha256.Sum256(answer))
}

func chainHashes(previous []byte, input, answer [sha256.Size]byte) []byte {
	h := sha256.New()
	h.Write(previous)
	h.Write(input[:])
	h.Write(answer[:])
	return h.Sum(nil)
}
