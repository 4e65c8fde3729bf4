package contract

import (
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/goccy/go-yaml"

	"ibistray.example/ibistray/proto/shardpb"
)

// document is the encoded form of a contract, which Decode accepts.
type document struct {
	Customer           string            `json:"customer" yaml:"customer"`
	Version            uint64            `json:"version,omitempty" yaml:"version,omitempty"`
	Priority           int32             `json:"priority" yaml:"priority"`
	HomeRegion         string            `json:"home_region" yaml:"home_region"`
	Suspended          bool              `json:"suspended,omitempty" yaml:"suspended,omitempty"`
	Budget             budgetDocument    `json:"budget" yaml:"budget"`
	EngineShare        string            `json:"engine_share" yaml:"engine_share"`
	MaxConcurrentCalls uint32            `json:"max_concurrent_calls" yaml:"max_concurrent_calls"`
	MaxTurns           uint32            `json:"max_turns" yaml:"max_turns"`
	MaxProgramTokens   uint64            `json:"max_program_tokens" yaml:"max_program_tokens"`
	ProgramIdle        string            `json:"program_idle" yaml:"program_idle"`
	MaxHeldTokens      uint64            `json:"max_held_tokens" yaml:"max_held_tokens"`
	Models             []string          `json:"models" yaml:"models"`
	Services           []serviceDocument `json:"services" yaml:"services"`
	Keys               []keyDocument     `json:"keys" yaml:"keys"`
}

type budgetDocument struct {
	Tokens uint64 `json:"tokens" yaml:"tokens"`
	Period string `json:"period" yaml:"period"`
}

type serviceDocument struct {
	Name       string              `json:"name" yaml:"name"`
	Operations []operationDocument `json:"operations" yaml:"operations"`
}

type operationDocument struct {
	Name       string `json:"name" yaml:"name"`
	Repeatable bool   `json:"repeatable" yaml:"repeatable"`
}

type keyDocument struct {
	Hash string `json:"hash" yaml:"hash"`
}

// Encode returns a contract as a YAML document.
func Encode(c *shardpb.Contract) ([]byte, error) {
	data, err := yaml.Marshal(newDocument(c))
	if err != nil {
		return nil, fmt.Errorf("contract: encode: %w", err)
	}
	return data, nil
}

// EncodeJSON returns a contract as an indented JSON document.
func EncodeJSON(c *shardpb.Contract) ([]byte, error) {
	data, err := json.MarshalIndent(newDocument(c), "", "  ")
	if err != nil {
		return nil, fmt.Errorf("contract: encode: %w", err)
	}
	return data, nil
}

func newDocument(c *shardpb.Contract) document {
	return document{
		Customer:           c.GetCustomer(),
		Version:            c.GetVersion(),
		Priority:           c.GetPriority(),
		HomeRegion:         c.GetHomeRegion(),
		Suspended:          c.GetSuspended(),
		Budget:             budgetDocument{Tokens: c.GetBudget().GetTokens(), Period: formatDuration(c.GetBudget().GetPeriodMs())},
		EngineShare:        formatShare(c.GetEngineSharePermille()),
		MaxConcurrentCalls: c.GetMaxConcurrentCalls(),
		MaxTurns:           c.GetMaxTurns(),
		MaxProgramTokens:   c.GetMaxProgramTokens(),
		ProgramIdle:        formatDuration(c.GetProgramIdleMs()),
		MaxHeldTokens:      c.GetMaxHeldTokens(),
		Models:             append([]string{}, c.GetModels()...),
		Services:           serviceDocuments(c.GetServices()),
		Keys:               keyDocuments(c.GetKeyHashes()),
	}
}

func serviceDocuments(services []*shardpb.Service) []serviceDocument {
	documents := []serviceDocument{}
	for _, service := range services {
		d := serviceDocument{Name: service.GetName(), Operations: []operationDocument{}}
		for _, operation := range service.GetOperations() {
			d.Operations = append(d.Operations, operationDocument{
				Name:       operation.GetName(),
				Repeatable: operation.GetRepeatable(),
			})
		}
		documents = append(documents, d)
	}
	return documents
}

func keyDocuments(hashes [][]byte) []keyDocument {
	documents := []keyDocument{}
	for _, hash := range hashes {
		documents = append(documents, keyDocument{Hash: hashPrefix + hex.EncodeToString(hash)})
	}
	return documents
}
