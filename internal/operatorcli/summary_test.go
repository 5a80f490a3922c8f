package operatorcli

import (
	"bytes"
	"encoding/json"
	"flag"
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
