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

// variables reads an environment file as a service manager does.
func variables(t *testing.T, path string) map[string]string {
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

// parsed returns the settings of a process that runs in an environment.
func parsed(t *testing.T, environment map[string]string) *settings.Settings {
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
			parsed(t, variables(t, file))
		})
	}
}

// The processes of one deployment agree on shards and control hosts, have names
// and addresses of their own, and offer only what the customer's contract lists.
func TestEnvironmentFilesOfOneDeploymentFit(t *testing.T) {
	type deployment struct {
		shards uint32
		peers  string
		names  map[string]bool
	}
	deployments := map[string]*deployment{}
	for _, file := range environmentFiles(t) {
		t.Run(file, func(t *testing.T) {
			s := parsed(t, variables(t, file))
			folder := filepath.Base(filepath.Dir(file))
			d := deployments[folder]
			if d == nil {
				d = &deployment{shards: s.Shards, peers: strings.Join(s.ControlAddresses, ","), names: map[string]bool{}}
				deployments[folder] = d
			}
			assert.Equal(t, s.Shards, d.shards)
			assert.Equal(t, strings.Join(s.ControlAddresses, ","), d.peers)
			for _, name := range []string{s.NodeID, s.ListenAddress} {
				assert.Assert(t, !d.names[name], "%s is used twice", name)
				d.names[name] = true
			}
			checkOffers(t, folder, s)
		})
	}
}

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

// The units bound neither the drain nor the restarts.
func TestUnits(t *testing.T) {
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
