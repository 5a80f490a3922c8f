package operatorcli

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"limpetwall/internal/protocol/apierror"
)

// requestLine is a request as its gateway logs it, as far as a summary needs it.
type requestLine struct {
	Message      string          `json:"msg"`
	Host         string          `json:"host"`
	Route        string          `json:"route"`
	Took         float64         `json:"took"`
	CallerGot    string          `json:"caller_got"`
	Code         string          `json:"code"`
	Ran          string          `json:"ran"`
	Reason       string          `json:"reason"`
	Customer     string          `json:"customer"`
	Urgency      *int            `json:"urgency"`
	PromptTokens int64           `json:"prompt_tokens"`
	StoredTokens int64           `json:"stored_tokens"`
	Attempts     []attemptFields `json:"attempts"`
}

// attemptFields is one of its attempts.
type attemptFields struct {
	Outcome      string `json:"outcome"`
	TookMS       int64  `json:"took_ms"`
	FirstMS      int64  `json:"first_ms"`
	ExpectedMS   int64  `json:"expected_ms"`
	CachedTokens int64  `json:"cached_tokens"`
	Imported     string `json:"imported"`
	Saved        string `json:"saved"`
}

// Summary sums up where requests spent their time and their prompts' tokens, over the logs of many processes.
type Summary struct {
	// Hosts are those whose requests it counts.
	Hosts      int            `json:"hosts"`
	Requests   int            `json:"requests"`
	Unreadable int            `json:"unreadable_lines"`
	Routes     []*RouteTotals `json:"routes"`
	// Urgencies and Customers say who was served and who was refused. Customers has the maxListedCustomers with most
	// requests, and one entry for all others.
	Urgencies []*GroupTotals `json:"urgencies"`
	Customers []*GroupTotals `json:"customers"`
}

// maxListedCustomers bounds the customers in a summary; a large fleet has 1,500.
const maxListedCustomers = 20

// otherCustomers is the name of the entry for the customers that are not listed.
const otherCustomers = "(others)"

// GroupTotals are those of the requests of one customer, or of one urgency.
type GroupTotals struct {
	Name     string `json:"name"`
	Requests int    `json:"requests"`
	Answers  int    `json:"answers"`
	// Overloaded counts the requests that were refused for load, Refused those refused for other reasons.
	Overloaded int `json:"refused_for_load"`
	Refused    int `json:"refused_otherwise"`
	// AnswerTokens are the prompt tokens of its answers.
	AnswerTokens int64 `json:"prompt_tokens_answered"`
}

func (t *GroupTotals) add(l requestLine) {
	t.Requests++
	switch {
	case l.CallerGot == "answer":
		t.Answers++
		t.AnswerTokens += l.PromptTokens
	case l.Code == apierror.CodeOverloaded:
		t.Overloaded++
	case l.CallerGot == "refusal":
		t.Refused++
	}
}

func (t *GroupTotals) merge(other *GroupTotals) {
	t.Requests += other.Requests
	t.Answers += other.Answers
	t.Overloaded += other.Overloaded
	t.Refused += other.Refused
	t.AnswerTokens += other.AnswerTokens
}

// groups are totals by name.
type groups map[string]*GroupTotals

func (g groups) add(name string, l requestLine) {
	if g[name] == nil {
		g[name] = &GroupTotals{Name: name}
	}
	g[name].add(l)
}

// sorted returns the totals by their number of requests, the largest first.
func (g groups) sorted() []*GroupTotals {
	return slices.SortedFunc(maps.Values(g), func(a, b *GroupTotals) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Name, b.Name))
	})
}

// limit merges all but the first n of a list into one entry.
func limit(list []*GroupTotals, n int) []*GroupTotals {
	if len(list) <= n {
		return list
	}
	rest := &GroupTotals{Name: otherCustomers}
	for _, t := range list[n:] {
		rest.merge(t)
	}
	return append(list[:n:n], rest)
}

