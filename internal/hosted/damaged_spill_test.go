package hosted

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/statehost"
)

// TestSpillIsNotSetAside guards against files that nothing reads and that stay on the disk with
// the damaged data.
func TestSpillIsNotSetAside(t *testing.T) {
	dir := t.TempDir()
	assert.NilError(t, os.Mkdir(statehost.SpillDir(dir), 0o700))
	assert.NilError(t, os.WriteFile(filepath.Join(statehost.SpillDir(dir), "file"), []byte("body"), 0o600))
	assert.NilError(t, setDataAside(dir))
	files, err := filepath.Glob(filepath.Join(dir, "*", "spill", "*"))
	assert.NilError(t, err)
	assert.Equal(t, len(files), 0)
}
