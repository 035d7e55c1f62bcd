package config

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// authority issues certificates into a directory.
type authority struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	a := &authority{dir: t.TempDir()}
	a.cert = &x509.Certificate{SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true, NotAfter: time.Now().Add(time.Hour)}
	a.issue(t, "ca", a.cert)
	return a
}

// issue writes a certificate and its key. The first certificate is the
// authority's own.
func (a *authority) issue(t *testing.T, name string, cert *x509.Certificate) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	if a.key == nil {
		a.key = key
	}
	der, err := x509.CreateCertificate(rand.Reader, cert, a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	a.write(t, name+".crt", "CERTIFICATE", der)
	a.write(t, name+".key", "PRIVATE KEY", secret)
}

func (a *authority) write(t *testing.T, name, kind string, der []byte) {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(filepath.Join(a.dir, name), data, 0o600); err != nil {
		t.Fatal(err)
	}
}

// load returns the TLS settings of a process with a certificate of its own.
func (a *authority) load(t *testing.T) *tls.Config {
	a.issue(t, "own", &x509.Certificate{
		SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	})
	conf, err := PeerTLS{
		Cert: filepath.Join(a.dir, "own.crt"), Key: filepath.Join(a.dir, "own.key"), CA: filepath.Join(a.dir, "ca.crt"),
	}.Load()
	if err != nil {
		t.Fatal(err)
	}
	return conf
}

// connect makes a TLS handshake and returns the errors of both ends.
func connect(t *testing.T, client, server *tls.Config) (clientErr, serverErr error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	accepted := make(chan error, 1)
	go func() {
		conn, err := l.Accept()
		if err == nil {
			defer func() { _ = conn.Close() }()
			err = tls.Server(conn, server).Handshake()
		}
		accepted <- err
	}()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	client = client.Clone()
	client.ServerName = "127.0.0.1"
	clientErr = tls.Client(conn, client).Handshake()
	if clientErr != nil {
		_ = conn.Close()
	}
	return clientErr, <-accepted
}

func TestMutualTLS(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	own := ours.load(t)
	if c, s := connect(t, own, ours.load(t)); c != nil || s != nil {
		t.Errorf("processes of one authority: got client error %v, server error %v; want none", c, s)
	}
	if _, s := connect(t, &tls.Config{RootCAs: own.RootCAs}, own); s == nil {
		t.Error("a client without a certificate was accepted, want a server error")
	}
	stranger := theirs.load(t)
	if c, _ := connect(t, own, stranger); c == nil {
		t.Error("a server of another authority was accepted, want a client error")
	}
	stranger.RootCAs = own.RootCAs
	if _, s := connect(t, stranger, own); s == nil {
		t.Error("a client of another authority was accepted, want a server error")
	}
	old := own.Clone()
	old.MinVersion, old.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	if _, s := connect(t, old, own); s == nil {
		t.Error("a client below TLS 1.3 was accepted, want a server error")
	}
}
