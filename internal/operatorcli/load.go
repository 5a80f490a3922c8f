package operatorcli

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"limpetwall/internal/transport/httpjson"
)

// loadSettings describe one load run; it is bounded in count and time.
type loadSettings struct {
	service     string
	requests    int
	concurrency int
	contexts    int
	contextSize int
	maxTokens   int
	limit       time.Duration
	seed        uint64
	url         string
	key         string
}

// LoadResult is what a load run measured.
type LoadResult struct {
	Requests  int            `json:"requests"`
	Completed int            `json:"completed"`
	Errors    map[string]int `json:"errors"`
	Seconds   float64        `json:"seconds"`
	PerSecond float64        `json:"requests_per_second"`
	P50MS     float64        `json:"ttft_p50_ms"`
	P95MS     float64        `json:"ttft_p95_ms"`
	P99MS     float64        `json:"ttft_p99_ms"`
	// CachedShare of the prompt tokens was found resident.
	CachedShare float64 `json:"cached_share"`
}

func bindLoad(c *cli) func() int {
	s := &loadSettings{}
	f := c.set.Flags()
	f.StringVar(&s.service, "service", "describe", "prompt service to call")
	requests := c.set.Int("requests", 200, 1, 1_000_000, "requests in all")
	concurrency := c.set.Int("concurrency", 8, 1, 1000, "requests at once")
	contexts := c.set.Int("contexts", 20, 1, 100_000, "distinct contexts that return")
	size := c.set.Int("context-size", 20_000, 0, 4<<20, "bytes of each context")
	tokens := c.set.Int("max-tokens", 16, 1, 4096, "tokens of each answer")
	limit := c.set.Duration("limit", time.Minute, time.Second, time.Hour, "time after which no request begins")
	f.Uint64Var(&s.seed, "seed", 1, "seed of the choice of contexts")
	return func() int {
		s.requests, s.concurrency, s.contexts = *requests, *concurrency, *contexts
		s.contextSize, s.maxTokens, s.limit = *size, *tokens, *limit
		s.url, s.key = strings.TrimRight(*c.entry, "/"), *c.key
		result := runLoad(s)
		if *c.format == "json" {
			return c.printJSON(result)
		}
		return c.table("REQUESTS\tCOMPLETED\tREQ/S\tTTFT P50 MS\tP95 MS\tP99 MS\tCACHED", func(w *tabwriter.Writer) {
			fmt.Fprintf(w, "%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.3f\n", result.Requests, result.Completed,
				result.PerSecond, result.P50MS, result.P95MS, result.P99MS, result.CachedShare)
			for code, n := range result.Errors {
				fmt.Fprintf(w, "%s\t%d\n", code, n)
			}
		})
	}
}

type loadRun struct {
	*loadSettings
	client *http.Client
	mu     sync.Mutex
	ttft   *hdrhistogram.Histogram
	result LoadResult
	prompt int
	cached int
}

func runLoad(s *loadSettings) LoadResult {
	run := &loadRun{
		loadSettings: s, ttft: hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3),
		client: &http.Client{Transport: httpjson.NewTransport(&http.Transport{MaxIdleConnsPerHost: s.concurrency})},
		result: LoadResult{Requests: s.requests, Errors: map[string]int{}},
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.limit)
	defer cancel()
	work := make(chan int)
	var group sync.WaitGroup
	for worker := range s.concurrency {
		random := rand.New(rand.NewPCG(s.seed, uint64(worker)))
		group.Go(func() {
			for number := range work {
				run.one(number, int(random.Uint64()%uint64(s.contexts)))
			}
		})
	}
	started := time.Now()
	for number := 0; number < s.requests && ctx.Err() == nil; number++ {
		select {
		case work <- number:
		case <-ctx.Done():
		}
	}
	close(work)
	group.Wait()
	return run.finish(time.Since(started))
}

func (l *loadRun) finish(took time.Duration) LoadResult {
	ms := func(q float64) float64 { return float64(l.ttft.ValueAtQuantile(q)) / 1000 }
	r := l.result
	r.Seconds, r.PerSecond = took.Seconds(), float64(r.Completed)/took.Seconds()
	r.P50MS, r.P95MS, r.P99MS = ms(50), ms(95), ms(99)
	if l.prompt > 0 {
		r.CachedShare = float64(l.cached) / float64(l.prompt)
	}
	return r
}

// contextText is the same for the same number, and unlike any other's.
func contextText(number, size int) string {
	line := fmt.Sprintf("context %d of the load run. ", number)
	return strings.Repeat(line, size/len(line)+1)[:size]
}

func (l *loadRun) one(number, context int) {
	body, _ := json.Marshal(map[string]any{
		"model": l.service, "stream": true, "max_tokens": l.maxTokens,
		"stream_options": map[string]bool{"include_usage": true},
		"messages": []map[string]string{
			{"role": "system", "content": contextText(context, l.contextSize)},
			{"role": "user", "content": fmt.Sprintf("question %d", number)},
		},
	})
	started := time.Now()
	r, err := http.NewRequest(http.MethodPost, l.url+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		l.fail("request")
		return
	}
	r.Header.Set("Authorization", "Bearer "+l.key)
	resp, err := l.client.Do(r)
	if err != nil {
		l.fail("connection")
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		io.Copy(io.Discard, resp.Body)
		l.fail(fmt.Sprint(resp.StatusCode))
		return
	}
	l.readStream(resp.Body, started)
}

func (l *loadRun) readStream(body io.Reader, started time.Time) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	first := time.Duration(0)
	whole := false
	var usage struct {
		Usage *struct {
			PromptTokens int `json:"prompt_tokens"`
			Details      struct {
				CachedTokens int `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
	}
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if first == 0 {
			first = time.Since(started)
		}
		if data == "[DONE]" {
			whole = true
		} else if strings.Contains(data, `"usage"`) {
			json.Unmarshal([]byte(data), &usage)
		}
	}
	if !whole {
		l.fail("broken_off")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.Completed++
	l.ttft.RecordValue(first.Microseconds())
	if usage.Usage != nil {
		l.prompt += usage.Usage.PromptTokens
		l.cached += usage.Usage.Details.CachedTokens
	}
}

func (l *loadRun) fail(code string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.Errors[code]++
}
