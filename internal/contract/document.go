package contract

import (
	"encoding/hex"
	"fmt"
	"strings"

	"ibistray.example/ibistray/proto/shardpb"
)

// hashPrefix is the prefix of the hexadecimal hash of a key.
const hashPrefix = "sha256:"

// contractFromTree converts a parsed document to a contract and checks its fields
// and their types.
func contractFromTree(tree any) (*shardpb.Contract, error) {
	var err error
	f := newFields("", tree, &err,
		"customer", "version", "priority", "home_region", "suspended", "budget", "engine_share",
		"max_concurrent_calls", "max_turns", "max_program_tokens", "program_idle", "max_held_tokens",
		"models", "services", "keys")
	f.require("customer", "priority", "home_region", "budget", "engine_share",
		"max_concurrent_calls", "max_turns", "max_program_tokens", "program_idle", "keys")
	c := &shardpb.Contract{
		Customer:            f.text("customer"),
		Version:             f.integer("version", MaxTokens),
		Priority:            int32(f.integer("priority", MaxPriority)), // at most MaxPriority
		HomeRegion:          f.text("home_region"),
		Suspended:           f.boolean("suspended"),
		EngineSharePermille: f.share("engine_share"),
		MaxConcurrentCalls:  uint32(f.integer("max_concurrent_calls", MaxConcurrentCalls)), // at most MaxConcurrentCalls
		MaxTurns:            uint32(f.integer("max_turns", MaxTurns)),                      // at most MaxTurns
		MaxProgramTokens:    f.integer("max_program_tokens", MaxTokens),
		ProgramIdleMs:       f.duration("program_idle"),
		MaxHeldTokens:       f.integer("max_held_tokens", MaxTokens),
		Models:              f.texts("models"),
		Budget:              f.budget("budget"),
		Services:            f.services("services"),
	}
	c.KeyHashes = f.keys("keys", c.GetCustomer())
	if err != nil {
		return nil, err
	}
	return c, nil
}

// duration reads a duration in milliseconds.
func (f *fields) duration(name string) int64 {
	if !f.has(name) {
		return 0
	}
	text, _ := f.values[name].(string)
	ms, ok := parseDuration(text)
	if !ok {
		f.fail(f.path+name, "a duration in whole milliseconds, like 90s, 24h or 7d")
	}
	return ms
}

// share reads a percentage in permille.
func (f *fields) share(name string) uint32 {
	if !f.has(name) {
		return 0
	}
	text, _ := f.values[name].(string)
	permille, ok := parseShare(text)
	if !ok {
		f.fail(f.path+name, "a percentage of 0.1%% to 100%% with at most one decimal, like 12.5%%")
	}
	return permille
}

// budget reads an object with tokens and period. A budget without a period never
// resets.
func (f *fields) budget(name string) *shardpb.Budget {
	if !f.has(name) {
		return nil
	}
	b := newFields(f.path+name+".", f.values[name], f.err, "tokens", "period")
	b.require("tokens")
	return &shardpb.Budget{Tokens: b.integer("tokens", MaxTokens), PeriodMs: b.duration("period")}
}

func (f *fields) services(name string) []*shardpb.Service {
	var services []*shardpb.Service
	for i, item := range f.list(name) {
		path := fmt.Sprintf("%s%s[%d].", f.path, name, i)
		s := newFields(path, item, f.err, "name", "operations")
		s.require("name", "operations")
		services = append(services, &shardpb.Service{Name: s.text("name"), Operations: s.operations("operations")})
	}
	return services
}

// operations reads the operations of a service. An operation is not repeatable
// unless the document says so.
func (f *fields) operations(name string) []*shardpb.Operation {
	var operations []*shardpb.Operation
	for i, item := range f.list(name) {
		path := fmt.Sprintf("%s%s[%d].", f.path, name, i)
		o := newFields(path, item, f.err, "name", "repeatable")
		o.require("name")
		operations = append(operations, &shardpb.Operation{Name: o.text("name"), Repeatable: o.boolean("repeatable")})
	}
	return operations
}

// keys reads the keys of a customer, each given as its hash or as the key itself, and
// returns their hashes.
func (f *fields) keys(name, customer string) [][]byte {
	var hashes [][]byte
	for i, item := range f.list(name) {
		path := fmt.Sprintf("%s%s[%d].", f.path, name, i)
		k := newFields(path, item, f.err, "hash", "key")
		if k.has("hash") == k.has("key") {
			k.fail(strings.TrimSuffix(path, "."), "an object with either hash or key")
		}
		if k.has("hash") {
			hashes = append(hashes, k.hash("hash"))
		} else {
			hashes = append(hashes, k.key("key", customer))
		}
	}
	return hashes
}

// hash reads the hash of a key.
func (f *fields) hash(name string) []byte {
	digits, ok := strings.CutPrefix(f.text(name), hashPrefix)
	hash, err := hex.DecodeString(digits)
	if !ok || err != nil || len(hash) != hashBytes {
		f.fail(f.path+name, "%s followed by %d hexadecimal digits", hashPrefix, 2*hashBytes)
	}
	return hash
}

// key reads a key of the customer and returns its hash.
func (f *fields) key(name, customer string) []byte {
	owner, err := ParseKey(f.text(name))
	otherOwner := ValidCustomer(customer) && owner != customer
	if err != nil || otherOwner {
		f.fail(f.path+name, "a key of the form ik_%s_<secret> with a secret of %s", customer, secretForm)
	}
	return HashKey(f.text(name))
}
