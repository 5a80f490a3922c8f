package discovery

import (
	"encoding/json"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"limpetwall/internal/state/config"
	"limpetwall/internal/state/fleet"
	"limpetwall/internal/state/routes"
)

// ServiceLabel ties an instance to its service.
const ServiceLabel = "service"

// Instance is one start of an endpoint as the platform lists it.
type Instance struct {
	// ID is new at each start.
	ID       string
	Revision uint64
	Service  string
	Address  string
	Domain   string
	Slots    int
	Leaving  bool
	Model    string
	// Weights is the version of the model, 0 if the endpoint has none.
	Weights int64
	// Orders is the number of orders accepted since the start.
	Orders int64
}

// Named is the version of a model that operators ask for.
type Named struct {
	Model    string
	Version  int64
	Revision uint64
	// since holds when this process learned of each version that may still be missing
	// somewhere, oldest first.
	since []namedAt
}

type namedAt struct {
	version int64
	at      time.Time
}

// keptVersions bounds the versions remembered for a model.
const keptVersions = 16

// State is what the process believes. Safe for concurrent use.
type State struct {
	// Table holds the instances as members, Services the services as documents:
	// the forms that decisions read.
	Table    *fleet.Table
	Services *config.Store
	Log      *zap.Logger
	// Now is a clock that goes on while the host is suspended, for the age of named
	// weights; set it before use.
	Now func() time.Time
	// RetireAfter is how long replaced weights may be used; 0 sets no limit.
	RetireAfter time.Duration

	routes  atomic.Pointer[routes.Table]
	onTable func(*routes.Table)

	mu        sync.Mutex
	instances map[string]*known
	named     map[string]Named
	renamed   chan struct{}
	version   uint64
	listed    bool
}

type known struct {
	Instance
	// loading is set while an order is carried out, outdated once its weights must not
	// be used any more.
	loading, outdated bool
	// removedAt is when the entry was found missing, zero while it is listed.
	removedAt time.Time
}

// NewState returns a state that knows nothing. onTable is called with each
// routing table that comes in force.
func NewState(self fleet.Member, log *zap.Logger, now time.Time, onTable func(*routes.Table)) *State {
	cfg := fleet.DefaultConfig()
	cfg.KeepDead = keepGone
	return &State{
		Table: fleet.NewTable(cfg, self, now), Services: config.NewStore(), Log: log, Now: time.Now, onTable: onTable,
		instances: map[string]*known{}, named: map[string]Named{}, renamed: make(chan struct{}),
	}
}

// keepGone is how long a gone instance's row is kept, so that requests still
// underway find it.
const keepGone = 30 * time.Second

// Routes is the routing table in force, nil before the first.
func (s *State) Routes() *routes.Table { return s.routes.Load() }

// Ready tells whether requests can be decided.
func (s *State) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.routes.Load() != nil && s.listed
}

// SetRoutes puts a routing table in force unless a newer one is. A table never
// goes back within a process's life: stale reads and late answers are older.
func (s *State) SetRoutes(t *routes.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.routes.Load()
	if old != nil && (t.Version < old.Version || t.Revision <= old.Revision) {
		return
	}
	s.Log.Info("configuration in force", zap.Uint64("version", t.Version), zap.Uint64("revision", t.Revision),
		zap.Int("services", len(t.Services)))
	s.publishServices(t)
	s.routes.Store(t)
	s.onTable(t)
}

// intentSpec and serviceSpec are the documents' forms; see config.Intent.
type intentSpec struct {
	Service string            `json:"service"`
	Labels  map[string]string `json:"labels"`
	// MaxConcurrent runs on one endpoint.
	MaxConcurrent int `json:"max_concurrent,omitempty"`
}

type serviceSpec struct {
	Kind      config.ServiceKind `json:"kind"`
	Customers []string           `json:"customers"`
}

func (s *State) publishServices(t *routes.Table) {
	change := config.Change{Revision: s.Services.View().Revision + 1}
	for name, service := range t.Services {
		if service.Store != nil {
			continue
		}
		spec := serviceSpec{Kind: config.ServicePlain, Customers: []string{"*"}}
		if service.Engine != nil {
			spec.Kind = config.ServicePrompt
		}
		intent := intentSpec{Service: name, Labels: map[string]string{ServiceLabel: name}}
		change.Puts = append(change.Puts, s.document(config.KindService, name, spec), s.document(config.KindIntent, name, intent))
	}
	s.Services.Load(config.Empty().With(change))
}

func (s *State) document(kind config.Kind, id string, spec any) config.Document {
	data, err := json.Marshal(spec)
	if err != nil {
		s.Log.Error("document", zap.String("id", id), zap.Error(err))
	}
	return config.Document{Ref: config.Ref{Kind: kind, ID: id}, Spec: data}
}

