package contract

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
)

const sampleDocument = `customer: volcan
priority: 7
home_region: mx-gulf
budget: {tokens: 1000, period: 24h}
engine_share: 12.5%
max_concurrent_calls: 8
max_turns: 20
max_program_tokens: 5000
program_idle: 30m
models: [quote-70b]
services:
  - name: tickets
    operations:
      - name: create
      - {name: status, repeatable: true}
keys:
  - key: ik_volcan_0123456789abcdef
`

func TestDecodeReadsEachField(t *testing.T) {
	c, err := Decode([]byte(sampleDocument))
	assert.NilError(t, err)
	assert.Equal(t, c.GetCustomer(), "volcan")
	assert.Equal(t, c.GetPriority(), int32(7))
	assert.Equal(t, c.GetBudget().GetTokens(), uint64(1000))
	assert.Equal(t, c.GetBudget().GetPeriodMs(), int64(86_400_000))
	assert.Equal(t, c.GetEngineSharePermille(), uint32(125))
	assert.Equal(t, c.GetProgramIdleMs(), int64(1_800_000))
	assert.Assert(t, !c.GetServices()[0].GetOperations()[0].GetRepeatable())
	assert.Assert(t, c.GetServices()[0].GetOperations()[1].GetRepeatable())
	assert.DeepEqual(t, c.GetKeyHashes()[0], HashKey("ik_volcan_0123456789abcdef"))
}

func TestExamplesSurviveEncoding(t *testing.T) {
	paths, err := filepath.Glob("../../examples/contracts/*.yaml")
	assert.NilError(t, err)
	assert.Equal(t, len(paths), 2)
	for _, path := range paths {
		data, err := os.ReadFile(path)
		assert.NilError(t, err)
		c, err := Decode(data)
		assert.NilError(t, err, path)
		c.Version = 7
		yamlData, err := Encode(c)
		assert.NilError(t, err)
		jsonData, err := EncodeJSON(c)
		assert.NilError(t, err)
		for _, document := range [][]byte{yamlData, jsonData} {
			decoded, err := Decode(document)
			assert.NilError(t, err, string(document))
			assert.Assert(t, proto.Equal(decoded, c), string(document))
		}
	}
}

