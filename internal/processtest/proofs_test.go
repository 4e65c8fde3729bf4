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

const promises = 10

// proofGroup finds a package on the page with the tests that it names.
var (
	proofGroup = regexp.MustCompile("([a-z]+(?:/[a-z]+)*):((?:\\s+`(?:Test|Fuzz)\\w+`)+)")
	proofName  = regexp.MustCompile("`((?:Test|Fuzz)\\w+)`")
	proofRow   = regexp.MustCompile(`(?m)^\| [A-Z]`)
)

// TestProofsNameExistingTests checks that each test on the page of the proofs is
// in the package that the page says, and that each promise has a row.
func TestProofsNameExistingTests(t *testing.T) {
	page, err := os.ReadFile("../../docs/PROOFS.md")
	assert.NilError(t, err)
	rows := proofRow.FindAll(page, -1)
	assert.Equal(t, len(rows), promises+1, "with the head of the table")
	sources := make(map[string]string)
	named := 0
	for _, group := range proofGroup.FindAllSubmatch(page, -1) {
		folder := string(group[1])
		if sources[folder] == "" {
			sources[folder] = testSources(t, folder)
		}
		for _, name := range proofName.FindAllSubmatch(group[2], -1) {
			named++
			assert.Assert(t, strings.Contains(sources[folder], "\nfunc "+string(name[1])+"("), "%s is not in %s", name[1], folder)
		}
	}
	others := len(proofName.FindAll(page, -1)) - named
	assert.Equal(t, others, 1, "every test but this one is named with its package")
}

// testSources returns the text of a package's tests.
func testSources(t *testing.T, folder string) string {
	t.Helper()
	var all strings.Builder
	dir := filepath.Join("..", folder)
	if strings.HasPrefix(folder, "platform") {
		dir = filepath.Join("..", "..", folder)
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
