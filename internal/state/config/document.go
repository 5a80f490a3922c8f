// Package config holds the accepted configuration: customers, services,
// standing intents and operators as versioned documents, the numbered changes
// that led to them, and an immutable view for decisions.
package config

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"sort"
	"strings"
	"time"

	"limpetwall/internal/state/finding"
)

// Kind names a sort of document.
type Kind string

// The kinds of documents.
const (
	KindCustomer Kind = "customer"
	KindService  Kind = "service"
	KindIntent   Kind = "intent"
	KindOperator Kind = "operator"
	KindStore    Kind = "store"
	// KindEvacuation documents are named for failure domains whose endpoints get no requests.
	KindEvacuation Kind = "evacuation"
)

// Ref names one document.
type Ref struct {
	Kind Kind   `json:"kind"`
	ID   string `json:"id"`
}

// String gives "kind/id".
func (r Ref) String() string { return string(r.Kind) + "/" + r.ID }

// Document is one versioned object of the configuration.
type Document struct {
	Ref
	Spec json.RawMessage `json:"spec"`
}

// Limits bounds what one customer or service may have running. Zero means no bound.
type Limits struct {
	// RequestsPerSecond admitted by each entry.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	// Burst is the number of requests admitted at once above the rate.
	Burst int `json:"burst,omitempty"`
	// Concurrent requests on each entry.
	Concurrent int `json:"concurrent,omitempty"`
}

// Customer may call services; requests name it by an API key.
type Customer struct {
	ID string `json:"-"`
	// KeyHashes are SHA-256 hashes of API keys, hexadecimal.
	KeyHashes []string `json:"key_hashes"`
	Limits    Limits   `json:"limits"`
	// Share is the customer's weight in fair queuing; 0 means 1.
	Share float64 `json:"share,omitempty"`
	// Salt separates the customer's contexts from all others. The system makes
	// it; operators never see it.
	Salt []byte `json:"salt,omitempty"`
	// Regions are those whose endpoints may serve the customer; empty allows all.
	Regions []string `json:"allowed_regions,omitempty"`
}

// ServiceKind distinguishes services of models from plain ones.
type ServiceKind string

// The kinds of services.
const (
	ServicePrompt ServiceKind = "prompt"
	ServicePlain  ServiceKind = "plain"
)

// Objective is what a service promises and how its cost is weighed.
type Objective struct {
	// TTFTMS is the time to first token (or to a plain answer's head), in ms.
	TTFTMS int `json:"ttft_ms,omitempty"`
	// Target is the share of requests that must meet it, below 1.
	Target float64 `json:"target,omitempty"`
	// WeightTTFT weighs each second of expected time to first token.
	WeightTTFT float64 `json:"weight_ttft,omitempty"`
	// WeightRecompute weighs each thousand recomputed tokens.
	WeightRecompute float64 `json:"weight_recompute,omitempty"`
	// WeightLink weighs each thousand tokens moved over a store's link.
	WeightLink float64 `json:"weight_link,omitempty"`
}

// Service is what customers call by name.
type Service struct {
	ID   string      `json:"-"`
	Kind ServiceKind `json:"kind"`
	// NotRepeatable marks calls that run at most once.
	NotRepeatable bool `json:"not_repeatable,omitempty"`
	// Customers that may call it; "*" means all.
	Customers []string  `json:"customers"`
	Objective Objective `json:"objective"`
	// TimeoutMS bounds one request, in ms.
	TimeoutMS int    `json:"timeout_ms,omitempty"`
	Priority  int    `json:"priority,omitempty"`
	Limits    Limits `json:"limits"`
	// ContextStores is the number of stores asked for a returning context; 0
	// means 2. The first gets the copy; the others serve when stores changed.
	ContextStores int `json:"context_stores,omitempty"`
	// Regions are those whose endpoints may serve the service; empty allows all.
	Regions []string `json:"allowed_regions,omitempty"`
}

// Copies is the number of stores that may hold a context of the service.
func (s *Service) Copies() int {
	const standard = 2
	if s.ContextStores > 0 {
		return s.ContextStores
	}
	return standard
}