// SetNamed records the version of a model that operators ask for; versions grow.
func (s *State) SetNamed(n Named) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n.Version <= s.named[n.Model].Version {
		return
	}
	n.since = append(s.named[n.Model].since, namedAt{n.Version, s.Now()})
	n.since = n.since[max(0, len(n.since)-keptVersions):]
	s.named[n.Model] = n
	s.wakeRollout()
	s.Log.Info("weights named", zap.String("model", n.Model), zap.Int64("version", n.Version), zap.Uint64("revision", n.Revision))
}

// wakeRollout tells that there is something to order; s.mu is held.
func (s *State) wakeRollout() {
	close(s.renamed)
	s.renamed = make(chan struct{})
}

// NamedChanged returns a channel that is closed when other weights are named, or
// an endpoint without the named ones is listed.
func (s *State) NamedChanged() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.renamed
}

// NamedWeights lists the versions asked for, by model.
func (s *State) NamedWeights() []Named {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Named, 0, len(s.named))
	for _, n := range s.named {
		out = append(out, n)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Model < out[b].Model })
	return out
}

// Behind counts the endpoints that have not the named weights of a model, and tells
// since when the first version that the furthest behind lacks has been named.
func (s *State) Behind(model string) (endpoints int, since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.named[model]
	oldest := n.Version
	for _, k := range s.instances {
		if k.Model == model && !k.Leaving && k.Weights < n.Version {
			endpoints++
			oldest = min(oldest, k.Weights)
		}
	}
	return endpoints, n.sinceAfter(oldest)
}

// sinceAfter is when the first version above another was named.
func (n Named) sinceAfter(version int64) time.Time {
	for _, v := range n.since {
		if v.version > version {
			return v.at
		}
	}
	return time.Time{}
}

// NamedAge is how long a version of a model has been named.
type NamedAge struct {
	Model   string `json:"model"`
	Version int64  `json:"version"`
	AgeMS   int64  `json:"age_ms"`
}

// Ages tells how long the versions that may still be missing somewhere have been
// named.
func (s *State) Ages() []NamedAge {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []NamedAge
	now := s.Now()
	for _, n := range s.named {
		for _, v := range n.since {
			out = append(out, NamedAge{n.Model, v.version, now.Sub(v.at).Milliseconds()})
		}
	}
	sort.Slice(out, func(a, b int) bool {
		return out[a].Model < out[b].Model || (out[a].Model == out[b].Model && out[a].Version < out[b].Version)
	})
	return out
}

// AdoptAges takes over what another process says of the age of versions. A process
// that has started since they were named would otherwise allow the replaced ones
// for as long again.
func (s *State) AdoptAges(ages []NamedAge) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	for _, a := range ages {
		since := s.named[a.Model].since
		for i := range since {
			at := now.Add(-time.Duration(a.AgeMS) * time.Millisecond)
			if since[i].version == a.Version && at.Before(since[i].at) {
				since[i].at = at
			}
		}
	}
}

// RetireOutdated stops the use of endpoints whose weights were replaced more than
// RetireAfter ago, and takes them back into use once they have newer ones. What
// they would answer is worth nothing by then.
func (s *State) RetireOutdated() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range s.instances {
		if s.isOutdated(k) != k.outdated {
			s.put(k, stateOf(k.Instance))
		}
	}
}

func (s *State) isOutdated(k *known) bool {
	since := s.named[k.Model].sinceAfter(k.Weights)
	return s.RetireAfter > 0 && k.Model != "" && !since.IsZero() && s.Now().Sub(since) > s.RetireAfter
}

// noteOutdated keeps and logs whether an endpoint's weights may be used. Each
// write of its row asks anew: an endpoint may come back with weights that were
// replaced long ago.
func (s *State) noteOutdated(k *known) {
	if outdated := s.isOutdated(k); outdated != k.outdated {
		k.outdated = outdated
		s.Log.Info("endpoint's weights", zap.String("endpoint", k.ID), zap.Int64("weights", k.Weights), zap.Bool("outdated", outdated))
	}
}

// IsLoading tells whether an endpoint carries out an order.
func (s *State) IsLoading(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	k, ok := s.instances[id]
	return ok && k.loading
}

// NamedVersion is the version asked for of one model, 0 if none is.
func (s *State) NamedVersion(model string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.named[model].Version
}

// Instance returns one instance that has not been found gone.
func (s *State) Instance(id string) (Instance, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k, ok := s.instances[id]
	if !ok {
		return Instance{}, false
	}
	return k.Instance, true
}

