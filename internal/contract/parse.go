package contract

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// parseYAML parses a YAML document and rejects anchors, aliases and tags.
func parseYAML(data []byte) (any, error) {
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, syntaxError(err)
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		return nil, newFieldError("document", "exactly one YAML or JSON document")
	}
	finder := new(featureFinder)
	ast.Walk(finder, file.Docs[0].Body)
	if finder.found != "" {
		return nil, newFieldError("document", "free of %s", finder.found)
	}
	var tree any
	if err := yaml.NodeToValue(file.Docs[0].Body, &tree); err != nil {
		return nil, syntaxError(err)
	}
	return tree, nil
}

// syntaxError returns a FieldError with the first line of the parser's message, which
// has the position of the error.
func syntaxError(err error) error {
	message, _, _ := strings.Cut(strings.TrimSpace(err.Error()), "\n")
	return newFieldError("document", "valid YAML or JSON: %s", message)
}

// featureFinder detects YAML features that documents must not use.
type featureFinder struct {
	found string // name of the feature, or ""
}

// Visit implements ast.Visitor.
func (f *featureFinder) Visit(node ast.Node) ast.Visitor {
	switch node.(type) {
	case *ast.AnchorNode, *ast.AliasNode, *ast.MergeKeyNode:
		f.found = "anchors and aliases"
	case *ast.TagNode:
		f.found = "tags"
	}
	return f
}

// parseJSON parses a JSON document and rejects duplicate names in an object.
func parseJSON(data []byte) (any, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	return jsonValue(decoder, "document")
}

func jsonValue(decoder *json.Decoder, path string) (any, error) {
	token, err := decoder.Token()
	if err != nil {
		return nil, syntaxError(err)
	}
	switch token {
	case json.Delim('{'):
		return jsonObject(decoder, path)
	case json.Delim('['):
		return jsonArray(decoder, path)
	default:
		return token, nil
	}
}

func jsonObject(decoder *json.Decoder, path string) (any, error) {
	object := make(map[string]any)
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return nil, syntaxError(err)
		}
		name := fmt.Sprint(token)
		if _, ok := object[name]; ok {
			return nil, newFieldError(path, "free of duplicate names, %q is given twice", name)
		}
		if object[name], err = jsonValue(decoder, name); err != nil {
			return nil, err
		}
	}
	_, err := decoder.Token()
	return object, err
}

func jsonArray(decoder *json.Decoder, path string) (any, error) {
	array := []any{}
	for decoder.More() {
		value, err := jsonValue(decoder, path)
		if err != nil {
			return nil, err
		}
		array = append(array, value)
	}
	_, err := decoder.Token()
	return array, err
}
