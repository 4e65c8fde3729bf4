package docsgen

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/ctl"
)

const (
	root          = "../.."
	operatorsPage = "docs/OPERATORS.md"
)

// readPage returns the content of a file of the module.
func readPage(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(root, path))
	assert.NilError(t, err)
	return string(data)
}

// writeGoFile writes a Go file to a temporary directory and returns its path.
func writeGoFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "p.go")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestGeneratedSectionsAreUpToDate(t *testing.T) {
	pages, err := Pages(root)
	assert.NilError(t, err)
	for _, page := range pages {
		assert.Assert(t, !page.Stale(), "%s is stale: run make docs", page.Path)
	}
}

func TestReplaceSection(t *testing.T) {
	page := "a\n<!-- begin x -->\nold\n<!-- end x -->\nb\n"
	got, err := ReplaceSection(page, "x", "new\n")
	assert.NilError(t, err)
	assert.Equal(t, got, "a\n<!-- begin x -->\n\nnew\n\n<!-- end x -->\nb\n")
	again, err := ReplaceSection(got, "x", "new")
	assert.NilError(t, err)
	assert.Equal(t, again, got)
	_, err = ReplaceSection(page, "y", "new")
	assert.ErrorContains(t, err, `no line "<!-- begin y -->"`)
}

func TestStateDiagram(t *testing.T) {
	path := writeGoFile(t, `package p

const (
	off   state = "off"
	on    state = "on"
	press       = "press"
)

func f() {
	m := stateless.NewStateMachine(off)
	m.Configure(off).Permit(press, on).Ignore(hold)
	m.Configure(on).PermitReentry(press)
}
`)
	got, err := StateDiagram(path)
	assert.NilError(t, err)
	assert.Equal(t, got, "```mermaid\nstateDiagram-v2\n    [*] --> off\n    off --> on: press\n    on --> on: press\n```\n")
}

func TestEachExitCodeIsDocumented(t *testing.T) {
	text, err := Section(readPage(t, operatorsPage), "exit codes")
	assert.NilError(t, err)
	got := map[string]string{}
	for _, row := range TableRows(text) {
		got[row[0]] += row[1]
	}
	daemon := "0"
	for _, line := range strings.Split(readPage(t, "cmd/ibistrayd/main.go"), "\n") {
		if name, code, ok := strings.Cut(line, "="); ok && strings.HasPrefix(strings.TrimSpace(name), "exit") {
			daemon += strings.TrimSpace(code)
		}
	}
	tool := ""
	for _, code := range []int{
		ctl.ExitOK, ctl.ExitFailure, ctl.ExitUsage, ctl.ExitConflict, ctl.ExitUnavailable, ctl.ExitUnauthenticated, ctl.ExitNotFound,
	} {
		tool += strconv.Itoa(code)
	}
	assert.DeepEqual(t, got, map[string]string{"ibistrayd": daemon, "ibistrayctl": tool})
}

// Each package and each design note must be named on the page that lists them.
func TestPackagesAndDesignNotesAreListed(t *testing.T) {
	lists := []struct{ page, pattern, format string }{
		{"docs/ARCHITECTURE.md", "internal/*", "`internal/%s`"},
		{"docs/ARCHITECTURE.md", "internal/policy/*", "`internal/policy/%s`"},
		{"docs/README.md", "docs/design/*.md", "(design/%s)"},
	}
	for _, list := range lists {
		page := readPage(t, list.page)
		paths, err := filepath.Glob(filepath.Join(root, list.pattern))
		assert.NilError(t, err)
		assert.Assert(t, len(paths) > 0)
		for _, path := range paths {
			name := filepath.Base(path)
			if name == "policy" {
				continue // its subpackages are listed
			}
			assert.Assert(t, strings.Contains(page, fmt.Sprintf(list.format, name)), "%s does not name %s", list.page, path)
		}
	}
}