// Instances lists all instances, by id.
func (s *State) Instances() []Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Instance, 0, len(s.instances))
	for _, k := range s.instances {
		out = append(out, k.Instance)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].ID < out[b].ID })
	return out
}

// SetInstance records a listed instance.
func (s *State) SetInstance(i Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setInstance(i)
}

func (s *State) setInstance(i Instance) {
	k, ok := s.instances[i.ID]
	if ok && i.Revision < k.Revision {
		return
	}
	if !ok {
		k = &known{}
		s.instances[i.ID] = k
	}
	if k.Weights > i.Weights {
		// The list lags behind what the endpoint itself has said; weights of one
		// start only grow.
		i.Weights = k.Weights
	}
	back := !k.removedAt.IsZero()
	changed := !ok || back || k.Leaving != i.Leaving || k.Weights != i.Weights
	k.Instance, k.removedAt = i, time.Time{}
	if changed {
		s.put(k, stateOf(i))
		if k.Weights < s.named[k.Model].Version {
			s.wakeRollout()
		}
		s.Log.Info("endpoint listed", zap.String("endpoint", i.ID), zap.String("service", i.Service), zap.String("address", i.Address),
			zap.String("domain", i.Domain), zap.Bool("leaving", i.Leaving), zap.Int64("weights", i.Weights),
			zap.Bool("back", back), zap.Uint64("revision", i.Revision))
	}
}

func stateOf(i Instance) fleet.State {
	if i.Leaving {
		return fleet.Leaving
	}
	return fleet.Alive
}

// put writes an instance's row; each write has a higher version than the last.
func (s *State) put(k *known, state fleet.State) {
	s.version++
	s.noteOutdated(k)
	kind := fleet.KindPlain
	if k.Model != "" {
		kind = fleet.KindEngine
	}
	s.Table.Learn(fleet.Member{
		ID: k.ID, Incarnation: xxhash.Sum64String(k.ID), Version: s.version, State: state,
		Address: k.Address, Host: k.Address, Domain: k.Domain, Role: fleet.RoleAgent,
		Endpoint: fleet.Endpoint{
			ID: k.ID, Kind: kind, Labels: map[string]string{ServiceLabel: k.Service}, Model: k.Model,
			WeightVersion: VersionName(k.Weights), Loading: k.loading || k.outdated,
		},
	}, time.Now())
}

// VersionName is the form in which decisions compare versions of weights.
func VersionName(version int64) string {
	if version == 0 {
		return ""
	}
	return strconv.FormatInt(version, 10)
}

// Observe takes in what an endpoint itself said of its weights.
func (s *State) Observe(id string, weights int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k, ok := s.instances[id]
	if !ok || weights <= k.Weights {
		return
	}
	s.Log.Info("endpoint has new weights", zap.String("endpoint", id), zap.Int64("weights", weights), zap.Int64("before", k.Weights))
	k.Weights = weights
	s.put(k, stateOf(k.Instance))
}

// SetLoading marks an endpoint that carries out an order: it takes no new work.
func (s *State) SetLoading(id string, loading bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k, ok := s.instances[id]
	if !ok || k.loading == loading {
		return
	}
	k.loading = loading
	s.put(k, stateOf(k.Instance))
}

// Remove records that an instance's entry is gone. With lapsed the store has been
// away shortly before: entries lapse then though their endpoints live, and come
// back; only one that stays missing is gone.
func (s *State) Remove(id string, lapsed bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k, ok := s.instances[id]
	if !ok || !k.removedAt.IsZero() {
		return
	}
	k.removedAt = now
	s.Log.Info("endpoint no longer listed", zap.String("endpoint", id), zap.Bool("store_was_away", lapsed))
	if !lapsed {
		s.drop(k)
	}
}

func (s *State) drop(k *known) {
	delete(s.instances, k.ID)
	s.put(k, fleet.Dead)
}

// ReplaceInstances records a whole list; what it lacks is gone.
func (s *State) ReplaceInstances(list []Instance, lapsed bool, now time.Time) {
	present := make(map[string]bool, len(list))
	for _, i := range list {
		present[i.ID] = true
		s.SetInstance(i)
	}
	for _, i := range s.Instances() {
		if !present[i.ID] {
			s.Remove(i.ID, lapsed, now)
		}
	}
	s.mu.Lock()
	s.listed = true
	s.mu.Unlock()
}

// Expire drops the instances that have stayed missing since before.
func (s *State) Expire(before time.Time) {
	s.mu.Lock()
	for _, k := range s.instances {
		if !k.removedAt.IsZero() && k.removedAt.Before(before) {
			s.Log.Info("endpoint is gone", zap.String("endpoint", k.ID))
			s.drop(k)
		}
	}
	s.mu.Unlock()
	s.Table.Expire(time.Now())
}
