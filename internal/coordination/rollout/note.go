package rollout

import (
	"encoding/json"
	"slices"
	"sort"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"limpetwall/internal/coordination/discovery"
)

const (
	// markedFor is how long an engine is taken for loading without a word of the holder:
	// under load orders take 3 to 5 s.
	markedFor = 4 * time.Second
	// loadedTold is how long the note tells what an engine has loaded: in that time the
	// platform's list does so too.
	loadedTold = 5 * time.Second
)

// note is what a holder tells the others.
type note struct {
	// Loading engines are to be sent nothing.
	Loading []string `json:"loading"`
	// Ordering tells that orders were sent lately or are about to be.
	Ordering bool `json:"ordering"`
	// Named tells how long versions have been named.
	Named []discovery.VersionAge `json:"named"`
	// Loaded holds the weights of engines that carried out orders lately. Engines reject
	// what is sent to them under others, and the platform's list lags behind.
	Loaded map[string]int64 `json:"loaded,omitempty"`
}

func decodeNote(data []byte) (note, error) {
	var n note
	if len(data) == 0 {
		return n, nil
	}
	err := json.Unmarshal(data, &n)
	return n, errors.Trace(err)
}

func (d *Director) writeNote(ordering bool) {
	n := note{Ordering: ordering, Named: d.State.VersionAges(), Loading: make([]string, 0, len(d.loading))}
	for id := range d.loading {
		n.Loading = append(n.Loading, id)
	}
	sort.Strings(n.Loading)
	n.Loaded = d.lately()
	data, err := json.Marshal(n)
	if err != nil {
		d.Log.Error("lease note", zap.Error(err))
		return
	}
	d.Lease.SetNote(data)
}

// lately lists the engines that have carried out orders within loadedTold.
func (d *Director) lately() map[string]int64 {
	out := map[string]int64{}
	for id, l := range d.loaded {
		if d.Now().Sub(l.at) > loadedTold {
			delete(d.loaded, id)
			continue
		}
		out[id] = l.version
	}
	return out
}

// follow takes over which engines the holder says are loading, and which have loaded. With
// read unset the lease could not be looked at: what is known is kept then, as the engines
// go on with their orders and reject what they are sent meanwhile.
func (d *Director) follow(read bool) {
	for id, l := range d.loading {
		// This process's own orders are the next holder's to look after.
		d.marked[id] = l.since
		delete(d.loading, id)
	}
	if read {
		d.followNote()
	}
	for id, at := range d.marked {
		if d.Now().Sub(at) > markedFor {
			d.unmark(id)
		}
	}
}

func (d *Director) followNote() {
	others, err := decodeNote(d.Lease.HolderNote())
	if err != nil {
		d.Log.Error("lease note does not decode", zap.Error(err))
	}
	for id, version := range others.Loaded {
		d.State.ObserveWeights(id, version)
	}
	for id := range d.marked {
		if !slices.Contains(others.Loading, id) {
			d.unmark(id)
		}
	}
	for _, id := range others.Loading {
		d.marked[id] = d.Now()
		d.State.SetLoading(id, true)
	}
}

// unmark frees an engine that is no longer taken for loading.
func (d *Director) unmark(id string) {
	d.State.SetLoading(id, false)
	delete(d.marked, id)
}

func (d *Director) unmarkAll() {
	for id := range d.marked {
		d.unmark(id)
	}
}

// adopt takes over what the note last read says of the age of versions.
func (d *Director) adopt() {
	n, err := decodeNote(d.Lease.LastNote())
	if err != nil {
		d.Log.Error("lease note does not decode", zap.Error(err))
		return
	}
	d.State.MergeVersionAges(n.Named)
}
