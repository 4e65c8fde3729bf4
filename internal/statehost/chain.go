package statehost

import (
	"context"
	"math"

	"ibistray.example/ibistray/internal/ledger"
	"ibistray.example/ibistray/internal/peer"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/ledgerpb"
	"ibistray.example/ibistray/proto/rpcpb"
)

const (
	// maxInlineChainBytes is the size up to which a chain is a part of the response to the turn
	// that continues from it. The parts of a longer one are fetched one after the other, so that a
	// state host holds one copy of one part for each request.
	maxInlineChainBytes = 1 << 20
	chainPartBytes      = 1 << 20
)

// addChain adds the chain that a turn continues from to its response, or its size and checksum if
// it is long and the caller fetches it. It returns the error of a chain that cannot be read.
func addChain(resp *ledgerpb.Response, result ledger.Result, fetches bool) error {
	chain := result.Chain()
	if size := chain.Size(); fetches && size > maxInlineChainBytes {
		resp.ChainBytes, resp.ChainChecksum = uint64(size), chain.Checksum()
	} else {
		resp.Chain = chain.Exchanges()
	}
	return chain.Err()
}

// handleChain returns a part of the chain of a kept turn. Only the leader of the ledger group can
// respond: another host may not have the turn yet.
func (h *Host) handleChain(ctx context.Context, req *ledgerpb.ChainRequest) (*ledgerpb.ChainPart, error) {
	if err := h.replicas.ReadBarrier(ctx, LedgerGroup); err != nil {
		return nil, peer.RPCError(h.replicas, LedgerGroup, err)
	}
	chain, found := h.ledger.Chain(req.Account, req.CallId)
	if !found {
		return nil, transport.Errorf(rpcpb.Code_CODE_INVALID, "no such turn is kept any more")
	}
	content := chain.Part(int64(min(req.Offset, math.MaxInt64)), chainPartBytes)
	if err := chain.Err(); err != nil {
		return nil, h.unreadableTurn(err)
	}
	return &ledgerpb.ChainPart{Content: content}, nil
}
