package processtest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/hashicorp/go-hclog"

	"ibistray.example/ibistray/internal/httpserver"
)

// binDir is the directory of the programs under test, which TestMain builds.
var binDir string

func TestMain(m *testing.M) {
	httpserver.SetLogger(hclog.NewNullLogger())
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "ibistray-processtest-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binDir = dir
	buildCommand := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "ibistray.example/ibistray/cmd/...")
	if output, err := buildCommand.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the programs: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}
