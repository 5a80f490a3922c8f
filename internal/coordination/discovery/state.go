package discovery

import (
	"cmp"
	"encoding/json"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"limpetwall/internal/state/config"
	"limpetwall/internal/state/fleet"
	"limpetwall/internal/state/routes"
	"limpetwall/internal/transport/objectapi"
)

// ServiceLabel is the label that holds the service of an instance.
const ServiceLabel = "service"

// Instance is one start of an endpoint as the platform lists it.
type Instance struct {
	ID string
	// Born is the start time in Unix milliseconds, 0 if unknown. It distinguishes starts
	// under one id, see fleet.Incarnation.
	Born     int64
	Revision objectapi.Revision
	Service  string
	Address  string
	Domain   string
	Slots    int
	Leaving  bool
	Model    string
	// Weights is the version of the model, 0 if the endpoint has none.
	Weights int64
	// SoftwareVersion is the version of the endpoint's own software, empty if it names none.
	SoftwareVersion string
	// Orders is the number of load orders accepted since the start.
	Orders int64
	// ColdFor is how much longer the endpoint was to stay cold when it wrote the entry.
	ColdFor time.Duration
}

// Incarnation identifies this start.
func (i Instance) Incarnation() fleet.Incarnation {
	return fleet.Incarnation{ID: i.ID, Born: i.Born}
}

// State is this process's view of the routing table, the instances and the target weights.
// It is safe for concurrent use.
type State struct {
	// Table holds the instances as members, Services the services as documents. Routing
	// decisions read them in these forms.
	Table    *fleet.Table
	Services *config.Store
	Log      *zap.Logger
	// Now is a clock that also advances while the host is suspended; it measures how long
	// versions have been the target. Set it before use.
	Now func() time.Time
	// RetireAfter is how long an endpoint may be used after its weights were replaced; 0 sets
	// no limit.
	RetireAfter time.Duration
	// BeginWithin is how long after its weights were replaced an endpoint may still begin to
	// answer a request that was sent before; 0 sets no limit.
	BeginWithin time.Duration
	// AwaitsWeights is set if endpoints with a model get no work before the store has answered a call for target weights.
	AwaitsWeights bool
	// FollowsEvacuations is set if the platform lets operators evacuate failure domains.
	FollowsEvacuations bool
	// Regions holds the region of each failure domain. Set it before use.
	Regions map[string]string
	// OnListed, if set, is called before a list of the endpoints is applied: what came and went before it is not known. OnSoftware,
	// if set, is called with the software version of each entry, also when the entry is removed or replaced. OnFollowed, if set, is
	// called once a list or the changes in an answer of a watch are applied.
	OnListed   func(now time.Time)
	OnSoftware func(service, version string, now time.Time)
	OnFollowed func()
	// EntryLifetime is how long the entry of an endpoint that no longer confirms it stays listed.
	EntryLifetime time.Duration

	routes   atomic.Pointer[routes.Table]
	onRoutes func(*routes.Table)
	dropped  atomic.Int64
	// wallChanges counts the configurations that isolated customers or let them share context again.
	wallChanges atomic.Int64

	mu     sync.Mutex
	former formerRoutes
	// streamTargetsSince is since when the routes have led resumable streams as they do.
	streamTargetsSince time.Time
	instances          map[string]*knownInstance
	conflicts          addressConflicts
	departures         departures
	// wallsRaised is closed when a configuration that isolates a customer comes into force.
	wallsRaised   chan struct{}
	targets       map[string]TargetWeights
	targetChanged chan struct{}
	// namingsChanged is closed when this process learns when a version was named.
	namingsChanged chan struct{}
	weightsAnswer  weightsAnswer
	rowVersion     uint64
	listed         bool
	// evacuations holds the evacuated failure domains.
	evacuations       map[string]*evacuation
	evacuationsListed bool
}