// Intent ties a service to the endpoints it may use.
type Intent struct {
	ID      string `json:"-"`
	Service string `json:"service"`
	// Labels an endpoint must carry, all of them.
	Labels map[string]string `json:"labels"`
	Model  string            `json:"model,omitempty"`
	// WeightVersion the endpoints must serve; empty accepts any, one per run.
	WeightVersion string `json:"weight_version,omitempty"`
	Adapter       string `json:"adapter,omitempty"`
	Role          string `json:"role,omitempty"`
	// MaxConcurrent runs on one endpoint from each entry; 0 means no bound.
	MaxConcurrent int `json:"max_concurrent,omitempty"`
	// ColdRate is the number of requests per second that an endpoint withstands while it is
	// cold; 0 means no limit.
	ColdRate float64 `json:"cold_requests_per_second,omitempty"`
	// MinEndpoints below which a plan warns and a rollout waits.
	MinEndpoints int `json:"min_endpoints,omitempty"`
	// AlsoVersions may serve besides WeightVersion, while a rollout lasts.
	AlsoVersions []string `json:"also_versions,omitempty"`
	// Orders lets the system order engines to load what the intent names.
	Orders bool `json:"orders,omitempty"`
	// MaxLoading endpoints of the intent load at once; 0 means 2.
	MaxLoading int `json:"max_loading,omitempty"`
}

// Accepts reports whether the intent may be served with a weight version.
func (i *Intent) Accepts(version string) bool {
	return i.WeightVersion == "" || i.WeightVersion == version || slices.Contains(i.AlsoVersions, version)
}

// Loading is the number of endpoints that may load at once. Weights come from a
// rate-limited store, and loads take longer while more than two run.
func (i *Intent) Loading() int {
	const standard = 2
	if i.MaxLoading > 0 {
		return i.MaxLoading
	}
	return standard
}

// Evacuation keeps new requests from the endpoints of a failure domain, whose name is its ID.
type Evacuation struct {
	ID string `json:"-"`
	// Reason is shown to other operators.
	Reason string `json:"reason,omitempty"`
}

// Operator may plan and confirm.
type Operator struct {
	ID        string   `json:"-"`
	KeyHashes []string `json:"key_hashes"`
}

// StoreHost keeps exported context blocks behind a limited link.
type StoreHost struct {
	ID string `json:"-"`
	// URL of the store, "http://ip:port".
	URL string `json:"url"`
	// Domain is the failure domain of the store.
	Domain string `json:"domain"`
	// Region of the store. Without one it holds no context of requests whose regions are limited.
	Region string `json:"region,omitempty"`
	// Tier is "memory" or "disk".
	Tier string `json:"tier"`
	// LinkBytesPerSecond is the nominal rate of the store's link.
	LinkBytesPerSecond int64 `json:"link_bytes_per_second"`
}

func (s StoreHost) check(l *finding.List, place string) {
	if !strings.HasPrefix(s.URL, "http://") && !strings.HasPrefix(s.URL, "https://") {
		l.Add(place+".url", "%q must begin with http:// or https://", s.URL)
	}
	if s.Domain == "" {
		l.Add(place+".domain", "is required: copies are kept in different failure domains")
	}
	if s.Tier != "memory" && s.Tier != "disk" {
		l.Add(place+".tier", "%q is neither memory nor disk", s.Tier)
	}
	if s.LinkBytesPerSecond <= 0 {
		l.Add(place+".link_bytes_per_second", "is %d, must be positive", s.LinkBytesPerSecond)
	}
}

// Default objective values for services that state none.
const (
	DefaultTTFTMS    = 390
	DefaultTarget    = 0.95
	DefaultTimeoutMS = 60_000
	maxTimeoutMS     = 3_600_000
	maxDocument      = 64 << 10
)

var idPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)

// CheckID adds a finding if id is no valid document id.
func CheckID(l *finding.List, place, id string) {
	if !idPattern.MatchString(id) {
		l.Add(place, "id %q must be 1 to 63 of a-z, 0-9, '.', '_', '-', beginning and ending with a letter or digit", id)
	}
}

// decodeSpec decodes strictly: a misspelt field would otherwise be ignored and
// the operator would believe it in force.
func decodeSpec(l *finding.List, place string, raw json.RawMessage, into any) bool {
	if len(raw) > maxDocument {
		l.Add(place, "has %d bytes, at most %d are accepted", len(raw), maxDocument)
		return false
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		l.Add(place, "%v", err)
		// Decode what there is, so that the other findings are reported too.
		return json.Unmarshal(raw, into) == nil
	}
	return true
}

// Check adds findings on one document, apart from its references to others.
func (d Document) Check(l *finding.List, place string) {
	CheckID(l, place+".id", d.ID)
	spec := place + ".spec"
	switch d.Kind {
	case KindCustomer:
		var c Customer
		if decodeSpec(l, spec, d.Spec, &c) {
			c.check(l, spec)
		}
	case KindService:
		var s Service
		if decodeSpec(l, spec, d.Spec, &s) {
			s.check(l, spec)
		}
	case KindIntent:
		var i Intent
		if decodeSpec(l, spec, d.Spec, &i) {
			i.check(l, spec)
		}
	case KindOperator:
		var o Operator
		if decodeSpec(l, spec, d.Spec, &o) {
			checkHashes(l, spec+".key_hashes", o.KeyHashes)
		}
	case KindStore:
		var s StoreHost
		if decodeSpec(l, spec, d.Spec, &s) {
			s.check(l, spec)
		}
	case KindEvacuation:
		var e Evacuation
		decodeSpec(l, spec, d.Spec, &e)
	default:
		l.Add(place+".kind", "%q is none of customer, service, intent, operator, store, evacuation", d.Kind)
	}
}

