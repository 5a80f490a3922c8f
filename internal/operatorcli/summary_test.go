package operatorcli

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write golden files anew")

func runSummary(t *testing.T, args ...string) (out, errs string, code int) {
	t.Helper()
	var o, e bytes.Buffer
	code = Main(append([]string{"summary"}, args...), Surroundings{Out: &o, Err: &e, Env: os.LookupEnv})
	return o.String(), e.String(), code
}

// TestSummary compares the tables of two processes' logs, with an entry's, a cut and a foreign line between them.
func TestSummary(t *testing.T) {
	out, errs, code := runSummary(t, "testdata/summary.log")
	if code != ExitOK || errs != "" {
		t.Fatalf("exit code %d: %s", code, errs)
	}
	const golden = "testdata/summary.txt"
	if *update {
		if err := os.WriteFile(golden, []byte(out), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if out != string(want) {
		t.Errorf("got\n%s\nwant\n%s", out, want)
	}
}

// TestSummaryAsJSON guards against parts of the time that don't add up to what the requests took.
func TestSummaryAsJSON(t *testing.T) {
	out, _, code := runSummary(t, "-o", "json", "testdata/summary.log")
	var s Summary
	if err := json.Unmarshal([]byte(out), &s); err != nil || code != ExitOK {
		t.Fatal(err, code)
	}
	if s.Requests != 7 || s.Hosts != 2 || s.Unreadable != 2 || len(s.Routes) != 3 {
		t.Errorf("%+v", s)
	}
	sum := 0.
	for _, r := range s.Routes {
		sum += r.Time.Spent + r.Time.FirstEvent + r.Time.Rest + r.Time.Own
	}
	const took = 1.25 + 0.5 + 0.001 + 0.001 + 0.3 + 0.02 + 0.002
	if sum < took-1e-6 || sum > took+1e-6 {
		t.Errorf("%f of %f s", sum, took)
	}
}

// TestSummaryOfBadInput names what can't be read.
func TestSummaryOfBadInput(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	rows := []struct {
		name, path, want string
	}{
		{"no such file", filepath.Join(dir, "missing"), "missing"},
		{"no request", write("empty", "not a log line\n"), "no request in the logs (1 unreadable lines)"},
		{"a line over the bound", write("long", strings.Repeat("a", maxLogLine+1)), "long: "},
	}
	for _, row := range rows {
		if _, errs, code := runSummary(t, row.path); code != ExitFailed || !strings.Contains(errs, row.want) {
			t.Errorf("%s: exit code %d, %q", row.name, code, errs)
		}
	}
}

// TestSummaryOfRefusals has thirty customers, one of which asks for half of everything: a summary must say whose requests were
// refused and which part of the answers each gets, and its list of customers must stay short.
func TestSummaryOfRefusals(t *testing.T) {
	var log strings.Builder
	line := func(customer string, urgency int, rest string) {
		fmt.Fprintf(&log, `{"host":"front-a","msg":"request","route":"chat","customer":%q,"urgency":%d,"prompt_tokens":100,%s}`+"\n", customer, urgency, rest)
	}
	const answered, refused = `"caller_got":"answer"`, `"caller_got":"refusal","code":"overloaded"`
	for i := range 30 {
		line("large", 0, answered)
		line("large", 1, refused)
		line(fmt.Sprintf("small-%02d", i), 1, answered)
	}
	line("small-00", 1, `"caller_got":"refusal","code":"timeout"`)
	path := filepath.Join(t.TempDir(), "log")
	if err := os.WriteFile(path, []byte(log.String()), 0o600); err != nil {
		t.Fatal(err)
	}
	out, errs, code := runSummary(t, "-o", "json", path)
	if code != ExitOK {
		t.Fatalf("got exit %d: %s", code, errs)
	}
	var s Summary
	if err := json.Unmarshal([]byte(out), &s); err != nil {
		t.Fatal(err)
	}
	if len(s.Customers) != maxListedCustomers+1 {
		t.Fatalf("got %d customers listed, want %d and the others", len(s.Customers), maxListedCustomers)
	}
	for _, row := range []struct{ got, want GroupTotals }{
		{*s.Customers[0], GroupTotals{Name: "large", Requests: 60, Answers: 30, Overloaded: 30, AnswerTokens: 3000}},
		{*s.Customers[1], GroupTotals{Name: "small-00", Requests: 2, Answers: 1, Refused: 1, AnswerTokens: 100}},
		{*s.Customers[maxListedCustomers], GroupTotals{Name: otherCustomers, Requests: 11, Answers: 11, AnswerTokens: 1100}},
		{*s.Urgencies[0], GroupTotals{Name: "0", Requests: 30, Answers: 30, AnswerTokens: 3000}},
		{*s.Urgencies[1], GroupTotals{Name: "1", Requests: 61, Answers: 30, Overloaded: 30, Refused: 1, AnswerTokens: 3000}},
	} {
		if row.got != row.want {
			t.Errorf("got %+v, want %+v", row.got, row.want)
		}
	}
	table, _, _ := runSummary(t, path)
	if want := "large     60        30        30                0                  0.500             0.500"; !strings.Contains(table, want) {
		t.Errorf("got\n%s\nwant the line %q", table, want)
	}
}