// knownInstance is an instance together with what this process knows of it beyond its
// entry.
type knownInstance struct {
	Instance
	// loading is set while the endpoint carries out a load order, outdated while its weights
	// must not be used any more.
	loading, outdated bool
	// lacksModel is set while the endpoint must not be used because its model is not known.
	lacksModel bool
	// draining is closed when the endpoint should have no more runs.
	draining chan struct{}
	// leavingSince is when this process learned that the endpoint leaves, zero unless it does.
	leavingSince time.Time
	// removedAt is when the entry was found missing, zero while it is listed; removedEra is the era of
	// the store in which it was.
	removedAt  time.Time
	removedEra uint64
	// coldUntil is until when the endpoint is cold, by time.Now.
	coldUntil time.Time
	// listedWeights is the version of the weights in the endpoint's newest entry.
	listedWeights int64
	// reportedOlder is an older version than the known one that the endpoint itself reports.
	reportedOlder olderWeights
	// listedLeaving is set once the endpoint's entry has said that it leaves; its answers or a peer may
	// have said so before.
	listedLeaving bool
}

// NewState returns an empty state. onRoutes is called with each routing table that comes
// into force.
func NewState(self fleet.Member, log *zap.Logger, now time.Time, onRoutes func(*routes.Table)) *State {
	cfg := fleet.DefaultConfig()
	cfg.KeepDead = goneRetention
	return &State{
		Table: fleet.NewTable(cfg, self, now), Services: config.NewStore(), Log: log, Now: time.Now, onRoutes: onRoutes,
		instances: map[string]*knownInstance{}, conflicts: addressConflicts{firstSeen: map[string]objectapi.Revision{}, waiting: map[string]Instance{}},
		departures: newDepartures(), targets: map[string]TargetWeights{}, targetChanged: make(chan struct{}), wallsRaised: make(chan struct{}), namingsChanged: make(chan struct{}), evacuations: map[string]*evacuation{},
	}
}

// goneRetention is how long the row of a removed instance is kept, so that requests still in
// flight find it.
const goneRetention = 30 * time.Second

// Routes returns the routing table in force, nil before the first.
func (s *State) Routes() *routes.Table { return s.routes.Load() }

// Ready reports whether requests can be routed: a routing table is in force, and the
// instances and evacuations have been listed.
func (s *State) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.routes.Load() != nil && s.listed && (s.evacuationsListed || !s.FollowsEvacuations)
}

// SetRoutes puts a routing table in force unless a newer one already is. Within a process,
// the table never goes back to an older one: stale reads and delayed answers are dropped.
func (s *State) SetRoutes(t *routes.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.routes.Load()
	if old != nil && (t.Version < old.Version || t.Revision <= old.Revision) {
		if t.Version != old.Version {
			s.Log.Info("configuration dropped as older", zap.Uint64("version", t.Version), zap.Uint64("known_version", old.Version),
				revisionField("revision", objectapi.Revision(t.Revision)), revisionField("known_revision", objectapi.Revision(old.Revision)))
		}
		return
	}
	if unreadable := t.Unreadable(); len(unreadable) > 0 {
		text := strings.Join(unreadable, ", ")
		s.Log.Error("entries of the configuration can't be read", zap.Uint64("version", t.Version), zap.Int("entries", len(unreadable)),
			zap.String("names", text[:min(len(text), loggedNames)]))
		t = t.Completed(old)
	}
	if old != nil && !t.HasSameRoutes(old) {
		s.former.add(old, s.Now())
	}
	if old == nil || old.StreamTargets() != t.StreamTargets() {
		s.streamTargetsSince = time.Now()
	}
	s.publishServices(t)
	s.routes.Store(t)
	for _, k := range s.instances {
		if s.lacksModel(k) != k.lacksModel {
			s.writeRow(k, stateOf(k.Instance))
		}
	}
	s.onRoutes(t)
	s.Log.Info("configuration in force", zap.Uint64("version", t.Version), revisionField("revision", objectapi.Revision(t.Revision)),
		zap.Int("services", len(t.Services)), zap.Int("isolated_customers", len(t.Isolated())), zap.String("sharing_group", t.SharingGroup(nil)))
	if old != nil {
		s.recordWalls(t, old)
	}
}

