package e2e

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"limpetwall/internal/transport/ingress/ingresstest"
)

const (
	// unrulyMemoryMB, unrulyDescriptors and unrulyBody are lowered limits of the processes before a crowd.
	unrulyMemoryMB    = 128
	unrulyDescriptors = 512
	unrulyBody        = 1 << 20
)

// unrulySite is a small site whose processes have lowered limits.
type unrulySite struct {
	*site
	t     *testing.T
	usage map[string]*ingresstest.Usage
}

func newUnrulySite(t *testing.T, entryArgs ...string) *unrulySite {
	s := &unrulySite{site: newSite(t), t: t, usage: map[string]*ingresstest.Usage{}}
	s.program = ingresstest.Program(t)
	s.env = []string{
		fmt.Sprint("LIMPETWALL_MEMORY_MB=", unrulyMemoryMB), fmt.Sprint("LIMPETWALL_MAX_DESCRIPTORS=", unrulyDescriptors),
		fmt.Sprint("LIMPETWALL_MAX_BODY=", unrulyBody),
	}
	s.platform()
	s.start("engine-1", "standin", "engine")
	s.agent("agent-1", "domain-a", "-engine", "engine-1", "pool=models")
	s.start("service", "standin", "service")
	s.agent("booking", "domain-a", "-plain", "service", "pool=booking")
	s.entry("entry-1", "domain-a", entryArgs...)
	return s
}

// begin configures the site and waits until it serves.
func (s *unrulySite) begin() *unrulySite {
	s.configure("entry-1")
	s.eventually("an ordinary request is answered", s.isServing)
	for _, name := range []string{"entry-1", "agent-1", "booking"} {
		s.usage[name] = ingresstest.Watch(s.procs[name].cmd.Process.Pid)
	}
	return s
}

// isServing reports whether one ordinary request of each kind is served.
func (s *unrulySite) isServing() bool {
	prompt := s.try(http.MethodPost, s.url("entry-1", "/v1/chat/completions"), customerKey, nil, chatBody("an oak chair", 3, true))
	plain := s.try(http.MethodPost, s.url("entry-1", "/v1/services/booking/7"), customerKey, nil, "truck 4")
	return prompt.err == nil && prompt.status == http.StatusOK && strings.Contains(prompt.body, "[DONE]") &&
		plain.err == nil && plain.status == http.StatusCreated
}

// check checks what holds while a crowd is there and after it has left.
func (s *unrulySite) check(leave func()) {
	s.t.Helper()
	s.eventually("an ordinary request beside the crowd is answered", s.isServing)
	leave()
	s.eventually("an ordinary request after the crowd is answered", s.isServing)
	for name, usage := range s.usage {
		s.t.Log(name)
		usage.Check(s.t, s.procs[name].exited, ingresstest.Bounds{Memory: unrulyMemoryMB << 20, Descriptors: unrulyDescriptors})
	}
}

func unrulyHead(path string, lines ...string) string {
	return ingresstest.Head("POST", path, "entry", append([]string{"Authorization: Bearer " + customerKey}, lines...)...)
}

// TestUnrulyEntryRequestsThatNeverEnd guards against an entry that ends, or takes more than its machine has, by what it keeps of
// requests that clients begin and do not finish.
func TestUnrulyEntryRequestsThatNeverEnd(t *testing.T) {
	const (
		size     = 256
		farOver  = 16 * unrulyBody
		prompts  = "/v1/chat/completions"
		plain    = "/v1/services/booking/7"
		operator = "/v1/plans"
	)
	for _, row := range []struct {
		name string
		send func(net.Conn)
	}{
		{"prompts in large chunks that stop before their end", ingresstest.Chunked(unrulyHead(prompts), 64<<10, unrulyBody-(64<<10))},
		{"calls in small chunks that stop before their end", ingresstest.Chunked(unrulyHead(plain), 16, unrulyBody-(64<<10))},
		{"announced calls that stop before their end", ingresstest.Announced(unrulyHead(plain), unrulyBody, unrulyBody-1)},
		{"announced bodies far over the limit", ingresstest.Announced(unrulyHead(plain), farOver, farOver/4)},
		{"bodies far over the limit", ingresstest.Chunked(unrulyHead(plain), 64<<10, farOver)},
		{"bodies of an unknown operator", ingresstest.Chunked(unrulyHead(operator), 64<<10, farOver)},
		{"a header line that stops before its end", ingresstest.Text(unrulyHead(plain) + "X-Long: " + strings.Repeat("x", 900<<10))},
		{"header lines that stop before their end", ingresstest.Text(unrulyHead(plain) + distinctLines())},
	} {
		t.Run(row.name, func(t *testing.T) {
			s := newUnrulySite(t).begin()
			crowd := ingresstest.Gather(t, s.procs["entry-1"].listen, size, row.send)
			s.check(crowd.Disperse)
		})
	}
}

