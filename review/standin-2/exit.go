package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// streamEvents is the number of events of a stream, eventGap the pause between them.
	streamEvents = 24
	eventGap     = 170 * time.Millisecond
	// exitAfter is the time from a server's report that it is draining to its exit, calmExitAfter that in a calm run: until then all
	// its streams have ended.
	exitAfter     = drainTime + 500*time.Millisecond
	calmExitAfter = drainTime + 5*time.Second
	// exits is how many servers are replaced in a run.
	exits = 8
)

// runStreamServer is a model server in a process of its own: its streams have no length and end with their connection. It has no room
// for runs of others.
func runStreamServer(id, address string) int {
	l, err := net.Listen("tcp", address)
	must(err)
	for {
		c, err := l.Accept()
		must(err)
		go func() {
			defer c.Close()
			reader := bufio.NewReader(c)
			for serveStream(c, reader, id) {
			}
		}()
	}
}

// serveStream serves one request, and reports whether another may follow on the connection.
func serveStream(c net.Conn, reader *bufio.Reader, id string) bool {
	r, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	io.Copy(io.Discard, r.Body)
	answer := func(status int, header, body string) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%sContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), header, len(body), body)
		return err == nil
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != id {
		return answer(http.StatusMisdirectedRequest, "Instance-Id: "+id+"\r\n", "")
	}
	switch r.URL.Path {
	case "/health":
		return answer(http.StatusOK, "Instance-Id: "+id+"\r\n", "")
	case "/report":
		return answer(http.StatusOK, "", `{"stage":"colocated","models":[{"name":"`+modelName+`","version":1,"adapters":[]}],"busy":false,"sequence":0,"queued":0,"running":0,"kv_used":0,"kv_total":93455,"handles":0}`)
	case "/kv-events":
		wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
		time.Sleep(time.Duration(min(wait, 1000)) * time.Millisecond)
		return answer(http.StatusOK, "", fmt.Sprintf(`{"epoch":77120,"next_token":1,"lost":false,"events":[],"clock_ms":%d}`, time.Now().UnixMilli()))
	case "/kv-move":
		return answer(http.StatusServiceUnavailable, "", "{}")
	}
	if want := r.Header.Get("Expect-Version"); want != "" && want != "1" {
		return answer(http.StatusMisdirectedRequest, "Instance-Id: "+id+"\r\n", "")
	}
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Stamp: 3e1b.%s\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n",
		r.Header.Get("Attempt-Id"), id)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= streamEvents; n++ {
		time.Sleep(eventGap)
		if _, err := fmt.Fprintf(c, "id: %d\ndata: %s\n\n", n, strings.Repeat("x", 65)); err != nil {
			return false
		}
	}
	return false
}

// exitCase is the case of a draining server that exits while it streams without a length.
type exitCase struct {
	rec      *record
	gateways []*gateway

	mu                       sync.Mutex
	sent, whole, cut, failed int
}

// client takes streams one after the other.
func (e *exitCase) client(g *gateway, number int, stop <-chan struct{}) {
	client := &http.Client{Timeout: 12 * time.Second, Transport: &http.Transport{DisableCompression: true}}
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(50+rand.IntN(200)) * time.Millisecond):
		}
		id := fmt.Sprintf("%04x%06x%06x", number, n, rand.IntN(1<<24))
		path, kind := "/puxa400/2f", "resumable"
		if number%2 == 1 {
			path, kind = "/cufi501/2f", "not resumable"
		}
		r, err := http.NewRequest(http.MethodPost, "http://"+g.front+path, strings.NewReader(strings.Repeat("p", 830)))
		must(err)
		r.Host = "pule25.example"
		r.Header.Set("Attempt-Id", id)
		r.Header.Set("Model", modelName)
		r.Header.Set("Token-Usage", "827,"+strconv.Itoa(streamEvents))
		r.Header.Set("Prompt-Prefix", fmt.Sprintf("5c1e07a2:119,%04x03f6:531,%s:177", number, id[:8]))
		r.Header.Set("Deadline-Ms", "12000")
		resp, err := client.Do(r)
		if err != nil {
			e.count(id, kind, 0, 0, "", err)
			continue
		}
		events, lines := 0, bufio.NewScanner(resp.Body)
		for lines.Scan() {
			if strings.HasPrefix(lines.Text(), "id: ") {
				events++
			}
		}
		resp.Body.Close()
		e.count(id, kind, resp.StatusCode, events, resp.Header.Get("Response-Stamp"), lines.Err())
	}
}

