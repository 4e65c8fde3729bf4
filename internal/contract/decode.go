package contract

import (
	"encoding/json"
	"unicode/utf8"

	"ibistray.example/ibistray/proto/shardpb"
)

// Bounds of a document's structure.
const maxDepth = 64

// Decode reads a contract document in YAML or JSON and validates it. Each error
// is a *FieldError that names the field and what is allowed; "document" stands
// for the whole. The keys' secrets are hashed at once and not kept.
func Decode(data []byte) (*shardpb.Contract, error) {
	tree, err := parse(data)
	if err != nil {
		return nil, err
	}
	c, err := fromTree(tree)
	if err != nil {
		return nil, err
	}
	if err := Validate(c); err != nil {
		return nil, err
	}
	return c, nil
}

// parse returns the document as maps, lists and scalars.
func parse(data []byte) (any, error) {
	if len(data) > MaxDocumentBytes {
		return nil, wrong("document", "at most %d bytes", MaxDocumentBytes)
	}
	if !utf8.Valid(data) {
		return nil, wrong("document", "UTF-8")
	}
	if nesting(data) > maxDepth {
		return nil, wrong("document", "nested at most %d deep", maxDepth)
	}
	if json.Valid(data) {
		return parseJSON(data)
	}
	return parseYAML(data)
}

// nesting returns an upper bound of the depth of the document's flow
// collections and of the block collections that one line opens.
func nesting(data []byte) int {
	deepest, flow, block := 0, 0, 0
	for i, b := range data {
		switch {
		case b == '[' || b == '{':
			flow++
		case b == ']' || b == '}':
			flow = max(flow-1, 0)
		case b == '\n':
			block = 0
		case opensBlock(data, i):
			block++
		}
		deepest = max(deepest, flow+block)
	}
	return deepest
}

// opensBlock reports whether the byte is an indicator of a block collection,
// which white space follows.
func opensBlock(data []byte, i int) bool {
	if data[i] != '-' && data[i] != '?' && data[i] != ':' {
		return false
	}
	return i+1 < len(data) && (data[i+1] == ' ' || data[i+1] == '\t')
}
