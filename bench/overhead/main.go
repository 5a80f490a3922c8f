// Command overhead measures what entry and agent add to an engine stand-in that
// takes no time, in one run on loopback: go run ./bench/overhead
package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.uber.org/zap"

	"limpetwall/internal/command"
	"limpetwall/internal/coordination/plan"
	"limpetwall/internal/state/config"
	"limpetwall/internal/transport/engine"
	enginestandin "limpetwall/internal/transport/engine/standin"
	hoststandin "limpetwall/internal/transport/hostlist/standin"
	objectstandin "limpetwall/internal/transport/objectapi/standin"
	"limpetwall/internal/transport/settings"
)

const (
	customerKey = "customer-key"
	operatorKey = "operator-key"
	sequential  = 4000
	parallel    = 64
)

var (
	tokens = flag.Int("tokens", 16, "tokens of each answer")
	burst  = flag.Int("requests", 40_000, "requests of the throughput part")
)

// path is one way to send a prompt.
type path struct {
	name string
	send func() error
}

func main() {
	flag.Parse()
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run() error {
	eng := httptest.NewServer(enginestandin.New(enginestandin.Config{Model: "m", WeightVersion: "v1", Slots: 1024, MaxQueue: 1 << 20, CacheBlocks: 100}).Handler())
	defer eng.Close()
	objects := httptest.NewServer(objectstandin.New().Handler())
	defer objects.Close()
	hosts := httptest.NewServer(hoststandin.New(0).Handler())
	defer hosts.Close()
	entry, err := startSite(eng.URL, objects.URL, hosts.URL)
	if err != nil {
		return err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: parallel}}
	prompt := strings.Repeat("a chair of oak with a woven seat. ", 60)
	paths := []path{
		{"engine directly", func() error {
			return post(client, eng.URL+"/generate", engine.Request{RequestID: "r", Model: "m", WeightVersion: "v1", Text: prompt, MaxTokens: *tokens})
		}},
		{"entry and agent, whole", func() error {
			return post(client, entry+"/v1/completions", map[string]any{"model": "s", "prompt": prompt, "max_tokens": *tokens})
		}},
		{"entry and agent, streamed", func() error {
			return post(client, entry+"/v1/completions", map[string]any{"model": "s", "prompt": prompt, "max_tokens": *tokens, "stream": true})
		}},
	}
	fmt.Printf("%d tokens an answer, %d bytes of prompt, %d cores, %s\n\n", *tokens, len(prompt), runtime.NumCPU(), runtime.Version())
	fmt.Println("| path | p50 ms | p99 ms | req/s at 64 | allocations a request | bytes a request | CPU ms a request |")
	fmt.Println("|---|---|---|---|---|---|---|")
	for _, p := range paths {
		if err := measure(p); err != nil {
			return err
		}
	}
	return nil
}

func measure(p path) error {
	for range 200 {
		if err := p.send(); err != nil {
			return fmt.Errorf("%s: %w", p.name, err)
		}
	}
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for range sequential {
		began := time.Now()
		if err := p.send(); err != nil {
			return err
		}
		h.RecordValue(time.Since(began).Microseconds())
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu, began := cpuTime(), time.Now()
	var failed atomic.Int64
	var group sync.WaitGroup
	for range parallel {
		group.Go(func() {
			for range *burst / parallel {
				if p.send() != nil {
					failed.Add(1)
				}
			}
		})
	}
	group.Wait()
	took := time.Since(began)
	used := cpuTime() - cpu
	runtime.ReadMemStats(&after)
	if failed.Load() > 0 {
		return fmt.Errorf("%s: %d failed", p.name, failed.Load())
	}
	fmt.Printf("| %s | %.2f | %.2f | %.0f | %d | %d | %.3f |\n", p.name, ms(h, 50), ms(h, 99), float64(*burst)/took.Seconds(),
		(after.Mallocs-before.Mallocs)/uint64(*burst), (after.TotalAlloc-before.TotalAlloc)/uint64(*burst), float64(used.Microseconds())/1000/float64(*burst))
	return nil
}

func ms(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }

func cpuTime() time.Duration {
	var usage syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func post(client *http.Client, url string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	r, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	key := customerKey
	if strings.Contains(url, "/v1/plans") {
		key = operatorKey
	}
	r.Header.Set("Authorization", "Bearer "+key)
	resp, err := client.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %d %s", url, resp.StatusCode, answer)
	}
	if err == nil && strings.Contains(url, "/v1/plans") && !strings.HasSuffix(url, "confirm") {
		var p plan.Plan
		if err = json.Unmarshal(answer, &p); err == nil {
			err = post(client, url+"/confirm", p)
		}
	}
	return err
}

func never() command.Stop {
	return command.Stop{Graceful: make(chan struct{}), Now: make(chan struct{})}
}

func common(id, objects, hosts string) []string {
	return []string{"-id", id, "-host", id, "-domain", "d", "-peer-listen", "127.0.0.1:0", "-object-api", objects, "-host-list", hosts}
}

// startSite runs an agent and an entry in this process, configured.
func startSite(eng, objects, hosts string) (entry string, err error) {
	noEnv := func(string) (string, bool) { return "", false }
	agentSet := settings.New("agent")
	a := command.BindAgent(agentSet)
	if err := agentSet.Parse(append(common("agent", objects, hosts), "-engine", eng, "-labels", "pool=x"), noEnv); err != nil {
		return "", err
	}
	entrySet := settings.New("entry")
	e := command.BindEntry(entrySet)
	const listen = "127.0.0.1:18080"
	if err := entrySet.Parse(append(common("entry", objects, hosts), "-listen", listen, "-root-key-hash", config.HashKey(operatorKey), "-seeds", "127.0.0.1:17701"), noEnv); err != nil {
		return "", err
	}
	a.PeerListen = "127.0.0.1:17701"
	go command.RunAgent(a, zap.NewNop(), never())
	go command.RunEntry(e, zap.NewNop(), never())
	entry = "http://" + listen
	return entry, configure(entry)
}

func configure(entry string) error {
	document := func(kind config.Kind, id string, spec any) config.Document {
		data, _ := json.Marshal(spec)
		return config.Document{Ref: config.Ref{Kind: kind, ID: id}, Spec: data}
	}
	request := plan.Request{Put: []config.Document{
		document(config.KindCustomer, "c", config.Customer{KeyHashes: []string{config.HashKey(customerKey)}}),
		document(config.KindService, "s", config.Service{Kind: config.ServicePrompt, Customers: []string{"*"}}),
		document(config.KindIntent, "i", config.Intent{Service: "s", Labels: map[string]string{"pool": "x"}, Model: "m"}),
	}}
	var err error
	for range 100 {
		if err = post(http.DefaultClient, entry+"/v1/plans", request); err == nil {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	for range 100 {
		if err = post(http.DefaultClient, entry+"/v1/completions", map[string]any{"model": "s", "prompt": "x"}); err == nil {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return err
}
