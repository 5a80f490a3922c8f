package ingress

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"limpetwall/internal/state/routes"
	"limpetwall/internal/transport/memquota"
)

// servingTLS is serving over TLS; dial returns a connection with one of the protocols.
func servingTLS(t *testing.T, handler http.Handler, test func(s *Server, dial func(protocols ...string) *tls.Conn)) {
	certificates := httptest.NewTLSServer(nil)
	certificates.Close()
	config := &tls.Config{Certificates: certificates.TLS.Certificates}
	synctest.Test(t, func(t *testing.T) {
		s, p := newServer(handler), newPipes()
		done := make(chan error, 1)
		go func() { done <- s.ServeTLS(p, config) }()
		test(s, func(protocols ...string) *tls.Conn {
			c := tls.Client(p.dial(), &tls.Config{InsecureSkipVerify: true, NextProtos: protocols})
			if err := c.Handshake(); err != nil {
				t.Fatal(err)
			}
			return c
		})
		s.Close()
		if err := <-done; err != http.ErrServerClosed {
			t.Errorf("%v", err)
		}
	})
}

// TestStopAnswersWhatItReadsOverTLS guards against a stop that closes a TLS connection from which a
// part of a request was read.
func TestStopAnswersWhatItReadsOverTLS(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	rows := []struct {
		name          string
		used          bool
		before, after string
	}{
		{"the first request of a new connection", false, "", request},
		{"the rest of a first header", false, request[:20], request[20:]},
		{"the rest of a later header", true, request[:20], request[20:]},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			servingTLS(t, ok, func(s *Server, dial func(...string) *tls.Conn) {
				s.SetLimits(routes.Limits{HeaderTimeout: 10 * time.Second})
				c := dial("http/1.1")
				r := bufio.NewReader(c)
				if row.used {
					get(t, c, r)
				}
				io.WriteString(c, row.before)
				synctest.Wait()
				wait := stopped(t, s)
				time.Sleep(time.Second)
				io.WriteString(c, row.after)
				wantLast(t, r)
				c.Close()
				wait()
			})
		})
	}
}

// TestStopOfHTTP2 guards against a stop that cuts an HTTP/2 request or waits for its connection.
func TestStopOfHTTP2(t *testing.T) {
	slow := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor != 2 {
			t.Errorf("spoke %s", r.Proto)
		}
		if r.URL.Path == "/slow" {
			time.Sleep(4 * time.Second)
		}
		io.WriteString(w, "ok")
	})
	servingTLS(t, slow, func(s *Server, dial func(...string) *tls.Conn) {
		transport := &http.Transport{ForceAttemptHTTP2: true, DialTLSContext: func(context.Context, string, string) (net.Conn, error) {
			return dial("h2"), nil
		}}
		client := &http.Client{Transport: transport}
		get := func(path string) {
			resp, err := client.Get("https://h" + path)
			if err != nil {
				t.Error(err)
				return
			}
			defer resp.Body.Close()
			if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "ok" {
				t.Errorf("%q %v", body, err)
			}
		}
		get("/")
		answered := make(chan struct{})
		go func() {
			get("/slow")
			close(answered)
		}()
		synctest.Wait()
		began := time.Now()
		stopped(t, s)()
		if took := time.Since(began); took < 4*time.Second || took > 6*time.Second {
			t.Errorf("the stop took %s", took)
		}
		<-answered
		transport.CloseIdleConnections()
	})
}

// TestHTTP2ConnectionHoldsNothingItself guards against the memory of a handshake that counts as an incomplete request: the connection
// would be closed, with all its requests, when memory runs out.
func TestHTTP2ConnectionHoldsNothingItself(t *testing.T) {
	slow := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := Admit(r); err != nil {
			t.Error(err)
		}
		time.Sleep(4 * time.Second)
		io.WriteString(w, "ok")
	})
	servingTLS(t, slow, func(s *Server, dial func(...string) *tls.Conn) {
		s.memory = memquota.New(64<<10, 0)
		transport := &http.Transport{ForceAttemptHTTP2: true, DialTLSContext: func(context.Context, string, string) (net.Conn, error) {
			return dial("h2"), nil
		}}
		answered := make(chan error, 1)
		go func() {
			resp, err := (&http.Client{Transport: transport}).Get("https://h/")
			if err == nil {
				_, err = io.ReadAll(resp.Body)
			}
			answered <- err
		}()
		synctest.Wait()
		hoarder := s.memory.Open(func() {})
		for hoarder.Grow(256) == nil {
		}
		if err := <-answered; err != nil {
			t.Error(err)
		}
		hoarder.Close()
		synctest.Wait()
		if held := s.memory.Held(); held != 0 {
			t.Errorf("%d bytes held by a connection without a request", held)
		}
		transport.CloseIdleConnections()
	})
}

// TestStopEndsUnusedTLSConnections guards against a stop that waits for a caller that has opened a
// connection and sends nothing.
func TestStopEndsUnusedTLSConnections(t *testing.T) {
	for _, protocol := range []string{"http/1.1", "h2"} {
		t.Run(protocol, func(t *testing.T) {
			servingTLS(t, ok, func(s *Server, dial func(...string) *tls.Conn) {
				s.SetLimits(routes.Limits{HeaderTimeout: 10 * time.Second})
				dial(protocol)
				synctest.Wait()
				began := time.Now()
				stopped(t, s)()
				if took := time.Since(began); took > 10*time.Second {
					t.Errorf("the stop took %s", took)
				}
			})
		})
	}
}

// TestClosedUnansweredOverTLS guards against connections that are closed during a request without a
// log line.
func TestClosedUnansweredOverTLS(t *testing.T) {
	rows := []struct {
		name   string
		act    func(s *Server)
		reason closeReason
	}{
		{"the header's time is over", func(*Server) { time.Sleep(4 * time.Second) }, closedByLimit},
		{"the server is closed", func(s *Server) { s.Close() }, closedByStop},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			servingTLS(t, ok, func(s *Server, dial func(...string) *tls.Conn) {
				s.SetLimits(routes.Limits{HeaderTimeout: 3 * time.Second})
				c := dial("http/1.1")
				go io.Copy(io.Discard, c)
				io.WriteString(c, "GET / HTTP/1.1\r\n")
				synctest.Wait()
				row.act(s)
				synctest.Wait()
				if n := counted(s.report.metrics, "ingress.closed_unanswered."+string(row.reason)); n != 1 {
					t.Errorf("counted %d", n)
				}
			})
		})
	}
}

// TestStopDuringAHandshake guards against a stop that waits for the rest of a TLS handshake.
func TestStopDuringAHandshake(t *testing.T) {
	for _, sent := range []string{"", "\x16\x03\x01"} {
		synctest.Test(t, func(t *testing.T) {
			s, p := newServer(ok), newPipes()
			done := make(chan error, 1)
			go func() {
				done <- s.ServeTLS(p, &tls.Config{GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return nil, io.EOF }})
			}()
			c := p.dial()
			defer c.Close()
			io.WriteString(c, sent)
			synctest.Wait()
			began := time.Now()
			stopped(t, s)()
			if took := time.Since(began); took > newConnTimeout {
				t.Errorf("behind %q the stop took %s", sent, took)
			}
			s.Close()
			<-done
		})
	}
}