// distinctLines returns 60 KB of header lines of different names.
func distinctLines() string {
	var out strings.Builder
	for n := 0; out.Len() < 60<<10; n++ {
		fmt.Fprintf(&out, "%x:\r\n", n)
	}
	return out.String()
}

// TestUnrulyEntryBodiesOfManyParts guards against bodies inside the limit of which a process makes many times as much.
func TestUnrulyEntryBodiesOfManyParts(t *testing.T) {
	const size = 16
	for _, row := range []struct{ name, begin, part, end string }{
		{"messages", `{"model":"describe","messages":[{}`, `,{}`, `]}`},
		{"parts of a message", `{"model":"describe","messages":[{"role":"user","content":[{}`, `,{}`, `]}]}`},
		{"fields", `{"model":"describe"`, `,"":0`, `}`},
	} {
		t.Run(row.name, func(t *testing.T) {
			s := newUnrulySite(t).begin()
			parts := (unrulyBody - len(row.begin) - len(row.end)) / len(row.part)
			if row.name == "fields" {
				parts = parts / 3
				row.part = ""
				var fields strings.Builder
				for n := range parts {
					fmt.Fprintf(&fields, `,"%x":0`, n)
				}
				row.begin, parts = row.begin+fields.String(), 0
			}
			body := row.begin + strings.Repeat(row.part, parts) + row.end
			request := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", unrulyHead("/v1/chat/completions"), len(body), body)
			crowd := ingresstest.Gather(t, s.procs["entry-1"].listen, size, ingresstest.Unread(request))
			s.check(crowd.Disperse)
		})
	}
}

// TestUnrulyEntryLimitsSpareLargestRequest guards against a limit that a single request inside the limits meets.
func TestUnrulyEntryLimitsSpareLargestRequest(t *testing.T) {
	s := newUnrulySite(t).begin()
	const message = `{"role":"user","content":[{"type":"text","text":"%s"}]}`
	frame := `{"model":"describe","max_tokens":3,"messages":[` + message + `]}`
	for _, row := range []struct {
		name, path, body string
		status           int
	}{
		{"a prompt", "/v1/chat/completions", fmt.Sprintf(frame, strings.Repeat("x", unrulyBody-len(frame))), http.StatusOK},
		{"a call", "/v1/services/booking/7", strings.Repeat("x", unrulyBody), http.StatusCreated},
	} {
		if a := s.try(http.MethodPost, s.url("entry-1", row.path), customerKey, nil, row.body); a.status != row.status {
			t.Errorf("%s: %d %s, want %d", row.name, a.status, a.body[:min(len(a.body), 200)], row.status)
		}
	}
	s.check(func() {})
}

// TestUnrulyEntryConnections guards against connections without requests that take all descriptors of a process, at each address
// that it listens at.
func TestUnrulyEntryConnections(t *testing.T) {
	const size = 1000
	for _, row := range []struct {
		name    string
		address func(*unrulySite) string
		send    func(net.Conn)
	}{
		{"clients that send nothing", func(s *unrulySite) string { return s.procs["entry-1"].listen }, ingresstest.Idle},
		{"clients that send a byte", func(s *unrulySite) string { return s.procs["entry-1"].listen }, ingresstest.Text("G")},
		{"clients that are answered and stay", func(s *unrulySite) string { return s.procs["entry-1"].listen }, ingresstest.Text(ingresstest.Head("GET", "/healthz", "entry") + "\r\n")},
		{"peers of an entry that send nothing", func(s *unrulySite) string { return s.procs["entry-1"].peer }, ingresstest.Idle},
		{"peers of an agent that send nothing", func(s *unrulySite) string { return s.procs["agent-1"].peer }, ingresstest.Idle},
	} {
		t.Run(row.name, func(t *testing.T) {
			s := newUnrulySite(t).begin()
			crowd := ingresstest.Gather(t, row.address(s), size, row.send)
			s.check(crowd.Disperse)
		})
	}
}

// TestUnrulyEntryReaders guards against answers that pile up in an entry or an agent because their clients do not read them.
func TestUnrulyEntryReaders(t *testing.T) {
	const size = 300
	// The stand-in quotes a body in its answer: each of its bytes becomes four.
	body := strings.Repeat("\x01", unrulyBody/4)
	s := newUnrulySite(t).begin()
	crowd := ingresstest.Gather(t, s.procs["entry-1"].listen, size,
		ingresstest.Unread(unrulyHead("/v1/services/booking/7", fmt.Sprint("Content-Length: ", len(body)))+"\r\n"+body))
	s.check(crowd.Disperse)
}

