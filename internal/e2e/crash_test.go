package e2e

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// fragile is a plain service's endpoint whose process ends when it runs one of its requests, and is started anew.
type fragile struct {
	t       *testing.T
	address string
	mu      sync.Mutex
	crashes int
	mended  bool
	closed  bool
}

func newFragile(t *testing.T) *fragile {
	f := &fragile{t: t}
	f.serve("127.0.0.1:0")
	t.Cleanup(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.closed = true
	})
	return f
}

func (f *fragile) serve(address string) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		f.t.Error(err)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		l.Close()
		return
	}
	f.address = l.Addr().String()
	life := &http.Server{}
	life.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		f.mu.Lock()
		crash := string(body) == "poison" && !f.mended
		if crash {
			f.crashes++
		}
		f.mu.Unlock()
		if !crash {
			io.WriteString(w, "fine")
			return
		}
		life.Close()
		time.AfterFunc(500*time.Millisecond, func() { f.serve(f.address) })
	})
	go life.Serve(l)
	f.t.Cleanup(func() { life.Close() })
}

func (f *fragile) set(mended bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mended = mended
}

// TestRequestThatCrashesEndpoints repeats a request that ends the endpoints which run it, at two entries, one of which is
// killed and started anew.
//
// It ends three and is refused from then on, also by the entry that starts later. Others are served. When an operator lifts its quarantine it
// is run again.
func TestRequestThatCrashesEndpoints(t *testing.T) {
	s := newSite(t)
	s.platform()
	var endpoints []*fragile
	for i := range 6 {
		f := newFragile(t)
		endpoints = append(endpoints, f)
		s.agentAt(fmt.Sprint("agent-", i), "domain-a", "-plain", f.address, "pool=lookup")
	}
	s.entry("entry-1", "domain-a")
	s.entry("entry-2", "domain-b")
	s.configure("entry-1")
	s.apply("entry-1", `{"put":[
	 {"kind":"service","id":"lookup","spec":{"kind":"plain","customers":["*"],"objective":{},"limits":{}}},
	 {"kind":"intent","id":"lookup","spec":{"service":"lookup","labels":{"pool":"lookup"}}}]}`)
	entries := []string{"entry-1", "entry-2"}
	for _, entry := range entries {
		s.eventually(entry+" knows all", func() bool { return s.alive(entry) == 8 && s.revision(entry) == 2 })
	}
	ask := func(entry, body string) answer {
		return s.try(http.MethodPut, s.url(entry, "/v1/services/lookup/x"), customerKey, nil, body)
	}
	crashes := func() int {
		n := 0
		for _, f := range endpoints {
			f.mu.Lock()
			n += f.crashes
			f.mu.Unlock()
		}
		return n
	}
	asked := 0
	s.eventually("the request is refused everywhere", func() bool {
		asked++
		return strings.Contains(ask(entries[asked%2], "poison").body, `"request_quarantined"`) &&
			strings.Contains(ask(entries[(asked+1)%2], "poison").body, `"request_quarantined"`)
	})
	// Two entries that are asked at the same moment may each find out for themselves.
	if n := crashes(); n < 3 || n > 3*len(entries) {
		t.Errorf("%d endpoints crashed", n)
	}
	refused := ask("entry-1", "poison")
	if refused.status != http.StatusServiceUnavailable || refused.header.Get("Retry-After") == "" || !strings.Contains(refused.body, `"ran":"no"`) {
		t.Errorf("%d %v %s", refused.status, refused.header, refused.body)
	}
	s.eventually("other requests are served", func() bool { return ask("entry-1", "sound").body == "fine" && ask("entry-2", "sound").body == "fine" })

	var listed []struct {
		Fingerprint, Customer, Service, Target string
		Crashes                                int
	}
	s.eventually("the quarantine is listed", func() bool {
		a := s.do(http.MethodGet, s.url("entry-2", "/v1/quarantines"), operatorKey, nil, "")
		return json.Unmarshal([]byte(a.body), &listed) == nil && len(listed) == 1
	})
	if listed[0].Customer != "vieux-chene" || listed[0].Service != "lookup" || listed[0].Target != "/x" {
		t.Errorf("%+v", listed)
	}
	before := crashes()
	s.kill("entry-2")
	s.entry("entry-2", "domain-b")
	s.eventually("the new entry knows all", func() bool { return s.alive("entry-2") >= 8 && s.revision("entry-2") == 2 })
	s.eventually("the new entry refuses the request", func() bool { return strings.Contains(ask("entry-2", "poison").body, `"request_quarantined"`) })
	if n := crashes(); n > before+1 {
		t.Errorf("%d endpoints crashed by the new entry", n-before)
	}
	for _, f := range endpoints {
		f.set(true)
	}
	if a := s.try(http.MethodDelete, s.url("entry-1", "/v1/quarantines/0123"), operatorKey, nil, ""); a.status != http.StatusBadRequest {
		t.Errorf("%d %s", a.status, a.body)
	}
	if a := s.try(http.MethodDelete, s.url("entry-1", "/v1/quarantines/"+listed[0].Fingerprint), customerKey, nil, ""); a.status != http.StatusForbidden {
		t.Errorf("a customer lifts: %d %s", a.status, a.body)
	}
	s.do(http.MethodDelete, s.url("entry-1", "/v1/quarantines/"+listed[0].Fingerprint), operatorKey, nil, "")
	s.eventually("the request is run again", func() bool { return ask("entry-1", "poison").body == "fine" && ask("entry-2", "poison").body == "fine" })
	s.signal("entry-2", syscall.SIGTERM)
}
