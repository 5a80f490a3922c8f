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

// ErrNoCertificate is returned when a CA file contains no usable certificate.
const ErrNoCertificate = errors.ConstError("no certificate in file")

// recheckInterval is the minimum time between two checks of the files' modification times.
const recheckInterval = 5 * time.Second

// Files holds the paths of the PEM files of one TLS identity.
type Files struct {
	Cert string
	Key  string
	// CA verifies the peer's certificate. It is empty for a server that accepts any client.
	CA string
}

// Reloader provides the current certificates of the files, and loads files that changed.
type Reloader struct {
	files     Files
	mu        sync.Mutex
	lastCheck time.Time
	modTimes  [3]time.Time
	cert      *tls.Certificate
	pool      *x509.CertPool
}

// NewReloader loads the files once, so that a wrong path is detected at start.
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

// current returns the last certificates that loaded. Partly replaced files do not
// load; the previous certificates stay in use until they do.
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

// ServerConfig returns a configuration that requires clients to present a certificate
// signed by the CA, or none when no CA is set.
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

// ClientConfig returns a configuration that presents the certificate and accepts any
// server whose certificate is signed by the CA. The server's name is not checked:
// processes address each other by IP, and the CA signs only processes of this system.
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
