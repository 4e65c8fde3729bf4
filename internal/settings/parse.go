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

const nameFix = "use 1 to 63 of a-z, 0-9, dot, dash and underscore, beginning with a letter or digit"

// FromCommand reads and checks the settings of a parsed command line. The
// first problem found is returned as an *Error.
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

// checkEnvironment refuses variables that look like settings but are none.
func checkEnvironment(cmd *cli.Command) error {
	known := make(map[string]bool)
	for _, f := range cmd.Root().Flags {
		known[EnvName(f.Names()[0])] = true
	}
	for _, variable := range os.Environ() {
		name, _, _ := strings.Cut(variable, "=")
		if strings.HasPrefix(name, envPrefix) && !known[name] {
			flag := strings.ToLower(strings.ReplaceAll(strings.TrimPrefix(name, envPrefix), "_", "-"))
			return invalid(flag, "correct the name; ibistrayd --help lists the settings", "the variable %s is no setting", name)
		}
	}
	return nil
}

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
	const fix = "name one or more of entry, control, sidecar"
	for _, name := range splitList(cmd.String(flagRoles)) {
		role := Role(name)
		if role != RoleEntry && role != RoleControl && role != RoleSidecar {
			return invalid(flagRoles, fix, "unknown role %q", name)
		}
		if s.HasRole(role) {
			return invalid(flagRoles, fix, "role %q is named twice", name)
		}
		s.Roles = append(s.Roles, role)
	}
	if len(s.Roles) == 0 {
		return invalid(flagRoles, fix, "no role is named")
	}
	return nil
}

func (s *Settings) parseNumbers(cmd *cli.Command) error {
	shards, err := upTo(cmd, flagShards, maxShards)
	if err != nil {
		return err
	}
	maxRunning, err := upTo(cmd, flagMaxRunning, maxMaxRunning)
	if err != nil {
		return err
	}
	bodyBytes, err := upTo(cmd, flagMaxBodyBytes, maxMaxBodyBytes)
	if err != nil {
		return err
	}
	outputTokens, err := upTo(cmd, flagMaxOutputTokens, maxMaxOutputTokens)
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
	s.MaxOutputTokens = uint64(outputTokens)
	s.ReplicaID = uint64(replica)
	return nil
}

// upTo reads a number from 1 to limit.
func upTo(cmd *cli.Command, flag string, limit int64) (int64, error) {
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
			return invalid(flagControlPeers, "give each process its own ID", "replica ID %d is named twice", peer.ReplicaID)
		}
		s.ControlPeers = append(s.ControlPeers, peer)
	}
	if len(s.ControlPeers) > placement.MaxHosts {
		fix := "name at most " + strconv.Itoa(placement.MaxHosts) + " control processes of one region"
		return invalid(flagControlPeers, fix, "%d are named", len(s.ControlPeers))
	}
	return nil
}

func parsePeer(text string) (Peer, error) {
	const fix = "write ID=address@failure-domain, for example 1=127.0.0.1:7001@fd-a"
	id, rest, ok := strings.Cut(text, "=")
	if !ok {
		return Peer{}, invalid(flagControlPeers, fix, "%q has no =", text)
	}
	address, domain, ok := strings.Cut(rest, "@")
	if !ok {
		return Peer{}, invalid(flagControlPeers, fix, "%q has no @", text)
	}
	n, err := strconv.ParseUint(id, 10, 64)
	if err != nil || n == 0 {
		return Peer{}, invalid(flagControlPeers, fix, "replica ID %q is not a positive number", id)
	}
	if err := checkAddress(flagControlPeers, address); err != nil {
		return Peer{}, err
	}
	if !namePattern.MatchString(domain) {
		return Peer{}, invalid(flagControlPeers, nameFix, "failure domain %q is not a name", domain)
	}
	return Peer{ReplicaID: n, Address: address, FailureDomain: domain}, nil
}

// checkAddress accepts an IP number with a port; names are not resolved.
func checkAddress(flag, address string) error {
	const fix = "write an IP number and a port, for example 10.0.0.5:7001"
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return invalid(flag, fix, "%q is not an address", address)
	}
	if net.ParseIP(host) == nil {
		return invalid(flag, fix, "%q is not an IP number", host)
	}
	n, err := strconv.ParseUint(port, 10, 16)
	if err != nil || n == 0 {
		return invalid(flag, fix, "%q is not a port", port)
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
			return invalid(n.flag, nameFix, "%q is not a name", n.value)
		}
	}
	if s.DrainTimeout < 0 {
		return invalid(flagDrainTimeout, "use 0 or a positive duration", "%s is negative", s.DrainTimeout)
	}
	if !slices.Contains([]string{"trace", "debug", "info", "warn", "error"}, s.LogLevel) {
		return invalid(flagLogLevel, "use trace, debug, info, warn or error", "unknown level %q", s.LogLevel)
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
		return invalid(flagDataDir, "name a folder on a disk that survives restarts", "the control role has none")
	}
	if s.ReplacedAddress != "" {
		if err := checkAddress(flagReplaces, s.ReplacedAddress); err != nil {
			return err
		}
	}
	if s.ReplicaID == 0 {
		return invalid(flagReplicaID, "use this process's ID of --"+flagControlPeers, "the control role has none")
	}
	i := slices.IndexFunc(s.ControlPeers, func(p Peer) bool { return p.ReplicaID == s.ReplicaID })
	if i < 0 {
		return invalid(flagReplicaID, "add it to --"+flagControlPeers, "replica ID %d is not among the control peers", s.ReplicaID)
	}
	if s.ControlPeers[i].Address != s.AdvertisedAddress {
		return invalid(flagListen, "make both the same", "--%s says %s for this replica, not %s", flagControlPeers, s.ControlPeers[i].Address, s.AdvertisedAddress)
	}
	return nil
}

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
		return invalid(flagControl, "name at least one control process", "entries and sidecars need one")
	}
	for _, address := range s.ControlAddresses {
		if err := checkAddress(flagControl, address); err != nil {
			return err
		}
	}
	if s.HasRole(RoleEntry) && s.OperatorKeyFile == "" {
		return invalid(flagOperatorKeyFile, "name a file with one key a line", "the entry role has none")
	}
	return nil
}

func (s *Settings) checkSidecar(*cli.Command) error {
	if !s.HasRole(RoleSidecar) {
		return nil
	}
	if !namePattern.MatchString(s.ServerID) {
		return invalid(flagServerID, nameFix, "%q is not a name", s.ServerID)
	}
	u, err := url.Parse(s.BackendURL)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return invalid(flagBackendURL, "write for example http://127.0.0.1:8000", "%q is not an HTTP URL", s.BackendURL)
	}
	if s.RetainIdleLimit <= 0 {
		return invalid(flagRetainIdleLimit, "use a positive duration", "%s is not positive", s.RetainIdleLimit)
	}
	switch s.BackendKind {
	case "engine":
		if len(s.Models) == 0 {
			return invalid(flagModels, "name the models that the engine serves", "an engine needs one")
		}
		if len(s.Services) != 0 {
			return invalid(flagServices, "leave it out", "an engine offers no services")
		}
	case "service":
		if len(s.Services) == 0 {
			return invalid(flagServices, "name the services that it offers", "a service needs one")
		}
		if len(s.Models) != 0 {
			return invalid(flagModels, "leave it out", "a service serves no models")
		}
	default:
		return invalid(flagBackendKind, "use engine or service", "unknown kind %q", s.BackendKind)
	}
	return nil
}

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
		return invalid(missing, "give --tls-cert, --tls-key and --tls-ca together or none of them", "it is missing")
	}
	return nil
}
