package entry

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"limpetwall/internal/coordination/runs"
	"limpetwall/internal/protocol/apierror"
	"limpetwall/internal/state/config"
)

const rootKey = "root-key"

// withoutEnd are requests whose bodies do not come to their end, as each reader of bodies gets them.
var withoutEnd = []struct{ name, key, path, framed string }{
	{"a prompt", callerKey, promptURL, "Content-Length: 100\r\n\r\n{"},
	{"a prompt in chunks", callerKey, promptURL, "Transfer-Encoding: chunked\r\n\r\n5\r\n{"},
	{"a plain call", callerKey, plainURL, "Content-Length: 100\r\n\r\n{"},
	{"a plan", rootKey, "/v1/plans", "Content-Length: 100\r\n\r\n{"},
	{"a confirm", rootKey, "/v1/plans/confirm", "Content-Length: 100\r\n\r\n{"},
}

// send opens a connection and sends a request whose framing and body are given.
func (s *site) send(t *testing.T, key, path, framed string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", s.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n%s", path, key, framed)
	return c, bufio.NewReader(c)
}

// untilUnderway waits until the entry has a request.
func (s *site) untilUnderway() {
	for s.entry.Underway() == 0 {
		runtime.Gosched()
	}
}

// refusal reads an error answer.
func refusal(t *testing.T, r *bufio.Reader) (status int, text string) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatalf("the caller got %v", err)
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatalf("the caller got %d, %q, %v", resp.StatusCode, data, err)
	}
	return resp.StatusCode, string(data)
}

// operatorOrRequestLine waits for the handlers' end and returns the only line of either kind.
func (s *site) operatorOrRequestLine(t *testing.T) map[string]any {
	t.Helper()
	s.server.Close()
	if all := s.lines.FilterMessage("operator request").All(); len(all) == 1 {
		return all[0].ContextMap()
	}
	return s.line(t)
}

func newBodySite(t *testing.T) *site {
	s := newSite(t, &scriptedAgent{})
	s.entry.cfg.RootKeyHash = config.HashKey(rootKey)
	return s
}

// TestForcedStopAnswersHalfReadBodies guards against callers that get a connection's end in place of an answer.
func TestForcedStopAnswersHalfReadBodies(t *testing.T) {
	for _, row := range withoutEnd {
		t.Run(row.name, func(t *testing.T) {
			s := newBodySite(t)
			_, answer := s.send(t, row.key, row.path, row.framed)
			s.untilUnderway()
			s.stop(runs.ErrStopping)
			status, text := refusal(t, answer)
			if status != http.StatusServiceUnavailable {
				t.Errorf("the caller got %d, want 503", status)
			}
			for _, told := range []string{`"code":"stopping"`, `"ran":"no"`, `"advice":"retry_after","after_ms":`} {
				if !strings.Contains(text, told) {
					t.Errorf("the caller is not told %s but %q", told, text)
				}
			}
			if line := s.operatorOrRequestLine(t); line["code"] != apierror.CodeStopping {
				t.Errorf("the line says %v", line["code"])
			}
		})
	}
}

// TestBodiesHaveTheirTime guards against a half-sent body that holds its request, and so a stop, for as long as it likes.
func TestBodiesHaveTheirTime(t *testing.T) {
	for _, row := range withoutEnd {
		t.Run(row.name, func(t *testing.T) {
			s := newBodySite(t)
			s.entry.cfg.BodyTime = 50 * time.Millisecond
			_, answer := s.send(t, row.key, row.path, row.framed)
			if status, text := refusal(t, answer); status != http.StatusRequestTimeout || !strings.Contains(text, `"code":"timeout"`) {
				t.Errorf("the caller got %d, %q, want 408", status, text)
			}
			if line := s.operatorOrRequestLine(t); line["code"] != apierror.CodeTimeout {
				t.Errorf("the line says %v", line["code"])
			}
		})
	}
}

