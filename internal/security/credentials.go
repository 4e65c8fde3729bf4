// Package security authenticates the processes of the system to each other with mutual TLS.
// It reads certificates and certificate authorities from files, and reloads them without
// a restart when the files change.
package security

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"ibistray.example/ibistray/internal/loop"
	"ibistray.example/ibistray/internal/tcp"
)

// Errors of this package.
var (
	// ErrNoAuthority means that the CA file contains no certificate.
	ErrNoAuthority = errors.New("security: no certificate authority found")
	// ErrExpired means that the process's own certificate has expired or is not valid yet.
	ErrExpired = errors.New("security: certificate has expired or is not yet valid")
)

const (
	reloadInterval   = 5 * time.Second
	dialTimeout      = 2 * time.Second
	handshakeTimeout = 5 * time.Second // includes the connection setup
)

// Files holds the paths of the PEM files of a process.
type Files struct {
	Cert string
	Key  string
	CA   string // certificate authorities that sign the peers' certificates
}

// snapshot holds the contents of the files at one time. It is immutable.
type snapshot struct {
	cert        tls.Certificate
	authorities *x509.CertPool
	modTimes    [3]time.Time // of the certificate, key and CA files
}

// Credentials hold the current certificate and authorities. They are safe for
// concurrent use.
type Credentials struct {
	files   Files
	log     hclog.Logger
	current atomic.Pointer[snapshot]
}

// Load reads the files. Errors: ErrNoAuthority, ErrExpired, and those of reading and
// parsing the files.
func Load(files Files, log hclog.Logger) (*Credentials, error) {
	c := &Credentials{files: files, log: log}
	s, err := readFiles(files)
	if err != nil {
		return nil, err
	}
	c.current.Store(s)
	return c, nil
}

// readFiles loads the files and checks that the certificate is valid now. The modification
// times are read first, so that a change during the reading is noticed later.
func readFiles(files Files) (*snapshot, error) {
	modTimes, err := modificationTimes(files)
	if err != nil {
		return nil, err
	}
	cert, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return nil, fmt.Errorf("security: load certificate %s and key %s: %w", files.Cert, files.Key, err)
	}
	if err := checkValidity(cert.Leaf, time.Now()); err != nil {
		return nil, fmt.Errorf("%w: %s", err, files.Cert)
	}
	pem, err := os.ReadFile(files.CA)
	if err != nil {
		return nil, fmt.Errorf("security: %w", err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%w in %s", ErrNoAuthority, files.CA)
	}
	return &snapshot{cert: cert, authorities: authorities, modTimes: modTimes}, nil
}

func checkValidity(leaf *x509.Certificate, now time.Time) error {
	if now.Before(leaf.NotBefore) || now.After(leaf.NotAfter) {
		return fmt.Errorf("%w: valid from %s to %s", ErrExpired, leaf.NotBefore.Format(time.RFC3339), leaf.NotAfter.Format(time.RFC3339))
	}
	return nil
}

// modificationTimes returns the modification times of the certificate, key and CA files.
func modificationTimes(files Files) ([3]time.Time, error) {
	var times [3]time.Time
	for i, path := range []string{files.Cert, files.Key, files.CA} {
		info, err := os.Stat(path)
		if err != nil {
			return times, fmt.Errorf("security: %w", err)
		}
		times[i] = info.ModTime()
	}
	return times, nil
}

// Watch reloads the files when their modification times change, until ctx is done. If the
// new files cannot be used, the current credentials stay in use.
func (c *Credentials) Watch(ctx context.Context) {
	loop.Every(ctx, reloadInterval, func(context.Context) { c.reloadIfChanged() })
}

// reloadIfChanged also tries to reload if a modification time cannot be read, so that the
// error is logged.
func (c *Credentials) reloadIfChanged() {
	modTimes, err := modificationTimes(c.files)
	if err == nil && modTimes == c.current.Load().modTimes {
		return
	}
	s, err := readFiles(c.files)
	if err != nil {
		c.log.Error("certificates not reloaded, the earlier ones stay in use", "error", err)
		return
	}
	c.current.Store(s)
	c.log.Info("certificates reloaded", "valid_until", s.cert.Leaf.NotAfter)
}

// ServerConfig returns the TLS configuration of a listener. Each handshake uses the
// credentials that are current when it starts, and requires a client certificate that is
// signed by one of the authorities.
func (c *Credentials) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			s := c.current.Load()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{s.cert},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    s.authorities,
			}, nil
		},
	}
}

// Dial connects to the process at address and performs the TLS handshake. The certificate
// of the process must contain the IP address.
func (c *Credentials) Dial(address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fmt.Errorf("security: %w", err)
	}
	s := c.current.Load()
	netDialer := tcp.Dialer()
	netDialer.Timeout = dialTimeout
	dialer := &tls.Dialer{
		NetDialer: netDialer,
		Config: &tls.Config{
			MinVersion:   tls.VersionTLS13,
			Certificates: []tls.Certificate{s.cert},
			RootCAs:      s.authorities,
			ServerName:   host,
		},
	}
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("security: %w", err)
	}
	return conn, nil
}