// RouteTotals are those of one route's requests.
type RouteTotals struct {
	Route    string `json:"route"`
	Requests int    `json:"requests"`
	// CallerGot counts requests by what their callers have.
	CallerGot map[string]int `json:"caller_got"`
	Time      TimeTotals     `json:"seconds"`
	// Answered and First are the times of whole answers, and to their first events.
	Answered Quantiles `json:"answered_ms"`
	First    Quantiles `json:"first_event_ms"`
	// FirstLate is by how much first events came later than was expected when their endpoint was chosen.
	FirstLate Quantiles      `json:"first_event_later_than_expected_ms"`
	Attempts  map[string]int `json:"attempts"`
	Tokens    TokenTotals    `json:"prompt_tokens"`
	Failures  []*Failure     `json:"failures"`

	answered, first, firstLate *hdrhistogram.Histogram
}

// TimeTotals are the parts of the time that requests took, in seconds.
type TimeTotals struct {
	// Spent on attempts that did not serve the caller, FirstEvent and Rest on the one that did, Own elsewhere: in the
	// gateway and with requests that were refused.
	Spent      float64 `json:"attempts_that_did_not_serve"`
	FirstEvent float64 `json:"to_first_event"`
	Rest       float64 `json:"after_first_event"`
	Own        float64 `json:"gateway"`
}

// TokenTotals are the tokens of prompts that were served.
type TokenTotals struct {
	Prompts int64 `json:"prompts"`
	// Resident ones were expected in the engine that served, Read the others.
	Resident int64 `json:"resident"`
	Read     int64 `json:"read"`
	// ReadThoughStored prompts hold no import although a store held some of them, in tokens held.
	ReadThoughStored int64 `json:"read_though_stored"`
	// Imports and Saves count prompts for which they were asked.
	Imports int `json:"imports"`
	Saves   int `json:"saves"`
}

// Failure counts alike refusals and broken answers.
type Failure struct {
	Code   string `json:"code"`
	Ran    string `json:"ran"`
	Reason string `json:"reason"`
	Count  int    `json:"count"`
}

// Quantiles of a time, in ms.
type Quantiles struct {
	P50 int64 `json:"p50"`
	P95 int64 `json:"p95"`
	P99 int64 `json:"p99"`
}

func bindSummary(c *cli) func() int {
	return func() int {
		s := newSummarizer()
		if err := eachLog(c.args, s.read); err != nil {
			return c.fail(err)
		}
		out := s.finish()
		if out.Requests == 0 {
			fmt.Fprintf(c.Err, "no request in the logs (%d unreadable lines)\n", out.Unreadable)
			return ExitFailed
		}
		if *c.format == "json" {
			return c.printJSON(out)
		}
		return c.printSummary(out)
	}
}

// summarizer adds up requests line by line: the logs of a large fleet don't fit into memory.
type summarizer struct {
	hosts     map[string]bool
	routes    map[string]*RouteTotals
	urgencies groups
	customers groups
	out       Summary
}

func newSummarizer() *summarizer {
	return &summarizer{hosts: map[string]bool{}, routes: map[string]*RouteTotals{}, urgencies: groups{}, customers: groups{}}
}

func (s *summarizer) read(log io.Reader) error {
	unreadable, err := scanObjects(log, func(object []byte) bool {
		var l requestLine
		if json.Unmarshal(object, &l) != nil || l.Message == "" {
			return false
		}
		// The product's own entries log requests too, with other fields.
		if l.Message == "request" && l.CallerGot != "" {
			s.add(l)
		}
		return true
	})
	s.out.Unreadable += unreadable
	return err
}

func (s *summarizer) add(l requestLine) {
	s.hosts[l.Host] = true
	s.out.Requests++
	name := cmp.Or(l.Route, "(none)")
	if s.routes[name] == nil {
		s.routes[name] = newRouteTotals(name)
	}
	s.routes[name].add(l)
	if l.Urgency != nil {
		s.urgencies.add(strconv.Itoa(*l.Urgency), l)
	}
	if l.Customer != "" {
		s.customers.add(l.Customer, l)
	}
}

// maxTime is the largest time that is distinguished.
const maxTime = time.Hour

