package e2e

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// authority signs certificates for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	dir  string
	next int64
}

func newAuthority(t *testing.T, name string) *authority {
	a := &authority{dir: t.TempDir(), next: 2}
	a.key, _ = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	a.cert, _ = x509.ParseCertificate(der)
	a.write(t, "ca.pem", "CERTIFICATE", der)
	return a
}

func (a *authority) write(t *testing.T, name, kind string, der []byte) {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(a.path(name), data, 0o600); err != nil {
		t.Fatal(err)
	}
}

func (a *authority) path(name string) string { return filepath.Join(a.dir, name) }

// issue writes name.pem and name.key.
func (a *authority) issue(t *testing.T, name string) {
	key, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	a.next++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.next), Subject: pkix.Name{CommonName: name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, _ := x509.MarshalECPrivateKey(key)
	a.write(t, name+".key", "EC PRIVATE KEY", keyDER)
	a.write(t, name+".pem", "CERTIFICATE", der)
}

func (a *authority) peerArgs(name string) []string {
	return []string{"-peer-cert", a.path(name + ".pem"), "-peer-key", a.path(name + ".key"), "-peer-ca", a.path("ca.pem")}
}

// TestTLS runs a site with mutual TLS between its processes and TLS to callers.
//
// Callers are served over TLS; a process with a certificate of another
// authority is not heard, though it speaks the same protocol; a renewed
// certificate is shown without a restart.
func TestTLS(t *testing.T) {
	ours, theirs := newAuthority(t, "ours"), newAuthority(t, "theirs")
	for _, name := range []string{"entry", "agent", "caller"} {
		ours.issue(t, name)
	}
	theirs.issue(t, "stranger")
	s := newSite(t)
	s.platform()
	s.start("engine-1", "standin", "engine")
	s.agent("agent-1", "domain-a", "-engine", "engine-1", "pool=models", ours.peerArgs("agent")...)
	entry := append(ours.peerArgs("entry"), "-tls-cert", ours.path("caller.pem"), "-tls-key", ours.path("caller.key"))
	s.entry("entry-1", "domain-a", entry...)
	pool := x509.NewCertPool()
	pool.AddCert(ours.cert)
	var serial *big.Int
	client := &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: &tls.Config{
		RootCAs: pool, VerifyConnection: func(state tls.ConnectionState) error { serial = state.PeerCertificates[0].SerialNumber; return nil },
	}}}
	url := "https://" + s.procs["entry-1"].listen
	status := func() string {
		r, _ := http.NewRequest(http.MethodGet, url+"/v1/status", nil)
		r.Header.Set("Authorization", "Bearer "+operatorKey)
		resp, err := client.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		var body strings.Builder
		resp.Write(&body)
		return body.String()
	}
	s.eventually("the entry knows the agent", func() bool { return strings.Contains(status(), `"id":"agent-1"`) })
	s.agent("stranger", "domain-a", "-engine", "engine-1", "pool=models", theirs.peerArgs("stranger")...)
	first := serial
	ours.issue(t, "caller")
	s.eventually("the renewed certificate is shown", func() bool { status(); return serial.Cmp(first) != 0 })
	// The renewal took several seconds of probes, which the stranger spent trying.
	if strings.Contains(status(), `"id":"stranger"`) {
		t.Error("a process of another authority is a member")
	}
	if resp, err := http.Get("http://" + s.procs["entry-1"].listen + "/readyz"); err == nil && resp.StatusCode == http.StatusOK {
		t.Error("plaintext is served beside TLS")
	}
}