// recordWalls wakes those who wait on WallsRaised, and logs which customers were isolated or share context again. All context
// that others shared before is of no use then.
func (s *State) recordWalls(t, old *routes.Table) {
	isolated, shared, deleted := t.WallsChanged(old)
	if len(isolated)+len(shared)+len(deleted) == 0 {
		return
	}
	s.wallChanges.Add(1)
	if len(isolated) > 0 {
		close(s.wallsRaised)
		s.wallsRaised = make(chan struct{})
	}
	names := func(list []string) string {
		text := strings.Join(list, ", ")
		return text[:min(len(text), loggedNames)]
	}
	s.Log.Info("walls between customers changed", zap.Uint64("version", t.Version), zap.String("isolated", names(isolated)),
		zap.String("shared_again", names(shared)), zap.String("deleted", names(deleted)), zap.String("sharing_group", t.SharingGroup(nil)), zap.String("before", old.SharingGroup(nil)))
}

// WallsRaised returns a channel that is closed when a configuration that isolates a customer comes into force.
func (s *State) WallsRaised() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.wallsRaised
}

// WallChanges returns the number of configurations that isolated customers or let them share context again.
func (s *State) WallChanges() int64 { return s.wallChanges.Load() }

// IsolatedCustomers returns the number of customers that share no context.
func (s *State) IsolatedCustomers() int64 {
	t := s.routes.Load()
	if t == nil {
		return 0
	}
	return int64(len(t.Isolated()))
}

// loggedNames bounds the names of entries in one line, in bytes.
const loggedNames = 300

