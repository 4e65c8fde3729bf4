package compare

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

func TestBoolOrdersFalseFirst(t *testing.T) {
	list := []bool{true, false, true, false}
	slices.SortFunc(list, Bool)
	assert.DeepEqual(t, list, []bool{false, false, true, true})
}
