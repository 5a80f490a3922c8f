// Package e2e proves whole sessions on separate processes: callers, operators
// and faults against entries, agents and stand-ins on loopback.
package e2e

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"limpetwall/internal/command"
	"limpetwall/internal/operatorcli"
	"limpetwall/internal/state/config"
	"limpetwall/internal/transport/ingress/ingresstest"
)

const (
	operatorKey = "operator-secret"
	customerKey = "vieux-chene-secret"
	otherKey    = "balkan-secret"
	// patience bounds every wait of a test; it is never a wait in itself.
	patience = time.Minute
)

func TestMain(m *testing.M) {
	testscript.Main(ingresstest.Runner{M: m, Build: buildProduct}, map[string]func(){
		"limpetwall": func() {
			os.Exit(command.Main(os.Args[1:], command.IO{Out: os.Stdout, Err: os.Stderr, Env: os.LookupEnv, Signals: command.NotifySignals()}))
		},
		"limpetctl": func() {
			os.Exit(operatorcli.Main(os.Args[1:], operatorcli.Surroundings{Out: os.Stdout, Err: os.Stderr, Env: os.LookupEnv}))
		},
	})
}

// buildProduct writes the product to a path.
func buildProduct(path string) error {
	out, err := exec.Command("go", "build", "-o", path, "limpetwall/cmd/limpetwall").CombinedOutput()
	if err != nil {
		err = fmt.Errorf("%w: %s", err, out)
	}
	return err
}

// proc is one process of a site.
type proc struct {
	name string
	cmd  *exec.Cmd
	// listen and admin are the addresses that the process opened.
	listen, admin, peer string
	exited              chan struct{}
	// unread, if not nil, keeps the process's output from being read while it is open.
	unread atomic.Pointer[chan struct{}]
	mu     sync.Mutex
	log    []string
}

func (p *proc) lines() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.log, "\n")
}

// site is a set of processes, ended with the test.
type site struct {
	fail  func(format string, args ...any)
	procs map[string]*proc
	// env is added to the processes' environment.
	env []string
	// program is run in the test binary's place, unless it is empty.
	program string
}

func newSite(t *testing.T) *site {
	s := &site{fail: t.Fatalf, procs: map[string]*proc{}}
	t.Cleanup(func() {
		if t.Failed() {
			for name, p := range s.procs {
				t.Logf("--- %s\n%s", name, p.lines())
			}
		}
		s.end()
	})
	return s
}

func (s *site) end() {
	for _, p := range s.procs {
		p.cmd.Process.Signal(syscall.SIGCONT)
		p.cmd.Process.Kill()
	}
	for _, p := range s.procs {
		<-p.exited
	}
}

// start runs limpetwall and returns when its output says that it is ready.
func (s *site) start(name string, args ...string) *proc {
	program := s.program
	if program == "" {
		self, err := os.Executable()
		if err != nil {
			s.fail("%v", err)
		}
		program = self
	}
	p := &proc{name: name, exited: make(chan struct{})}
	p.cmd = &exec.Cmd{Path: program, Args: append([]string{"limpetwall"}, args...), Env: append(os.Environ(), s.env...)}
	reader, writer, err := os.Pipe()
	if err != nil {
		s.fail("%v", err)
	}
	p.cmd.Stdout, p.cmd.Stderr = writer, writer
	if err := p.cmd.Start(); err != nil {
		s.fail("%v", err)
	}
	writer.Close()
	s.procs[name] = p
	ready := make(chan struct{})
	go p.follow(reader, ready)
	go func() {
		p.cmd.Wait()
		close(p.exited)
	}()
	select {
	case <-ready:
	case <-p.exited:
		s.fail("%s ended at its start:\n%s", name, p.lines())
	case <-time.After(patience):
		s.fail("%s is not ready:\n%s", name, p.lines())
	}
	return p
}

