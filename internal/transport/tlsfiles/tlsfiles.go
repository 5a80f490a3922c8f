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

// recheckInterval bounds how often the files' times are looked at.
const recheckInterval = 5 * time.Second

// Files names the PEM files of one identity.
type Files struct {
	Cert string
	Key  string
	// CA verifies the other side; empty for a server that takes any client.
	CA string
}

// Reloader serves the newest certificates of some files.
type Reloader struct {
	files     Files
	mu        sync.Mutex
	lastCheck time.Time
	modTimes  [3]time.Time
	cert      *tls.Certificate
	pool      *x509.CertPool
}

// NewReloader loads the files once, so that a wrong path is found at start.
func NewReloader(files Files) (*Reloader, error) {
	r := &Reloader{files: files}
	if err := r.load(); err != nil {
		return nil, err
	}
	r.modTimes = r.readModTimes()
	return r, nil
}

func (r *Reloader) load() error {
	cert, err := tls.LoadX509KeyPair(r.files.Cert, r.files.Key)
	if err != nil {
		return errors.Annotatef(err, "certificate %s", r.files.Cert)
	}
	var pool *x509.CertPool
	if r.files.CA != "" {
		pem, err := os.ReadFile(r.files.CA)
		if err != nil {
			return errors.Trace(err)
		}
		pool = x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return errors.Annotatef(ErrNoCertificate, "%s", r.files.CA)
		}
	}
	r.cert, r.pool = &cert, pool
	return nil
}

func (r *Reloader) readModTimes() [3]time.Time {
	var modTimes [3]time.Time
	for i, name := range []string{r.files.Cert, r.files.Key, r.files.CA} {
		if info, err := os.Stat(name); err == nil {
			modTimes[i] = info.ModTime()
		}
	}
	return modTimes
}

// current returns the newest loadable certificates. Files that are half
// replaced do not load; the last good ones stay in use until they do.
func (r *Reloader) current() (*tls.Certificate, *x509.CertPool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); now.Sub(r.lastCheck) >= recheckInterval {
		r.lastCheck = now
		if modTimes := r.readModTimes(); modTimes != r.modTimes && r.load() == nil {
			r.modTimes = modTimes
		}
	}
	return r.cert, r.pool
}

// ServerConfig returns a configuration that asks clients for a certificate of the CA,
// or for none when no CA is set.
func (r *Reloader) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := r.current()
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
func (r *Reloader) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS12,
		InsecureSkipVerify: true, // VerifyConnection below checks the chain against the CA.
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := r.current()
			return cert, nil
		},
		VerifyConnection: r.verifyServer,
	}
}

func (r *Reloader) verifyServer(state tls.ConnectionState) error {
	_, pool := r.current()
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: pool, Intermediates: intermediates})
	return errors.Trace(err)
}