func newRouteTotals(name string) *RouteTotals {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxTime.Milliseconds(), 3) }
	return &RouteTotals{
		Route: name, CallerGot: map[string]int{}, Attempts: map[string]int{},
		answered: histogram(), first: histogram(), firstLate: histogram(),
	}
}

func (t *RouteTotals) add(l requestLine) {
	t.Requests++
	t.CallerGot[l.CallerGot]++
	own := l.Took
	for i, a := range l.Attempts {
		t.Attempts[a.Outcome]++
		took := float64(a.TookMS) / 1000
		own -= took
		if i < len(l.Attempts)-1 || l.CallerGot != "answer" {
			t.Time.Spent += took
			continue
		}
		t.addServed(l, a)
	}
	// Attempts that overlap take longer together than their request.
	t.Time.Own += max(0, own)
	if l.CallerGot == "answer" {
		record(t.answered, int64(l.Took*1000))
	}
	if l.Code != "" {
		t.addFailure(l)
	}
}

// addServed adds the attempt whose answer the caller has.
func (t *RouteTotals) addServed(l requestLine, a attemptFields) {
	if l.PromptTokens == 0 {
		// All of its answer comes at once.
		t.Time.FirstEvent += float64(a.TookMS) / 1000
		return
	}
	t.Time.FirstEvent += float64(a.FirstMS) / 1000
	t.Time.Rest += float64(max(0, a.TookMS-a.FirstMS)) / 1000
	record(t.first, a.FirstMS)
	record(t.firstLate, a.FirstMS-a.ExpectedMS)
	resident := min(a.CachedTokens, l.PromptTokens)
	t.Tokens.Prompts += l.PromptTokens
	t.Tokens.Resident += resident
	t.Tokens.Read += l.PromptTokens - resident
	if a.Saved != "" {
		t.Tokens.Saves++
	}
	if a.Imported != "" {
		t.Tokens.Imports++
	} else {
		t.Tokens.ReadThoughStored += max(0, l.StoredTokens-resident)
	}
}

func record(h *hdrhistogram.Histogram, ms int64) {
	// Within its bounds, a histogram takes any value.
	h.RecordValue(min(max(0, ms), maxTime.Milliseconds()))
}

// addFailure counts as alike those whose reasons differ only in what follows a colon, as times to wait do.
func (t *RouteTotals) addFailure(l requestLine) {
	reason, _, _ := strings.Cut(l.Reason, ":")
	for _, r := range t.Failures {
		if r.Code == l.Code && r.Ran == l.Ran && r.Reason == reason {
			r.Count++
			return
		}
	}
	t.Failures = append(t.Failures, &Failure{Code: l.Code, Ran: l.Ran, Reason: reason, Count: 1})
}

// finish returns the sums, the busiest routes and most frequent failures first.
func (s *summarizer) finish() Summary {
	s.out.Hosts = len(s.hosts)
	s.out.Routes = slices.SortedFunc(maps.Values(s.routes), func(a, b *RouteTotals) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Route, b.Route))
	})
	for _, t := range s.out.Routes {
		t.Answered, t.First, t.FirstLate = quantilesOf(t.answered), quantilesOf(t.first), quantilesOf(t.firstLate)
		slices.SortFunc(t.Failures, func(a, b *Failure) int {
			return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Code, b.Code), cmp.Compare(a.Reason, b.Reason))
		})
	}
	s.out.Urgencies = slices.SortedFunc(maps.Values(s.urgencies), func(a, b *GroupTotals) int { return cmp.Compare(a.Name, b.Name) })
	s.out.Customers = limit(s.customers.sorted(), maxListedCustomers)
	return s.out
}

func quantilesOf(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{h.ValueAtQuantile(50), h.ValueAtQuantile(95), h.ValueAtQuantile(99)}
}