func (p *proc) follow(r io.Reader, ready chan struct{}) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	var once sync.Once
	for lines.Scan() {
		if unread := p.unread.Load(); unread != nil {
			<-*unread
		}
		line := lines.Text()
		p.mu.Lock()
		p.log = append(p.log, line)
		p.mu.Unlock()
		var record struct {
			Message string `json:"msg"`
			Listen  string `json:"listen"`
			Peer    string `json:"peer_listen"`
		}
		if strings.HasPrefix(line, "standin ") {
			for _, word := range strings.Fields(line) {
				if address, ok := strings.CutPrefix(word, "listen="); ok {
					p.listen = address
				}
				if address, ok := strings.CutPrefix(word, "admin="); ok {
					p.admin = address
				}
			}
			once.Do(func() { close(ready) })
		}
		if url, ok := strings.CutPrefix(line, "entry-1 "); ok {
			p.listen = strings.TrimPrefix(strings.TrimSpace(url), "http://")
		}
		if line == "ready; try:" {
			once.Do(func() { close(ready) })
		}
		if json.Unmarshal([]byte(line), &record) == nil && (record.Message == "entry ready" || record.Message == "agent ready") {
			p.listen, p.peer = record.Listen, record.Peer
			once.Do(func() { close(ready) })
		}
	}
}

// platform starts the object API and the host list.
func (s *site) platform() {
	s.start("objectapi", "standin", "objectapi")
	s.start("hostlist", "standin", "hostlist")
}

func (s *site) common(name, domain string) []string {
	return []string{
		"-id", name, "-host", "host-" + name, "-domain", domain, "-peer-listen", "127.0.0.1:0",
		"-object-api", "http://" + s.procs["objectapi"].listen, "-host-list", "http://" + s.procs["hostlist"].listen,
	}
}

// entry starts an entry and lists its host.
func (s *site) entry(name, domain string, args ...string) *proc {
	all := append([]string{"entry"}, s.common(name, domain)...)
	all = append(all, "-listen", "127.0.0.1:0", "-drain-delay", "0s", "-root-key-hash", config.HashKey(operatorKey))
	p := s.start(name, append(all, args...)...)
	s.list(p, domain, "live")
	return p
}

// agent starts an agent beside a stand-in that is already running.
func (s *site) agent(name, domain, flag, standin, labels string, args ...string) *proc {
	return s.agentAt(name, domain, flag, s.procs[standin].listen, labels, args...)
}

// agentAt starts an agent beside the endpoint at an address.
func (s *site) agentAt(name, domain, flag, address, labels string, args ...string) *proc {
	all := append([]string{"agent"}, s.common(name, domain)...)
	all = append(all, flag, "http://"+address, "-labels", labels)
	p := s.start(name, append(all, args...)...)
	s.list(p, domain, "live")
	return p
}

// list puts a process's host into the host list.
func (s *site) list(p *proc, domain, state string) {
	body := fmt.Sprintf(`{"domain":%q,"state":%q,"address":%q}`, domain, state, p.peer)
	s.do(http.MethodPut, "http://"+s.procs["hostlist"].listen+"/v1/hosts/host-"+p.name, "", nil, body)
}

func (s *site) fault(name, faults string) {
	s.do(http.MethodPut, "http://"+s.procs[name].admin+"/faults", "", nil, faults)
}

func (s *site) signal(name string, sig syscall.Signal) {
	if err := s.procs[name].cmd.Process.Signal(sig); err != nil {
		s.fail("signal %s: %v", name, err)
	}
}

// kill ends a process at once and waits until it is gone.
func (s *site) kill(name string) {
	s.signal(name, syscall.SIGKILL)
	<-s.procs[name].exited
}

// answer is an HTTP answer read whole.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

func (s *site) try(method, url, key string, header map[string]string, body string) answer {
	return s.follow(method, url, key, header, body, func() {})
}

