package discovery

import (
	"encoding/json"
	"maps"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"limpetwall/internal/state/config"
	"limpetwall/internal/state/fleet"
	"limpetwall/internal/state/routes"
)

// ServiceLabel ties an instance to its service.
const ServiceLabel = "service"

// Instance is one start of an endpoint as the platform lists it.
type Instance struct {
	ID string
	// Born is the Unix millisecond of the start, 0 where it was not told. It tells apart the starts under one id, see fleet.Incarnation.
	Born     int64
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

// Incarnation names this start.
func (i Instance) Incarnation() fleet.Incarnation {
	return fleet.Incarnation{ID: i.ID, Born: i.Born}
}

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
	// BeginWithin is how long after their replacement weights may still begin to
	// answer a request that was sent before; 0 sets no limit.
	BeginWithin time.Duration

	routes   atomic.Pointer[routes.Table]
	onRoutes func(*routes.Table)

	mu            sync.Mutex
	instances     map[string]*knownInstance
	conflicts     addressConflicts
	targets       map[string]TargetWeights
	targetChanged chan struct{}
	rowVersion    uint64
	listed        bool
}

type knownInstance struct {
	Instance
	// loading is set while an order is carried out, outdated once its weights must not
	// be used any more.
	loading, outdated bool
	// draining is closed once the endpoint should be rid of its runs.
	draining chan struct{}
	// removedAt is when the entry was found missing, zero while it is listed.
	removedAt time.Time
}

// NewState returns a state that knows nothing. onTable is called with each
// routing table that comes in force.
func NewState(self fleet.Member, log *zap.Logger, now time.Time, onRoutes func(*routes.Table)) *State {
	cfg := fleet.DefaultConfig()
	cfg.KeepDead = goneRetention
	return &State{
		Table: fleet.NewTable(cfg, self, now), Services: config.NewStore(), Log: log, Now: time.Now, onRoutes: onRoutes,
		instances: map[string]*knownInstance{}, conflicts: addressConflicts{firstSeen: map[string]uint64{}, waiting: map[string]Instance{}},
		targets: map[string]TargetWeights{}, targetChanged: make(chan struct{}),
	}
}

// goneRetention is how long a gone instance's row is kept, so that requests still
// underway find it.
const goneRetention = 30 * time.Second

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
	s.onRoutes(t)
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

// Instances lists the instances of services that the configuration names, by id; before
// the first configuration all. An entry of a service that it does not name may be anybody's:
// nothing is asked of its address, and no order is sent there.
func (s *State) Instances() []Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Instance, 0, len(s.instances))
	for _, k := range s.instances {
		if s.HasService(k.Service) {
			out = append(out, k.Instance)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].ID < out[b].ID })
	return out
}

// HasService tells whether the configuration in force names a service; before the first one
// every service counts as named.
func (s *State) HasService(service string) bool {
	t := s.routes.Load()
	return t == nil || t.Services[service] != nil
}

// SetInstance records a listed instance.
func (s *State) SetInstance(i Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setInstance(i)
}

func (s *State) setInstance(i Instance) {
	k, ok := s.instances[i.ID]
	if ok && (i.Revision < k.Revision || i.Incarnation().Before(k.Incarnation())) {
		return
	}
	if !ok {
		if !s.claimAddress(i) {
			return
		}
		k = &knownInstance{draining: make(chan struct{})}
		s.instances[i.ID] = k
	}
	if i.Born == 0 {
		i.Born = k.Born
	}
	restarted := ok && i.Born != k.Born
	if restarted {
		s.recordRestart(k, i.Born)
	} else if k.Weights > i.Weights {
		// The list lags behind what the endpoint itself has said; weights of one
		// start only grow.
		i.Weights = k.Weights
	}
	reappeared := !k.removedAt.IsZero()
	changed := !ok || reappeared || restarted || !isSameRow(k.Instance, i)
	k.Instance, k.removedAt = i, time.Time{}
	if changed {
		s.writeRow(k, stateOf(i))
		if k.Weights < s.targets[k.Model].Version {
			s.notifyTargetChanged()
		}
		s.Log.Info("endpoint listed", zap.String("endpoint", i.ID), zap.String("service", i.Service), zap.String("address", i.Address),
			zap.String("domain", i.Domain), zap.Bool("leaving", i.Leaving), zap.Int64("weights", i.Weights),
			zap.Bool("back", reappeared), zap.Uint64("revision", i.Revision))
	}
}

// isSameRow tells whether two entries of one start make the same row for decisions.
func isSameRow(a, b Instance) bool {
	return a.Leaving == b.Leaving && a.Weights == b.Weights && a.Model == b.Model &&
		a.Service == b.Service && a.Address == b.Address && a.Domain == b.Domain
}

// ObserveStart takes in an endpoint's own word of its start and its weights. It may come before
// the entry that tells of the same start: a restarted endpoint writes its entry a second
// or more later. An endpoint that tells of no start is taken for the one that is known.
func (s *State) ObserveStart(id string, born, weights int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k, ok := s.instances[id]
	if !ok || born == 0 || born == k.Born || (fleet.Incarnation{ID: id, Born: born}).Before(k.Incarnation()) {
		return
	}
	s.recordRestart(k, born)
	if weights > 0 {
		k.Weights = weights
	}
	s.writeRow(k, stateOf(k.Instance))
}

