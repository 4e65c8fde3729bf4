package docsgen

import (
	"go/parser"
	"go/token"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// The page for callers must name each request header that an entry reads.
func TestEachRequestHeaderIsDocumented(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), filepath.Join(root, "internal/entry/request.go"), nil, 0)
	assert.NilError(t, err)
	page := readPage(t, "docs/CALLERS.md")
	found := 0
	for name, value := range stringConstants(file) {
		if strings.HasPrefix(name, "header") {
			found++
			assert.Assert(t, strings.Contains(page, "`"+value), value)
		}
	}
	assert.Assert(t, found > 0)
}
