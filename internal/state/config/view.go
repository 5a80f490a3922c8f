package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"
	"sort"

	"github.com/juju/errors"

	"limpetwall/internal/state/finding"
)

// ErrUnknownKey is returned for a key that belongs to nobody.
const ErrUnknownKey = errors.ConstError("unknown key")

// maxPlans bounds the plan ids a view remembers for answering a repeated confirm.
const maxPlans = 4096

// View is the configuration at one revision. It is immutable.
type View struct {
	Revision  uint64
	Documents map[Ref]json.RawMessage
	// Revisions holds the revision that last changed each document.
	Revisions map[Ref]uint64
	// Plans maps recent plan ids to the revision that applied them.
	Plans map[string]uint64

	Customers map[string]*Customer
	Services  map[string]*Service
	// Intents holds each service's intents, ordered by id.
	Intents map[string][]*Intent
	// StoreHosts are ordered by id.
	StoreHosts []*StoreHost
	// Evacuations are by failure domain.
	Evacuations map[string]*Evacuation

	customerKeys map[[sha256.Size]byte]*Customer
	operatorKeys map[[sha256.Size]byte]*Operator
}

// Empty is the configuration before any change.
func Empty() *View {
	v := &View{
		Documents: map[Ref]json.RawMessage{}, Revisions: map[Ref]uint64{}, Plans: map[string]uint64{},
	}
	v.compile()
	return v
}

// With returns the view after a change; the receiver is unchanged.
func (v *View) With(c Change) *View {
	next := &View{
		Revision:  c.Revision,
		Documents: maps.Clone(v.Documents),
		Revisions: maps.Clone(v.Revisions),
		Plans:     clonePlans(v.Plans, c.Revision),
	}
	for _, ref := range c.Deletes {
		delete(next.Documents, ref)
		delete(next.Revisions, ref)
	}
	for _, d := range c.Puts {
		next.Documents[d.Ref] = d.Spec
		next.Revisions[d.Ref] = c.Revision
	}
	if c.PlanID != "" {
		next.Plans[c.PlanID] = c.Revision
	}
	next.compile()
	return next
}

func clonePlans(plans map[string]uint64, revision uint64) map[string]uint64 {
	kept := make(map[string]uint64, len(plans)+1)
	for id, r := range plans {
		if r+maxPlans > revision {
			kept[id] = r
		}
	}
	return kept
}

// compile builds the lookup tables. Documents were checked before they were
// accepted, so one that does not decode is left out rather than fatal: a newer
// process's field must not take an older process down.
func (v *View) compile() {
	v.Customers = map[string]*Customer{}
	v.Services = map[string]*Service{}
	v.Intents = map[string][]*Intent{}
	v.Evacuations = map[string]*Evacuation{}
	v.customerKeys = map[[sha256.Size]byte]*Customer{}
	v.operatorKeys = map[[sha256.Size]byte]*Operator{}
	for ref, spec := range v.Documents {
		switch ref.Kind {
		case KindCustomer:
			c := &Customer{ID: ref.ID}
			if json.Unmarshal(spec, c) == nil {
				v.Customers[ref.ID] = c
				indexKeys(v.customerKeys, c.KeyHashes, c)
			}
		case KindService:
			s := &Service{ID: ref.ID}
			if json.Unmarshal(spec, s) == nil {
				s.setDefaults()
				v.Services[ref.ID] = s
			}
		case KindIntent:
			i := &Intent{ID: ref.ID}
			if json.Unmarshal(spec, i) == nil {
				v.Intents[i.Service] = append(v.Intents[i.Service], i)
			}
		case KindEvacuation:
			e := &Evacuation{ID: ref.ID}
			// An evacuation is in force even if a newer process wrote it in a form not known here.
			json.Unmarshal(spec, e)
			v.Evacuations[ref.ID] = e
		case KindStore:
			h := &StoreHost{ID: ref.ID}
			if json.Unmarshal(spec, h) == nil {
				v.StoreHosts = append(v.StoreHosts, h)
			}
		case KindOperator:
			o := &Operator{ID: ref.ID}
			if json.Unmarshal(spec, o) == nil {
				indexKeys(v.operatorKeys, o.KeyHashes, o)
			}
		}
	}
	for _, intents := range v.Intents {
		sort.Slice(intents, func(a, b int) bool { return intents[a].ID < intents[b].ID })
	}
	sort.Slice(v.StoreHosts, func(a, b int) bool { return v.StoreHosts[a].ID < v.StoreHosts[b].ID })
}

