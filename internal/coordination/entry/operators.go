package entry

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sort"
	"sync"
	"time"

	"limpetwall/internal/coordination/errorbudget"
	"limpetwall/internal/coordination/plan"
	"limpetwall/internal/coordination/rollout"
	"limpetwall/internal/protocol/apierror"
	"limpetwall/internal/state/config"
	"limpetwall/internal/state/fleet"
	"limpetwall/internal/transport/httpjson"
)

const (
	// confirmTime bounds one confirm's work with the platform.
	confirmTime = 10 * time.Second
	// burnTime bounds the wait for the other entries of a report.
	burnTime = 2 * time.Second
)

func (e *Entry) servePlan(w http.ResponseWriter, r *http.Request, operator string) *apierror.Error {
	var request plan.Request
	if err := e.decodeStrict(w, r, &request); err != nil {
		return err
	}
	view := e.Store.View()
	members := e.members()
	l := plan.Check(view, request)
	if l.Err() == nil {
		plan.CheckEndpoints(view, request, members, l)
	}
	if l.Err() != nil {
		return apierror.FromFindings(l.Items())
	}
	httpjson.Write(w, http.StatusOK, plan.New(view, request, members, operator, newRequestID(), time.Now()))
	return nil
}

// confirmStatus maps outcomes to HTTP.
var confirmStatus = map[plan.Outcome]int{
	plan.Applied:     http.StatusOK,
	plan.BaseMoved:   http.StatusConflict,
	plan.Invalid:     http.StatusUnprocessableEntity,
	plan.Unavailable: http.StatusServiceUnavailable,
	plan.Unknown:     http.StatusAccepted,
}

func (e *Entry) serveConfirm(w http.ResponseWriter, r *http.Request, operator string) *apierror.Error {
	var p plan.Plan
	if err := e.decodeStrict(w, r, &p); err != nil {
		return err
	}
	if !p.IsIntact() {
		return apierror.New(http.StatusBadRequest, apierror.CodeBadRequest, "the plan was changed after it was made; plan again")
	}
	if p.Operator != operator {
		return apierror.New(http.StatusForbidden, apierror.CodeForbidden, "the plan is operator "+p.Operator+"'s; make your own")
	}
	// The confirm goes on if its operator disconnects: half a confirm helps nobody.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), confirmTime)
	defer cancel()
	verdict := e.Confirmer.Confirm(ctx, p)
	if verdict.Outcome == plan.Applied {
		e.Node.Announce()
	}
	if verdict.Outcome == plan.Unavailable || verdict.Outcome == plan.Unknown {
		w.Header().Set("Retry-After", "2")
	}
	httpjson.Write(w, confirmStatus[verdict.Outcome], verdict)
	return nil
}

// servePlanOutcome answers with the outcome of a plan, as far as this entry knows.
func (e *Entry) servePlanOutcome(w http.ResponseWriter, r *http.Request, _ string) *apierror.Error {
	id := r.PathValue("id")
	revision, ok := e.Store.View().Plans[id]
	if !ok {
		httpjson.Write(w, http.StatusAccepted, plan.Result{
			Outcome: plan.Unknown, PlanID: id,
			Message: "not seen in the configuration in force here; confirm the plan again to settle it",
		})
		return nil
	}
	httpjson.Write(w, http.StatusOK, plan.Result{Outcome: plan.Applied, PlanID: id, Revision: revision, Message: "the plan is applied"})
	return nil
}

// Described is a document with the revision that last changed it.
type Described struct {
	config.Document
	Revision uint64 `json:"revision"`
}

