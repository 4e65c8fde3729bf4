package settings

import (
	"cmp"
	"net"
	"net/url"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"ibistray.example/ibistray/internal/placement"
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

const nameFix = "use 1 to 63 characters of a-z, 0-9, dot, dash and underscore, starting with a letter or digit"

// FromCommand returns the validated settings of a parsed command line. The first invalid
// setting is returned as an *Error.
func FromCommand(cmd *cli.Command) (*Settings, error) {
	s := &Settings{
		NodeID:            cmd.String(flagNodeID),
		ListenAddress:     cmd.String(flagListen),
		AdvertisedAddress: cmp.Or(cmd.String(flagAdvertise), cmd.String(flagListen)),
		HTTPAddress:       cmd.String(flagHTTP),
		Region:            cmd.String(flagRegion),
		FailureDomain:     cmd.String(flagFailureDomain),
		LogLevel:          cmd.String(flagLogLevel),
		DrainTimeout:      cmd.Duration(flagDrainTimeout),
		DataDir:           cmd.String(flagDataDir),
		ReplacedAddress:   cmd.String(flagReplaces),
		OperatorKeyFile:   cmd.String(flagOperatorKeyFile),
		ControlAddresses:  splitList(cmd.String(flagControl)),
		ServerID:          cmd.String(flagServerID),
		BackendURL:        cmd.String(flagBackendURL),
		BackendKind:       cmd.String(flagBackendKind),
		Models:            splitList(cmd.String(flagModels)),
		Services:          splitList(cmd.String(flagServices)),
		RetainIdleLimit:   cmd.Duration(flagRetainIdleLimit),
		TLSCert:           cmd.String(flagTLSCert),
		TLSKey:            cmd.String(flagTLSKey),
		TLSCA:             cmd.String(flagTLSCA),
	}
	steps := []func(*cli.Command) error{
		checkEnvironment,
		s.parseRoles,
		s.parseNumbers,
		s.parsePeers,
		s.checkCommon,
		s.checkControl,
		s.checkEntry,
		s.checkSidecar,
		s.checkTLS,
	}
	for _, step := range steps {
		if err := step(cmd); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// checkEnvironment rejects environment variables that have the prefix of settings but
// belong to no flag.
func checkEnvironment(cmd *cli.Command) error {
	known := make(map[string]bool)
	for _, f := range cmd.Root().Flags {
		known[EnvName(f.Names()[0])] = true
	}
	for _, variable := range os.Environ() {
		name, _, _ := strings.Cut(variable, "=")
		if strings.HasPrefix(name, envPrefix) && !known[name] {
			flag := strings.ToLower(strings.ReplaceAll(strings.TrimPrefix(name, envPrefix), "_", "-"))
			return invalid(flag, "correct the name; ibistrayd --help lists the settings", "environment variable %s belongs to no setting", name)
		}
	}
	return nil
}

// splitList returns the elements of a comma-separated list without surrounding spaces and
// without empty elements.
func splitList(value string) []string {
	var list []string
	for part := range strings.SplitSeq(value, ",") {
		if part = strings.TrimSpace(part); part != "" {
			list = append(list, part)
		}
	}
	return list
}

func (s *Settings) parseRoles(cmd *cli.Command) error {
	const fix = "give one or more of entry, control, sidecar"
	for _, name := range splitList(cmd.String(flagRoles)) {
		role := Role(name)
		if role != RoleEntry && role != RoleControl && role != RoleSidecar {
			return invalid(flagRoles, fix, "role %q is not supported", name)
		}
		if s.HasRole(role) {
			return invalid(flagRoles, fix, "role %q is given twice", name)
		}
		s.Roles = append(s.Roles, role)
	}
	if len(s.Roles) == 0 {
		return invalid(flagRoles, fix, "no role is given")
	}
	return nil
}

// parseNumbers sets the integer settings after a check of their ranges.
func (s *Settings) parseNumbers(cmd *cli.Command) error {
	shards, err := boundedInt(cmd, flagShards, maxShards)
	if err != nil {
		return err
	}
	maxRunning, err := boundedInt(cmd, flagMaxRunning, maxRunningLimit)
	if err != nil {
		return err
	}
	bodyBytes, err := boundedInt(cmd, flagMaxBodyBytes, maxBodyBytesLimit)
	if err != nil {
		return err
	}
	connections, err := boundedInt(cmd, flagMaxConnections, maxConnectionsLimit)
	if err != nil {
		return err
	}
	requestBytes, err := boundedInt(cmd, flagMaxRequestBytes, maxRequestBytesLimit)
	if err != nil {
		return err
	}
	outputTokens, err := boundedInt(cmd, flagMaxOutputTokens, maxOutputTokensLimit)
	if err != nil {
		return err
	}
	replica := cmd.Int64(flagReplicaID)
	if replica < 0 {
		return invalid(flagReplicaID, "use a positive number", "%d is negative", replica)
	}
	s.Shards = uint32(shards)
	s.MaxRunning = int(maxRunning)
	s.MaxBodyBytes = int(bodyBytes)
	s.MaxConnections = int(connections)
	s.MaxRequestBytes = requestBytes
	s.MaxOutputTokens = uint64(outputTokens)
	s.ReplicaID = uint64(replica)
	return nil
}

// boundedInt returns the value of an integer flag, which must be from 1 to limit.
func boundedInt(cmd *cli.Command, flag string, limit int64) (int64, error) {
	n := cmd.Int64(flag)
	if n < 1 || n > limit {
		return 0, invalid(flag, "use 1 to "+strconv.FormatInt(limit, 10), "%d is out of range", n)
	}
	return n, nil
}

func (s *Settings) parsePeers(cmd *cli.Command) error {
	for _, text := range splitList(cmd.String(flagControlPeers)) {
		peer, err := parsePeer(text)
		if err != nil {
			return err
		}
		if slices.ContainsFunc(s.ControlPeers, func(p Peer) bool { return p.ReplicaID == peer.ReplicaID }) {
			return invalid(flagControlPeers, "give each process a different ID", "replica ID %d is given twice", peer.ReplicaID)
		}
		s.ControlPeers = append(s.ControlPeers, peer)
	}
	if len(s.ControlPeers) > placement.MaxHosts {
		fix := "give at most " + strconv.Itoa(placement.MaxHosts) + " control processes of one region"
		return invalid(flagControlPeers, fix, "%d are given", len(s.ControlPeers))
	}
	return nil
}

// parsePeer parses ID=address@failure-domain.
func parsePeer(text string) (Peer, error) {
	const fix = "write ID=address@failure-domain, for example 1=127.0.0.1:7001@fd-a"
	id, rest, ok := strings.Cut(text, "=")
	if !ok {
		return Peer{}, invalid(flagControlPeers, fix, "%q contains no =", text)
	}
	address, domain, ok := strings.Cut(rest, "@")
	if !ok {
		return Peer{}, invalid(flagControlPeers, fix, "%q contains no @", text)
	}
	n, err := strconv.ParseUint(id, 10, 64)
	if err != nil || n == 0 {
		return Peer{}, invalid(flagControlPeers, fix, "replica ID %q is not a positive number", id)
	}
	if err := checkAddress(flagControlPeers, address); err != nil {
		return Peer{}, err
	}
	if !namePattern.MatchString(domain) {
		return Peer{}, invalid(flagControlPeers, nameFix, "failure domain %q is not a valid name", domain)
	}
	return Peer{ReplicaID: n, Address: address, FailureDomain: domain}, nil
}

// checkAddress accepts an IP address with a port. Host names are rejected: they are not
// resolved.
func checkAddress(flag, address string) error {
	const fix = "write an IP address and a port, for example 10.0.0.5:7001"
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return invalid(flag, fix, "%q is not an IP address with a port", address)
	}
	if net.ParseIP(host) == nil {
		return invalid(flag, fix, "%q is not an IP address", host)
	}
	n, err := strconv.ParseUint(port, 10, 16)
	if err != nil || n == 0 {
		return invalid(flag, fix, "%q is not a valid port", port)
	}
	return nil
}

func (s *Settings) checkCommon(*cli.Command) error {
	names := []struct{ flag, value string }{
		{flagNodeID, s.NodeID},
		{flagRegion, s.Region},
		{flagFailureDomain, s.FailureDomain},
	}
	for _, n := range names {
		if !namePattern.MatchString(n.value) {
			return invalid(n.flag, nameFix, "%q is not a valid name", n.value)
		}
	}
	if s.DrainTimeout < 0 {
		return invalid(flagDrainTimeout, "use 0 or a positive duration", "%s is negative", s.DrainTimeout)
	}
	if !slices.Contains([]string{"trace", "debug", "info", "warn", "error"}, s.LogLevel) {
		return invalid(flagLogLevel, "use trace, debug, info, warn or error", "log level %q is not supported", s.LogLevel)
	}
	if err := checkAddress(flagListen, s.ListenAddress); err != nil {
		return err
	}
	if err := checkAddress(flagAdvertise, s.AdvertisedAddress); err != nil {
		return err
	}
	return checkAddress(flagHTTP, s.HTTPAddress)
}

func (s *Settings) checkControl(*cli.Command) error {
	if !s.HasRole(RoleControl) {
		return nil
	}
	if s.DataDir == "" {
		return invalid(flagDataDir, "give a directory on a disk that survives restarts", "the control role needs a data directory")
	}
	if s.ReplacedAddress != "" {
		if err := checkAddress(flagReplaces, s.ReplacedAddress); err != nil {
			return err
		}
	}
	if s.ReplicaID == 0 {
		return invalid(flagReplicaID, "use the ID of this process in --"+flagControlPeers, "the control role needs a replica ID")
	}
	i := slices.IndexFunc(s.ControlPeers, func(p Peer) bool { return p.ReplicaID == s.ReplicaID })
	if i < 0 {
		return invalid(flagReplicaID, "add it to --"+flagControlPeers, "replica ID %d is not among the control peers", s.ReplicaID)
	}
	if s.ControlPeers[i].Address != s.AdvertisedAddress {
		return invalid(flagListen, "use the same address in both", "--%s has address %s for this replica, not %s", flagControlPeers, s.ControlPeers[i].Address, s.AdvertisedAddress)
	}
	return nil
}

// checkEntry checks the settings that entries share with sidecars, and those of the entry
// alone. The addresses of the control processes default to those of the control peers.
func (s *Settings) checkEntry(*cli.Command) error {
	if !s.HasRole(RoleEntry) && !s.HasRole(RoleSidecar) {
		return nil
	}
	if len(s.ControlAddresses) == 0 {
		for _, p := range s.ControlPeers {
			s.ControlAddresses = append(s.ControlAddresses, p.Address)
		}
	}
	if len(s.ControlAddresses) == 0 {
		return invalid(flagControl, "give the address of at least one control process", "entries and sidecars need one")
	}
	for _, address := range s.ControlAddresses {
		if err := checkAddress(flagControl, address); err != nil {
			return err
		}
	}
	if s.HasRole(RoleEntry) && s.OperatorKeyFile == "" {
		return invalid(flagOperatorKeyFile, "give a file with one key per line", "the entry role needs operator keys")
	}
	return nil
}

func (s *Settings) checkSidecar(*cli.Command) error {
	if !s.HasRole(RoleSidecar) {
		return nil
	}
	if !namePattern.MatchString(s.ServerID) {
		return invalid(flagServerID, nameFix, "%q is not a valid name", s.ServerID)
	}
	u, err := url.Parse(s.BackendURL)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return invalid(flagBackendURL, "write an HTTP URL, for example http://127.0.0.1:8000", "%q is not an HTTP URL", s.BackendURL)
	}
	if s.RetainIdleLimit <= 0 {
		return invalid(flagRetainIdleLimit, "use a positive duration", "%s is not positive", s.RetainIdleLimit)
	}
	switch s.BackendKind {
	case "engine":
		if len(s.Models) == 0 {
			return invalid(flagModels, "give the models that the engine serves", "an engine needs at least one model")
		}
		if len(s.Services) != 0 {
			return invalid(flagServices, "remove it", "an engine offers no services")
		}
	case "service":
		if len(s.Services) == 0 {
			return invalid(flagServices, "give the services that the backend server offers", "a service needs at least one name")
		}
		if len(s.Models) != 0 {
			return invalid(flagModels, "remove it", "a service serves no models")
		}
	default:
		return invalid(flagBackendKind, "use engine or service", "kind %q is not supported", s.BackendKind)
	}
	return nil
}

// checkTLS requires that either all or none of the TLS files are set.
func (s *Settings) checkTLS(*cli.Command) error {
	given := 0
	missing := ""
	for _, f := range []struct{ flag, value string }{{flagTLSCert, s.TLSCert}, {flagTLSKey, s.TLSKey}, {flagTLSCA, s.TLSCA}} {
		if f.value == "" {
			missing = f.flag
			continue
		}
		given++
	}
	if given != 0 && given != 3 {
		return invalid(missing, "give all of --tls-cert, --tls-key and --tls-ca or none of them", "it is missing")
	}
	return nil
}
