package procs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"github.com/beryllanding/beryllanding/internal/stand/engd"
)

// authority is a certificate authority for one test.
type authority struct {
	w    *world
	name string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// newAuthority creates an authority and writes its own certificate to name-ca.pem.
func (w *world) newAuthority(name string) *authority {
	w.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		w.t.Fatal(err)
	}
	a := &authority{w: w, name: name, key: key, cert: &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}}
	der, err := x509.CreateCertificate(rand.Reader, a.cert, a.cert, &key.PublicKey, key)
	if err != nil {
		w.t.Fatal(err)
	}
	a.write(name+"-ca.pem", "CERTIFICATE", der)
	return a
}

// settings issues a certificate. It returns a peer-tls section that uses this
// certificate and trusts the given authority, which may differ from a.
func (a *authority) settings(trusted *authority) string {
	a.w.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.w.t.Fatal(err)
	}
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotBefore: a.cert.NotBefore, NotAfter: a.cert.NotAfter,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, leaf, a.cert, &key.PublicKey, a.key)
	if err != nil {
		a.w.t.Fatal(err)
	}
	raw, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.w.t.Fatal(err)
	}
	return fmt.Sprintf("[peer-tls]\ncert = %s\nkey = %s\nca = %s\n",
		a.write(a.name+".pem", "CERTIFICATE", der), a.write(a.name+"-key.pem", "EC PRIVATE KEY", raw),
		filepath.Join(a.w.dir, trusted.name+"-ca.pem"))
}

// write writes a PEM file to the test's directory and returns its path.
func (a *authority) write(name, kind string, der []byte) string {
	path := filepath.Join(a.w.dir, name)
	writeFile(a.w.t, path, string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})))
	return path
}

// TestMutualTLS guards against side processes that accept unauthenticated peers. Only
// an entry instance with a certificate of the same authority may reach the side
// process. One without a certificate, or with a certificate of another authority, may
// not.
func TestMutualTLS(t *testing.T) {
	w := newWorld(t, 100_000)
	own, foreign := w.newAuthority("own"), w.newAuthority("foreign")
	e := engd.New(engd.Switches{AnswerTokens: 4})
	w.side("engine-0", model, "model", w.serve(e.Handler()), own.settings(own))
	for name, c := range map[string]struct {
		settings string
		want     int
	}{
		"own":     {own.settings(own), http.StatusOK},
		"none":    {"", http.StatusServiceUnavailable},
		"foreign": {foreign.settings(own), http.StatusServiceUnavailable},
	} {
		r := w.router("router-"+name, c.settings, "[limits]\nfirst-event-timeout = 1s")
		w.ready(r)
		got := r.chat("", "question", 8)
		if (got.status == http.StatusOK) != (c.want == http.StatusOK) {
			t.Errorf("entry instance with certificate %q: got %+v, want status %d", name, got, c.want)
		}
		r.terminate()
	}
	if runs := e.Counts().Total.Runs; runs != 1 {
		t.Errorf("got %d runs at the engine, want 1", runs)
	}
}
