// Package plan works out what an operator's request would change and whether a
// confirmed plan can still be applied. These decisions are pure functions;
// Confirmer then writes the change to the log. The operator sends the whole plan
// with the confirm, so no process stores it and any entry can confirm it.
package plan

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"limpetwall/internal/state/config"
	"limpetwall/internal/state/finding"
	"limpetwall/internal/state/fleet"
)

// maxChanges bounds the documents of one plan.
const maxChanges = 200

// Request is what an operator asks for.
type Request struct {
	Put    []config.Document `json:"put,omitempty"`
	Delete []config.Ref      `json:"delete,omitempty"`
}

// Base is the revision of a document when the plan was made; 0 if it did not exist.
type Base struct {
	config.Ref
	Revision uint64 `json:"revision"`
}

// Action is what a plan does to a document.
type Action string

// The actions of a plan.
const (
	Create    Action = "create"
	Update    Action = "update"
	Delete    Action = "delete"
	Unchanged Action = "unchanged"
)

// Step is one document's change.
type Step struct {
	config.Ref
	Action Action `json:"action"`
}

// Effect is what changes for one endpoint.
type Effect struct {
	Host     string `json:"host"`
	Endpoint string `json:"endpoint"`
	Service  string `json:"service"`
	// Change is "gains" or "loses" (the service), or "reloads" (another model,
	// weight version or adapter for it).
	Change string `json:"change"`
	Detail string `json:"detail,omitempty"`
}

// Plan is what a request would change. ID is a digest of the rest.
type Plan struct {
	ID       string `json:"id"`
	Operator string `json:"operator"`
	// Nonce distinguishes two plans with the same content.
	Nonce        string    `json:"nonce"`
	At           time.Time `json:"at"`
	BaseRevision uint64    `json:"base_revision"`
	Bases        []Base    `json:"bases"`
	Request      Request   `json:"request"`
	Steps        []Step    `json:"steps"`
	Effects      []Effect  `json:"effects"`
	Warnings     []string  `json:"warnings"`
}

// Matches reports whether an intent selects an endpoint by its labels and role.
func Matches(i *config.Intent, e fleet.Endpoint) bool {
	return (i.Role == "" || i.Role == e.Role) && MatchesLabels(i, e)
}

// MatchesLabels reports whether an endpoint has all of an intent's labels.
func MatchesLabels(i *config.Intent, e fleet.Endpoint) bool {
	for name, value := range i.Labels {
		if e.Labels[name] != value {
			return false
		}
	}
	return true
}

// Check validates a request against a view and returns all findings.
func Check(v *config.View, r Request) *finding.List {
	var l finding.List
	if len(r.Put)+len(r.Delete) == 0 {
		l.Add("$", "asks for nothing; give put or delete")
	}
	if len(r.Put)+len(r.Delete) > maxChanges {
		l.Add("$", "has %d changes, at most %d are accepted", len(r.Put)+len(r.Delete), maxChanges)
	}
	seen := map[config.Ref]bool{}
	for i, d := range r.Put {
		path := fmt.Sprintf("$.put[%d]", i)
		d.Check(&l, path)
		checkDuplicate(&l, seen, path, d.Ref)
		checkNoSalt(&l, path, d)
	}
	for i, ref := range r.Delete {
		path := fmt.Sprintf("$.delete[%d]", i)
		checkDuplicate(&l, seen, path, ref)
		if _, ok := v.Documents[ref]; !ok {
			l.Add(path, "%s does not exist", ref)
		}
	}
	if len(l.Items()) == 0 {
		v.With(requestedChange(r)).CheckReferences(&l)
		checkRegions(v, r, &l)
	}
	return &l
}

func checkDuplicate(l *finding.List, seen map[config.Ref]bool, path string, ref config.Ref) {
	if seen[ref] {
		l.Add(path, "%s is named twice", ref)
	}
	seen[ref] = true
}

// checkNoSalt rejects a customer document that sets the salt: an operator who
// could set it could make two customers share contexts.
func checkNoSalt(l *finding.List, path string, d config.Document) {
	var c config.Customer
	if d.Kind == config.KindCustomer && json.Unmarshal(d.Spec, &c) == nil && len(c.Salt) > 0 {
		l.Add(path+".spec.salt", "is made by the system and can't be set")
	}
}

func requestedChange(r Request) config.Change {
	return config.Change{Puts: r.Put, Deletes: r.Delete}
}

