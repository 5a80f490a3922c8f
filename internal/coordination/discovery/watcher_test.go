package discovery

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"limpetwall/internal/state/fleet"
	"limpetwall/internal/state/routes"
)

var kinds = Kinds{Config: "config", Instances: "servers", Weights: "versions", MainConfig: "main"}

func TestWatcherAppliesChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed()
		state, _ := startWatcher(t, feed)
		time.Sleep(time.Second)
		if state.Ready() {
			t.Error("ready without a configuration")
		}
		feed.put("config", "main", 3)
		feed.put("config", "draft", 99)
		feed.put("servers", "i-1", false)
		feed.put("versions", "m", 2)
		time.Sleep(10 * time.Millisecond)
		if !state.Ready() || state.Routes().Version != 3 || countAlive(state) != 1 || state.TargetVersion("m") != 2 {
			t.Errorf("got ready %v, routes %+v, %d endpoints in use, target version %d", state.Ready(), state.Routes(), countAlive(state), state.TargetVersion("m"))
		}
		feed.put("servers", "i-1", true)
		time.Sleep(10 * time.Millisecond)
		if countAlive(state) != 0 {
			t.Error("a leaving endpoint is still in use")
		}
	})
}

// TestWatcherRecoversFromSilentStore lets the store give no answers for a minute, and changes
// the configuration just before it answers again.
//
// The new configuration must be in force within 2 s of the store's recovery, although no call
// that began before it ever ends by itself.
func TestWatcherRecoversFromSilentStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed()
		feed.put("config", "main", 1)
		state, w := startWatcher(t, feed)
		time.Sleep(time.Second)
		feed.update(func() { feed.silent = true })
		time.Sleep(time.Minute)
		if age := w.ConfigAnswerAge(time.Now()); age < 50*time.Second {
			t.Errorf("got last answer %s ago, want at least 50s", age)
		}
		feed.put("config", "main", 2)
		feed.update(func() { feed.silent = false })
		time.Sleep(1900 * time.Millisecond)
		if state.Routes().Version != 2 {
			t.Errorf("got version %d in force, want 2", state.Routes().Version)
		}
	})
}

// TestConfigAge first lets the store give no answers, and then pauses a process during a watch.
//
// Only a process that knows its configuration to be the newest may refuse a withdrawn key for
// good. Neither the answers for other kinds nor an answer from before a pause show that.
func TestConfigAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed()
		feed.put("config", "main", 1)
		var pause atomic.Int64
		_, w := startWatcherWith(t, feed, func(w *Watcher) {
			w.Clock = func() time.Time { return time.Now().Add(time.Duration(pause.Load())) }
		})
		time.Sleep(10 * time.Second)
		// The last answered watch began two waits ago when the next one is about to end.
		if age := w.ConfigAge(); age > 2*w.Wait+minWatchInterval {
			t.Errorf("configuration is %s old while the store answers, want at most two waits of a watch", age)
		}
		feed.update(func() { feed.silent = true })
		time.Sleep(10 * time.Second)
		w.RecordAnswer(time.Now())
		if age := w.ConfigAge(); age < 10*time.Second {
			t.Errorf("configuration is %s old after 10 s of silence, want at least 10s", age)
		}
		feed.update(func() { feed.silent = false })
		time.Sleep(2 * time.Second)
		if age := w.ConfigAge(); age > 2*time.Second {
			t.Errorf("configuration is %s old 2 s after the store answers again, want at most 2s", age)
		}
		// The watch in flight is answered after the pause.
		pause.Store(int64(time.Minute))
		if age := w.ConfigAge(); age < time.Minute {
			t.Errorf("configuration is %s old after a pause of a minute, want at least 1m", age)
		}
	})
}

// TestCallRateWhileStoreRefuses counts the calls during ten seconds of refusals.
func TestCallRateWhileStoreRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed()
		feed.update(func() { feed.refuse = true })
		startWatcher(t, feed)
		time.Sleep(10 * time.Second)
		calls := 0
		feed.update(func() { calls = feed.calls })
		if calls > 3*20 {
			t.Errorf("got %d calls in 10 s, want at most 60", calls)
		}
	})
}

// TestRemovalInCompactedHistory drops the store's history while an endpoint leaves.
//
// No event reports that; only the following list shows it, by what is missing there.
func TestRemovalInCompactedHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := newFakeFeed()
		feed.put("config", "main", 1)
		feed.put("servers", "i-1", false)
		feed.put("servers", "i-2", false)
		state, _ := startWatcher(t, feed)
		time.Sleep(time.Second)
		feed.update(func() {
			delete(feed.objects["servers"], "i-1")
			feed.revision += 10
			feed.history, feed.oldest = nil, feed.revision
		})
		time.Sleep(3 * time.Second)
		if countAlive(state) != 1 {
			t.Errorf("got %d endpoints in use, want 1", countAlive(state))
		}
	})
}

