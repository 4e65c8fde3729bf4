package docsgen

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/contract"
	"ibistray.example/ibistray/internal/settings"
)

// readEnvironmentFile reads an environment file in the format of systemd.
func readEnvironmentFile(t *testing.T, path string) map[string]string {
	t.Helper()
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	values := map[string]string{}
	for line := range strings.Lines(string(data)) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		name, value, ok := strings.Cut(line, "=")
		assert.Assert(t, ok, "%s: %q", path, line)
		values[name] = value
	}
	return values
}

// parseSettings returns the settings of a process with the given environment variables.
func parseSettings(t *testing.T, environment map[string]string) *settings.Settings {
	t.Helper()
	for name, value := range environment {
		t.Setenv(name, value)
	}
	var s *settings.Settings
	cmd := &cli.Command{
		Name:  "ibistrayd",
		Flags: settings.Flags(),
		Action: func(_ context.Context, cmd *cli.Command) (err error) {
			s, err = settings.FromCommand(cmd)
			return err
		},
	}
	assert.NilError(t, cmd.Run(context.Background(), []string{"ibistrayd"}))
	return s
}

func environmentFiles(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob(root + "/deploy/*/*.env")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	return files
}

func TestEnvironmentFilesAreValid(t *testing.T) {
	for _, file := range environmentFiles(t) {
		t.Run(filepath.Base(filepath.Dir(file))+"/"+filepath.Base(file), func(t *testing.T) {
			parseSettings(t, readEnvironmentFile(t, file))
		})
	}
}

// The processes of one deployment must have the same number of shards and the same control
// processes, different names and addresses, and only models and services that the contract
// of the customer lists.
func TestEnvironmentFilesOfADeploymentAreConsistent(t *testing.T) {
	type deployment struct {
		shards  uint32
		control string
		used    map[string]bool // node IDs and addresses
	}
	deployments := map[string]*deployment{}
	for _, file := range environmentFiles(t) {
		t.Run(file, func(t *testing.T) {
			s := parseSettings(t, readEnvironmentFile(t, file))
			customer := filepath.Base(filepath.Dir(file))
			d := deployments[customer]
			if d == nil {
				d = &deployment{shards: s.Shards, control: strings.Join(s.ControlAddresses, ","), used: map[string]bool{}}
				deployments[customer] = d
			}
			assert.Equal(t, s.Shards, d.shards)
			assert.Equal(t, strings.Join(s.ControlAddresses, ","), d.control)
			for _, name := range []string{s.NodeID, s.ListenAddress} {
				assert.Assert(t, !d.used[name], "%s is used twice", name)
				d.used[name] = true
			}
			checkOffers(t, customer, s)
		})
	}
}

// checkOffers checks that the contract of the customer lists all models and services that a
// process offers.
func checkOffers(t *testing.T, customer string, s *settings.Settings) {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(root, "examples/contracts", customer+".yaml"))
	assert.NilError(t, err)
	document, err := contract.Decode(data)
	assert.NilError(t, err)
	listed := map[string]bool{}
	for _, model := range document.GetModels() {
		listed[model] = true
	}
	for _, service := range document.GetServices() {
		listed[service.GetName()] = true
	}
	for _, offer := range append(append([]string{}, s.Models...), s.Services...) {
		assert.Assert(t, listed[offer], "the contract does not list %s", offer)
	}
}

// The systemd units must restart a failed process, and must not limit the time that it
// waits for running calls to end.
func TestSystemdUnits(t *testing.T) {
	units, err := filepath.Glob(root + "/deploy/*.service")
	assert.NilError(t, err)
	assert.Equal(t, len(units), 2)
	for _, unit := range units {
		data, err := os.ReadFile(unit)
		assert.NilError(t, err)
		text := string(data)
		for _, line := range []string{
			"EnvironmentFile=/etc/ibistray/ibistrayd.env",
			"Restart=on-failure",
			"KillSignal=SIGTERM",
			"TimeoutStopSec=infinity",
		} {
			assert.Assert(t, strings.Contains(text, "\n"+line+"\n"), "%s has no %s", unit, line)
		}
	}
}
