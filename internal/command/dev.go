package command

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"

	"limpetwall/internal/coordination/plan"
	"limpetwall/internal/state/config"
	"limpetwall/internal/state/finding"
	"limpetwall/internal/transport/hostlist"
	"limpetwall/internal/transport/settings"
)

// Keys of the dev command's operator and customer. They are printed, and are valid only for a dev
// process on loopback.
const (
	devOperatorKey = "dev-operator-key"
	devCustomerKey = "dev-customer-key"
	devLinkRate    = 100 << 20
)

// devSoftwareVersions are the versions of the engines' software, which serve side by side.
var devSoftwareVersions = []string{"1.1", "1.2"}

type devSettings struct {
	Listen   string
	Entries  int
	Engines  int
	LogLevel string
}

// devMain runs a small site in one process: stand-ins of all outside systems,
// agents beside engines and a booking service, and entries.
func devMain(args []string, io IO) int {
	set := settings.New("limpetwall dev")
	s := &devSettings{}
	f := set.Flags()
	f.StringVar(&s.Listen, "listen", "127.0.0.1:8080", "IP and port of the first entry")
	f.StringVar(&s.LogLevel, "log-level", "error", "debug, info, warn or error")
	entries := set.Int("entries", 2, 1, 16, "entries")
	engines := set.Int("engines", 3, 1, 64, "engines, each with an agent")
	set.Check(func(*finding.List) { s.Entries, s.Engines = *entries, *engines })
	if code, done := parse(set, args, io); done {
		return code
	}
	logger := newLogger(s.LogLevel, io)
	if err := runDev(s, logger, io.Signals.watch(), io); err != nil {
		fmt.Fprintln(io.Err, err)
		return ExitFailed
	}
	return ExitOK
}

// site holds the dev command's running parts.
type site struct {
	logger  *zap.Logger
	stop    Stop
	group   sync.WaitGroup
	stops   []func()
	objects string
	hosts   string
	failed  chan error
	entries []string
	stores  []config.StoreHost
	// admins are the admin ports of the stand-ins beside agents, by agent.
	admins []standinAdmin
}

// standinAdmin is the admin port of a stand-in.
type standinAdmin struct{ agent, url string }

func runDev(s *devSettings, logger *zap.Logger, stop Stop, io IO) error {
	// The parts end when a stop is requested, and also when one of them could not start: the others
	// would keep running, and the command would hang.
	end := make(chan struct{})
	d := &site{logger: logger, stop: Stop{Graceful: end, Now: stop.Now}, failed: make(chan error, 64)}
	defer func() {
		close(end)
		d.group.Wait()
		for _, stop := range d.stops {
			stop()
		}
	}()
	if err := d.build(s); err != nil {
		return err
	}
	printDev(io.Out, d)
	select {
	case <-stop.Graceful:
		return nil
	case err := <-d.failed:
		return err
	}
}

// build starts all parts and configures them.
func (d *site) build(s *devSettings) error {
	var err error
	if d.objects, _, err = d.standin("objectapi"); err != nil {
		return err
	}
	if d.hosts, _, err = d.standin("hostlist"); err != nil {
		return err
	}
	domains := []string{"domain-a", "domain-b", "domain-c"}
	for i := range s.Engines {
		software := devSoftwareVersions[i%len(devSoftwareVersions)]
		if err := d.agent(fmt.Sprintf("engine-%d", i+1), domains[i%3], "engine", "-engine", "pool=models", "-software-version", software); err != nil {
			return err
		}
	}
	for _, domain := range domains[:2] {
		url, _, err := d.standin("store")
		if err != nil {
			return err
		}
		d.stores = append(d.stores, config.StoreHost{URL: url, Domain: domain, Tier: "memory", LinkBytesPerSecond: devLinkRate})
	}
	if err := d.agent("booking-1", domains[0], "service", "-plain", "pool=booking"); err != nil {
		return err
	}
	listen := s.Listen
	for i := range s.Entries {
		if err := d.entry(fmt.Sprintf("entry-%d", i+1), domains[i%3], listen); err != nil {
			return err
		}
		listen = "127.0.0.1:0"
	}
	return d.configure()
}

// standin starts a stand-in and returns the URLs of it and of its admin port.
func (d *site) standin(kind string, args ...string) (url, admin string, err error) {
	set := settings.New(kind)
	s := bindStandin(set, kind)
	if err := set.Parse(args, os.LookupEnv); err != nil {
		return "", "", err
	}
	handler, adminHandler, err := newStandin(kind, s)
	if err != nil {
		return "", "", err
	}
	if url, err = d.serve(s.Listen, handler); err != nil {
		return "", "", err
	}
	admin, err = d.serve(s.Admin, adminHandler)
	return url, admin, err
}

// serve serves a handler until the site ends, and returns its URL.
func (d *site) serve(listen string, handler http.Handler) (string, error) {
	address, stop, err := serveHTTP(listen, handler)
	if err != nil {
		return "", err
	}
	d.stops = append(d.stops, stop)
	return "http://" + address, nil
}

