// Package security authenticates the system's own processes to each other by
// mutual TLS. Certificates and authorities are read from files and read again
// when the files change, without a restart.
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
)

// Errors of this package.
var (
	// ErrNoAuthority says that the file of authorities holds no certificate.
	ErrNoAuthority = errors.New("security: no authority found")
	// ErrExpired says that the process's own certificate is not valid now.
	ErrExpired = errors.New("security: certificate is not valid at this time")
)

const (
	reloadInterval   = 5 * time.Second
	dialTimeout      = 2 * time.Second
	handshakeTimeout = 5 * time.Second
)

// Files name the PEM files of a process.
type Files struct {
	Cert string
	Key  string
	CA   string
}

// material is what one reading of the files gave. It is immutable.
type material struct {
	cert     tls.Certificate
	pool     *x509.CertPool
	modified [3]time.Time
}

// Credentials hold the current certificate and authorities. They are safe for
// concurrent use.
type Credentials struct {
	files   Files
	log     hclog.Logger
	current atomic.Pointer[material]
}

// Load reads the files. Errors: ErrNoAuthority, ErrExpired, and those of files
// and formats.
func Load(files Files, log hclog.Logger) (*Credentials, error) {
	k := &Credentials{files: files, log: log}
	m, err := read(files)
	if err != nil {
		return nil, err
	}
	k.current.Store(m)
	return k, nil
}

func read(files Files) (*material, error) {
	modified, err := modificationTimes(files)
	if err != nil {
		return nil, err
	}
	cert, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return nil, fmt.Errorf("security: %s and %s: %w", files.Cert, files.Key, err)
	}
	if err := checkValidity(cert.Leaf, time.Now()); err != nil {
		return nil, fmt.Errorf("%s: %w", files.Cert, err)
	}
	pem, err := os.ReadFile(files.CA)
	if err != nil {
		return nil, fmt.Errorf("security: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%w in %s", ErrNoAuthority, files.CA)
	}
	return &material{cert: cert, pool: pool, modified: modified}, nil
}

func checkValidity(leaf *x509.Certificate, now time.Time) error {
	if now.Before(leaf.NotBefore) || now.After(leaf.NotAfter) {
		return fmt.Errorf("%w: from %s to %s", ErrExpired, leaf.NotBefore.Format(time.RFC3339), leaf.NotAfter.Format(time.RFC3339))
	}
	return nil
}

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

// Watch reads the files again when they change, until the context ends. Files
// that cannot be used leave the current ones in place.
func (k *Credentials) Watch(ctx context.Context) {
	loop.Every(ctx, reloadInterval, func(context.Context) { k.reloadIfChanged() })
}

func (k *Credentials) reloadIfChanged() {
	modified, err := modificationTimes(k.files)
	if err == nil && modified == k.current.Load().modified {
		return
	}
	m, err := read(k.files)
	if err != nil {
		k.log.Error("certificates not reloaded, the earlier ones stay in use", "error", err)
		return
	}
	k.current.Store(m)
	k.log.Info("certificates reloaded", "valid_until", m.cert.Leaf.NotAfter)
}

// ServerConfig returns the configuration of a listener: each connection uses
// the certificates that are current when it begins, and a peer must show one
// that the authorities have signed.
func (k *Credentials) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := k.current.Load()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{m.cert},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    m.pool,
			}, nil
		},
	}
}

// Dial opens a connection to a process, whose certificate must name the
// address's IP number.
func (k *Credentials) Dial(address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fmt.Errorf("security: %w", err)
	}
	m := k.current.Load()
	dialer := &tls.Dialer{
		NetDialer: &net.Dialer{Timeout: dialTimeout},
		Config: &tls.Config{
			MinVersion:   tls.VersionTLS13,
			Certificates: []tls.Certificate{m.cert},
			RootCAs:      m.pool,
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