func (s *Service) setDefaults() {
	if s.Objective.TTFTMS == 0 {
		s.Objective.TTFTMS = DefaultTTFTMS
	}
	if s.Objective.Target == 0 {
		s.Objective.Target = DefaultTarget
	}
	if s.Objective.WeightTTFT == 0 && s.Objective.WeightRecompute == 0 && s.Objective.WeightLink == 0 {
		s.Objective.WeightTTFT = 1
	}
	if s.TimeoutMS == 0 {
		s.TimeoutMS = DefaultTimeoutMS
	}
}

func indexKeys[T any](index map[[sha256.Size]byte]*T, hashes []string, owner *T) {
	for _, h := range hashes {
		if raw, err := hex.DecodeString(h); err == nil && len(raw) == sha256.Size {
			index[[sha256.Size]byte(raw)] = owner
		}
	}
}

// HashKey gives the stored form of an API key.
func HashKey(key string) string {
	h := sha256.Sum256([]byte(key))
	return hex.EncodeToString(h[:])
}

// Customer returns the customer whose API key was presented, or ErrUnknownKey.
// The lookup is by hash, so its duration reveals nothing about a stored key.
func (v *View) Customer(key string) (*Customer, error) {
	c, ok := v.customerKeys[sha256.Sum256([]byte(key))]
	if !ok || !holdsKey(c.KeyHashes, key) {
		return nil, ErrUnknownKey
	}
	return c, nil
}

// Operator returns the operator whose key was presented, or ErrUnknownKey.
func (v *View) Operator(key string) (*Operator, error) {
	o, ok := v.operatorKeys[sha256.Sum256([]byte(key))]
	if !ok || !holdsKey(o.KeyHashes, key) {
		return nil, ErrUnknownKey
	}
	return o, nil
}

func holdsKey(hashes []string, key string) bool {
	presented := []byte(HashKey(key))
	held := 0
	for _, h := range hashes {
		held |= subtle.ConstantTimeCompare(presented, []byte(h))
	}
	return held == 1
}

// Allows reports whether the service may be called by the customer.
func (s *Service) Allows(customer string) bool {
	for _, c := range s.Customers {
		if c == "*" || c == customer {
			return true
		}
	}
	return false
}

// CheckReferences adds findings on references between documents.
func (v *View) CheckReferences(l *finding.List) {
	for _, service := range sortedKeys(v.Intents) {
		for _, i := range v.Intents[service] {
			place := "$." + Ref{KindIntent, i.ID}.String() + ".service"
			s, ok := v.Services[service]
			switch {
			case !ok:
				l.Add(place, "service %q does not exist", service)
			case s.Kind == ServicePrompt && i.Model == "":
				l.Add("$."+Ref{KindIntent, i.ID}.String()+".model", "is required, service %q is of kind prompt", service)
			}
		}
	}
	for _, id := range sortedKeys(v.Services) {
		s := v.Services[id]
		for _, c := range s.Customers {
			if _, ok := v.Customers[c]; c != "*" && !ok {
				l.Add("$."+Ref{KindService, s.ID}.String()+".customers", "customer %q does not exist", c)
			}
		}
	}
	v.checkSharedKeys(l)
}

// checkSharedKeys refuses one key for two customers: a request would be
// answered from whichever of them the lookup happened to keep.
func (v *View) checkSharedKeys(l *finding.List) {
	owners := map[string]string{}
	for _, id := range sortedKeys(v.Customers) {
		for _, h := range v.Customers[id].KeyHashes {
			if other, taken := owners[h]; taken && other != id {
				l.Add("$."+Ref{KindCustomer, id}.String()+".key_hashes", "key is already customer %q's", other)
			}
			owners[h] = id
		}
	}
}

// sortedKeys gives findings the same order in every run.
func sortedKeys[T any](m map[string]T) []string {
	return slices.Sorted(maps.Keys(m))
}
