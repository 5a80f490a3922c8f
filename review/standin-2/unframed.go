package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// bodyBytes is the size of an answer of the application, and workTime how long one takes from its first to its last byte.
	bodyBytes = 800
	workTime  = 400 * time.Millisecond
	// killAfter is the time from a server's report that it is draining to its crash.
	killAfter = 150 * time.Millisecond
	// drainTime is drain_ms of the settings.
	drainTime = 2 * time.Second
	// crashes is how many draining servers crash in a run.
	crashes = 10
)

// wholeBody is the body that every server gives to the request of an ID.
func wholeBody(id string) string {
	return strings.Repeat(id+".", bodyBytes/(len(id)+1)+1)[:bodyBytes]
}

// runAppServer is a server of the application, in a process of its own: its answers have no length and end with their connection.
func runAppServer(id, address string) int {
	l, err := net.Listen("tcp", address)
	must(err)
	for {
		c, err := l.Accept()
		must(err)
		go serveApp(c, id)
	}
}

func serveApp(c net.Conn, id string) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	io.Copy(io.Discard, r.Body)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != id {
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", id)
		return
	}
	if r.URL.Path == "/health" {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", id)
		return
	}
	attempt := r.Header.Get("Attempt-Id")
	body := wholeBody(attempt)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Stamp: 3e1b.%s\r\nServer-Load: 1,0,6\r\nConnection: close\r\n\r\n", attempt, id)
	for part := range 4 {
		time.Sleep(workTime / 4)
		if _, err := io.WriteString(c, body[part*bodyBytes/4:(part+1)*bodyBytes/4]); err != nil {
			return
		}
	}
}

// appServer is one incarnation of a server.
type appServer struct {
	id, address, zone string
	cmd               *exec.Cmd
}

func startAppServer(id, address, zone string) *appServer {
	return startServerProcess("server", id, address, zone)
}

// startServerProcess starts a server in a process of its own, and waits until it listens.
func startServerProcess(kind, id, address, zone string) *appServer {
	self, err := os.Executable()
	must(err)
	cmd := exec.Command(self, kind, id, address)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(cmd.Start())
	startedMu.Lock()
	started = append(started, cmd)
	startedMu.Unlock()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if c, err := net.Dial("tcp", address); err == nil {
			c.Close()
			return &appServer{id: id, address: address, zone: zone, cmd: cmd}
		}
	}
	must(fmt.Errorf("server %s does not listen", id))
	return nil
}

// register writes the server's entry in the store.
func (a *appServer) register(s *store, service, state string) {
	s.put("servers", a.id, map[string]any{
		"service": service, "address": a.address, "zone": a.zone, "version": "v1", "slots": 6, "state": state, "cold_remaining_ms": 0, "sequence": 1,
	})
}

// unframed is the case of a draining server that crashes while it answers without a length.
type unframed struct {
	rec      *record
	gateways []*gateway

	mu                  sync.Mutex
	sent, whole, failed int
	truncated           int
}

// client sends requests on kept connections, one after the other.
func (u *unframed) client(g *gateway, number int, stop <-chan struct{}) {
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableCompression: true}}
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(50+rand.IntN(100)) * time.Millisecond):
		}
		id := fmt.Sprintf("%04x%06x%06x", number, n, rand.IntN(1<<24))
		r, err := http.NewRequest(http.MethodGet, "http://"+g.front+"/wuhu344/2f", nil)
		must(err)
		r.Host = "pule25.example"
		r.Header.Set("Attempt-Id", id)
		r.Header.Set("Deadline-Ms", "4000")
		resp, err := client.Do(r)
		if err != nil {
			u.count(id, 0, "", err)
			continue
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		u.count(id, resp.StatusCode, resp.Header.Get("Response-Stamp"), err)
		if resp.StatusCode == http.StatusOK && err == nil && string(body) != wholeBody(id) {
			u.mu.Lock()
			u.truncated++
			u.mu.Unlock()
			u.rec.printf("BROKEN: client gets 200 for request %s from machine %s, signature %q, Content-Length %q, with %d bytes of the server's %d, and the answer looks complete",
				id, g.name, resp.Header.Get("Response-Stamp"), resp.Header.Get("Content-Length"), len(body), bodyBytes)
		}
	}
}

func (u *unframed) count(id string, status int, stamp string, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sent++
	switch {
	case err == nil && status == http.StatusOK:
		u.whole++
	default:
		u.failed++
		u.rec.printf("client gets status %d, signature %q, error %v for request %s", status, stamp, err, id)
	}
}

func runUnframed(folder string, trouble bool) int {
	dir, err := os.MkdirTemp("", "unframed")
	must(err)
	defer os.RemoveAll(dir)
	u := &unframed{rec: newRecord(folder + "/record.txt")}
	s := newStore()
	const service = "kafi81c"
	putAppConfig(s, service)
	zones := []string{"quebec-a", "quebec-b", "quebec-c"}
	number := 0
	newServer := func(zone string) *appServer {
		number++
		a := startAppServer(fmt.Sprintf("i-%02d9046ff", number), freeAddress(machineIP(210+number)), zone)
		a.register(s, service, "ready")
		u.rec.printf("server %s starts", a.id)
		return a
	}
	var servers []*appServer
	for _, zone := range zones {
		servers = append(servers, newServer(zone))
	}
	defer stopAll()
	for n, zone := range []string{"quebec-a", "quebec-b"} {
		g := newGateway(n+1, dir, s, zone)
		u.gateways = append(u.gateways, g)
		g.start()
	}
	for _, g := range u.gateways {
		if !g.awaitReady(10 * time.Second) {
			return exitCannotRun
		}
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range 16 {
		clients.Go(func() { u.client(u.gateways[n%len(u.gateways)], n, stop) })
	}
	time.Sleep(2 * time.Second)
	for range crashes {
		leaving := servers[0]
		servers = append(servers[1:], newServer(leaving.zone))
		time.Sleep(time.Second)
		leaving.register(s, service, "draining")
		u.rec.printf("server %s reports that it is draining", leaving.id)
		if trouble {
			time.Sleep(killAfter)
			leaving.cmd.Process.Kill()
			leaving.cmd.Wait()
			u.rec.printf("server %s crashes", leaving.id)
			time.AfterFunc(3600*time.Millisecond, func() { s.remove("servers", leaving.id) })
		} else {
			time.AfterFunc(drainTime+time.Second, func() {
				s.remove("servers", leaving.id)
				leaving.cmd.Process.Kill()
				leaving.cmd.Wait()
				u.rec.printf("server %s exits", leaving.id)
			})
		}
		time.Sleep(2 * time.Second)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()
	return u.verdict()
}

// putAppConfig writes a configuration with one idempotent route to the application.
func putAppConfig(s *store, service string) {
	s.put("config", "main", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r-1", "host": "pule25.example", "path_prefix": "/wuhu344/", "kind": "idempotent", "timeout_ms": 2000, "target_latency_ms": 300, "priority": 2,
			"service": service, "max_attempts": 2, "public": true,
		}},
		"services": []any{map[string]any{"name": service, "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// verdict returns the exit code of the case.
func (u *unframed) verdict() int {
	u.rec.printf("requests: %d, answered with 200: %d of which cut: %d, failed: %d", u.sent, u.whole, u.truncated, u.failed)
	switch {
	case u.whole == 0:
		return exitCannotRun
	case u.truncated > 0:
		return 1
	}
	return 0
}
