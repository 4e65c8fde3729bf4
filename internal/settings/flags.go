package settings

import (
	"strings"
	"time"

	"github.com/urfave/cli/v3"
)

// Names of the flags. EnvName returns the environment variable of each.
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
	flagMaxConnections  = "max-connections"
	flagMaxRequestBytes = "max-request-bytes"
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
	maxRunningLimit        = 4096
	defaultMaxBodyBytes    = 2 << 20
	defaultMaxConnections  = 4096
	defaultMaxRequestBytes = 32 << 20
	maxBodyBytesLimit      = 8 << 20
	maxConnectionsLimit    = 1 << 20
	maxRequestBytesLimit   = 64 << 30
	defaultMaxOutputTokens = 4096
	maxOutputTokensLimit   = 1 << 20
	defaultRetainIdleLimit = 5 * time.Minute
)

func envSource(flag string) cli.ValueSourceChain {
	return cli.EnvVars(EnvName(flag))
}

// EnvName returns the environment variable of a flag: envPrefix and the name of the flag
// in upper case, with underscores for dashes.
func EnvName(flag string) string {
	return envPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

func stringFlag(name, value, usage string) cli.Flag {
	return &cli.StringFlag{Name: name, Value: value, Usage: usage, Sources: envSource(name)}
}

func intFlag(name string, value int64, usage string) cli.Flag {
	return &cli.Int64Flag{Name: name, Value: value, Usage: usage, Sources: envSource(name)}
}

func durationFlag(name string, value time.Duration, usage string) cli.Flag {
	return &cli.DurationFlag{Name: name, Value: value, Usage: usage, Sources: envSource(name)}
}

// Flags returns the flags of the daemon, each of which can also be set by its environment
// variable.
func Flags() []cli.Flag {
	return []cli.Flag{
		stringFlag(flagRoles, "", "roles of the process, comma-separated: entry, control, sidecar"),
		stringFlag(flagNodeID, "", "unique name of the process"),
		stringFlag(flagListen, "", "IP address and port that other processes of the system connect to"),
		stringFlag(flagAdvertise, "", "IP address and port at which other processes of the system reach --listen; default: that of --listen"),
		stringFlag(flagHTTP, "", "IP address and port for callers, operators and metrics"),
		stringFlag(flagRegion, "local", "region of the host"),
		stringFlag(flagFailureDomain, "local", "failure domain of the host"),
		stringFlag(flagLogLevel, "info", "minimum level of logged messages: trace, debug, info, warn, error"),
		durationFlag(flagDrainTimeout, 0, "maximum wait for running calls after SIGTERM; 0: until they end"),
		stringFlag(flagDataDir, "", "control: directory of the durable state"),
		intFlag(flagReplicaID, 0, "control: replica ID of this process, one of --control-peers"),
		stringFlag(flagControlPeers, "", "control: initial members, comma-separated ID=address@failure-domain"),
		stringFlag(flagReplaces, "", "control: address of a lost process that this one replaces; needs an empty data directory"),
		intFlag(flagShards, defaultShards, "control, entry, sidecar: number of customer shards; the same in all processes, cannot be changed later"),
		stringFlag(flagOperatorKeyFile, "", "entry: file with the operators' keys, one per line"),
		stringFlag(flagControl, "", "entry, sidecar: addresses of control processes, comma-separated"),
		stringFlag(flagServerID, "", "sidecar: unique name of the backend server"),
		stringFlag(flagBackendURL, "", "sidecar: base URL of the backend server"),
		stringFlag(flagBackendKind, "engine", "sidecar: engine or service"),
		stringFlag(flagModels, "", "sidecar: models that the engine serves, comma-separated"),
		stringFlag(flagServices, "", "sidecar: services that the backend server offers, comma-separated"),
		intFlag(flagMaxRunning, defaultMaxRunning, "sidecar: maximum number of attempts that run on the backend server at once"),
		durationFlag(flagRetainIdleLimit, defaultRetainIdleLimit, "sidecar: maximum time for which an idle program keeps engine memory"),
		intFlag(flagMaxConnections, defaultMaxConnections, "maximum number of connections to --http; beyond it those that wait longest are closed"),
		intFlag(flagMaxRequestBytes, defaultMaxRequestBytes, "memory in bytes for the heads and bodies of all requests to --http beyond the first 16 KB of each; further ones get status 503"),
		intFlag(flagMaxBodyBytes, defaultMaxBodyBytes, "entry: maximum size of a request body in bytes"),
		intFlag(flagMaxOutputTokens, defaultMaxOutputTokens, "entry: default and maximum limit of the output tokens of a call"),
		stringFlag(flagTLSCert, "", "certificate file (PEM) for connections between processes of the system"),
		stringFlag(flagTLSKey, "", "private key file (PEM) of --tls-cert"),
		stringFlag(flagTLSCA, "", "file with the certificate authorities (PEM) that sign the certificates of the processes"),
	}
}
