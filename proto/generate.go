// Package proto holds the protocol definitions. Run go generate after a change
// to a .proto file; the generated packages are committed.
package proto

//go:generate protoc --go_out=.. --go_opt=module=ibistray.example/ibistray raft.proto shard.proto rpc.proto config.proto ledger.proto fleet.proto
