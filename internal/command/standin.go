package command

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	enginestandin "limpetwall/internal/transport/engine/standin"
	"limpetwall/internal/transport/fault"
	hostliststandin "limpetwall/internal/transport/hostlist/standin"
	"limpetwall/internal/transport/httpjson"
	"limpetwall/internal/transport/kvstore"
	kvstandin "limpetwall/internal/transport/kvstore/standin"
	objectstandin "limpetwall/internal/transport/objectapi/standin"
	plainstandin "limpetwall/internal/transport/plainservice/standin"
	"limpetwall/internal/transport/settings"
	"limpetwall/internal/transport/weights"
	weightstandin "limpetwall/internal/transport/weights/standin"
)

// standinSettings are common to all stand-ins; each kind uses its own part.
type standinSettings struct {
	Listen, Admin string
	Engine        enginestandin.Config
	Delay         time.Duration
	Lag           time.Duration
	Capacity      int64
}

func bindStandin(set *settings.Set, kind string) *standinSettings {
	s := &standinSettings{}
	f := set.Flags()
	f.StringVar(&s.Listen, "listen", "127.0.0.1:0", "IP and port of the stand-in")
	f.StringVar(&s.Admin, "admin-listen", "127.0.0.1:0", "IP and port of its admin port, for faults and counts")
	switch kind {
	case "engine":
		f.StringVar(&s.Engine.Model, "model", "toy", "model served")
		f.StringVar(&s.Engine.WeightVersion, "weight-version", "v1", "weight version served")
		f.StringVar(&s.Engine.SoftwareVersion, "software-version", "", "version of the engine's own software")
		f.IntVar(&s.Engine.PrefillRate, "prefill-rate", 20_000, "tokens prefilled a second; 0 takes no time")
		f.DurationVar(&s.Engine.TokenTime, "token-time", 5*time.Millisecond, "time between tokens")
		f.IntVar(&s.Engine.Slots, "slots", 64, "prompts that run together")
		f.IntVar(&s.Engine.MaxQueue, "max-queue", 256, "prompts that wait")
		f.IntVar(&s.Engine.CacheBlocks, "cache-blocks", 1000, "context pieces kept in memory")
		f.Int64Var(&s.Engine.PieceBytes, "piece-bytes", 1<<20, "size told for one exported piece of context")
		f.BoolVar(&s.Engine.IgnoreFence, "ignore-fence", false, "accept orders with old fencing numbers")
		f.DurationVar(&s.Engine.LoadTime, "load-time", time.Second, "time to load weights")
		f.DurationVar(&s.Engine.StatusLag, "status-lag", 0, "age of the load reported")
	case "service":
		f.DurationVar(&s.Delay, "delay", 0, "time of each call")
	case "hostlist":
		f.DurationVar(&s.Lag, "lag", 0, "time until a change shows")
	case "store":
		f.Int64Var(&s.Capacity, "capacity", 1<<30, "bytes the store holds")
	}
	return s
}

// newStandin returns the handlers of a stand-in and of its admin port.
func newStandin(kind string, s *standinSettings) (http.Handler, http.Handler, error) {
	faults := fault.NewInjector()
	admin := faults.Admin()
	var handler http.Handler
	switch kind {
	case "engine":
		handler = enginestandin.New(s.Engine).Handler()
	case "service":
		handler = plainstandin.New(s.Delay).Handler()
	case "hostlist":
		handler = hostliststandin.New(s.Lag).Handler()
	case "objectapi":
		store := objectstandin.New()
		handler = store.Handler()
		handleReturns(admin, store)
	case "weights":
		handler = weightstandin.New(weights.Info{Model: "toy", Version: "v1", Bytes: 1 << 30}, weights.Info{Model: "toy", Version: "v2", Bytes: 1 << 30}).Handler()
	case "store":
		store := kvstandin.New(s.Capacity)
		handler = store.Handler()
		admin.HandleFunc("PUT /wrongs", func(w http.ResponseWriter, r *http.Request) { setWrongs(store, w, r) })
	default:
		return nil, nil, fmt.Errorf("unknown stand-in %q: engine, store, objectapi, hostlist, service or weights", kind)
	}
	// The admin port also serves the stand-in's state, without injected faults.
	admin.Handle("/", handler)
	return faults.Wrap(handler), admin, nil
}

// handleReturns lets a test or an operator of the dev command play a store that comes back from an
// older copy: POST /copy makes the copy, POST /restore comes back from the last one.
func handleReturns(admin *http.ServeMux, store *objectstandin.Store) {
	var mu sync.Mutex
	older := store.Copy()
	admin.HandleFunc("POST /copy", func(http.ResponseWriter, *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		older = store.Copy()
	})
	admin.HandleFunc("POST /restore", func(http.ResponseWriter, *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		store.Restore(older)
	})
}

func setWrongs(store *kvstandin.Store, w http.ResponseWriter, r *http.Request) {
	var wrongs kvstandin.Wrongs
	if err := httpjson.Read(r, 1<<16, &wrongs); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	store.SetWrongs(wrongs)
	httpjson.Write(w, http.StatusOK, wrongs)
}

var _ kvstore.Store = (*kvstandin.Store)(nil)

func standinMain(args []string, io IO) int {
	if len(args) == 0 {
		fmt.Fprintln(io.Err, "name a stand-in: engine, store, objectapi, hostlist, service or weights")
		return ExitSettings
	}
	set := settings.New("limpetwall standin " + args[0])
	s := bindStandin(set, args[0])
	if code, done := parse(set, args[1:], io); done {
		return code
	}
	handler, admin, err := newStandin(args[0], s)
	if err != nil {
		fmt.Fprintln(io.Err, err)
		return ExitSettings
	}
	address, stopServing, err := serveHTTP(s.Listen, handler)
	if err != nil {
		fmt.Fprintln(io.Err, err)
		return ExitFailed
	}
	defer stopServing()
	adminAddress, stopAdmin, err := serveHTTP(s.Admin, admin)
	if err != nil {
		fmt.Fprintln(io.Err, err)
		return ExitFailed
	}
	defer stopAdmin()
	fmt.Fprintf(io.Out, "standin %s listen=%s admin=%s\n", args[0], address, adminAddress)
	<-io.Signals.Stop
	return ExitOK
}

func serveHTTP(listen string, handler http.Handler) (address string, stop func(), err error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	go server.Serve(listener)
	return listener.Addr().String(), func() { server.Close() }, nil
}
