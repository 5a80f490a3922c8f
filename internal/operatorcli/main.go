package operatorcli

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"limpetwall/internal/state/finding"
	"limpetwall/internal/transport/httpjson"
	"limpetwall/internal/transport/settings"
)

// Exit codes of limpetctl.
const (
	ExitOK         = 0
	ExitFailed     = 1
	ExitUsage      = 2
	ExitNotApplied = 3
	ExitUnknown    = 4
)

const usage = `limpetctl operates limpetwall through any of its entries.

Usage: limpetctl COMMAND [flags] [arguments]

  plan -f FILE [-save PLAN]   show what a request would change
  confirm PLAN                put a saved plan in force
  evacuate DOMAIN             plan that a failure domain gets no requests, or (-back) gets them again
  get KIND [ID]               show documents: customer, service, intent, operator
  status                      show the fleet, and who lags behind the configuration
  report burn [-html FILE]    show how fast services use up their error budgets
  load                        send prompts and measure time to first token
  explain ID [LOG...]         show from logs what decided a request (default: standard input)
  summary [LOG...]            show from logs what callers got, and where time and tokens went
  quarantines                 show requests that are not run because they crash endpoints
  lift FINGERPRINT            have one run again
  key                         make an API key and the hash to configure
  completion                  print a bash completion script

Flags of all commands, each with an environment twin (-entry: LIMPETWALL_ENTRY):
  -entry URL   an entry (default http://127.0.0.1:8080)
  -key KEY     operator key (load: customer key)
  -o FORMAT    json or table
  -store IP:PORT  quarantines, lift: the platform's metadata store, where gateways run in place of entries

Examples:
  limpetctl plan -f shop.json -save shop.plan && limpetctl confirm shop.plan
  limpetctl get intent -o json
  limpetctl report burn -html burn.html
  limpetctl load -service describe -requests 200 -concurrency 8

Exit codes: 0 done, 1 failed, 2 wrong usage, 3 plan not applied,
4 outcome unknown (confirm the same plan again).
`

// Surroundings of one run of limpetctl.
type Surroundings struct {
	Out, Err io.Writer
	Env      settings.LookupEnv
}

// cli is one run.
type cli struct {
	Surroundings
	set    *settings.Set
	args   []string
	entry  *string
	key    *string
	format *string
}

type command struct {
	// arguments is the number of positional arguments, at least and at most.
	least, most int
	bind        func(*cli) func() int
}

func commands() map[string]command {
	return map[string]command{
		"plan":        {0, 0, bindPlan},
		"confirm":     {1, 1, bindConfirm},
		"evacuate":    {1, 1, bindEvacuate},
		"get":         {1, 2, bindGet},
		"status":      {0, 0, bindStatus},
		"report":      {1, 1, bindReport},
		"load":        {0, 0, bindLoad},
		"key":         {0, 0, bindKey},
		"explain":     {1, 100, bindExplain},
		"summary":     {0, 1000, bindSummary},
		"quarantines": {0, 0, bindQuarantines},
		"lift":        {1, 1, bindLift},
		"completion":  {0, 0, bindCompletion},
	}
}

// Main runs limpetctl and returns its exit code.
func Main(args []string, s Surroundings) int {
	if len(args) == 0 {
		fmt.Fprint(s.Err, usage)
		return ExitUsage
	}
	if args[0] == "help" || args[0] == "-h" || args[0] == "--help" {
		fmt.Fprint(s.Out, usage)
		return ExitOK
	}
	cmd, ok := commands()[args[0]]
	if !ok {
		fmt.Fprintf(s.Err, "unknown command %q\n\n%s", args[0], usage)
		return ExitUsage
	}
	c := &cli{Surroundings: s, set: settings.New("limpetctl " + args[0])}
	c.entry = c.set.Flags().String("entry", "http://127.0.0.1:8080", "URL of an entry")
	c.key = c.set.Secret("key", "operator key; customer key for load")
	c.format = c.set.Flags().String("o", "table", "json or table")
	c.set.Check(func(l *finding.List) {
		if *c.format != "json" && *c.format != "table" {
			l.Add("-o", "%q is neither json nor table", *c.format)
		}
	})
	run := cmd.bind(c)
	flags, positional := split(c.set.Flags(), args[1:])
	c.args = positional
	if err := c.set.Parse(flags, s.Env); err != nil {
		if err == flag.ErrHelp {
			fmt.Fprint(s.Out, usage)
			c.set.Usage(s.Out)
			return ExitOK
		}
		fmt.Fprintln(s.Err, err)
		return ExitUsage
	}
	if len(positional) < cmd.least || len(positional) > cmd.most {
		fmt.Fprintf(s.Err, "%s takes %d to %d arguments, got %d\n", args[0], cmd.least, cmd.most, len(positional))
		return ExitUsage
	}
	return run()
}

// split lets flags stand before and after arguments.
func split(flags *flag.FlagSet, args []string) (options, positional []string) {
	for i := 0; i < len(args); i++ {
		if !strings.HasPrefix(args[i], "-") || args[i] == "-" {
			positional = append(positional, args[i])
			continue
		}
		options = append(options, args[i])
		name, _, inline := strings.Cut(strings.TrimLeft(args[i], "-"), "=")
		f := flags.Lookup(name)
		if f == nil || inline || i+1 == len(args) {
			continue
		}
		if b, ok := f.Value.(interface{ IsBoolFlag() bool }); ok && b.IsBoolFlag() {
			continue
		}
		i++
		options = append(options, args[i])
	}
	return options, positional
}

// maxAnswer bounds an entry's answer, in bytes.
const maxAnswer = 16 << 20

// call sends a request to the entry and decodes an answer of an accepted status.
func (c *cli) call(method, path string, in, out any, accept ...int) (int, error) {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return 0, err
		}
		body = bytes.NewReader(data)
	}
	r, err := http.NewRequest(method, strings.TrimRight(*c.entry, "/")+path, body)
	if err != nil {
		return 0, err
	}
	r.Header.Set("Authorization", "Bearer "+*c.key)
	client := &http.Client{Timeout: 30 * time.Second, Transport: httpjson.NewTransport(&http.Transport{})}
	resp, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return resp.StatusCode, err
	}
	for _, status := range append(accept, http.StatusOK) {
		if resp.StatusCode == status {
			return status, decodeInto(data, out)
		}
	}
	return resp.StatusCode, errorOf(resp.StatusCode, data)
}

func decodeInto(data []byte, out any) error {
	if raw, ok := out.(*[]byte); ok {
		*raw = data
		return nil
	}
	return json.Unmarshal(data, out)
}

// errorOf makes an entry's error readable, findings a line each.
func errorOf(status int, data []byte) error {
	var body struct {
		Error struct {
			Code     string            `json:"code"`
			Message  string            `json:"message"`
			Findings []finding.Finding `json:"findings"`
		} `json:"error"`
	}
	if json.Unmarshal(data, &body) != nil || body.Error.Code == "" {
		return fmt.Errorf("entry answered %d: %s", status, data)
	}
	return fmt.Errorf("%s: %s", body.Error.Code, body.Error.Message)
}

func (c *cli) fail(err error) int {
	fmt.Fprintln(c.Err, err)
	return ExitFailed
}

func (c *cli) printJSON(value any) int {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return c.fail(err)
	}
	fmt.Fprintf(c.Out, "%s\n", data)
	return ExitOK
}
