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

type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func encode(kind string, der []byte) []byte {
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
	return &authority{cert: cert, key: key, pem: encode("CERTIFICATE", der)}
}

// issue writes the files of a process whose certificate ends at notAfter.
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
	assert.NilError(t, os.WriteFile(files.Cert, encode("CERTIFICATE", der), 0o600))
	assert.NilError(t, os.WriteFile(files.Key, encode("EC PRIVATE KEY", keyDER), 0o600))
	assert.NilError(t, os.WriteFile(files.CA, a.pem, 0o600))
}

func filesIn(t *testing.T) Files {
	dir := t.TempDir()
	return Files{
		Cert: filepath.Join(dir, "cert.pem"),
		Key:  filepath.Join(dir, "key.pem"),
		CA:   filepath.Join(dir, "ca.pem"),
	}
}

func loadKeys(t *testing.T, a *authority) *Credentials {
	t.Helper()
	files := filesIn(t)
	a.issue(t, files, time.Now().Add(time.Hour))
	keys, err := Load(files, hclog.NewNullLogger())
	assert.NilError(t, err)
	return keys
}

// exchange reports whether a client with its keys can send a byte to a server
// and get it back.
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

func TestProcessesOfOneAuthorityConnect(t *testing.T) {
	a := newAuthority(t)
	assert.NilError(t, exchange(t, loadKeys(t, a), loadKeys(t, a)))
}

func TestProcessOfAnotherAuthorityIsRefused(t *testing.T) {
	ours := loadKeys(t, newAuthority(t))
	theirs := loadKeys(t, newAuthority(t))
	assert.ErrorContains(t, exchange(t, ours, theirs), "unknown authority")

	// A client that trusts the server's authority but has no certificate of it.
	stranger := &Credentials{log: hclog.NewNullLogger()}
	stranger.current.Store(&material{cert: theirs.current.Load().cert, pool: ours.current.Load().pool})
	assert.Assert(t, exchange(t, ours, stranger) != nil)
}

func TestExpiredCertificateIsRefusedAtStart(t *testing.T) {
	files := filesIn(t)
	newAuthority(t).issue(t, files, time.Now().Add(-time.Minute))
	_, err := Load(files, hclog.NewNullLogger())
	assert.ErrorIs(t, err, ErrExpired)
}

func TestReloadTakesNewFilesAndKeepsOldOnesWhenTheyAreBad(t *testing.T) {
	a := newAuthority(t)
	keys := loadKeys(t, a)
	peer := loadKeys(t, a)
	before := keys.current.Load()

	assert.NilError(t, os.WriteFile(keys.files.Cert, []byte("not a certificate"), 0o600))
	touch(t, keys.files.Cert, time.Now().Add(time.Second))
	keys.reloadIfChanged()
	assert.Equal(t, keys.current.Load(), before)
	assert.NilError(t, exchange(t, keys, peer))

	a.issue(t, keys.files, time.Now().Add(2*time.Hour))
	touch(t, keys.files.Cert, time.Now().Add(2*time.Second))
	keys.reloadIfChanged()
	assert.Assert(t, keys.current.Load() != before)
	assert.NilError(t, exchange(t, keys, peer))
}

func touch(t *testing.T, path string, at time.Time) {
	t.Helper()
	assert.NilError(t, os.Chtimes(path, at, at))
}
