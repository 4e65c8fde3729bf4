package security

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// authority is a certificate authority for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "test authority"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	cert, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return &authority{cert: cert, key: key, pem: encodePEM("CERTIFICATE", der)}
}

// issue writes the files of a process whose certificate is valid until notAfter.
func (a *authority) issue(t *testing.T, files Files, notAfter time.Time) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     notAfter,
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(files.Cert, encodePEM("CERTIFICATE", der), 0o600))
	assert.NilError(t, os.WriteFile(files.Key, encodePEM("EC PRIVATE KEY", keyDER), 0o600))
	assert.NilError(t, os.WriteFile(files.CA, a.pem, 0o600))
}

// tempFiles returns the paths of files in a new temporary directory.
func tempFiles(t *testing.T) Files {
	dir := t.TempDir()
	return Files{
		Cert: filepath.Join(dir, "cert.pem"),
		Key:  filepath.Join(dir, "key.pem"),
		CA:   filepath.Join(dir, "ca.pem"),
	}
}

func loadCredentials(t *testing.T, a *authority) *Credentials {
	t.Helper()
	files := tempFiles(t)
	a.issue(t, files, time.Now().Add(time.Hour))
	creds, err := Load(files, hclog.NewNullLogger())
	assert.NilError(t, err)
	return creds
}

// exchange sends a byte from a client to a server, which sends it back. It returns the
// error of the client.
func exchange(t *testing.T, server, client *Credentials) error {
	t.Helper()
	ln, err := tls.Listen("tcp", "127.0.0.1:0", server.ServerConfig())
	assert.NilError(t, err)
	defer ln.Close()
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.Copy(conn, conn)
	}()
	conn, err := client.Dial(ln.Addr().String())
	if err != nil {
		return err
	}
	defer conn.Close()
	if _, err := conn.Write([]byte{7}); err != nil {
		return err
	}
	_, err = io.ReadFull(conn, make([]byte, 1))
	return err
}

func TestProcessesWithTheSameAuthorityConnect(t *testing.T) {
	a := newAuthority(t)
	assert.NilError(t, exchange(t, loadCredentials(t, a), loadCredentials(t, a)))
}

func TestCertificateOfAnotherAuthorityIsRejected(t *testing.T) {
	ours := loadCredentials(t, newAuthority(t))
	theirs := loadCredentials(t, newAuthority(t))
	assert.ErrorContains(t, exchange(t, ours, theirs), "unknown authority")

	// The client trusts the server's authority, but its own certificate is signed by another.
	untrusted := &Credentials{log: hclog.NewNullLogger()}
	untrusted.current.Store(&snapshot{cert: theirs.current.Load().cert, authorities: ours.current.Load().authorities})
	assert.Assert(t, exchange(t, ours, untrusted) != nil)
}

func TestExpiredCertificateIsRejectedByLoad(t *testing.T) {
	files := tempFiles(t)
	newAuthority(t).issue(t, files, time.Now().Add(-time.Minute))
	_, err := Load(files, hclog.NewNullLogger())
	assert.ErrorIs(t, err, ErrExpired)
}

// A reload that fails keeps the current credentials, so that connections still work; the
// next usable files replace them.
func TestReloadUsesNewFilesAndIgnoresInvalidOnes(t *testing.T) {
	a := newAuthority(t)
	creds := loadCredentials(t, a)
	peer := loadCredentials(t, a)
	before := creds.current.Load()

	assert.NilError(t, os.WriteFile(creds.files.Cert, []byte("not a certificate"), 0o600))
	setModTime(t, creds.files.Cert, time.Now().Add(time.Second))
	creds.reloadIfChanged()
	assert.Equal(t, creds.current.Load(), before)
	assert.NilError(t, exchange(t, creds, peer))

	a.issue(t, creds.files, time.Now().Add(2*time.Hour))
	setModTime(t, creds.files.Cert, time.Now().Add(2*time.Second))
	creds.reloadIfChanged()
	assert.Assert(t, creds.current.Load() != before)
	assert.NilError(t, exchange(t, creds, peer))
}

// setModTime sets the modification time of a file.
func setModTime(t *testing.T, path string, at time.Time) {
	t.Helper()
	assert.NilError(t, os.Chtimes(path, at, at))
}
