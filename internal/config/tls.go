package config

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
)

// Load reads the files and returns the TLS configuration for both ends of
// connections between the system's own processes. It returns nil if no files are
// set.
func (p PeerTLS) Load() (*tls.Config, error) {
	if !p.Enabled() {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(p.Cert, p.Key)
	if err != nil {
		return nil, fmt.Errorf("certificate of section %q: %w", "peer-tls", err)
	}
	pem, err := os.ReadFile(p.CA)
	if err != nil {
		return nil, fmt.Errorf("certificate authorities of section %q: %w", "peer-tls", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("file %q of section %q contains no certificate", p.CA, "peer-tls")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}
