package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// TestSessions replays whole sessions of callers and operators against separate
// processes and compares them with golden files.
func TestSessions(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Setenv("LIMPETWALL_KEY", operatorKey)
			env.Setenv("CUSTOMER", customerKey)
			env.Setenv("OTHER", otherKey)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"site": scriptSite, "http": scriptHTTP, "signal": scriptSignal, "fault": scriptFault,
			"inforce": scriptInForce, "exited": scriptExited, "bookings": scriptBookings, "oversize": scriptOversize,
			"serving": scriptServing,
		},
		UpdateScripts: os.Getenv("UPDATE_SCRIPTS") != "",
	})
}

var (
	sitesMu sync.Mutex
	sites   = map[*testscript.TestScript]*site{}
)

// scriptSite starts a whole site and sets ENTRY1 and ENTRY2.
func scriptSite(ts *testscript.TestScript, _ bool, args []string) {
	s := &site{fail: ts.Fatalf, procs: map[string]*proc{}}
	ts.Defer(s.end)
	sitesMu.Lock()
	sites[ts] = s
	sitesMu.Unlock()
	s.whole(2, args...)
	ts.Setenv("ENTRY1", s.url("entry-1", ""))
	ts.Setenv("ENTRY2", s.url("entry-2", ""))
	ts.Setenv("LIMPETWALL_ENTRY", s.url("entry-1", ""))
}

func siteOf(ts *testscript.TestScript) *site {
	sitesMu.Lock()
	defer sitesMu.Unlock()
	return sites[ts]
}

// scriptHTTP sends a request and prints status, chosen headers and body:
// http METHOD URL KEY [header=value ...] [body or @file]
func scriptHTTP(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 3 {
		ts.Fatalf("usage: http METHOD URL KEY [header=value ...] [body or @file]")
	}
	header := map[string]string{}
	body := ""
	for _, arg := range args[3:] {
		name, value, ok := strings.Cut(arg, "=")
		switch {
		case strings.HasPrefix(arg, "@"):
			body = ts.ReadFile(arg[1:])
		case ok && !strings.ContainsAny(name, "{ "):
			header[name] = value
		default:
			body = arg
		}
	}
	a := siteOf(ts).do(args[0], args[1], args[2], header, body)
	ts.Logf("%s", a.body)
	out := fmt.Sprintf("%d\n", a.status)
	for _, name := range []string{"Content-Type", "Retry-After", "X-Limpetwall-Ran", "X-Limpetwall-Replayed", "X-Should-Retry"} {
		if value := a.header.Get(name); value != "" {
			out += name + ": " + value + "\n"
		}
	}
	write(ts, "answer", out+"\n"+scrub(a.body))
	write(ts, "body", a.body)
}

func write(ts *testscript.TestScript, name, content string) {
	ts.Check(os.WriteFile(ts.MkAbs(name), []byte(content), 0o644))
}

var scrubs = []struct {
	pattern *regexp.Regexp
	with    string
}{
	{regexp.MustCompile(`[0-9a-f]{64}`), "DIGEST"},
	{regexp.MustCompile(`[0-9a-f]{24}`), "ID"},
	{regexp.MustCompile(`"created":[0-9]+`), `"created":0`},
	{regexp.MustCompile(`"at":"[^"]+"`), `"at":"TIME"`},
	{regexp.MustCompile(`127\.0\.0\.1:[0-9]+`), "ADDRESS"},
}

// scrub replaces what differs from run to run, and indents JSON objects.
func scrub(text string) string {
	for _, s := range scrubs {
		text = s.pattern.ReplaceAllString(text, s.with)
	}
	var indented bytes.Buffer
	if strings.HasPrefix(text, "{") && json.Indent(&indented, []byte(strings.TrimSpace(text)), "", " ") == nil {
		return indented.String() + "\n"
	}
	return text
}

