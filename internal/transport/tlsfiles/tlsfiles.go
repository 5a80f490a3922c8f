// Package tlsfiles loads certificates from PEM files and reloads them when they
// change, so that a renewed certificate needs no restart.
package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
)

// ErrNoCertificate tells that a CA file holds no usable certificate.
const ErrNoCertificate = errors.ConstError("no certificate in file")

// recheckEvery bounds how often the files' times are looked at.
const recheckEvery = 5 * time.Second

// Files names the PEM files of one identity.
type Files struct {
	Cert string
	Key  string
	// CA verifies the other side; empty for a server that takes any client.
	CA string
}

// Reloader serves the newest certificates of some files.
type Reloader struct {
	files   Files
	mu      sync.Mutex
	checked time.Time
	stamp   [3]time.Time
	cert    *tls.Certificate
	pool    *x509.CertPool
}

// NewReloader loads the files once, so that a wrong path is found at start.
func NewReloader(files Files) (*Reloader, error) {
	s := &Reloader{files: files}
	if err := s.load(); err != nil {
		return nil, err
	}
	s.stamp = s.times()
	return s, nil
}

func (s *Reloader) load() error {
	cert, err := tls.LoadX509KeyPair(s.files.Cert, s.files.Key)
	if err != nil {
		return errors.Annotatef(err, "certificate %s", s.files.Cert)
	}
	var pool *x509.CertPool
	if s.files.CA != "" {
		pem, err := os.ReadFile(s.files.CA)
		if err != nil {
			return errors.Trace(err)
		}
		pool = x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return errors.Annotatef(ErrNoCertificate, "%s", s.files.CA)
		}
	}
	s.cert, s.pool = &cert, pool
	return nil
}

func (s *Reloader) times() [3]time.Time {
	var stamp [3]time.Time
	for i, name := range []string{s.files.Cert, s.files.Key, s.files.CA} {
		if info, err := os.Stat(name); err == nil {
			stamp[i] = info.ModTime()
		}
	}
	return stamp
}

// current returns the newest loadable certificates. Files that are half
// replaced do not load; the last good ones stay in use until they do.
func (s *Reloader) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.checked) >= recheckEvery {
		s.checked = now
		if stamp := s.times(); stamp != s.stamp && s.load() == nil {
			s.stamp = stamp
		}
	}
	return s.cert, s.pool
}

// ServerConfig returns a configuration that asks clients for a certificate of the CA,
// or for none when no CA is set.
func (s *Reloader) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := s.current()
			cfg := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*cert}, NextProtos: []string{"h2", "http/1.1"}}
			if pool != nil {
				cfg.ClientAuth, cfg.ClientCAs = tls.RequireAndVerifyClientCert, pool
			}
			return cfg, nil
		},
	}
}

// ClientConfig returns a configuration that shows the certificate and accepts servers
// signed by the CA, whatever their name: processes know each other by IP number
// and the CA signs the system's processes only.
func (s *Reloader) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS12,
		InsecureSkipVerify: true, // VerifyConnection below checks the chain against the CA.
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := s.current()
			return cert, nil
		},
		VerifyConnection: s.verifyServer,
	}
}

func (s *Reloader) verifyServer(state tls.ConnectionState) error {
	_, pool := s.current()
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: pool, Intermediates: intermediates})
	return errors.Trace(err)
}
