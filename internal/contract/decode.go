package contract

import (
	"encoding/json"
	"unicode/utf8"

	"ibistray.example/ibistray/proto/shardpb"
)

// maxNestingDepth limits the nesting of a document. It is checked before parsing.
const maxNestingDepth = 64

// Decode parses and validates a contract document in YAML or JSON. Each error is a
// *FieldError; its field is "document" for an error of the document as a whole. Keys
// in plain text are hashed, and the contract contains only the hashes.
func Decode(data []byte) (*shardpb.Contract, error) {
	tree, err := parse(data)
	if err != nil {
		return nil, err
	}
	c, err := contractFromTree(tree)
	if err != nil {
		return nil, err
	}
	if err := Validate(c); err != nil {
		return nil, err
	}
	return c, nil
}

// parse returns the document as maps, slices and scalar values.
func parse(data []byte) (any, error) {
	if len(data) > MaxDocumentBytes {
		return nil, newFieldError("document", "at most %d bytes", MaxDocumentBytes)
	}
	if !utf8.Valid(data) {
		return nil, newFieldError("document", "valid UTF-8")
	}
	if nestingBound(data) > maxNestingDepth {
		return nil, newFieldError("document", "nested at most %d levels deep", maxNestingDepth)
	}
	if json.Valid(data) {
		return parseJSON(data)
	}
	return parseYAML(data)
}

// nestingBound returns an upper bound of the nesting depth: the depth of the flow
// collections plus the number of block collections that are opened on one line.
func nestingBound(data []byte) int {
	deepest, flowDepth, blockDepth := 0, 0, 0
	for i, b := range data {
		switch {
		case b == '[' || b == '{':
			flowDepth++
		case b == ']' || b == '}':
			flowDepth = max(flowDepth-1, 0)
		case b == '\n':
			blockDepth = 0
		case opensBlock(data, i):
			blockDepth++
		}
		deepest = max(deepest, flowDepth+blockDepth)
	}
	return deepest
}

// opensBlock reports whether the byte at index i opens a block collection: an
// indicator character that is followed by white space.
func opensBlock(data []byte, i int) bool {
	if data[i] != '-' && data[i] != '?' && data[i] != ':' {
		return false
	}
	return i+1 < len(data) && (data[i+1] == ' ' || data[i+1] == '\t')
}
