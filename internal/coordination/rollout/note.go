package rollout

import (
	"encoding/json"
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"limpetwall/internal/coordination/discovery"
)

const (
	// loadingMarkTTL is how long an engine is treated as loading without an update from the
	// holder: under load, orders take 3 to 5 s.
	loadingMarkTTL = 4 * time.Second
	// loadedRetention is how long the note lists what an engine has loaded: by the end of it
	// the platform's list shows it too.
	loadedRetention = 5 * time.Second
)

// leaseNote is what the lease holder reports to the other processes.
type leaseNote struct {
	// Loading lists the engines that must not be sent requests.
	Loading []string `json:"loading"`
	// Ordering is set if orders were sent recently or are about to be sent.
	Ordering bool `json:"ordering"`
	// VersionAges lists how long versions have been target versions.
	VersionAges []discovery.VersionAge `json:"named"`
	// Loaded holds the weights of engines that recently carried out orders, and of those whose entry has
	// older ones. Engines reject requests for other weights, the platform's list lags behind, and who takes an
	// engine's weights for outdated sends it nothing that would show otherwise.
	Loaded map[string]int64 `json:"loaded,omitempty"`
}

func decodeNote(data []byte) (leaseNote, error) {
	var n leaseNote
	if len(data) == 0 {
		return n, nil
	}
	err := json.Unmarshal(data, &n)
	return n, errors.Trace(err)
}

func (d *Director) writeNote(ordering bool) {
	d.noteOrdering = ordering
	n := leaseNote{Ordering: ordering, VersionAges: d.State.VersionAges(), Loading: make([]string, 0, len(d.inFlight))}
	for id := range d.inFlight {
		n.Loading = append(n.Loading, id)
	}
	sort.Strings(n.Loading)
	n.Loaded = d.recentlyLoaded()
	maps.Copy(n.Loaded, d.State.WeightsAheadOfEntries())
	data, err := json.Marshal(n)
	if err != nil {
		d.Log.Error("cannot encode lease note", zap.Error(err))
		return
	}
	d.Lease.SetNote(data)
}

// recentlyLoaded returns the weights of the engines that carried out orders within
// loadedRetention, and discards older entries.
func (d *Director) recentlyLoaded() map[string]int64 {
	out := map[string]int64{}
	for id, l := range d.loaded {
		if d.Now().Sub(l.at) > loadedRetention {
			delete(d.loaded, id)
			continue
		}
		out[id] = l.version
	}
	return out
}

// followHolder applies what the holder's note lists as loading and loaded. If leaseRead is
// false, the lease could not be read: the known marks then stay until they expire, as the
// engines continue with their orders and reject requests in the meantime.
func (d *Director) followHolder(leaseRead bool) {
	for id, l := range d.inFlight {
		// The next holder takes over the orders of this process.
		d.markedLoading[id] = l.since
		delete(d.inFlight, id)
	}
	if leaseRead {
		d.applyHolderNote()
	}
	for id, at := range d.markedLoading {
		if d.Now().Sub(at) > loadingMarkTTL {
			d.unmarkLoading(id)
		}
	}
}

func (d *Director) applyHolderNote() {
	holderNote, err := decodeNote(d.Lease.HolderNote())
	if err != nil {
		d.Log.Error("cannot decode lease note", zap.Error(err))
	}
	for id, version := range holderNote.Loaded {
		d.State.ObserveWeights(id, version)
	}
	for id := range d.markedLoading {
		if !slices.Contains(holderNote.Loading, id) {
			d.unmarkLoading(id)
		}
	}
	for _, id := range holderNote.Loading {
		d.markedLoading[id] = d.Now()
		d.State.SetLoading(id, true)
	}
}

// unmarkLoading stops treating an engine as loading.
func (d *Director) unmarkLoading(id string) {
	d.State.SetLoading(id, false)
	delete(d.markedLoading, id)
}

func (d *Director) unmarkAllLoading() {
	for id := range d.markedLoading {
		d.unmarkLoading(id)
	}
}

// ObserveNote adopts what a note in the lease says of the ages of versions. See lease.Config.OnNote. It must run
// before this process writes its own note: the first one after a start would otherwise lack the ages.
func (d *Director) ObserveNote(data json.RawMessage, writtenAfter time.Time, isRecent bool) {
	n, err := decodeNote(data)
	if err != nil {
		d.Log.Error("cannot decode lease note", zap.Error(err))
		return
	}
	if isRecent {
		d.State.MergeVersionAges(n.VersionAges)
		return
	}
	d.State.MergeOldVersionAges(n.VersionAges, writtenAfter)
	d.writeNote(d.noteOrdering)
}
