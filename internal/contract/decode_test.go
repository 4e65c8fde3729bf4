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

const sample = `customer: volcan
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
	c, err := Decode([]byte(sample))
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

func TestExamplesDecodeAndReadBack(t *testing.T) {
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
			again, err := Decode(document)
			assert.NilError(t, err, string(document))
			assert.Assert(t, proto.Equal(again, c), string(document))
		}
	}
}

func TestDecodeNamesTheWrongField(t *testing.T) {
	cases := []struct{ name, old, replacement, field string }{
		{"unknown field", "priority: 7", "priority: 7\nprioritty: 7", "prioritty"},
		{"unknown nested field", "tokens: 1000", "tokens: 1000, per: 1h", "budget.per"},
		{"missing", "priority: 7\n", "", "priority"},
		{"missing nested", "tokens: 1000, ", "", "budget.tokens"},
		{"text for number", "max_turns: 20", `max_turns: "20"`, "max_turns"},
		{"fraction", "max_turns: 20", "max_turns: 20.5", "max_turns"},
		{"number for text", "customer: volcan", "customer: 7", "customer"},
		{"boolean as text", "repeatable: true", `repeatable: "yes"`, "services[0].operations[1].repeatable"},
		{"negative", "tokens: 1000", "tokens: -1", "budget.tokens"},
		{"too large", "tokens: 1000", "tokens: 99999999999999999999", "budget.tokens"},
		{"zero turns", "max_turns: 20", "max_turns: 0", "max_turns"},
		{"priority", "priority: 7", "priority: 10", "priority"},
		{"duration", "period: 24h", "period: 24 hours", "budget.period"},
		{"duration as number", "period: 24h", "period: 24", "budget.period"},
		{"negative duration", "program_idle: 30m", "program_idle: -30m", "program_idle"},
		{"absurd duration", "program_idle: 30m", "program_idle: 9000d", "program_idle"},
		{"share", "12.5%", "120%", "engine_share"},
		{"share without sign", "12.5%", "12.5", "engine_share"},
		{"share too fine", "12.5%", "12.55%", "engine_share"},
		{"share not a number", "12.5%", "NaN%", "engine_share"},
		{"customer", "customer: volcan", "customer: Volcán", "customer"},
		{"repeated model", "[quote-70b]", "[a, a]", "models[1]"},
		{"model list", "[quote-70b]", "quote-70b", "models"},
		{"repeated operation", "{name: status", "{name: create", "services[0].operations[1]"},
		{"empty name", "name: tickets", `name: ""`, "services[0]"},
		{"key of another customer", "ik_volcan_", "ik_wharf_", "keys[0].key"},
		{"short secret", "0123456789abcdef", "0123", "keys[0].key"},
		{"hash", "key: ik_volcan_0123456789abcdef", "hash: sha256:00", "keys[0].hash"},
		{"both", "key: ik_volcan_0123456789abcdef", "hash: a\n    key: b", "keys[0]"},
		{"list as document", sample, "- a", "document"},
		{"empty", sample, "", "document"},
		{"two documents", "customer: volcan", "a: b\n---\ncustomer: volcan", "document"},
		{"repeated field", "priority: 7", "priority: 7\npriority: 8", "document"},
		{"alias", "models: [quote-70b]", "models: &m [quote-70b]\nx: *m", "document"},
		{"tag", "customer: volcan", "customer: !!binary aGk=", "document"},
		{"encoding", "customer: volcan", "customer: \xff", "document"},
		{"size", "customer: volcan", "# " + strings.Repeat("x", MaxDocumentBytes), "document"},
		{"depth", "[quote-70b]", strings.Repeat("[", 100) + strings.Repeat("]", 100), "document"},
		{"depth of a block", "customer: volcan", strings.Repeat("- ", 100) + "a", "document"},
		{"repeated JSON field", sample, `{"customer": "a", "customer": "b"}`, "document"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			assert.Assert(t, strings.Contains(sample, tc.old))
			document := strings.Replace(sample, tc.old, tc.replacement, 1)
			_, err := Decode([]byte(document))
			var wrongField *FieldError
			assert.Assert(t, errors.As(err, &wrongField), "%v", err)
			assert.Equal(t, wrongField.Field, tc.field, wrongField.Error())
		})
	}
}

func TestKeys(t *testing.T) {
	key, err := NewKey("volcan-1")
	assert.NilError(t, err)
	customer, err := ParseKey(key)
	assert.NilError(t, err)
	assert.Equal(t, customer, "volcan-1")
	other, err := NewKey("volcan-1")
	assert.NilError(t, err)
	assert.Assert(t, key != other)
	_, err = NewKey("Volcán")
	assert.ErrorIs(t, err, ErrBadKey)
	for _, bad := range []string{"", "ik_", "ik_volcan", "ik_volcan_", "ik_volcan_short", "xx_volcan_0123456789abcdef", key + "!"} {
		_, err := ParseKey(bad)
		assert.ErrorIs(t, err, ErrBadKey, bad)
	}
}

// FuzzDecode checks that Decode never panics, and that what it accepts is valid
// and reads back from both encodings.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(sample))
	f.Add([]byte(`{"customer": "a", "budget": {"tokens": 1}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := Decode(data)
		if err != nil {
			var wrongField *FieldError
			assert.Assert(t, errors.As(err, &wrongField), "%v", err)
			return
		}
		for _, encode := range []func() ([]byte, error){
			func() ([]byte, error) { return Encode(c) },
			func() ([]byte, error) { return EncodeJSON(c) },
		} {
			document, err := encode()
			assert.NilError(t, err)
			again, err := Decode(document)
			assert.NilError(t, err, string(document))
			assert.Assert(t, proto.Equal(again, c), string(document))
		}
	})
}