// TestSetRoutesIgnoresOlderConfig checks that an older configuration never replaces a newer
// one.
func TestSetRoutesIgnoresOlderConfig(t *testing.T) {
	state := NewState(fleet.Member{ID: "self"}, zap.NewNop(), time.Now(), func(*routes.Table) {})
	for _, c := range []struct{ version, revision, want uint64 }{{5, 10, 5}, {4, 11, 5}, {6, 9, 5}, {7, 12, 7}, {7, 12, 7}} {
		state.SetRoutes(routes.New(c.version, c.revision, nil, nil, nil, routes.Limits{}))
		if got := state.Routes().Version; got != c.want {
			t.Errorf("after version %d at revision %d: got version %d in force, want %d", c.version, c.revision, got, c.want)
		}
	}
}

// TestRestartAtSameAddress restarts an endpoint at its address, as after a crash: its old
// entry remains for seconds, longer if the store is unreachable meanwhile.
//
// Requests sent to the old instance are rejected, and a caller whose attempts all go to such
// entries is refused although the endpoints are idle. Only the newest instance must be used,
// in whatever order the entries are read.
func TestRestartAtSameAddress(t *testing.T) {
	old := Instance{ID: "old", Revision: 5, Service: "s", Address: "10.0.0.1:1"}
	restarted := Instance{ID: "new", Revision: 9, Service: "s", Address: "10.0.0.1:1"}
	other := Instance{ID: "other", Revision: 7, Service: "s", Address: "10.0.0.2:1"}
	rows := []struct {
		name  string
		apply func(s *State, now time.Time)
	}{
		{"the entry is still there", func(s *State, _ time.Time) { s.SetInstance(old); s.SetInstance(restarted) }},
		{"the new one is read first", func(s *State, _ time.Time) { s.SetInstance(restarted); s.SetInstance(old) }},
		{"expired while the store was unreachable", func(s *State, now time.Time) {
			s.SetInstance(old)
			s.ReplaceInstances([]Instance{restarted, other}, 0, true, now)
		}},
		{"removed afterwards", func(s *State, now time.Time) {
			s.SetInstance(old)
			s.SetInstance(restarted)
			s.Remove("old", false, now)
		}},
		{"expired, and its last entry arrives after the new one's", func(s *State, now time.Time) {
			s.SetInstance(old)
			s.Remove("old", false, now)
			s.SetInstance(restarted)
			late := old
			late.Revision = 12
			s.SetInstance(late)
		}},
		{"a process that finds both, until the old one expires", func(s *State, now time.Time) {
			late := old
			late.Revision = 12
			s.ReplaceInstances([]Instance{other, restarted, late}, 0, false, now)
			s.Remove("old", false, now)
		}},
		{"a process that finds both, and is rejected at the address", func(s *State, now time.Time) {
			late := old
			late.Revision = 12
			s.ReplaceInstances([]Instance{other, restarted, late}, 0, false, now)
			s.MarkMisdirected("old")
		}},
		{"both have a start time", func(s *State, now time.Time) {
			late, started := old, restarted
			late.Revision, late.Born, started.Born = 12, 100, 200
			s.ReplaceInstances([]Instance{other, started, late}, 0, false, now)
		}},
		{"rejected, but no other entry is there", func(s *State, _ time.Time) { s.SetInstance(restarted); s.MarkMisdirected("new") }},
		{"the new one is gone, and the old one had expired before", func(s *State, now time.Time) {
			s.SetInstance(old)
			s.Remove("old", true, now)
			s.SetInstance(restarted)
			s.Remove("new", false, now)
			if len(s.Instances()) != 1 {
				t.Error("an expired entry is in use again")
			}
			s.SetInstance(restarted)
		}},
	}
	for _, row := range rows {
		s := NewState(fleet.Member{ID: "self"}, zap.NewNop(), time.Now(), func(*routes.Table) {})
		s.SetInstance(other)
		row.apply(s, time.Now())
		var ids []string
		for _, i := range s.Instances() {
			ids = append(ids, i.ID)
		}
		if len(ids) != 2 || ids[0] != "new" || ids[1] != "other" {
			t.Errorf("%s: got instances %v in use, want [new other]", row.name, ids)
		}
		if m, _ := s.Table.Get("old"); m.State == fleet.Alive && m.ID != "" {
			t.Errorf("%s: the old instance is still a member", row.name)
		}
	}
}

