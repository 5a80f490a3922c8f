package config

import (
	"encoding/json"
	"sort"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
)

// Errors of the store.
const (
	// ErrGap: the change does not follow the revision in force.
	ErrGap = errors.ConstError("change does not follow the revision in force")
	// ErrMalformed: a snapshot or change does not decode.
	ErrMalformed = errors.ConstError("malformed configuration")
)

// keptChanges bounds the changes a process keeps to hand on to its peers.
const keptChanges = 256

// Store holds the configuration in force in one process. Its revision never
// goes back: Apply takes only the next revision, Load only a newer one.
type Store struct {
	view atomic.Pointer[View]

	mu      sync.Mutex
	changes []Change
	changed chan struct{}
}

// NewStore returns a store at revision 0.
func NewStore() *Store {
	s := &Store{changed: make(chan struct{})}
	s.view.Store(Empty())
	return s
}

// View returns the configuration in force.
func (s *Store) View() *View { return s.view.Load() }

// Changed returns a channel that is closed at the next change of revision.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Apply puts the next change in force. A change that is already in force is no
// error; one further ahead is ErrGap.
func (s *Store) Apply(c Change) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.view.Load()
	if c.Revision <= v.Revision {
		return nil
	}
	if c.Revision != v.Revision+1 {
		return errors.Annotatef(ErrGap, "change %d at revision %d", c.Revision, v.Revision)
	}
	s.publish(v.With(c))
	s.changes = append(s.changes, c)
	if len(s.changes) > 2*keptChanges {
		s.changes = append([]Change(nil), s.changes[keptChanges:]...)
	}
	return nil
}

// Load puts a snapshot in force if it is newer.
func (s *Store) Load(v *View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v.Revision <= s.view.Load().Revision {
		return
	}
	s.changes = nil
	s.publish(v)
}

func (s *Store) publish(v *View) {
	s.view.Store(v)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Since returns the changes after a revision; false if they are no longer kept.
func (s *Store) Since(revision uint64) ([]Change, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision >= s.view.Load().Revision {
		return nil, true
	}
	if len(s.changes) == 0 || s.changes[0].Revision > revision+1 {
		return nil, false
	}
	skip := int(revision + 1 - s.changes[0].Revision)
	return append([]Change(nil), s.changes[skip:]...), true
}

// snapshotDocument is one document with the revision that last changed it.
type snapshotDocument struct {
	Document
	Revision uint64 `json:"revision"`
}

// snapshot is the stored form of a view.
type snapshot struct {
	Revision  uint64             `json:"revision"`
	Documents []snapshotDocument `json:"documents"`
	Plans     map[string]uint64  `json:"plans"`
}

// EncodeView gives the stored form of a view.
func EncodeView(v *View) ([]byte, error) {
	snap := snapshot{Revision: v.Revision, Plans: v.Plans}
	for ref, spec := range v.Documents {
		snap.Documents = append(snap.Documents, snapshotDocument{
			Document: Document{Ref: ref, Spec: spec}, Revision: v.Revisions[ref],
		})
	}
	sort.Slice(snap.Documents, func(i, j int) bool {
		return snap.Documents[i].Ref.String() < snap.Documents[j].Ref.String()
	})
	data, err := json.Marshal(snap)
	return data, errors.Trace(err)
}

// DecodeView reads the stored form of a view, or fails with ErrMalformed.
func DecodeView(data []byte) (*View, error) {
	var snap snapshot
	if err := json.Unmarshal(data, &snap); err != nil {
		return nil, errors.WithType(err, ErrMalformed)
	}
	v := Empty()
	v.Revision = snap.Revision
	for _, d := range snap.Documents {
		v.Documents[d.Ref] = d.Spec
		v.Revisions[d.Ref] = d.Revision
	}
	for id, r := range snap.Plans {
		v.Plans[id] = r
	}
	v.compile()
	return v, nil
}

// EncodeChange gives a change's stored form.
func EncodeChange(c Change) ([]byte, error) {
	data, err := json.Marshal(c)
	return data, errors.Trace(err)
}

// DecodeChange reads a change's stored form, or fails with ErrMalformed.
func DecodeChange(data []byte) (Change, error) {
	var c Change
	if err := json.Unmarshal(data, &c); err != nil {
		return Change{}, errors.WithType(err, ErrMalformed)
	}
	return c, nil
}