// TestUnrulyCallersOfManyEntries guards against an agent that holds what all entries may hold together.
func TestUnrulyCallersOfManyEntries(t *testing.T) {
	const (
		entries = 6
		size    = 20
		maxBody = 4 << 20
	)
	for _, row := range []struct {
		name, body, faults string
	}{
		{"calls that wait for their service", strings.Repeat("x", maxBody), `{"frozen":true}`},
		// The stand-in quotes a body in its answer: each of its bytes becomes four.
		{"answers that are not read", strings.Repeat("\x01", maxBody/4), `{}`},
	} {
		t.Run(row.name, func(t *testing.T) {
			s := newUnrulySite(t)
			// The other entries have more memory than the agent.
			s.env = []string{"LIMPETWALL_MEMORY_MB=1024", s.env[1], fmt.Sprint("LIMPETWALL_MAX_BODY=", maxBody)}
			for n := 2; n <= entries; n++ {
				s.entry(fmt.Sprint("entry-", n), "domain-a")
			}
			s.begin()
			s.fault("service", row.faults)
			request := unrulyHead("/v1/services/booking/7", fmt.Sprint("Content-Length: ", len(row.body))) + "\r\n" + row.body
			var crowds []*ingresstest.Crowd
			for n := 2; n <= entries; n++ {
				crowds = append(crowds, ingresstest.Gather(t, s.procs[fmt.Sprint("entry-", n)].listen, size, ingresstest.Unread(request)))
			}
			s.fault("service", `{}`)
			s.check(func() {
				for _, crowd := range crowds {
					crowd.Disperse()
				}
			})
		})
	}
}

// TestUnrulyEntryWithUnreadLog guards against an entry that answers nobody any more once clients have caused more lines than the
// reader of its log takes.
func TestUnrulyEntryWithUnreadLog(t *testing.T) {
	const (
		size = 16
		each = 200
	)
	s := newUnrulySite(t).begin()
	unread := make(chan struct{})
	s.procs["entry-1"].unread.Store(&unread)
	defer close(unread)
	request := ingresstest.Head("GET", "/v1/services/booking/"+strings.Repeat("x", 2048), "entry", "Authorization: Bearer "+customerKey) + "\r\n"
	crowd := ingresstest.Gather(t, s.procs["entry-1"].listen, size, func(conn net.Conn) {
		go io.Copy(io.Discard, conn)
		for range each {
			if _, err := io.WriteString(conn, request); err != nil {
				return
			}
		}
	})
	s.check(crowd.Disperse)
}

// TestUnrulyEntryStreams guards against the memory of requests that share HTTP/2 connections and never end.
func TestUnrulyEntryStreams(t *testing.T) {
	const (
		conns   = 4
		streams = 100
	)
	authority := newAuthority(t, "ours")
	authority.issue(t, "caller")
	s := newUnrulySite(t)
	s.start("entry-2", append(append([]string{"entry"}, s.common("entry-2", "domain-a")...), "-listen", "127.0.0.1:0", "-drain-delay", "0s",
		"-tls-cert", authority.path("caller.pem"), "-tls-key", authority.path("caller.key"))...)
	s.list(s.procs["entry-2"], "domain-a", "live")
	s.begin()
	s.usage["entry-2"] = ingresstest.Watch(s.procs["entry-2"].cmd.Process.Pid)
	ctx, leave := context.WithCancel(t.Context())
	var crowd sync.WaitGroup
	defer crowd.Wait()
	defer leave()
	data := bytes.Repeat([]byte("x"), unrulyBody-1)
	var sent sync.WaitGroup
	for range conns {
		client := &http.Client{Transport: &http.Transport{ForceAttemptHTTP2: true, TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
		for range streams {
			sent.Add(1)
			body := &endlessBody{data: bytes.NewReader(data), sent: sync.OnceFunc(sent.Done), end: ctx.Done()}
			crowd.Go(func() {
				defer body.sent()
				r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+s.procs["entry-2"].listen+"/v1/services/booking/7", body)
				r.Header.Set("Authorization", "Bearer "+customerKey)
				if resp, err := client.Do(r); err == nil {
					io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
			})
		}
	}
	sent.Wait()
	s.check(leave)
}

// endlessBody is a body of which data comes at once, and its end never.
type endlessBody struct {
	data io.Reader
	sent func()
	end  <-chan struct{}
}

// Read implements io.Reader.
func (b *endlessBody) Read(p []byte) (int, error) {
	if n, err := b.data.Read(p); err == nil {
		return n, nil
	}
	b.sent()
	<-b.end
	return 0, io.ErrUnexpectedEOF
}
