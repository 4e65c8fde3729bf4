package hosted

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/spill"
	"ibistray.example/ibistray/internal/statehost"
)

// TestDamagedSpillDoesNotEndTheProcess guards against a process that ends when it cannot read a
// file that a new opening does not need.
func TestDamagedSpillDoesNotEndTheProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		other, opened := errors.New("other failure"), 0
		err := reopenOnFailure(hclog.NewNullLogger(), nil, writable, func() error {
			if opened++; opened == 1 {
				return fmt.Errorf("write snapshot: %w", spill.ErrUnreadable)
			}
			return other
		})
		assert.ErrorIs(t, err, other)
		assert.Equal(t, opened, 2)
	})
}

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
