package settings

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/placement"
)

func parse(t *testing.T, args ...string) (*Settings, error) {
	t.Helper()
	var s *Settings
	cmd := &cli.Command{
		Name:      "ibistrayd",
		Flags:     Flags(),
		Writer:    io.Discard,
		ErrWriter: io.Discard,
		Action: func(_ context.Context, cmd *cli.Command) error {
			var err error
			s, err = FromCommand(cmd)
			return err
		},
	}
	err := cmd.Run(t.Context(), append([]string{"ibistrayd"}, args...))
	return s, err
}

var sidecarArgs = []string{
	"--roles", "sidecar", "--node-id", "s1", "--listen", "127.0.0.1:7001", "--http", "127.0.0.1:7101",
	"--control", "127.0.0.1:7002", "--server-id", "engine-1", "--backend-url", "http://127.0.0.1:8000", "--models", "m1,m2",
}

var controlArgs = []string{
	"--roles", "control,entry", "--node-id", "c1", "--listen", "127.0.0.1:7001", "--http", "127.0.0.1:7101",
	"--data-dir", "/tmp/x", "--replica-id", "1", "--operator-key-file", "/tmp/keys",
	"--control-peers", "1=127.0.0.1:7001@fd-a,2=127.0.0.1:7002@fd-b",
}

func TestValidSettings(t *testing.T) {
	s, err := parse(t, sidecarArgs...)
	assert.NilError(t, err)
	assert.DeepEqual(t, s.Models, []string{"m1", "m2"})
	s, err = parse(t, controlArgs...)
	assert.NilError(t, err)
	assert.DeepEqual(t, s.ControlAddresses, []string{"127.0.0.1:7001", "127.0.0.1:7002"})
	assert.Equal(t, s.ControlPeers[1].FailureDomain, "fd-b")
}

func TestEnvironmentVariablesAreRead(t *testing.T) {
	t.Setenv("IBISTRAYD_MAX_RUNNING", "7")
	s, err := parse(t, sidecarArgs...)
	assert.NilError(t, err)
	assert.Equal(t, s.MaxRunning, 7)
}

// Each case appends one invalid setting to valid arguments. The error must name the flag
// of the invalid setting and a fix.
func TestInvalidSettingIsReportedWithItsFlag(t *testing.T) {
	tests := []struct {
		base []string
		args []string
		flag string
	}{
		{sidecarArgs, []string{"--roles", ""}, flagRoles},
		{sidecarArgs, []string{"--roles", "sidecar,router"}, flagRoles},
		{sidecarArgs, []string{"--roles", "sidecar,sidecar"}, flagRoles},
		{sidecarArgs, []string{"--node-id", "Upper Case"}, flagNodeID},
		{sidecarArgs, []string{"--listen", "localhost:7001"}, flagListen},
		{sidecarArgs, []string{"--http", "127.0.0.1:0"}, flagHTTP},
		{sidecarArgs, []string{"--advertise", "sidecar.example:7001"}, flagAdvertise},
		{controlArgs, []string{"--advertise", "127.0.0.1:7003"}, flagListen},
		{sidecarArgs, []string{"--log-level", "loud"}, flagLogLevel},
		{sidecarArgs, []string{"--drain-timeout", "-1s"}, flagDrainTimeout},
		{sidecarArgs, []string{"--shards", "0"}, flagShards},
		{sidecarArgs, []string{"--max-running", "99999"}, flagMaxRunning},
		{sidecarArgs, []string{"--control", ""}, flagControl},
		{sidecarArgs, []string{"--control", "control.example:7001"}, flagControl},
		{sidecarArgs, []string{"--server-id", ""}, flagServerID},
		{sidecarArgs, []string{"--backend-url", "127.0.0.1:8000"}, flagBackendURL},
		{sidecarArgs, []string{"--backend-kind", "database"}, flagBackendKind},
		{sidecarArgs, []string{"--models", ""}, flagModels},
		{sidecarArgs, []string{"--services", "berths"}, flagServices},
		{sidecarArgs, []string{"--retain-idle-limit", "0s"}, flagRetainIdleLimit},
		{sidecarArgs, []string{"--tls-cert", "cert.pem", "--tls-ca", "ca.pem"}, flagTLSKey},
		{controlArgs, []string{"--data-dir", ""}, flagDataDir},
		{controlArgs, []string{"--replica-id", "0"}, flagReplicaID},
		{controlArgs, []string{"--replica-id", "9"}, flagReplicaID},
		{controlArgs, []string{"--replica-id", "2"}, flagListen},
		{controlArgs, []string{"--control-peers", "1=127.0.0.1:7001"}, flagControlPeers},
		{controlArgs, []string{"--control-peers", "1=127.0.0.1:7001@a,1=127.0.0.1:7002@b"}, flagControlPeers},
		{controlArgs, []string{"--control-peers", tooManyPeers()}, flagControlPeers},
		{controlArgs, []string{"--operator-key-file", ""}, flagOperatorKeyFile},
		{controlArgs, []string{"--max-body-bytes", "0"}, flagMaxBodyBytes},
		{controlArgs, []string{"--max-output-tokens", "-3"}, flagMaxOutputTokens},
	}
	for _, test := range tests {
		_, err := parse(t, append(append([]string{}, test.base...), test.args...)...)
		var settingErr *Error
		assert.Assert(t, errors.As(err, &settingErr), "%v: %v", test.args, err)
		assert.Equal(t, settingErr.Flag, test.flag, "%v", test.args)
		assert.Assert(t, settingErr.Fix != "")
	}
}

// tooManyPeers returns one peer more than the maximum.
func tooManyPeers() string {
	var peers []string
	for id := range placement.MaxHosts + 1 {
		peers = append(peers, fmt.Sprintf("%d=127.0.0.1:%d@fd-a", id+1, 7001+id))
	}
	return strings.Join(peers, ",")
}

func TestUnknownEnvironmentVariableIsRejected(t *testing.T) {
	t.Setenv("IBISTRAYD_NO_SUCH_FLAG", "7")
	_, err := parse(t, sidecarArgs...)
	var settingErr *Error
	assert.Assert(t, errors.As(err, &settingErr))
	assert.Equal(t, settingErr.Flag, "no-such-flag")
}

func TestUnknownFlagIsRejected(t *testing.T) {
	_, err := parse(t, append(append([]string{}, sidecarArgs...), "--modles", "m1")...)
	assert.ErrorContains(t, err, "modles")
}