// ObserveStartByAddress is Started for an endpoint that is known by its address only.
func (s *State) ObserveStartByAddress(address string, born int64) {
	for _, i := range s.Instances() {
		if i.Address == address {
			s.ObserveStart(i.ID, born, 0)
		}
	}
}

// recordRestart forgets what belonged to an instance's earlier start: its orders, and what it had
// underway. Its weights are those it had, unless it says otherwise.
func (s *State) recordRestart(k *knownInstance, born int64) {
	s.Log.Info("endpoint restarted under its id", zap.String("endpoint", k.ID), zap.Int64("born", born), zap.Int64("before", k.Born))
	k.Born, k.Orders, k.loading = born, 0, false
}

func stateOf(i Instance) fleet.State {
	if i.Leaving {
		return fleet.Leaving
	}
	return fleet.Alive
}

// writeRow writes an instance's row; each write has a higher version than the last.
func (s *State) writeRow(k *knownInstance, state fleet.State) {
	s.rowVersion++
	s.updateOutdated(k)
	s.updateDraining(k)
	kind := fleet.KindPlain
	if k.Model != "" {
		kind = fleet.KindEngine
	}
	s.Table.Learn(fleet.Member{
		ID: k.ID, Incarnation: k.Incarnation().Hash(), Version: s.rowVersion, State: state,
		Address: k.Address, Host: k.Address, Domain: k.Domain, Role: fleet.RoleAgent,
		Endpoint: fleet.Endpoint{
			ID: k.ID, Kind: kind, Labels: map[string]string{ServiceLabel: k.Service}, Model: k.Model,
			WeightVersion: VersionName(k.Weights), Loading: k.loading || k.outdated,
		},
	}, time.Now())
}

// Draining returns a channel that is closed when an endpoint carries out an order, for
// which its runs must end, or leaves; nil if it is not known.
func (s *State) Draining(id string) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	k, ok := s.instances[id]
	if !ok {
		return nil
	}
	return k.draining
}

// updateDraining tells the runs of an endpoint that they should go elsewhere, once each time
// that it begins to empty.
func (s *State) updateDraining(k *knownInstance) {
	isDraining := false
	select {
	case <-k.draining:
		isDraining = true
	default:
	}
	switch shouldDrain := k.loading || k.Leaving; {
	case shouldDrain && !isDraining:
		close(k.draining)
	case !shouldDrain && isDraining:
		k.draining = make(chan struct{})
	}
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
	s.writeRow(k, stateOf(k.Instance))
}

// Remove records that an instance's entry is gone. With lapsed the store has been
// away shortly before: entries lapse then though their endpoints live, and come
// back; only one that stays missing is gone.
func (s *State) Remove(id string, storeWasAway bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conflicts.waiting, id)
	k, ok := s.instances[id]
	if !ok || !k.removedAt.IsZero() {
		return
	}
	k.removedAt = now
	s.Log.Info("endpoint no longer listed", zap.String("endpoint", id), zap.Bool("store_was_away", storeWasAway))
	if !storeWasAway {
		s.removeInstance(k)
	}
}

// ReplaceInstances records a whole list; what it lacks is gone.
func (s *State) ReplaceInstances(list []Instance, storeWasAway bool, now time.Time) {
	present := make(map[string]bool, len(list))
	for _, i := range list {
		present[i.ID] = true
		s.SetInstance(i)
	}
	for _, id := range s.knownIDs() {
		if !present[id] {
			s.Remove(id, storeWasAway, now)
		}
	}
	s.mu.Lock()
	s.listed = true
	s.mu.Unlock()
}

// knownIDs lists all instances: of services that are not named, and those that wait for their
// address too.
func (s *State) knownIDs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Concat(slices.Sorted(maps.Keys(s.instances)), slices.Sorted(maps.Keys(s.conflicts.waiting)))
}

// goneAt is the time from which a lapsed entry that has not come back counts as gone. returned is
// when the store was last heard of endpoints again.
func (k *knownInstance) goneAt(recovered time.Time) time.Time {
	if k.removedAt.Sub(recovered) >= reappearWindow {
		// The store had answered for endpoints for longer when the entry went: only other kinds failed.
		return k.removedAt.Add(reappearWindow)
	}
	until := recovered.Add(reappearWindow)
	if late := k.removedAt.Add(reappearMargin); late.After(until) {
		return late
	}
	return until
}

// Expire drops the instances whose entries lapsed and did not come back.
func (s *State) Expire(now, recovered time.Time) {
	s.mu.Lock()
	for _, k := range s.instances {
		if !k.removedAt.IsZero() && !now.Before(k.goneAt(recovered)) {
			s.Log.Info("endpoint is gone", zap.String("endpoint", k.ID))
			s.removeInstance(k)
		}
	}
	s.mu.Unlock()
	s.Table.Expire(now)
}
