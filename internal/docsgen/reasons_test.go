package docsgen

import (
	"maps"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// documentedNames returns the sorted names in the first column of the tables of a section. A
// cell may contain several names, separated by commas.
func documentedNames(t *testing.T, page, section string) []string {
	t.Helper()
	text, err := Section(page, section)
	assert.NilError(t, err)
	var names []string
	for _, row := range TableRows(text) {
		for name := range strings.SplitSeq(row[0], ",") {
			names = append(names, strings.Trim(strings.TrimSpace(name), "`"))
		}
	}
	slices.Sort(names)
	return names
}

func TestEachReasonIsDocumented(t *testing.T) {
	reasons, err := CollectReasons(root)
	assert.NilError(t, err)
	page := readPage(t, operatorsPage)
	for section, names := range map[string]map[string]bool{
		"refusals": reasons.Refusals,
		"retries":  reasons.Retries,
		"releases": reasons.Releases,
	} {
		t.Run(section, func(t *testing.T) {
			assert.DeepEqual(t, documentedNames(t, page, section), slices.Sorted(maps.Keys(names)))
		})
	}
}

func TestEachAdmissionReasonIsDocumented(t *testing.T) {
	reasons := map[string]bool{}
	assert.NilError(t, addConstants(reasons, root+"/internal/policy/admit/admit.go", "Reason"))
	delete(reasons, "")
	page := readPage(t, operatorsPage)
	for name := range reasons {
		assert.Assert(t, strings.Contains(page, "`"+name+"`"), name)
	}
}

func TestCounterWithUnknownLabelIsRejected(t *testing.T) {
	r := &Reasons{Refusals: map[string]bool{}, Retries: map[string]bool{}, Releases: map[string]bool{}}
	path := writeGoFile(t, "package p\n\nfunc f(m metrics) { m.Retries.WithLabelValues(elsewhere()).Inc() }\n")
	assert.ErrorContains(t, r.addFile(path), "counter Retries has a label from an unknown source: elsewhere()")
}

func TestLiteralReasonsAreCollected(t *testing.T) {
	r := &Reasons{Refusals: map[string]bool{}, Retries: map[string]bool{}, Releases: map[string]bool{}}
	path := writeGoFile(t, `package p

func f(m metrics) {
	m.Retries.WithLabelValues("again").Inc()
	fail(&Failure{Reason: "wrong"}, &Damage{Reason: "not a name"})
}
`)
	assert.NilError(t, r.addFile(path))
	assert.DeepEqual(t, r.Retries, map[string]bool{"again": true})
	assert.DeepEqual(t, r.Refusals, map[string]bool{"wrong": true})
}
