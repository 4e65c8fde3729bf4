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

// readChain waits until a chain may be read, of which bytes are held in memory at a time, and returns
// the function that ends the read. Error: CODE_TIMEOUT.
func (h *Host) readChain(ctx context.Context, bytes int64) (end func(), err error) {
	weight := min(bytes, h.LargeRequestBytes())
	if err := h.chainReads.Acquire(ctx, weight); err != nil {
		return nil, transport.Errorf(rpcpb.Code_CODE_TIMEOUT, "wait to read %d bytes of turns: %s", bytes, err)
	}
	return func() { h.chainReads.Release(weight) }, nil
}

// addChain adds the chain that a turn continues from to its response, or its size and checksum if
// it is long and the caller fetches it. It returns the error of a chain that cannot be read.
func (h *Host) addChain(ctx context.Context, resp *ledgerpb.Response, result ledger.Result, fetches bool) error {
	chain := result.Chain()
	size := chain.Size()
	if size == 0 {
		return nil
	}
	fetches = fetches && size > maxInlineChainBytes
	held := size
	if fetches {
		held = chain.LargestTurn()
	}
	end, err := h.readChain(ctx, held)
	if err != nil {
		return err
	}
	defer end()
	if fetches {
		resp.ChainBytes, resp.ChainChecksum = uint64(size), chain.Checksum()
	} else {
		resp.Chain = chain.Exchanges()
	}
	if err := chain.Err(); err != nil {
		return h.unreadableTurn(err)
	}
	return nil
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
	end, err := h.readChain(ctx, chain.LargestTurn())
	if err != nil {
		return nil, err
	}
	defer end()
	content := chain.Part(int64(min(req.Offset, math.MaxInt64)), chainPartBytes)
	if err := chain.Err(); err != nil {
		return nil, h.unreadableTurn(err)
	}
	return &ledgerpb.ChainPart{Content: content}, nil
}