// New returns the plan of a request that passed Check.
func New(v *config.View, r Request, members []fleet.Member, operator, nonce string, now time.Time) Plan {
	p := Plan{
		Operator: operator, Nonce: nonce, At: now.UTC(), BaseRevision: v.Revision, Request: r,
		Bases: []Base{}, Steps: []Step{}, Effects: []Effect{}, Warnings: []string{},
	}
	for _, ref := range requestedChange(r).Refs() {
		p.Bases = append(p.Bases, Base{Ref: ref, Revision: v.Revisions[ref]})
	}
	for _, d := range r.Put {
		p.Steps = append(p.Steps, Step{Ref: d.Ref, Action: putAction(v, d)})
	}
	for _, ref := range r.Delete {
		p.Steps = append(p.Steps, Step{Ref: ref, Action: Delete})
	}
	next := v.With(requestedChange(r))
	p.Effects = append(p.Effects, effects(v, next, members)...)
	p.Warnings = append(p.Warnings, warnings(v, next, members)...)
	p.Warnings = append(p.Warnings, regionWarnings(v, next, r, members)...)
	p.ID = p.Digest()
	return p
}

func putAction(v *config.View, d config.Document) Action {
	old, exists := v.Documents[d.Ref]
	switch {
	case !exists:
		return Create
	case isSameSpec(d.Kind, old, d.Spec):
		return Unchanged
	default:
		return Update
	}
}

func isSameSpec(kind config.Kind, a, b json.RawMessage) bool {
	return string(normalizeSpec(kind, a)) == string(normalizeSpec(kind, b))
}

// normalizeSpec returns a spec with its fields in sorted order and without the
// fields that the system sets.
func normalizeSpec(kind config.Kind, spec json.RawMessage) []byte {
	fields := map[string]any{}
	if json.Unmarshal(spec, &fields) != nil {
		return spec
	}
	if kind == config.KindCustomer {
		delete(fields, "salt")
	}
	data, _ := json.Marshal(fields)
	return data
}

// Digest returns the plan's ID, a hash of its other fields. It covers everything
// that a confirm applies.
func (p Plan) Digest() string {
	p.ID = ""
	data, _ := json.Marshal(p)
	h := sha256.Sum256(data)
	return hex.EncodeToString(h[:])
}

// IsIntact reports whether the plan is as an entry made it: whether its ID still
// matches its content.
func (p Plan) IsIntact() bool {
	return hmac.Equal([]byte(p.ID), []byte(p.Digest()))
}

// Outcome is what became of a confirmed plan.
type Outcome string

// The outcomes of a confirm.
const (
	// Applied: the change was accepted as Result.Revision.
	Applied Outcome = "applied"
	// BaseMoved: not applied, a document of the plan has changed since the plan
	// was made.
	BaseMoved Outcome = "not_applied_base_moved"
	// Invalid: not applied, the request no longer passes the checks.
	Invalid Outcome = "not_applied_invalid"
	// Unavailable: not applied, the platform could not be reached or other changes
	// came first on each attempt.
	Unavailable Outcome = "not_applied_unavailable"
	// Unknown: the platform did not report the outcome; ask again with the plan's ID.
	Unknown Outcome = "unknown"
	// Ready: the plan can be applied (never an answer to operators).
	Ready Outcome = "ready"
)

// Difference is a document that changed since the plan was made.
type Difference struct {
	config.Ref
	PlannedOn uint64 `json:"planned_on"`
	Now       uint64 `json:"now"`
}

// Result is the answer to a confirm.
type Result struct {
	Outcome     Outcome           `json:"outcome"`
	PlanID      string            `json:"plan_id"`
	Revision    uint64            `json:"revision,omitempty"`
	Differences []Difference      `json:"differences,omitempty"`
	Findings    []finding.Finding `json:"findings,omitempty"`
	Message     string            `json:"message"`
}

// Decide returns what a confirm of p would do at a view: Applied if the plan is
// already in it, BaseMoved, Invalid, or Ready if the plan can be written as the
// next revision.
func Decide(v *config.View, p Plan) Result {
	if revision, ok := v.Plans[p.ID]; ok {
		return Result{Outcome: Applied, PlanID: p.ID, Revision: revision, Message: "the plan is applied"}
	}
	var differences []Difference
	for _, b := range p.Bases {
		if now := v.Revisions[b.Ref]; now != b.Revision {
			differences = append(differences, Difference{Ref: b.Ref, PlannedOn: b.Revision, Now: now})
		}
	}
	if len(differences) > 0 {
		return Result{
			Outcome: BaseMoved, PlanID: p.ID, Differences: differences,
			Message: "not applied: documents changed since the plan was made; plan again",
		}
	}
	if l := Check(v, p.Request); l.Err() != nil {
		return Result{
			Outcome: Invalid, PlanID: p.ID, Findings: l.Items(),
			Message: "not applied: other changes since the plan make it invalid",
		}
	}
	return Result{Outcome: Ready, PlanID: p.ID}
}

// SaltFunc makes a customer's secret salt.
type SaltFunc func() []byte