// intentSpec and serviceSpec are the JSON forms of documents; see config.Intent.
type intentSpec struct {
	Service string            `json:"service"`
	Labels  map[string]string `json:"labels"`
	// MaxConcurrent is the maximum number of concurrent runs on one endpoint.
	MaxConcurrent int `json:"max_concurrent,omitempty"`
	// ColdRate is the number of requests per second that a cold endpoint withstands.
	ColdRate float64 `json:"cold_requests_per_second,omitempty"`
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
		intent := intentSpec{Service: name, Labels: map[string]string{ServiceLabel: name}, ColdRate: service.ColdRate}
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

// Instance returns an instance that has not been removed.
func (s *State) Instance(id string) (Instance, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k, ok := s.instances[id]
	if !ok {
		return Instance{}, false
	}
	return k.Instance, true
}

// Instances returns, ordered by id, the instances of services in the configuration, or all
// instances before the first configuration. An entry of a service that is not in the
// configuration may come from any writer, so its address is not queried and gets no orders.
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

// HasSoftware reports whether an endpoint of a service that does not leave has a software version.
func (s *State) HasSoftware(service, version string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range s.instances {
		if k.Service == service && k.SoftwareVersion == version && !k.Leaving {
			return true
		}
	}
	return false
}

// HasService reports whether a service is in the configuration in force. Before the first
// configuration, it reports true for every service.
func (s *State) HasService(service string) bool {
	t := s.routes.Load()
	return t == nil || t.Services[service] != nil
}

// SetInstance records a listed instance.
func (s *State) SetInstance(i Instance) {
	s.reportSoftware(i)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setInstance(i)
}

// reportSoftware reports that an instance has its software version now, or had it until now.
func (s *State) reportSoftware(i Instance) {
	if s.OnSoftware != nil {
		s.OnSoftware(i.Service, i.SoftwareVersion, time.Now())
	}
}

func (s *State) setInstance(i Instance) {
	k, ok := s.instances[i.ID]
	if ok && (i.Revision < k.Revision || i.Incarnation().Before(k.Incarnation())) {
		s.logDropped(k, i)
		return
	}
	if ok && !k.removedAt.IsZero() && !s.isBack(k, i) {
		return
	}
	if !ok {
		if !s.readmit(&i) || !s.claimAddress(i) {
			return
		}
		k = &knownInstance{draining: make(chan struct{})}
		s.instances[i.ID] = k
	}
	if i.Born == 0 {
		i.Born = k.Born
	}
	restarted := ok && i.Born != k.Born
	firstListedLeaving := i.Leaving && !k.listedLeaving
	k.listedLeaving = i.Leaving
	listedBefore := k.listedWeights
	if i.Weights > 0 {
		k.listedWeights = i.Weights
	}
	if restarted {
		s.recordRestart(k, i.Born)
	} else {
		// The entry may lag behind what the endpoint itself said, or be of an older copy of the
		// store. Within one start, an endpoint that leaves never stays, and the version of the weights
		// grows unless the endpoint itself has listed a newer one before.
		if i.Weights == 0 || i.Weights >= listedBefore || i.Revision.Era() != k.Revision.Era() {
			i.Weights = max(i.Weights, k.Weights)
		} else if i.Weights < k.Weights {
			s.logOlderWeights(k, i.Weights, "entry")
		}
		i.Leaving = i.Leaving || k.Leaving
		i.Model = cmp.Or(i.Model, k.Model)
	}
	if ok && i.SoftwareVersion != k.SoftwareVersion {
		s.reportSoftware(k.Instance)
	}
	reappeared := !k.removedAt.IsZero()
	coldChanged := (!ok || i.Revision > k.Revision) && k.setCold(i.ColdFor, time.Now())
	changed := !ok || reappeared || restarted || coldChanged || firstListedLeaving || !isSameRow(k.Instance, i)
	k.Instance, k.removedAt = i, time.Time{}
	if changed {
		s.writeRow(k, stateOf(i))
		if k.Weights < s.targets[k.Model].Version {
			s.notifyTargetChanged()
		}
		s.Log.Info("endpoint listed", zap.String("endpoint", i.ID), zap.String("service", i.Service), zap.String("address", i.Address),
			zap.String("domain", i.Domain), zap.Bool("leaving", i.Leaving), zap.Int64("weights", i.Weights),
			zap.String("software_version", i.SoftwareVersion),
			zap.Bool("back", reappeared), zap.Duration("cold_for", i.ColdFor), revisionField("revision", i.Revision))
	}
}

// logDropped logs that an entry is not used because a newer one is known, if they differ.
func (s *State) logDropped(k *knownInstance, i Instance) {
	if isSameRow(k.Instance, i) && k.Born == i.Born {
		return
	}
	s.dropped.Add(1)
	s.Log.Info("endpoint entry dropped as older", zap.String("endpoint", i.ID), zap.Bool("leaving", i.Leaving), zap.Bool("known_leaving", k.Leaving),
		revisionField("revision", i.Revision), revisionField("known_revision", k.Revision), zap.Int64("born", i.Born), zap.Int64("known_born", k.Born))
}

// DroppedEntries returns the number of entries that were not used because a newer one was known.
func (s *State) DroppedEntries() int64 { return s.dropped.Load() }

// revisionField logs a revision as the store's era and number.
func revisionField(key string, r objectapi.Revision) zap.Field {
	return zap.String(key, strconv.FormatUint(r.Era(), 10)+"/"+strconv.FormatUint(r.Number(), 10))
}

// isSameRow reports whether two entries of one start make the same row of the table.
func isSameRow(a, b Instance) bool {
	return a.Leaving == b.Leaving && a.Weights == b.Weights && a.Model == b.Model &&
		a.Service == b.Service && a.Address == b.Address && a.Domain == b.Domain && a.SoftwareVersion == b.SoftwareVersion
}

// ObserveStart records the start and the weights that an endpoint itself reported. The report
// may arrive before the entry of the same start: a restarted endpoint writes its entry a
// second or more later. A report without a start is attributed to the known start.
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

// ObserveStartByAddress is ObserveStart for an endpoint of which only the address is known.
func (s *State) ObserveStartByAddress(address string, born int64) {
	for _, i := range s.Instances() {
		// The address of an endpoint that leaves may already be another endpoint's.
		if i.Address == address && !i.Leaving {
			s.ObserveStart(i.ID, born, 0)
		}
	}
}

// recordRestart resets what belonged to an earlier start of an instance: its orders and its
// loading state. Its weights stay the same unless it reports others.
//
// The endpoint counts as cold for its whole warm-up: the report of a restart may arrive before
// the entry that says for how long.
func (s *State) recordRestart(k *knownInstance, born int64) {
	s.Log.Info("endpoint restarted under the same id", zap.String("endpoint", k.ID), zap.Int64("born", born), zap.Int64("before", k.Born))
	k.Born, k.Orders, k.loading, k.Leaving, k.reportedOlder = born, 0, false, false, olderWeights{}
	k.setCold(s.coldStart(k.Service), time.Now())
}

// coldStart returns how long an endpoint of a service is cold after its start.
func (s *State) coldStart(service string) time.Duration {
	t := s.routes.Load()
	if t == nil || t.Services[service] == nil {
		return 0
	}
	return t.Services[service].ColdStart
}

// setCold records for how long an endpoint stays cold, 0 if it is warm. It returns whether the
// endpoint's row changes. The end is late by the age of the entry, never early.
func (k *knownInstance) setCold(coldFor time.Duration, now time.Time) bool {
	if coldFor <= 0 {
		changed := !k.coldUntil.IsZero()
		k.coldUntil = time.Time{}
		return changed
	}
	k.coldUntil = now.Add(coldFor)
	return true
}

// MarkLeaving records that the answers of an endpoint's incarnation say that it leaves.
func (s *State) MarkLeaving(id string, incarnation fleet.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k, ok := s.instances[id]
	if !ok || k.Incarnation() != incarnation || k.Leaving {
		return
	}
	k.Leaving = true
	s.writeRow(k, stateOf(k.Instance))
	s.Log.Info("endpoint leaves by its answers or by a peer's report", zap.String("endpoint", id), zap.String("service", k.Service))
}

func stateOf(i Instance) fleet.State {
	if i.Leaving {
		return fleet.Leaving
	}
	return fleet.Alive
}

// writeRow writes an instance's row; each write has a higher version than the one before.
func (s *State) writeRow(k *knownInstance, state fleet.State) {
	s.rowVersion++
	s.updateOutdated(k)
	s.updateDraining(k)
	k.lacksModel = s.lacksModel(k)
	noNewRuns := k.loading || k.outdated || k.lacksModel || s.evacuations[k.Domain] != nil
	kind := fleet.KindPlain
	if k.Model != "" {
		kind = fleet.KindEngine
	}
	s.Table.Learn(fleet.Member{
		ID: k.ID, Incarnation: k.Incarnation().Hash(), Version: s.rowVersion, State: state,
		Address: k.Address, Host: k.Address, Domain: k.Domain, Region: s.Regions[k.Domain], Role: fleet.RoleAgent,
		Endpoint: fleet.Endpoint{
			ID: k.ID, Kind: kind, Labels: map[string]string{ServiceLabel: k.Service}, Model: k.Model,
			WeightVersion: VersionName(k.Weights), SoftwareVersion: k.SoftwareVersion, Loading: noNewRuns, ColdUntil: k.coldUntil,
		},
	}, time.Now())
}

// Draining returns a channel that is closed when an endpoint leaves, or carries out a load
// order, for which its runs must end. It returns nil if the endpoint is not known.
func (s *State) Draining(id string) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	k, ok := s.instances[id]
	if !ok {
		return nil
	}
	return k.draining
}

// LeavingSince returns when this process learned that an endpoint leaves, zero if it does not or is not known.
func (s *State) LeavingSince(id string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k, ok := s.instances[id]; ok {
		return k.leavingSince
	}
	return time.Time{}
}

// lacksModel reports whether an endpoint's entry names no model though the endpoint's service has some: another writer
// has left it out. A prompt that is sent there has no version of weights that it must run on, nor context of its own.
func (s *State) lacksModel(k *knownInstance) bool {
	t := s.routes.Load()
	if t == nil || t.Services[k.Service] == nil || k.Model != "" {
		return false
	}
	engine := t.Services[k.Service].Engine
	return engine != nil && len(engine.Models) > 0
}

// updateDraining signals the runs of an endpoint to move elsewhere, once each time that the
// endpoint begins to drain, and records since when it leaves.
func (s *State) updateDraining(k *knownInstance) {
	switch {
	case !k.Leaving:
		k.leavingSince = time.Time{}
	case k.leavingSince.IsZero():
		k.leavingSince = time.Now()
	}
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

// SetLoading records whether an endpoint carries out a load order. It gets no new work
// meanwhile.
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
