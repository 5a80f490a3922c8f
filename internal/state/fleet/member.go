// Package fleet holds what a process knows of all others: who is alive, which
// incarnation, where, and how loaded. The Table is pure: it gets the messages and
// the time from its caller, and does no I/O.
package fleet

import (
	"maps"
	"time"

	"limpetwall/internal/protocol/wire"
)

// State of a member. Of two rows with the same version the higher state wins:
// bad news about a member holds until the member itself refutes it with a
// higher version.
type State uint8

// The states of a member.
const (
	Alive State = iota
	Leaving
	Suspect
	Dead
)

// String gives the state's name.
func (s State) String() string {
	return [...]string{"alive", "leaving", "suspect", "dead"}[s]
}

// Roles of members.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

// Kinds of endpoints.
const (
	KindEngine = "engine"
	KindPlain  = "plain"
)

// Endpoint describes the back end beside an agent.
type Endpoint struct {
	ID            string            `json:"id"`
	Kind          string            `json:"kind"`
	Labels        map[string]string `json:"labels"`
	Model         string            `json:"model,omitempty"`
	WeightVersion string            `json:"weight_version,omitempty"`
	Adapter       string            `json:"adapter,omitempty"`
	// SoftwareVersion is the version of the endpoint's own software, empty if it names none.
	SoftwareVersion string `json:"software_version,omitempty"`
	Role            string `json:"role,omitempty"`
	// Loading is true while an order to load is carried out.
	Loading bool `json:"loading,omitempty"`
	// Leaving is true while the endpoint's own answers say that it shuts down.
	Leaving bool `json:"leaving,omitempty"`
	// OrderError is why the last order failed, OrderRevision the revision of the
	// intent that asked for it.
	OrderError    string `json:"order_error,omitempty"`
	OrderRevision uint64 `json:"order_revision,omitempty"`
	// ColdUntil is until when the endpoint is cold, by this process's clock; zero if it is
	// warm. It is not sent to other processes.
	ColdUntil time.Time `json:"-"`
}

func (e Endpoint) equal(o Endpoint) bool {
	return e.ID == o.ID && e.Kind == o.Kind && e.Model == o.Model && e.WeightVersion == o.WeightVersion &&
		e.SoftwareVersion == o.SoftwareVersion && e.Adapter == o.Adapter && e.Role == o.Role && e.Loading == o.Loading && e.Leaving == o.Leaving &&
		e.ColdUntil.Equal(o.ColdUntil) && e.OrderError == o.OrderError && e.OrderRevision == o.OrderRevision && maps.Equal(e.Labels, o.Labels)
}

// Member is one process of the system.
type Member struct {
	ID string `json:"id"`
	// Incarnation is drawn at random when the process starts.
	Incarnation uint64 `json:"incarnation,string"`
	// Version orders the rows of one member; only the member raises it.
	Version  uint64   `json:"version"`
	State    State    `json:"state"`
	Address  string   `json:"address"`
	Host     string   `json:"host"`
	Domain   string   `json:"domain"`
	Region   string   `json:"region"`
	Role     string   `json:"role"`
	Endpoint Endpoint `json:"endpoint"`
	// WasLeaving keeps a suspected member's own word that it leaves.
	WasLeaving bool `json:"was_leaving,omitempty"`
}

// Load is what an endpoint last reported.
type Load struct {
	Running      int `json:"running"`
	Queued       int `json:"queued"`
	QueuedTokens int `json:"queued_tokens"`
	// PrefillRate is in tokens per second.
	PrefillRate int `json:"prefill_rate"`
	// LinkRate is how fast contexts come from the stores, in tokens per second;
	// 0 if there are none.
	LinkRate int `json:"link_rate,omitempty"`
	// Slowdown is how many times as long as usual work takes there, 0 if that is not known: a host may
	// be shared with other work.
	Slowdown float64 `json:"slowdown,omitempty"`
	// AtMS is when the agent took it, by its own clock, in Unix ms.
	AtMS int64 `json:"at_ms,omitempty"`
	// RequestLimit is the number of requests a second that the endpoint accepts from all entries
	// together, 0 for no limit.
	RequestLimit float64 `json:"request_limit,omitempty"`
	// LimitSenders is the number of entries that have sent the agent runs of late, whether it took them
	// or not; 0 if it is not counted.
	LimitSenders int `json:"limit_senders,omitempty"`
	// RestMS is for how much longer the endpoint accepts no requests, in milliseconds.
	RestMS int `json:"rest_ms,omitempty"`
}

