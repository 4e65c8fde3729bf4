package contract

import (
	"encoding/hex"
	"fmt"
	"strings"

	"ibistray.example/ibistray/proto/shardpb"
)

// hashPrefix marks a key that is given as its hash.
const hashPrefix = "sha256:"

// fromTree turns a parsed document into a contract.
func fromTree(tree any) (*shardpb.Contract, error) {
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
		MaxConcurrentCalls:  uint32(f.integer("max_concurrent_calls", MaxConcurrent)), // bounded
		MaxTurns:            uint32(f.integer("max_turns", MaxTurns)),                 // bounded
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

func (f *fields) share(name string) uint32 {
	if !f.has(name) {
		return 0
	}
	text, _ := f.values[name].(string)
	permille, ok := parseShare(text)
	if !ok {
		f.fail(f.path+name, "a share of 0.1%% to 100%%, like 12.5%%")
	}
	return permille
}

// budget reads tokens and period. A budget without a period is for all time.
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

// operations reads the operations of a service. One that does not say
// repeatable may not be repeated.
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

// keys reads each key as its hash or as the key itself.
func (f *fields) keys(name, customer string) [][]byte {
	var hashes [][]byte
	for i, item := range f.list(name) {
		path := fmt.Sprintf("%s%s[%d].", f.path, name, i)
		k := newFields(path, item, f.err, "hash", "key")
		if k.has("hash") == k.has("key") {
			k.fail(strings.TrimSuffix(path, "."), "either hash or key")
		}
		if k.has("hash") {
			hashes = append(hashes, k.hash("hash"))
		} else {
			hashes = append(hashes, k.key("key", customer))
		}
	}
	return hashes
}

func (f *fields) hash(name string) []byte {
	digits, ok := strings.CutPrefix(f.text(name), hashPrefix)
	hash, err := hex.DecodeString(digits)
	if !ok || err != nil || len(hash) != hashBytes {
		f.fail(f.path+name, "%s and %d hexadecimal digits", hashPrefix, 2*hashBytes)
	}
	return hash
}

func (f *fields) key(name, customer string) []byte {
	owner, err := ParseKey(f.text(name))
	otherOwner := ValidCustomer(customer) && owner != customer
	if err != nil || otherOwner {
		f.fail(f.path+name, "a key of the form ik_%s_<secret>, the secret %s", customer, secretForm)
	}
	return HashKey(f.text(name))
}