func scriptSignal(ts *testscript.TestScript, _ bool, args []string) {
	signals := map[string]syscall.Signal{"TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT}
	siteOf(ts).signal(args[0], signals[args[1]])
	if args[1] == "KILL" {
		<-siteOf(ts).procs[args[0]].exited
	}
}

func scriptFault(ts *testscript.TestScript, _ bool, args []string) {
	siteOf(ts).fault(args[0], args[1])
}

// scriptInForce waits until an entry has a revision in force.
func scriptInForce(ts *testscript.TestScript, _ bool, args []string) {
	s := siteOf(ts)
	s.eventually("revision "+args[1]+" in force at "+args[0], func() bool {
		return fmt.Sprint(s.revision(args[0])) == args[1]
	})
}

func scriptExited(ts *testscript.TestScript, _ bool, args []string) {
	<-siteOf(ts).procs[args[0]].exited
}

// scriptBookings prints how often each booking was executed.
func scriptBookings(ts *testscript.TestScript, _ bool, _ []string) {
	data, _ := json.Marshal(siteOf(ts).bookings())
	write(ts, "bookings", string(data)+"\n")
}

// scriptServing waits until an entry sees so many engines with a version of weights:
// serving ENTRY VERSION COUNT
func scriptServing(ts *testscript.TestScript, _ bool, args []string) {
	s := siteOf(ts)
	s.eventually(args[0]+" sees "+args[1]+" at "+args[2]+" engines", func() bool {
		status := s.try(http.MethodGet, s.url(args[0], "/v1/status"), operatorKey, nil, "").body
		return fmt.Sprint(strings.Count(status, fmt.Sprintf(`"weight_version":%q`, args[1]))) == args[2]
	})
}

// scriptOversize writes a file of so many bytes.
func scriptOversize(ts *testscript.TestScript, _ bool, args []string) {
	write(ts, filepath.Base(args[0]), `{"model":"describe","messages":[{"role":"user","content":"`+strings.Repeat("x", 9<<20)+`"}]}`)
}

// TestGracefulStopCutsNothing stops an entry and then an agent while 200
// streams run through them.
//
// The callers see every stream end whole. The entry is told to stop while all
// streams are open: it closes its listener and waits; then an agent is told to
// stop and finishes what it has. Each process has one processor, so that handlers
// return long before their last events are written: stopping at that moment cuts.
func TestGracefulStopCutsNothing(t *testing.T) {
	s := newSite(t)
	s.env = []string{"GOMAXPROCS=1"}
	s.whole(2, "-slots", "256", "-token-time", "10ms", "-prefill-rate", "0")
	// Six seconds of each stream leave a busy machine the time to begin all before the first
	// ends: with 1.5 s of each, beside twenty busy processes, they never all ran together.
	const streams, words = 200, 600
	results := make(chan answer, streams)
	for i := range streams {
		go func() {
			results <- s.try(http.MethodPost, s.url("entry-1", "/v1/chat/completions"), customerKey, nil, chatBody(fmt.Sprint("chair ", i), words, true))
		}()
	}
	s.eventually("all streams run", func() bool {
		return s.running("engine-1")+s.running("engine-2") == streams
	})
	s.signal("entry-1", syscall.SIGTERM)
	s.signal("agent-1", syscall.SIGTERM)
	for range streams {
		a := <-results
		if a.err != nil || !strings.HasSuffix(a.body, "data: [DONE]\n\n") || strings.Count(a.body, `"content":"w`) != words {
			t.Errorf("stream was cut: %v, %d bytes, ends %q", a.err, len(a.body), a.body[max(0, len(a.body)-200):])
		}
	}
	for _, name := range []string{"entry-1", "agent-1"} {
		<-s.procs[name].exited
		s.eventually(name+" reports that nothing was cut", func() bool { return strings.Contains(s.procs[name].lines(), `"cut":0`) })
	}
}

// TestDevCommand runs the README's one command, sends it a prompt and a booking,
// and stops it.
func TestDevCommand(t *testing.T) {
	s := newSite(t)
	s.start("dev", "dev", "-listen", "127.0.0.1:0")
	s.eventually("a prompt is answered", func() bool {
		a := s.do(http.MethodPost, s.url("dev", "/v1/chat/completions"), "dev-customer-key", nil, chatBody("an oak chair", 3, true))
		return a.status == http.StatusOK && strings.HasSuffix(a.body, "data: [DONE]\n\n")
	})
	s.eventually("a booking is made", func() bool {
		return s.do(http.MethodPost, s.url("dev", "/v1/services/booking/slots/7"), "dev-customer-key", nil, "truck 4").status == http.StatusCreated
	})
	s.signal("dev", syscall.SIGTERM)
	<-s.procs["dev"].exited
	if code := s.procs["dev"].cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit code %d", code)
	}
}

// TestSecondSignalReportsWhatItCuts stops an entry twice while streams run.
//
// The callers get what they had and a final error event at once, without the end
// mark; the entry's last log line counts the streams it cut.
func TestSecondSignalReportsWhatItCuts(t *testing.T) {
	s := newSite(t)
	s.whole(1, "-token-time", "50ms", "-prefill-rate", "0")
	const streams = 5
	results := make(chan answer, streams)
	for i := range streams {
		go func() {
			results <- s.try(http.MethodPost, s.url("entry-1", "/v1/chat/completions"), customerKey, nil, chatBody(fmt.Sprint("chair ", i), 10_000, true))
		}()
	}
	s.eventually("all streams run", func() bool { return s.running("engine-1") == streams })
	s.signal("entry-1", syscall.SIGTERM)
	s.eventually("the entry is stopping", func() bool { return strings.Contains(s.procs["entry-1"].lines(), `"msg":"stopping"`) })
	s.signal("entry-1", syscall.SIGTERM)
	for range streams {
		a := <-results
		if strings.Contains(a.body, "[DONE]") || !strings.Contains(a.body, `"ran":"yes"`) {
			t.Errorf("err %v, ends %q", a.err, a.body[max(0, len(a.body)-200):])
		}
	}
	<-s.procs["entry-1"].exited
	s.eventually("the cut streams are counted", func() bool {
		return strings.Contains(s.procs["entry-1"].lines(), fmt.Sprintf(`"cut":%d`, streams))
	})
}

// running is the number of prompts an engine has admitted.
func (s *site) running(engine string) int {
	a := s.do(http.MethodGet, "http://"+s.procs[engine].admin+"/status", "", nil, "")
	var status struct {
		Running int `json:"running"`
	}
	json.Unmarshal([]byte(a.body), &status)
	return status.Running
}