// Report is a member's soft state: it ages, and a lost one is replaced by the next.
type Report struct {
	// Incarnation names the member.
	Incarnation uint64
	Version     uint64
	Load        Load
	// Revision of the configuration in force at the member.
	Revision uint64
	// At is when this process learned the report.
	At time.Time
}

// ToWire converts a member for its transport.
func (m Member) ToWire() *wire.Member {
	w := &wire.Member{
		Id: m.ID, Incarnation: m.Incarnation, Version: m.Version, State: wire.MemberState(m.State),
		Address: m.Address, Host: m.Host, Domain: m.Domain, Region: m.Region, Role: m.Role,
		WasLeaving: m.WasLeaving,
	}
	if m.Endpoint.ID != "" {
		e := m.Endpoint
		w.Endpoint = &wire.Endpoint{
			Id: e.ID, Kind: e.Kind, Labels: e.Labels, Model: e.Model,
			WeightVersion: e.WeightVersion, Adapter: e.Adapter, Role: e.Role,
			Loading: e.Loading, OrderError: e.OrderError, OrderRevision: e.OrderRevision, Leaving: e.Leaving, SoftwareVersion: e.SoftwareVersion,
		}
	}
	return w
}

// MemberFromWire converts a member from its transport; an unknown state counts
// as suspect, so that a newer process's state is not taken for health.
func MemberFromWire(w *wire.Member) Member {
	m := Member{
		ID: w.GetId(), Incarnation: w.GetIncarnation(), Version: w.GetVersion(), State: Suspect,
		Address: w.GetAddress(), Host: w.GetHost(), Domain: w.GetDomain(), Region: w.GetRegion(), Role: w.GetRole(),
		WasLeaving: w.GetWasLeaving(),
	}
	if s := w.GetState(); s >= 0 && int(s) <= int(Dead) {
		m.State = State(s)
	}
	if e := w.GetEndpoint(); e != nil {
		m.Endpoint = Endpoint{
			ID: e.GetId(), Kind: e.GetKind(), Labels: e.GetLabels(), Model: e.GetModel(),
			WeightVersion: e.GetWeightVersion(), Adapter: e.GetAdapter(), Role: e.GetRole(),
			Loading: e.GetLoading(), OrderError: e.GetOrderError(), OrderRevision: e.GetOrderRevision(),
			Leaving: e.GetLeaving(), SoftwareVersion: e.GetSoftwareVersion(),
		}
	}
	return m
}

// ToWire converts a load for its transport.
func (l Load) ToWire() *wire.Load {
	return &wire.Load{
		Running: uint32(l.Running), Queued: uint32(l.Queued),
		QueuedTokens: uint64(l.QueuedTokens), PrefillRate: uint32(l.PrefillRate), LinkRate: uint32(l.LinkRate), AtMs: l.AtMS,
		RequestLimit: float32(l.RequestLimit), LimitSenders: uint32(l.LimitSenders), RestMs: uint32(l.RestMS),
	}
}

// LoadFromWire converts a load from its transport.
func LoadFromWire(w *wire.Load) Load {
	return Load{
		Running: int(w.GetRunning()), Queued: int(w.GetQueued()),
		QueuedTokens: int(w.GetQueuedTokens()), PrefillRate: int(w.GetPrefillRate()), LinkRate: int(w.GetLinkRate()), AtMS: w.GetAtMs(),
		RequestLimit: float64(w.GetRequestLimit()), LimitSenders: int(w.GetLimitSenders()), RestMS: int(w.GetRestMs()),
	}
}

// ToWire converts a report for its transport.
func (r Report) ToWire() *wire.LoadReport {
	return &wire.LoadReport{
		Incarnation: r.Incarnation, Version: r.Version,
		Load: r.Load.ToWire(), Revision: r.Revision,
	}
}

// ReportFromWire converts a report from its transport.
func ReportFromWire(w *wire.LoadReport, now time.Time) Report {
	return Report{
		Incarnation: w.GetIncarnation(), Version: w.GetVersion(),
		Load: LoadFromWire(w.GetLoad()), Revision: w.GetRevision(), At: now,
	}
}