func (e *exitCase) count(id, kind string, status, events int, stamp string, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sent++
	switch {
	case err == nil && status == http.StatusOK && events == streamEvents:
		e.whole++
	case err == nil && status == http.StatusOK:
		e.cut++
		e.rec.printf("BROKEN: client gets 200 for stream %s (%s), signature %q, with %d of %d events, and the stream ends as complete", id, kind, stamp, events, streamEvents)
	default:
		e.failed++
		e.rec.printf("client gets status %d, %d events, signature %q, error %v for stream %s (%s)", status, events, stamp, err, id, kind)
	}
}

func runExit(folder string, trouble bool) int {
	dir, err := os.MkdirTemp("", "exit")
	must(err)
	defer os.RemoveAll(dir)
	e := &exitCase{rec: newRecord(folder + "/record.txt")}
	s := newStore()
	const service = "huvo11a"
	route := func(name, prefix string, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": "pule25.example", "path_prefix": prefix, "kind": "streaming", "timeout_ms": 12000, "target_latency_ms": 1200, "priority": 2,
			"service": service, "max_attempts": attempts, "public": true, "sticky": true, "resumable": resumable, "target_gap_ms": 600,
		}
	}
	s.put("config", "main", map[string]any{
		"version": 1, "routes": []any{route("r-1", "/puxa400/", 2, true), route("r-2", "/cufi501/", 1, false)},
		"services": []any{map[string]any{
			"name": service, "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kv_capacity_tokens": 93455, "kv_token_bytes": 18432, "link_mbps": 180000.0, "moves": true, "max_inflight": 12, "models": []any{map[string]any{"name": modelName}}},
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	s.put("versions", modelName, map[string]any{"model": modelName, "version": 1})
	register := func(a *appServer, state string) {
		s.put("servers", a.id, map[string]any{
			"service": service, "address": a.address, "zone": a.zone, "version": "v1", "slots": 64, "state": state, "cold_remaining_ms": 0,
			"stage": "colocated", "models": []any{map[string]any{"name": modelName, "version": 1, "adapters": []any{}}}, "sequence": 0,
		})
	}
	number := 0
	newServer := func(zone string) *appServer {
		number++
		a := startServerProcess("streamserver", fmt.Sprintf("i-%02d7f3a91c", number), freeAddress(machineIP(210+number)), zone)
		register(a, "ready")
		e.rec.printf("server %s starts", a.id)
		return a
	}
	var servers []*appServer
	for _, zone := range []string{"quebec-a", "quebec-b", "quebec-c"} {
		servers = append(servers, newServer(zone))
	}
	defer stopAll()
	for n, zone := range []string{"quebec-a", "quebec-b"} {
		g := newGateway(n+1, dir, s, zone)
		e.gateways = append(e.gateways, g)
		g.start()
	}
	for _, g := range e.gateways {
		if !g.awaitReady(10 * time.Second) {
			return exitCannotRun
		}
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range 16 {
		clients.Go(func() { e.client(e.gateways[n/2%len(e.gateways)], n, stop) })
	}
	time.Sleep(5 * time.Second)
	after := calmExitAfter
	if trouble {
		after = exitAfter
	}
	var leave sync.WaitGroup
	for range exits {
		leaving := servers[0]
		servers = append(servers[1:], newServer(leaving.zone))
		time.Sleep(time.Second)
		register(leaving, "draining")
		e.rec.printf("server %s reports that it is draining", leaving.id)
		leave.Add(1)
		time.AfterFunc(after, func() {
			defer leave.Done()
			leaving.cmd.Process.Signal(syscall.SIGTERM)
			leaving.cmd.Wait()
			e.rec.printf("server %s exits", leaving.id)
			s.remove("servers", leaving.id)
		})
		time.Sleep(4 * time.Second)
	}
	leave.Wait()
	close(stop)
	clients.Wait()
	e.rec.printf("streams: %d, whole: %d, cut and ended as complete: %d, failed: %d", e.sent, e.whole, e.cut, e.failed)
	switch {
	case e.whole == 0:
		return exitCannotRun
	case e.cut > 0:
		return 1
	}
	return 0
}