func (d *site) common(id, domain string) []string {
	return []string{
		"-id", id, "-host", "host-" + id, "-domain", domain, "-peer-listen", "127.0.0.1:0",
		"-object-api", d.objects, "-host-list", d.hosts, "-drain-timeout", "10s",
	}
}

func (d *site) agent(id, domain, kind, flagName, labels string, standinArgs ...string) error {
	url, admin, err := d.standin(kind, standinArgs...)
	if err != nil {
		return err
	}
	d.admins = append(d.admins, standinAdmin{id, admin})
	set := settings.New(id)
	s := BindAgent(set)
	if err := set.Parse(append(d.common(id, domain), flagName, url, "-labels", labels), noEnv); err != nil {
		return err
	}
	d.start(id, domain, func(base func(*base)) error { return runAgent(s, d.logger, d.stop, base) })
	return nil
}

func (d *site) entry(id, domain, listen string) error {
	set := settings.New(id)
	s := BindEntry(set)
	args := append(d.common(id, domain), "-listen", listen, "-drain-delay", "0s", "-root-key-hash", config.HashKey(devOperatorKey))
	if err := set.Parse(args, noEnv); err != nil {
		return err
	}
	listening := make(chan string, 1)
	d.start(id, domain, func(base func(*base)) error {
		return runEntry(s, d.logger, d.stop, base, func(address string) { listening <- address })
	})
	select {
	case address := <-listening:
		d.entries = append(d.entries, "http://"+address)
		return nil
	case err := <-d.failed:
		return err
	}
}

func noEnv(string) (string, bool) { return "", false }

// start runs a process part and lists its host, as the platform would.
func (d *site) start(id, domain string, run func(onBase func(*base)) error) {
	d.group.Go(func() {
		err := run(func(p *base) {
			d.put("/v1/hosts/host-"+id, d.hosts, hostlist.Host{Domain: domain, State: hostlist.Live, Address: p.node.Table().Self().Address})
		})
		if err != nil {
			d.failed <- err
		}
	})
}

func (d *site) put(path, base string, value any) error {
	data, _ := json.Marshal(value)
	r, _ := http.NewRequest(http.MethodPut, base+path, bytes.NewReader(data))
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// devRequest is the configuration that the dev command confirms at its start.
func (d *site) devRequest() plan.Request {
	document := func(kind config.Kind, id string, spec any) config.Document {
		data, _ := json.Marshal(spec)
		return config.Document{Ref: config.Ref{Kind: kind, ID: id}, Spec: data}
	}
	request := plan.Request{Put: []config.Document{
		document(config.KindCustomer, "demo", config.Customer{KeyHashes: []string{config.HashKey(devCustomerKey)}}),
		document(config.KindService, "describe", config.Service{Kind: config.ServicePrompt, Customers: []string{"*"}}),
		document(config.KindIntent, "describe", config.Intent{Service: "describe", Labels: map[string]string{"pool": "models"}, Model: "toy", WeightVersion: "v1"}),
		document(config.KindService, "booking", config.Service{Kind: config.ServicePlain, NotRepeatable: true, Customers: []string{"*"}}),
		document(config.KindIntent, "booking", config.Intent{Service: "booking", Labels: map[string]string{"pool": "booking"}}),
	}}
	for i, store := range d.stores {
		request.Put = append(request.Put, document(config.KindStore, fmt.Sprintf("store-%d", i+1), store))
	}
	return request
}

// configure plans and confirms the demo configuration as an operator would.
func (d *site) configure() error {
	deadline := time.Now().Add(10 * time.Second)
	for {
		err := d.tryConfigure()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (d *site) tryConfigure() error {
	var p plan.Plan
	if err := d.operator("/v1/plans", d.devRequest(), &p); err != nil {
		return err
	}
	var verdict plan.Result
	return d.operator("/v1/plans/confirm", p, &verdict)
}

func (d *site) operator(path string, in, out any) error {
	data, err := json.Marshal(in)
	if err != nil {
		return err
	}
	r, err := http.NewRequest(http.MethodPost, d.entries[0]+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+devOperatorKey)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", path, body)
	}
	return json.Unmarshal(body, out)
}

func printDev(w io.Writer, d *site) {
	fmt.Fprintf(w, "object API  %s\nhost list   %s\n", d.objects, d.hosts)
	for i, url := range d.entries {
		fmt.Fprintf(w, "entry-%d     %s\n", i+1, url)
	}
	for _, a := range d.admins {
		fmt.Fprintf(w, "%-11s beside a stand-in whose admin port is %s\n", a.agent, a.url)
	}
	fmt.Fprintf(w, "\ncustomer key %s\noperator key %s\n\nready; try:\n", devCustomerKey, devOperatorKey)
	fmt.Fprintf(w, "curl -sN %s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{\"model\":\"describe\",\"stream\":true,\"max_tokens\":8,\"messages\":[{\"role\":\"user\",\"content\":\"an oak chair\"}]}'\n", d.entries[0], devCustomerKey)
}