func (c Customer) check(l *finding.List, place string) {
	checkHashes(l, place+".key_hashes", c.KeyHashes)
	c.Limits.check(l, place+".limits")
	checkNotNegative(l, place+".share", c.Share)
}

func (s Service) check(l *finding.List, place string) {
	if s.Kind != ServicePrompt && s.Kind != ServicePlain {
		l.Add(place+".kind", "%q is neither prompt nor plain", s.Kind)
	}
	if len(s.Customers) == 0 {
		l.Add(place+".customers", "names no customer; \"*\" means all")
	}
	if s.Objective.Target < 0 || s.Objective.Target >= 1 {
		l.Add(place+".objective.target", "is %g, must be at least 0 and below 1", s.Objective.Target)
	}
	checkRange(l, place+".objective.ttft_ms", s.Objective.TTFTMS, maxTimeoutMS)
	checkRange(l, place+".timeout_ms", s.TimeoutMS, maxTimeoutMS)
	checkRange(l, place+".priority", s.Priority, 100)
	checkRange(l, place+".context_stores", s.ContextStores, 8)
	checkNotNegative(l, place+".objective.weight_ttft", s.Objective.WeightTTFT)
	checkNotNegative(l, place+".objective.weight_recompute", s.Objective.WeightRecompute)
	checkNotNegative(l, place+".objective.weight_link", s.Objective.WeightLink)
	s.Limits.check(l, place+".limits")
}

func (i Intent) check(l *finding.List, place string) {
	if i.Service == "" {
		l.Add(place+".service", "is required")
	}
	if len(i.Labels) == 0 {
		l.Add(place+".labels", "selects no endpoint; name at least one label")
	}
	checkRange(l, place+".max_concurrent", i.MaxConcurrent, 1<<20)
	checkNotNegative(l, place+".cold_requests_per_second", i.ColdRate)
	checkRange(l, place+".min_endpoints", i.MinEndpoints, 1<<20)
	checkRange(l, place+".max_loading", i.MaxLoading, 1<<20)
	if i.Orders && (i.Model == "" || i.WeightVersion == "") {
		l.Add(place+".orders", "needs a model and a weight_version to order")
	}
	if len(i.AlsoVersions) > 0 && i.WeightVersion == "" {
		l.Add(place+".also_versions", "needs a weight_version; without one every version serves")
	}
}

func (m Limits) check(l *finding.List, place string) {
	checkNotNegative(l, place+".requests_per_second", m.RequestsPerSecond)
	checkRange(l, place+".burst", m.Burst, 1<<20)
	checkRange(l, place+".concurrent", m.Concurrent, 1<<20)
}

func checkNotNegative(l *finding.List, place string, value float64) {
	if value < 0 {
		l.Add(place, "is %g, must not be negative", value)
	}
}

func checkRange(l *finding.List, place string, value, most int) {
	if value < 0 || value > most {
		l.Add(place, "is %d, must be 0 to %d", value, most)
	}
}

func checkHashes(l *finding.List, place string, hashes []string) {
	if len(hashes) == 0 {
		l.Add(place, "names no key")
	}
	for i, h := range hashes {
		raw, err := hex.DecodeString(h)
		if err != nil || len(raw) != 32 {
			l.Add(fmt.Sprintf("%s[%d]", place, i), "must be a SHA-256 hash, 64 hexadecimal digits")
		}
	}
}

// Change is one accepted step of the configuration. Revisions count from 1
// without gaps; the object API's conditional update decides which change takes
// a revision.
type Change struct {
	Revision uint64     `json:"revision"`
	PlanID   string     `json:"plan_id"`
	Operator string     `json:"operator"`
	At       time.Time  `json:"at"`
	Puts     []Document `json:"puts,omitempty"`
	Deletes  []Ref      `json:"deletes,omitempty"`
}

// Refs lists the documents a change touches, ordered.
func (c Change) Refs() []Ref {
	refs := append([]Ref(nil), c.Deletes...)
	for _, d := range c.Puts {
		refs = append(refs, d.Ref)
	}
	sort.Slice(refs, func(i, j int) bool { return refs[i].String() < refs[j].String() })
	return refs
}
