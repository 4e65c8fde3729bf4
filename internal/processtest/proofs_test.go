package processtest

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// promises is the number of promises on the page.
const promises = 10

// proofGroup matches a package on the page with the tests that are named after it,
// proofName matches one test, and proofRow the start of a row of the table.
var (
	proofGroup = regexp.MustCompile("([a-z]+(?:/[a-z]+)*):((?:\\s+`(?:Test|Fuzz)\\w+`)+)")
	proofName  = regexp.MustCompile("`((?:Test|Fuzz)\\w+)`")
	proofRow   = regexp.MustCompile(`(?m)^\| [A-Z]`)
)

// TestProofsNameExistingTests checks that each test that docs/PROOFS.md names exists in
// the package that it names, and that each promise has a row.
func TestProofsNameExistingTests(t *testing.T) {
	page, err := os.ReadFile("../../docs/PROOFS.md")
	assert.NilError(t, err)
	rows := proofRow.FindAll(page, -1)
	assert.Equal(t, len(rows), promises+1, "with the head of the table")
	sources := make(map[string]string)
	named := 0
	for _, group := range proofGroup.FindAllSubmatch(page, -1) {
		directory := string(group[1])
		if sources[directory] == "" {
			sources[directory] = testSources(t, directory)
		}
		for _, name := range proofName.FindAllSubmatch(group[2], -1) {
			named++
			assert.Assert(t, strings.Contains(sources[directory], "\nfunc "+string(name[1])+"("), "%s is not in %s", name[1], directory)
		}
	}
	others := len(proofName.FindAll(page, -1)) - named
	assert.Equal(t, others, 1, "every test but this one is named with its package")
}

// testSources returns the source text of a package's test files. Directories that begin with
// "platform" or "proto" are in the root of the repository, others in internal.
func testSources(t *testing.T, directory string) string {
	t.Helper()
	var all strings.Builder
	dir := filepath.Join("..", directory)
	if strings.HasPrefix(directory, "platform") || strings.HasPrefix(directory, "proto") {
		dir = filepath.Join("..", "..", directory)
	}
	files, err := fs.Glob(os.DirFS(dir), "*_test.go")
	assert.NilError(t, err)
	for _, file := range files {
		data, err := os.ReadFile(filepath.Join(dir, file))
		assert.NilError(t, err)
		all.WriteString(string(data))
	}
	return all.String()
}
