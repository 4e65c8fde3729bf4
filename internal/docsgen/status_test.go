package docsgen

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// intConstants returns the values of the integer constants of a file by name.
func intConstants(file *ast.File) map[string]string {
	values := map[string]string{}
	ast.Inspect(file, func(n ast.Node) bool {
		if spec, ok := n.(*ast.ValueSpec); ok && len(spec.Names) == 1 && len(spec.Values) == 1 {
			if lit, ok := spec.Values[0].(*ast.BasicLit); ok && lit.Kind == token.INT {
				values[spec.Names[0].Name] = lit.Value
			}
		}
		return true
	})
	return values
}

// The page must document the HTTP status with which an entry responds to each refusal of a
// shard.
func TestDocumentedStatusesOfRefusals(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), filepath.Join(root, "internal/entry/failure.go"), nil, 0)
	assert.NilError(t, err)
	statuses := intConstants(file)
	text, err := Section(readPage(t, operatorsPage), "refusals")
	assert.NilError(t, err)
	documented := map[string]string{}
	for _, row := range TableRows(text) {
		if len(row) == 4 {
			documented[row[0]] = row[1]
		}
	}
	checked := 0
	ast.Inspect(file, func(n ast.Node) bool {
		field, ok := n.(*ast.KeyValueExpr)
		if !ok {
			return true
		}
		key, isSelector := field.Key.(*ast.SelectorExpr)
		value, isIdent := field.Value.(*ast.Ident)
		if !isSelector || !isIdent {
			return true
		}
		reason := strings.ToLower(strings.TrimPrefix(key.Sel.Name, "Reason_REASON_"))
		assert.Assert(t, strings.HasPrefix(documented[reason], statuses[value.Name]),
			"%s: the page says %q, the entry responds with %s", reason, documented[reason], statuses[value.Name])
		checked++
		return true
	})
	assert.Assert(t, checked > 0)
}