// printSummary prints a table for each question.
func (c *cli) printSummary(s Summary) int {
	fmt.Fprintf(c.Out, "%d requests of %d hosts, %d unreadable lines\n", s.Requests, s.Hosts, s.Unreadable)
	c.section("What callers got", "ROUTE\tREQUESTS\tANSWER\tREFUSAL\tPART\tNOTHING\tP50 MS\tP95 MS\tP99 MS", func(w *tabwriter.Writer) {
		for _, t := range s.Routes {
			got, q := t.CallerGot, t.Answered
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", t.Route, t.Requests, got["answer"], got["refusal"], got["part"], got["nothing"], q.P50, q.P95, q.P99)
		}
	})
	c.section("Where time went, in seconds", "ROUTE\tATTEMPTS THAT DID NOT SERVE\tTO FIRST EVENT\tAFTER IT\tGATEWAY", func(w *tabwriter.Writer) {
		for _, t := range s.Routes {
			fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%.3f\t%.3f\n", t.Route, t.Time.Spent, t.Time.FirstEvent, t.Time.Rest, t.Time.Own)
		}
	})
	c.section("First events, in ms", "ROUTE\tP50\tP95\tP99\tLATER THAN EXPECTED P50\tP95\tP99", func(w *tabwriter.Writer) {
		for _, t := range s.withPrompts() {
			first, late := t.First, t.FirstLate
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\n", t.Route, first.P50, first.P95, first.P99, late.P50, late.P95, late.P99)
		}
	})
	c.section("Where the tokens of served prompts went", "ROUTE\tPROMPTS\tRESIDENT\tREAD\tREAD THOUGH STORED\tIMPORTS\tSAVES", func(w *tabwriter.Writer) {
		for _, t := range s.withPrompts() {
			k := t.Tokens
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\n", t.Route, k.Prompts, k.Resident, k.Read, k.ReadThoughStored, k.Imports, k.Saves)
		}
	})
	c.section("Attempts", "ROUTE\tOUTCOME\tATTEMPTS", func(w *tabwriter.Writer) {
		for _, t := range s.Routes {
			for _, outcome := range slices.Sorted(maps.Keys(t.Attempts)) {
				fmt.Fprintf(w, "%s\t%s\t%d\n", t.Route, outcome, t.Attempts[outcome])
			}
		}
	})
	c.section("Refusals and broken answers", "ROUTE\tREQUESTS\tCODE\tRAN\tREASON", func(w *tabwriter.Writer) {
		for _, t := range s.Routes {
			for _, r := range t.Failures {
				fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\n", t.Route, r.Count, r.Code, r.Ran, r.Reason)
			}
		}
	})
	c.groupSection("Who was refused, by urgency (0 is served first)", "URGENCY", s.Urgencies)
	c.groupSection("Who was refused, by customer", "CUSTOMER", s.Customers)
	return ExitOK
}

// groupSection prints a table of groups; it omits one without rows.
func (c *cli) groupSection(title, name string, list []*GroupTotals) {
	if len(list) == 0 {
		return
	}
	var all GroupTotals
	for _, t := range list {
		all.merge(t)
	}
	c.section(title, name+"\tREQUESTS\tANSWERED\tREFUSED FOR LOAD\tREFUSED OTHERWISE\tSHARE OF ANSWERS\tOF THEIR PROMPT TOKENS", func(w *tabwriter.Writer) {
		for _, t := range list {
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.3f\t%.3f\n", t.Name, t.Requests, t.Answers, t.Overloaded, t.Refused,
				part(int64(t.Answers), int64(all.Answers)), part(t.AnswerTokens, all.AnswerTokens))
		}
	})
}

// part returns n as a fraction of all, 0 if there are none.
func part(n, all int64) float64 {
	if all == 0 {
		return 0
	}
	return float64(n) / float64(all)
}

// withPrompts returns the routes whose prompts were served.
func (s Summary) withPrompts() []*RouteTotals {
	return slices.DeleteFunc(slices.Clone(s.Routes), func(t *RouteTotals) bool { return t.Tokens.Prompts == 0 })
}

func (c *cli) section(title, header string, rows func(*tabwriter.Writer)) {
	fmt.Fprintf(c.Out, "\n%s\n", title)
	c.table(header, rows)
}