// follow is try that also tells when the first byte of the body has come.
func (s *site) follow(method, url, key string, header map[string]string, body string, first func()) answer {
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	for name, value := range header {
		r.Header.Set(name, value)
	}
	client := &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	buffered := bufio.NewReader(resp.Body)
	if _, err := buffered.Peek(1); err == nil {
		first()
	}
	data, err := io.ReadAll(buffered)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

func (s *site) do(method, url, key string, header map[string]string, body string) answer {
	a := s.try(method, url, key, header, body)
	if a.err != nil {
		s.fail("%s %s: %v", method, url, a.err)
	}
	return a
}

func (s *site) url(entry, path string) string { return "http://" + s.procs[entry].listen + path }

// eventually polls until check holds; it fails the test after patience.
func (s *site) eventually(what string, check func() bool) {
	deadline := time.Now().Add(patience)
	for !check() {
		if time.Now().After(deadline) {
			s.fail("not in time: %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// configuration is what most sessions run with.
const configuration = `{"put":[
 {"kind":"customer","id":"vieux-chene","spec":{"key_hashes":["` + "%s" + `"],"limits":{}}},
 {"kind":"customer","id":"balkan","spec":{"key_hashes":["` + "%s" + `"],"limits":{}}},
 {"kind":"service","id":"describe","spec":{"kind":"prompt","customers":["*"],"objective":{},"limits":{}}},
 {"kind":"intent","id":"describe","spec":{"service":"describe","labels":{"pool":"models"},"model":"toy"}},
 {"kind":"service","id":"booking","spec":{"kind":"plain","not_repeatable":true,"customers":["vieux-chene"],"objective":{},"limits":{}}},
 {"kind":"intent","id":"booking","spec":{"service":"booking","labels":{"pool":"booking"}}}
]}`

// apply plans and confirms a request through an entry and returns the verdict.
func (s *site) apply(entry, request string) string {
	planned := s.do(http.MethodPost, s.url(entry, "/v1/plans"), operatorKey, nil, request)
	if planned.status != http.StatusOK {
		s.fail("plan: %d %s", planned.status, planned.body)
	}
	verdict := s.do(http.MethodPost, s.url(entry, "/v1/plans/confirm"), operatorKey, nil, planned.body)
	return verdict.body
}

func (s *site) configure(entry string) {
	request := fmt.Sprintf(configuration, config.HashKey(customerKey), config.HashKey(otherKey))
	if verdict := s.apply(entry, request); !strings.Contains(verdict, `"applied"`) {
		s.fail("confirm: %s", verdict)
	}
}

// members counts what an entry sees alive.
func (s *site) alive(entry string) int {
	return strings.Count(s.try(http.MethodGet, s.url(entry, "/v1/status"), operatorKey, nil, "").body, `"state_name":"alive"`)
}

// revision in force at an entry.
func (s *site) revision(entry string) uint64 {
	var status struct {
		Revision uint64 `json:"revision"`
	}
	json.Unmarshal([]byte(s.try(http.MethodGet, s.url(entry, "/v1/status"), operatorKey, nil, "").body), &status)
	return status.Revision
}

// whole starts a platform, engines with agents, a booking service with an agent
// and two entries, configured and known to each other.
func (s *site) whole(engines int, engineArgs ...string) {
	s.platform()
	domains := []string{"domain-a", "domain-b", "domain-c"}
	for i := 1; i <= engines; i++ {
		s.start(fmt.Sprintf("engine-%d", i), append([]string{"standin", "engine"}, engineArgs...)...)
		s.agent(fmt.Sprintf("agent-%d", i), domains[i%3], "-engine", fmt.Sprintf("engine-%d", i), "pool=models")
	}
	s.start("service", "standin", "service")
	s.agent("booking", domains[0], "-plain", "service", "pool=booking")
	s.entry("entry-1", domains[0])
	s.entry("entry-2", domains[1])
	s.configure("entry-1")
	for _, entry := range []string{"entry-1", "entry-2"} {
		s.eventually(entry+" knows all and has the configuration in force", func() bool {
			return s.alive(entry) == engines+3 && s.revision(entry) == 1 && s.modelsKnown(entry) == engines
		})
	}
}

func (s *site) modelsKnown(entry string) int {
	return strings.Count(s.try(http.MethodGet, s.url(entry, "/v1/status"), operatorKey, nil, "").body, `"weight_version":"v`)
}

// bookings counts the executions of each body at the booking service.
func (s *site) bookings() map[string]int {
	a := s.do(http.MethodGet, "http://"+s.procs["service"].admin+"/runs", "", nil, "")
	out := map[string]int{}
	if err := json.Unmarshal([]byte(a.body), &out); err != nil {
		s.fail("%v", err)
	}
	return out
}

func chatBody(content string, maxTokens int, stream bool) string {
	body, _ := json.Marshal(map[string]any{
		"model": "describe", "max_tokens": maxTokens, "stream": stream, "seed": 7,
		"messages": []map[string]string{{"role": "user", "content": content}},
	})
	return string(bytes.TrimSpace(body))
}