// BuildChange returns the change to write for a plan that Decide found ready. A
// customer keeps its salt until it is deleted: with a new one its contexts would
// be lost.
func BuildChange(v *config.View, p Plan, newSalt SaltFunc, now time.Time) (config.Change, error) {
	c := config.Change{
		Revision: v.Revision + 1, PlanID: p.ID, Operator: p.Operator, At: now.UTC(),
		Deletes: p.Request.Delete,
	}
	for _, d := range p.Request.Put {
		if d.Kind == config.KindCustomer {
			var customer config.Customer
			if err := json.Unmarshal(d.Spec, &customer); err != nil {
				return config.Change{}, err
			}
			customer.Salt = newSalt()
			if old, ok := v.Customers[d.ID]; ok {
				customer.Salt = old.Salt
			}
			spec, err := json.Marshal(customer)
			if err != nil {
				return config.Change{}, err
			}
			d.Spec = spec
		}
		c.Puts = append(c.Puts, d)
	}
	return c, nil
}

// Redacted returns a document as operators may see it: without a customer's salt.
func Redacted(d config.Document) config.Document {
	d.Spec = normalizeSpec(d.Kind, d.Spec)
	return d
}

func effects(before, after *config.View, members []fleet.Member) []Effect {
	var out []Effect
	for _, m := range members {
		oldIntents, newIntents := intentsByService(before, m), intentsByService(after, m)
		for service, intent := range newIntents {
			prev, wasServed := oldIntents[service]
			switch {
			case !wasServed:
				out = append(out, Effect{Host: m.Host, Endpoint: m.Endpoint.ID, Service: service, Change: "gains", Detail: "by intent " + intent.ID})
			case prev.WeightVersion != intent.WeightVersion || prev.Model != intent.Model || prev.Adapter != intent.Adapter:
				out = append(out, Effect{
					Host: m.Host, Endpoint: m.Endpoint.ID, Service: service, Change: "reloads",
					Detail: fmt.Sprintf("%s %s to %s %s", prev.Model, prev.WeightVersion, intent.Model, intent.WeightVersion),
				})
			}
		}
		for service := range oldIntents {
			if _, isServed := newIntents[service]; !isServed {
				out = append(out, Effect{Host: m.Host, Endpoint: m.Endpoint.ID, Service: service, Change: "loses"})
			}
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Endpoint != out[j].Endpoint {
			return out[i].Endpoint < out[j].Endpoint
		}
		return out[i].Service < out[j].Service
	})
	return out
}

// intentsByService returns, for each service that a member's endpoint is to serve,
// the first intent that matches the endpoint. Endpoints of an evacuated domain serve none.
func intentsByService(v *config.View, m fleet.Member) map[string]*config.Intent {
	out := map[string]*config.Intent{}
	if v.Evacuations[m.Domain] != nil {
		return out
	}
	for service, intents := range v.Intents {
		for _, i := range intents {
			if _, found := out[service]; !found && Matches(i, m.Endpoint) {
				out[service] = i
			}
		}
	}
	return out
}

func warnings(before, after *config.View, members []fleet.Member) []string {
	var out []string
	for service, intents := range after.Intents {
		for _, i := range intents {
			usable, otherWeights := 0, 0
			for _, m := range members {
				if !IsAvailable(m) || !Matches(i, m.Endpoint) || after.Evacuations[m.Domain] != nil {
					continue
				}
				if !servesWeightsOf(i, m.Endpoint) {
					otherWeights++
					continue
				}
				usable++
			}
			if usable < max(1, i.MinEndpoints) {
				out = append(out, fmt.Sprintf(
					"intent %s of service %s would have %d usable endpoints, below %d (%d more match but serve another model or version)",
					i.ID, service, usable, max(1, i.MinEndpoints), otherWeights))
			}
		}
	}
	for domain := range after.Evacuations {
		if before.Evacuations[domain] == nil {
			out = append(out, evacuationWarnings(after, members, domain)...)
		}
	}
	for id := range after.Services {
		if len(after.Intents[id]) == 0 {
			out = append(out, fmt.Sprintf("service %s has no intent, its requests will be refused", id))
		}
	}
	for id := range before.Customers {
		if _, exists := after.Customers[id]; !exists {
			out = append(out, fmt.Sprintf("customer %s is deleted, its requests will be refused and its contexts lost", id))
		}
	}
	sort.Strings(out)
	return out
}

// servesWeightsOf reports whether an endpoint serves the model, weight version and
// adapter that an intent asks for.
func servesWeightsOf(i *config.Intent, e fleet.Endpoint) bool {
	return (i.Model == "" || i.Model == e.Model) &&
		i.Accepts(e.WeightVersion) &&
		(i.Adapter == "" || i.Adapter == e.Adapter)
}

// IsAvailable reports whether a member's endpoint can get new work. A loading,
// leaving or dead one can't, nor can one that was leaving before it stopped
// responding.
func IsAvailable(m fleet.Member) bool {
	return m.Endpoint.ID != "" && !m.Endpoint.Loading && !m.Endpoint.Leaving && !m.WasLeaving && (m.State == fleet.Alive || m.State == fleet.Suspect)
}

// IsUsable reports whether an endpoint can serve an intent's requests now.
func IsUsable(i *config.Intent, m fleet.Member) bool {
	return IsAvailable(m) && Matches(i, m.Endpoint) && servesWeightsOf(i, m.Endpoint)
}