// TestWeightsOnlyGrow lists older weights than the endpoint itself reported, and sets an older
// target than the current one.
func TestWeightsOnlyGrow(t *testing.T) {
	state := NewState(fleet.Member{ID: "self"}, zap.NewNop(), time.Now(), func(*routes.Table) {})
	state.SetInstance(Instance{ID: "i", Revision: 1, Model: "m", Weights: 1})
	state.ObserveWeights("i", 3)
	state.SetInstance(Instance{ID: "i", Revision: 2, Model: "m", Weights: 2})
	if i, _ := state.Instance("i"); i.Weights != 3 {
		t.Errorf("got weights %d, want 3", i.Weights)
	}
	state.SetTarget(TargetWeights{Model: "m", Version: 4})
	state.SetTarget(TargetWeights{Model: "m", Version: 2})
	if state.TargetVersion("m") != 4 {
		t.Errorf("got target version %d, want 4", state.TargetVersion("m"))
	}
}

func TestEndpointsBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := NewState(fleet.Member{ID: "self"}, zap.NewNop(), time.Now(), func(*routes.Table) {})
		state.SetInstance(Instance{ID: "a", Model: "m", Weights: 1})
		state.SetInstance(Instance{ID: "b", Model: "m", Weights: 2})
		first := time.Now()
		for v := int64(2); v <= 4; v++ {
			state.SetTarget(TargetWeights{Model: "m", Version: v})
			time.Sleep(time.Second)
		}
		if n, since := state.EndpointsBehind("m"); n != 2 || !since.Equal(first) {
			t.Errorf("got %d behind since %s after the first target, want 2 since 0s", n, since.Sub(first))
		}
		state.ObserveWeights("a", 4)
		if n, since := state.EndpointsBehind("m"); n != 1 || since.Sub(first) != time.Second {
			t.Errorf("got %d behind since %s after the first target, want 1 since 1s", n, since.Sub(first))
		}
	})
}

// TestReplacedWeightsAreRetired lets an endpoint keep replaced weights too long, and another
// endpoint come back with them.
//
// A process that started later learns from others how long ago they were replaced.
func TestReplacedWeightsAreRetired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		newStateWithWeights := func() *State {
			s := NewState(fleet.Member{ID: "self"}, zap.NewNop(), time.Now(), func(*routes.Table) {})
			s.RetireAfter = 8 * time.Second
			s.SetInstance(Instance{ID: "a", Service: "s", Model: "m", Weights: 1})
			s.SetTarget(TargetWeights{Model: "m", Version: 2})
			return s
		}
		isUsed := func(s *State, id string) bool {
			m, ok := s.Table.Get(id)
			return ok && !m.Endpoint.Loading
		}
		first := newStateWithWeights()
		time.Sleep(5 * time.Second)
		second := newStateWithWeights()
		second.MergeVersionAges(first.VersionAges())
		time.Sleep(3500 * time.Millisecond)
		for i, s := range []*State{first, second} {
			s.RetireOutdated()
			if isUsed(s, "a") {
				t.Errorf("state %d: an endpoint with replaced weights is in use after RetireAfter", i)
			}
			s.SetInstance(Instance{ID: "b", Service: "s", Model: "m", Weights: 1})
			if isUsed(s, "b") {
				t.Errorf("state %d: an endpoint that comes back with replaced weights is in use", i)
			}
			s.ObserveWeights("a", 2)
			if !isUsed(s, "a") {
				t.Errorf("state %d: endpoint not in use with the new weights", i)
			}
			if s.IsLoading("a") {
				t.Errorf("state %d: endpoint is reported as loading", i)
			}
		}
	})
}

func ExampleVersionName() {
	fmt.Printf("%q %q\n", VersionName(0), VersionName(12))
	// Output: "" "12"
}

// TestEndedWatcherReportsNoOutage guards against lines of a store that does not answer, written because the process exits.
func TestEndedWatcherReportsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, lines := observer.New(zap.InfoLevel)
		state := NewState(fleet.Member{ID: "self", Incarnation: 1}, zap.NewNop(), time.Now(), func(*routes.Table) {})
		w := &Watcher{Feed: newFakeFeed(), Decoder: fakeDecoder{}, Kinds: kinds, State: state, Log: zap.New(core), Wait: 2 * time.Second}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			w.Run(ctx)
		}()
		time.Sleep(time.Second)
		cancel()
		<-done
		if got := lines.FilterMessage("store does not answer").Len(); got != 0 {
			t.Errorf("got %d lines of an outage, want none", got)
		}
	})
}
