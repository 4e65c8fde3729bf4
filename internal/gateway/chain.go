package gateway

import (
	"context"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"ibistray.example/ibistray/internal/membudget"
	"ibistray.example/ibistray/internal/policy/memory"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/ledgerpb"
)

// errChainBroken says that the fetched chain differs from the one that the ledger announced.
var errChainBroken = errors.New("gateway: the earlier turns arrived incomplete or changed")

// longChain describes earlier turns that are too long for one message.
type longChain struct {
	size     int64 // of their inputs and outputs in bytes, 0: there is none
	checksum uint64
}

// fetchChain implements ledgerClient.
func (l *remoteLedger) fetchChain(ctx context.Context, account, lastTurn string, chain longChain, content []byte) ([]byte, error) {
	start := len(content)
	for fetched := int64(0); fetched < chain.size; {
		part := new(ledgerpb.ChainPart)
		req := &ledgerpb.ChainRequest{Account: account, CallId: lastTurn, Offset: uint64(fetched)}
		if err := l.client.Call(ctx, &l.leader, transport.MethodLedgerChain, 0, req, part); err != nil {
			return nil, err
		}
		fetched += int64(len(part.Content))
		if len(part.Content) == 0 || fetched > chain.size {
			return nil, fmt.Errorf("%w: %d of %d bytes", errChainBroken, fetched, chain.size)
		}
		content = append(content, part.Content...)
	}
	if sum := xxhash.Sum64(content[start:]); sum != chain.checksum {
		return nil, fmt.Errorf("%w: checksum %x, want %x", errChainBroken, sum, chain.checksum)
	}
	return content, nil
}

// prependHistory puts the earlier turns before the request body. Memory for the new body is taken
// before a long chain is fetched.
func (c *call) prependHistory(ctx context.Context, previous history) error {
	if previous.long.size == 0 {
		if err := c.holdHistory(previous.turns); err != nil {
			return err
		}
		c.prependTurns(previous.turns)
		return nil
	}
	size := previous.long.size + int64(len(c.body))
	if c.memory.Limited() && !c.memory.Grow(membudget.Histories, size, memory.Request) {
		return errNoMemory
	}
	body, err := c.g.ledger.fetchChain(ctx, c.accountName(), c.meta.PreviousTurn, previous.long, make([]byte, 0, size))
	if err != nil {
		return err
	}
	c.request.Body = append(body, c.body...)
	return nil
}
