package control

import (
	"context"
	"errors"

	"ibistray.example/ibistray/internal/peer"
	"ibistray.example/ibistray/internal/placement"
	"ibistray.example/ibistray/internal/shard"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/rpcpb"
)

// handleHistory returns the history of a program, read on the leader of its shard.
func (s *Service) handleHistory(ctx context.Context, req *rpcpb.HistoryRequest) (*rpcpb.HistoryResponse, error) {
	state, group, err := s.shardOf(req.Customer)
	if err != nil {
		return nil, err
	}
	if err := s.groups.ReadBarrier(ctx, group); err != nil {
		return nil, peer.RPCError(s.groups, group, err)
	}
	view, err := state.History(req.Customer, req.Program, req.AfterTurn)
	if err != nil {
		return nil, readError(err)
	}
	return &rpcpb.HistoryResponse{Items: view.Items, Digest: view.Digest}, nil
}

// readError converts an error of a shard read to an error for the caller.
func readError(err error) error {
	if errors.Is(err, shard.ErrUnknownCustomer) || errors.Is(err, shard.ErrUnknownProgram) {
		return transport.Errorf(rpcpb.Code_CODE_INVALID, "%s", err)
	}
	return err
}

// handleView returns contracts, budgets and programs to operators and callers: those
// of one customer, read on the leader of its shard, or those of all customers whose
// shards this host leads.
func (s *Service) handleView(ctx context.Context, req *rpcpb.ViewRequest) (*rpcpb.ViewResponse, error) {
	if req.Customer == "" {
		return s.viewAll(ctx), nil
	}
	state, group, err := s.shardOf(req.Customer)
	if err != nil {
		return nil, err
	}
	if err := s.groups.ReadBarrier(ctx, group); err != nil {
		return nil, peer.RPCError(s.groups, group, err)
	}
	if req.KeyHash != nil && !state.Authenticated(req.Customer, req.KeyHash) {
		return nil, transport.Errorf(rpcpb.Code_CODE_UNAUTHENTICATED, "unknown customer or key")
	}
	resp := new(rpcpb.ViewResponse)
	addCustomer(resp, state, req.Customer, req.Program)
	return resp, nil
}

func (s *Service) viewAll(ctx context.Context) *rpcpb.ViewResponse {
	resp := new(rpcpb.ViewResponse)
	for index, state := range s.shards {
		if state == nil || s.groups.ReadBarrier(ctx, placement.GroupOf(uint32(index))) != nil {
			continue
		}
		for _, contract := range state.Contracts() {
			addCustomer(resp, state, contract.Customer, "")
		}
	}
	return resp
}

// addCustomer adds the contract, the budget and the programs of a customer to a
// response. It adds only the named program unless program is "".
func addCustomer(resp *rpcpb.ViewResponse, state *shard.State, customer, program string) {
	contract := state.Contract(customer)
	if contract == nil {
		return
	}
	resp.Contracts = append(resp.Contracts, contract)
	if budget, err := state.Budget(customer); err == nil {
		resp.Budgets = append(resp.Budgets, &rpcpb.CustomerBudget{Customer: customer, Budget: budget})
	}
	if program == "" {
		resp.Programs = append(resp.Programs, state.Programs(customer)...)
		return
	}
	if view, err := state.Program(customer, program); err == nil {
		resp.Programs = append(resp.Programs, view)
	}
}