func (e *Entry) serveDocuments(w http.ResponseWriter, r *http.Request, _ string) *apierror.Error {
	view := e.Store.View()
	kind := config.Kind(r.PathValue("kind"))
	list := []Described{}
	for ref, spec := range view.Documents {
		if ref.Kind == kind {
			d := plan.Redacted(config.Document{Ref: ref, Spec: spec})
			list = append(list, Described{Document: d, Revision: view.Revisions[ref]})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	httpjson.Write(w, http.StatusOK, list)
	return nil
}

func (e *Entry) serveDocument(w http.ResponseWriter, r *http.Request, _ string) *apierror.Error {
	view := e.Store.View()
	ref := config.Ref{Kind: config.Kind(r.PathValue("kind")), ID: r.PathValue("id")}
	spec, ok := view.Documents[ref]
	if !ok {
		return apierror.New(http.StatusNotFound, apierror.CodeNotFound, ref.String()+" does not exist")
	}
	d := plan.Redacted(config.Document{Ref: ref, Spec: spec})
	httpjson.Write(w, http.StatusOK, Described{Document: d, Revision: view.Revisions[ref]})
	return nil
}

// MemberStatus is one process as this entry sees it.
type MemberStatus struct {
	fleet.Member
	StateName string `json:"state_name"`
	// Revision in force there, as last reported; Lags if older than here.
	Revision   uint64     `json:"revision"`
	Lags       bool       `json:"lags"`
	Load       fleet.Load `json:"load"`
	ReportAge  string     `json:"report_age,omitempty"`
	ReportedMS int64      `json:"report_age_ms"`
}

// Status is the fleet as one entry sees it.
type Status struct {
	Entry    string         `json:"entry"`
	Revision uint64         `json:"revision"`
	Members  []MemberStatus `json:"members"`
	// Blocked rollouts, as seen by the holder of the rollout lease; empty at
	// other entries.
	Blocked []rollout.Blocked `json:"blocked_rollouts,omitempty"`
	// Evacuated are the failure domains whose endpoints get no requests.
	Evacuated []string `json:"evacuated_domains,omitempty"`
}

func (e *Entry) serveStatus(w http.ResponseWriter, _ *http.Request, _ string) *apierror.Error {
	table := e.Node.Table()
	view := e.Store.View()
	status := Status{
		Entry: table.Self().ID, Revision: view.Revision, Blocked: e.Rollout.Blocked(), Evacuated: slices.Sorted(maps.Keys(view.Evacuations)),
	}
	now := time.Now()
	for _, m := range table.Members() {
		row := MemberStatus{Member: m, StateName: m.State.String()}
		if m.ID == status.Entry {
			row.Revision = status.Revision
		} else if report, ok := table.ReportOf(m.ID); ok {
			age := now.Sub(report.At).Round(time.Millisecond)
			row.Revision, row.Load = report.Revision, report.Load
			row.ReportAge, row.ReportedMS = age.String(), age.Milliseconds()
		}
		row.Lags = m.State != fleet.Dead && row.Revision < status.Revision
		status.Members = append(status.Members, row)
	}
	httpjson.Write(w, http.StatusOK, status)
	return nil
}

func (e *Entry) serveBurn(w http.ResponseWriter, r *http.Request, _ string) *apierror.Error {
	report := e.burnReport(r.Context())
	if r.URL.Query().Get("format") == "html" {
		w.Header().Set("Content-Type", "text/html; charset=utf-8")
		if err := errorbudget.WriteHTML(w, report); err != nil {
			return apierror.New(http.StatusInternalServerError, apierror.CodeInternalFailure, err.Error())
		}
		return nil
	}
	httpjson.Write(w, http.StatusOK, report)
	return nil
}

// burnReport gathers all entries' books; one that does not answer is named.
func (e *Entry) burnReport(ctx context.Context) errorbudget.Report {
	ctx, cancel := context.WithTimeout(ctx, burnTime)
	defer cancel()
	now := time.Now()
	snaps := []errorbudget.Snapshot{e.Book.Snapshot(now)}
	missing := []string{}
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, m := range e.Node.Table().Live() {
		if m.Role != fleet.RoleEntry {
			continue
		}
		group.Go(func() {
			data, err := e.Pool.BurnReport(ctx, m.Address)
			var snap errorbudget.Snapshot
			if err == nil {
				snap, err = errorbudget.Decode(data)
			}
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missing = append(missing, m.ID)
				return
			}
			snaps = append(snaps, snap)
		})
	}
	group.Wait()
	sort.Strings(missing)
	return errorbudget.Merge(snaps, missing, now)
}
