package settings

import (
	"strings"
	"time"

	"github.com/urfave/cli/v3"
)

// Names of the flags. The environment variable of a flag is envPrefix and the
// name in capitals with underscores.
const (
	flagRoles           = "roles"
	flagNodeID          = "node-id"
	flagListen          = "listen"
	flagAdvertise       = "advertise"
	flagHTTP            = "http"
	flagRegion          = "region"
	flagFailureDomain   = "failure-domain"
	flagLogLevel        = "log-level"
	flagDrainTimeout    = "drain-timeout"
	flagDataDir         = "data-dir"
	flagReplicaID       = "replica-id"
	flagControlPeers    = "control-peers"
	flagReplaces        = "replaces"
	flagShards          = "shards"
	flagOperatorKeyFile = "operator-key-file"
	flagControl         = "control"
	flagServerID        = "server-id"
	flagBackendURL      = "backend-url"
	flagBackendKind     = "backend-kind"
	flagModels          = "models"
	flagServices        = "services"
	flagMaxRunning      = "max-running"
	flagRetainIdleLimit = "retain-idle-limit"
	flagMaxBodyBytes    = "max-body-bytes"
	flagMaxOutputTokens = "max-output-tokens"
	flagTLSCert         = "tls-cert"
	flagTLSKey          = "tls-key"
	flagTLSCA           = "tls-ca"
)

const envPrefix = "IBISTRAYD_"

const (
	defaultShards          = 16
	maxShards              = 4096
	defaultMaxRunning      = 64
	maxMaxRunning          = 4096
	defaultMaxBodyBytes    = 2 << 20
	maxMaxBodyBytes        = 8 << 20
	defaultMaxOutputTokens = 4096
	maxMaxOutputTokens     = 1 << 20
	defaultRetainIdleLimit = 5 * time.Minute
)

func env(flag string) cli.ValueSourceChain {
	return cli.EnvVars(EnvName(flag))
}

// EnvName returns the environment variable of a flag.
func EnvName(flag string) string {
	return envPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

func str(name, value, usage string) cli.Flag {
	return &cli.StringFlag{Name: name, Value: value, Usage: usage, Sources: env(name)}
}

func number(name string, value int64, usage string) cli.Flag {
	return &cli.Int64Flag{Name: name, Value: value, Usage: usage, Sources: env(name)}
}

func duration(name string, value time.Duration, usage string) cli.Flag {
	return &cli.DurationFlag{Name: name, Value: value, Usage: usage, Sources: env(name)}
}

// Flags returns the flags of the daemon.
func Flags() []cli.Flag {
	return []cli.Flag{
		str(flagRoles, "", "roles of the process, comma-separated: entry, control, sidecar"),
		str(flagNodeID, "", "unique name of the process"),
		str(flagListen, "", "IP address and port for the system's own processes"),
		str(flagAdvertise, "", "IP address and port at which the system's own processes reach --listen; default: the same"),
		str(flagHTTP, "", "IP address and port for callers, operators and metrics"),
		str(flagRegion, "local", "region of the host"),
		str(flagFailureDomain, "local", "failure domain of the host"),
		str(flagLogLevel, "info", "lowest level that is logged: trace, debug, info, warn, error"),
		duration(flagDrainTimeout, 0, "longest wait for running calls after SIGTERM; 0: until they end"),
		str(flagDataDir, "", "control: folder of the durable state"),
		number(flagReplicaID, 0, "control: replica ID of this process, one of --control-peers"),
		str(flagControlPeers, "", "control: first members, comma-separated ID=address@failure-domain"),
		str(flagReplaces, "", "control: address of a lost process whose place this one takes, on an empty data folder"),
		number(flagShards, defaultShards, "control, entry, sidecar: number of customer shards; the same everywhere, fixed for good"),
		str(flagOperatorKeyFile, "", "entry: file with the operators' keys, one a line"),
		str(flagControl, "", "entry, sidecar: addresses of control processes, comma-separated"),
		str(flagServerID, "", "sidecar: unique name of the backend server"),
		str(flagBackendURL, "", "sidecar: base URL of the backend server"),
		str(flagBackendKind, "engine", "sidecar: engine or service"),
		str(flagModels, "", "sidecar: models that the engine serves, comma-separated"),
		str(flagServices, "", "sidecar: services that the backend server offers, comma-separated"),
		number(flagMaxRunning, defaultMaxRunning, "sidecar: most attempts running on the backend server"),
		duration(flagRetainIdleLimit, defaultRetainIdleLimit, "sidecar: longest time that an idle program keeps engine memory"),
		number(flagMaxBodyBytes, defaultMaxBodyBytes, "entry: largest request body in bytes"),
		number(flagMaxOutputTokens, defaultMaxOutputTokens, "entry: output tokens of a call that names no limit, and the most it may name"),
		str(flagTLSCert, "", "certificate file (PEM) for the system's own processes"),
		str(flagTLSKey, "", "key file (PEM) of --tls-cert"),
		str(flagTLSCA, "", "file with the authorities (PEM) that sign the processes' certificates"),
	}
}