// TestUnreadableBodiesAreNotTooLarge guards against a cause of a failed read that sends its caller after another one.
func TestUnreadableBodiesAreNotTooLarge(t *testing.T) {
	rows := []struct {
		name, framed string
		status       int
		code         string
	}{
		{"malformed chunks", "Transfer-Encoding: chunked\r\n\r\nno number\r\n", http.StatusBadRequest, apierror.CodeBadRequest},
		{"above the limit", "Content-Length: 20\r\n\r\n" + strings.Repeat(" ", 20), http.StatusRequestEntityTooLarge, apierror.CodeTooLarge},
	}
	for _, row := range rows {
		for _, to := range withoutEnd {
			t.Run(row.name+", "+to.name, func(t *testing.T) {
				s := newBodySite(t)
				s.entry.cfg.MaxBody = 10
				_, answer := s.send(t, to.key, to.path, row.framed)
				if status, text := refusal(t, answer); status != row.status || !strings.Contains(text, `"code":"`+row.code+`"`) {
					t.Errorf("the caller got %d, %q, want %d, %s", status, text, row.status, row.code)
				}
			})
		}
	}
}

// slowDeadlines takes a second to set a deadline in the past, and fails then the read of its body.
type slowDeadlines struct {
	http.ResponseWriter
	past chan struct{}
	done bool
}

func (w *slowDeadlines) SetReadDeadline(t time.Time) error {
	if !t.IsZero() && t.Before(time.Now()) {
		close(w.past)
		time.Sleep(time.Second)
		w.done = true
	}
	return nil
}

func (w *slowDeadlines) Read([]byte) (int, error) {
	<-w.past
	return 0, os.ErrDeadlineExceeded
}

// TestReadBodyLeavesNothingBehind guards against a deadline set for an HTTP/2 request whose handler has returned, which panics.
func TestReadBodyLeavesNothingBehind(t *testing.T) {
	rows := []struct {
		cause error
		code  string
	}{
		{runs.ErrStopping, apierror.CodeStopping},
		{errors.New("reset"), apierror.CodeClientGone},
	}
	for _, row := range rows {
		t.Run(row.code, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, end := context.WithCancelCause(t.Context())
				w := &slowDeadlines{ResponseWriter: httptest.NewRecorder(), past: make(chan struct{})}
				r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/", w)
				go func() {
					synctest.Wait()
					end(row.cause)
				}()
				_, refused := readBody(w, r, time.Minute)
				if !w.done {
					t.Error("a deadline is still being set")
				}
				if refused == nil || refused.Code != row.code {
					t.Errorf("refused with %v, want %s", refused, row.code)
				}
			})
		})
	}
}

// TestForcedStopAnswersHalfReadBodiesOverHTTP2 guards against a stop that ends only the reads of HTTP/1.
func TestForcedStopAnswersHalfReadBodiesOverHTTP2(t *testing.T) {
	for _, row := range withoutEnd {
		t.Run(row.name, func(t *testing.T) {
			s := newBodySite(t)
			hard, stop := context.WithCancelCause(t.Context())
			server := httptest.NewUnstartedServer(s.entry.Handler())
			server.EnableHTTP2 = true
			server.Config.BaseContext = func(net.Listener) context.Context { return hard }
			server.StartTLS()
			defer server.Close()
			half, rest := io.Pipe()
			defer rest.Close()
			go func() {
				if _, err := rest.Write([]byte("{")); err == nil {
					s.untilUnderway()
					stop(runs.ErrStopping)
				}
			}()
			r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+row.path, half)
			if err != nil {
				t.Fatal(err)
			}
			r.Header.Set("Authorization", "Bearer "+row.key)
			resp, err := server.Client().Do(r)
			if err != nil {
				t.Fatalf("the caller got %v", err)
			}
			defer resp.Body.Close()
			if data, err := io.ReadAll(resp.Body); resp.ProtoMajor != 2 || resp.StatusCode != http.StatusServiceUnavailable {
				t.Errorf("the caller got %d by %s, %q, %v; want 503 by HTTP/2", resp.StatusCode, resp.Proto, data, err)
			}
		})
	}
}