func TestDecodeErrorNamesTheInvalidField(t *testing.T) {
	cases := []struct{ name, old, replacement, field string }{
		{"unknown field", "priority: 7", "priority: 7\nprioritty: 7", "prioritty"},
		{"unknown nested field", "tokens: 1000", "tokens: 1000, per: 1h", "budget.per"},
		{"missing field", "priority: 7\n", "", "priority"},
		{"missing nested field", "tokens: 1000, ", "", "budget.tokens"},
		{"string for number", "max_turns: 20", `max_turns: "20"`, "max_turns"},
		{"fraction", "max_turns: 20", "max_turns: 20.5", "max_turns"},
		{"number for string", "customer: volcan", "customer: 7", "customer"},
		{"string for boolean", "repeatable: true", `repeatable: "yes"`, "services[0].operations[1].repeatable"},
		{"negative", "tokens: 1000", "tokens: -1", "budget.tokens"},
		{"number too large", "tokens: 1000", "tokens: 99999999999999999999", "budget.tokens"},
		{"zero turns", "max_turns: 20", "max_turns: 0", "max_turns"},
		{"priority out of range", "priority: 7", "priority: 10", "priority"},
		{"invalid duration", "period: 24h", "period: 24 hours", "budget.period"},
		{"number for duration", "period: 24h", "period: 24", "budget.period"},
		{"negative duration", "program_idle: 30m", "program_idle: -30m", "program_idle"},
		{"duration too long", "program_idle: 30m", "program_idle: 9000d", "program_idle"},
		{"share too large", "12.5%", "120%", "engine_share"},
		{"share without percent sign", "12.5%", "12.5", "engine_share"},
		{"share with two decimals", "12.5%", "12.55%", "engine_share"},
		{"share not a number", "12.5%", "NaN%", "engine_share"},
		{"invalid customer name", "customer: volcan", "customer: Volcán", "customer"},
		{"duplicate model", "[quote-70b]", "[a, a]", "models[1]"},
		{"string for list", "[quote-70b]", "quote-70b", "models"},
		{"duplicate operation", "{name: status", "{name: create", "services[0].operations[1]"},
		{"empty name", "name: tickets", `name: ""`, "services[0]"},
		{"key of another customer", "ik_volcan_", "ik_wharf_", "keys[0].key"},
		{"short secret", "0123456789abcdef", "0123", "keys[0].key"},
		{"short hash", "key: ik_volcan_0123456789abcdef", "hash: sha256:00", "keys[0].hash"},
		{"hash and key", "key: ik_volcan_0123456789abcdef", "hash: a\n    key: b", "keys[0]"},
		{"list as document", sampleDocument, "- a", "document"},
		{"empty document", sampleDocument, "", "document"},
		{"two documents", "customer: volcan", "a: b\n---\ncustomer: volcan", "document"},
		{"duplicate field", "priority: 7", "priority: 7\npriority: 8", "document"},
		{"alias", "models: [quote-70b]", "models: &m [quote-70b]\nx: *m", "document"},
		{"tag", "customer: volcan", "customer: !!binary aGk=", "document"},
		{"invalid UTF-8", "customer: volcan", "customer: \xff", "document"},
		{"document too large", "customer: volcan", "# " + strings.Repeat("x", MaxDocumentBytes), "document"},
		{"flow nesting too deep", "[quote-70b]", strings.Repeat("[", 100) + strings.Repeat("]", 100), "document"},
		{"block nesting too deep", "customer: volcan", strings.Repeat("- ", 100) + "a", "document"},
		{"duplicate JSON field", sampleDocument, `{"customer": "a", "customer": "b"}`, "document"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			assert.Assert(t, strings.Contains(sampleDocument, test.old))
			document := strings.Replace(sampleDocument, test.old, test.replacement, 1)
			_, err := Decode([]byte(document))
			var fieldError *FieldError
			assert.Assert(t, errors.As(err, &fieldError), "%v", err)
			assert.Equal(t, fieldError.Field, test.field, fieldError.Error())
		})
	}
}

func TestNewKeysParseAndBadKeysDoNot(t *testing.T) {
	key, err := NewKey("volcan-1")
	assert.NilError(t, err)
	customer, err := ParseKey(key)
	assert.NilError(t, err)
	assert.Equal(t, customer, "volcan-1")
	other, err := NewKey("volcan-1")
	assert.NilError(t, err)
	assert.Assert(t, key != other)
	_, err = NewKey("Volcán")
	assert.ErrorIs(t, err, ErrInvalidKey)
	for _, bad := range []string{"", "ik_", "ik_volcan", "ik_volcan_", "ik_volcan_short", "xx_volcan_0123456789abcdef", key + "!"} {
		_, err := ParseKey(bad)
		assert.ErrorIs(t, err, ErrInvalidKey, bad)
	}
}

// FuzzDecode checks that Decode never panics, that its errors are FieldErrors, and
// that an accepted contract is the same after encoding as YAML or JSON and decoding.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(sampleDocument))
	f.Add([]byte(`{"customer": "a", "budget": {"tokens": 1}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := Decode(data)
		if err != nil {
			var fieldError *FieldError
			assert.Assert(t, errors.As(err, &fieldError), "%v", err)
			return
		}
		for _, encode := range []func() ([]byte, error){
			func() ([]byte, error) { return Encode(c) },
			func() ([]byte, error) { return EncodeJSON(c) },
		} {
			document, err := encode()
			assert.NilError(t, err)
			decoded, err := Decode(document)
			assert.NilError(t, err, string(document))
			assert.Assert(t, proto.Equal(decoded, c), string(document))
		}
	})
}
