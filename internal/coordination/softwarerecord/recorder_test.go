package softwarerecord

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"limpetwall/internal/coordination/streamorigin"
	"limpetwall/internal/transport/objectapi/standin"
)

// observed starts a recorder of a process that lists versions, and returns its registry and its end.
func observed(store *standin.Store, isFirst bool, rank int, versions ...string) (*streamorigin.Registry, func()) {
	registry := streamorigin.NewRegistry()
	recorder := &Recorder{
		Store: &link{Store: store, latency: 2 * time.Millisecond, reads: &atomic.Int64{}, writes: &atomic.Int64{}}, Origins: registry, IsFirstStart: isFirst,
		Rank: func() int { return rank }, Log: zap.NewNop(), Metrics: metrics.NewRegistry(),
	}
	registry.BeginFollowing(time.Now())
	see(registry, versions...)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		recorder.Run(ctx)
	}()
	return registry, func() {
		cancel()
		<-done
	}
}

func see(r *streamorigin.Registry, versions ...string) {
	r.RecordFollowed()
	for _, v := range versions {
		r.ObserveVersions([]streamorigin.Origin{{Service: service, Version: v}}, time.Now())
	}
}

// keepSeeing lets time pass while a process lists versions.
func keepSeeing(d time.Duration, r *streamorigin.Registry, versions ...string) {
	for range d / time.Second {
		see(r, versions...)
		time.Sleep(time.Second)
	}
}

// stored returns the versions of the record in a store.
func stored(store *standin.Store) []string { return (&world{store: store}).recordedVersions() }

func put(t *testing.T, store *standin.Store, value string) {
	if _, err := store.Put(t.Context(), objectKey, []byte(value), 0); err != nil {
		t.Fatal(err)
	}
}

const (
	completeV1 = `{"versions":[{"service":"s","version":"v1"}],"complete_in":0}`
	partialV1  = `{"versions":[{"service":"s","version":"v1"}]}`
)

// TestWhatIsKnownAfterAStart guards against a process that takes what it lists, or a record that is not whole, for all versions.
func TestWhatIsKnownAfterAStart(t *testing.T) {
	rows := []struct {
		name     string
		isFirst  bool
		stored   string
		restored bool
		lists    string
		wantSole bool
		// want is what is stored at once.
		want []string
	}{
		{"first start, no record", true, "", false, "v1", true, []string{"v1"}},
		{"no record", false, "", false, "v1", false, []string{"v1"}},
		{"the version is stored", false, completeV1, false, "v1", true, []string{"v1"}},
		{"another version is stored", false, completeV1, false, "v2", false, []string{"v1", "v2"}},
		{"not all versions are stored", false, partialV1, false, "v1", false, []string{"v1"}},
		{"not all versions are stored, first start", true, partialV1, false, "v1", false, []string{"v1"}},
		{"unreadable record", false, "{", false, "v1", false, []string{"v1"}},
		{"unreadable record, first start", true, "{", false, "v1", false, []string{"v1"}},
		{"record of another era", false, completeV1, true, "v1", false, []string{"v1"}},
		{"record of another era, first start", true, completeV1, true, "v1", false, []string{"v1"}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := standin.New()
				if row.stored != "" {
					put(t, store, row.stored)
				}
				if row.restored {
					store.Restore(store.Copy())
				}
				registry, stop := observed(store, row.isFirst, 0, row.lists)
				defer stop()
				keepSeeing(time.Second, registry, row.lists)
				if _, got := registry.SoleVersion(service, time.Now()); got != row.wantSole {
					t.Errorf("got a sole version: %v, want %v", got, row.wantSole)
				}
				if got := stored(store); !slices.Equal(got, row.want) {
					t.Errorf("got stored versions %v, want %v", got, row.want)
				}
				keepSeeing(streamorigin.Retention-2*time.Second, registry, row.lists)
				if _, got := registry.SoleVersion(service, time.Now()); got != row.wantSole {
					t.Errorf("a second before a minute has passed: got a sole version: %v, want %v", got, row.wantSole)
				}
				keepSeeing(3*checkInterval, registry, row.lists)
				if _, got := registry.SoleVersion(service, time.Now()); !got {
					t.Error("got no sole version after more than a minute, want it")
				}
				stop()
				next, stop := observed(store, false, 0, row.lists)
				defer stop()
				keepSeeing(time.Second, next, row.lists)
				if _, got := next.SoleVersion(service, time.Now()); !got {
					t.Error("got no sole version in a process that starts after that, want it")
				}
			})
		})
	}
}

// TestVersionIsRemoved guards against a version that is removed while streams of it last, by a process that can't know that, or never.
func TestVersionIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.New()
		knows, stop := observed(store, true, 0, "v1", "v2")
		defer stop()
		keepSeeing(2*time.Second, knows, "v1", "v2")
		keepSeeing(streamorigin.Retention-2*time.Second, knows, "v2")
		if got, want := stored(store), []string{"v1", "v2"}; !slices.Equal(got, want) {
			t.Errorf("got %v within a minute after a version left, want %v", got, want)
		}
		stop()
		knowsNot, stop := observed(store, false, 0, "v2")
		defer stop()
		keepSeeing(streamorigin.Retention, knowsNot, "v2")
		if got, want := stored(store), []string{"v1", "v2"}; !slices.Equal(got, want) {
			t.Errorf("got %v from a process that started a minute ago, want %v", got, want)
		}
		keepSeeing(3*checkInterval, knowsNot, "v2")
		if got, want := stored(store), []string{"v2"}; !slices.Equal(got, want) {
			t.Errorf("got %v later, want %v", got, want)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		store := standin.New()
		put(t, store, `{"versions":[{"service":"s","version":"v1"},{"service":"s","version":"v2"}]}`)
		registry, stop := observed(store, false, 0, "v2")
		defer stop()
		for range 6 {
			keepSeeing(streamorigin.Retention/2, registry, "v2")
			registry.BeginFollowing(time.Now())
		}
		if got, want := stored(store), []string{"v1", "v2"}; !slices.Equal(got, want) {
			t.Errorf("got %v from a process that never followed for a minute, want %v", got, want)
		}
	})
}

// TestWritersLoseNothing guards against a version that is overwritten by a process that writes another one at the same moment.
func TestWritersLoseNothing(t *testing.T) {
	for _, isStored := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			store := standin.New()
			if isStored {
				put(t, store, completeV1)
			}
			want := []string{"v1"}
			for n := range 5 {
				version := fmt.Sprint("v", n+1)
				_, stop := observed(store, false, 0, "v1", version)
				defer stop()
				if n > 0 {
					want = append(want, version)
				}
			}
			time.Sleep(2 * time.Second)
			if got := stored(store); !slices.Equal(got, want) {
				t.Errorf("a record was stored: %v; got %v, want %v", isStored, got, want)
			}
		})
	}
}

// TestCallsPerChange guards against a cost that grows with the square of the fleet, and against calls while nothing changes.
func TestCallsPerChange(t *testing.T) {
	for _, size := range []int{3, 29, 370} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(size, 1, "v1")
				defer w.stop()
				expect := func(what string, reads, writes, changes int64) {
					r, w, c := w.reads.Swap(0), w.writes.Swap(0), w.changes.Swap(0)
					if t.Logf("%s: %d reads, %d writes, %d of them done", what, r, w, c); r > reads || w > writes || c != changes {
						t.Errorf("%s: got %d reads, %d writes, %d of them done, want %d and %d at most, %d done", what, r, w, c, reads, writes, changes)
					}
				}
				// conflicts are of processes that write a change before they can see that another one just did.
				const conflicts = 5
				each := int64(size)
				w.pass(2 * time.Second)
				expect("first start", 2*each, each, 1)
				w.pass(2 * streamorigin.Retention)
				expect("nothing changes", 0, 0, 0)
				w.setAlive("v2", true)
				w.pass(20 * time.Second)
				expect("a version appears", each+conflicts, 1+conflicts, 1)
				w.setAlive("v1", false)
				w.pass(streamorigin.Retention - time.Second)
				expect("a version has left", 0, 0, 0)
				w.pass(20 * time.Second)
				expect("it is removed", each+conflicts, 1+conflicts, 1)
				w.kill(w.all()...)
				w.startAll(false)
				w.pass(10 * time.Second)
				expect("all start again", each, 0, 0)
			})
		})
	}
}

// TestStreamsBeginWhileAnOlderCopyIsMended guards against streams that wait at versions in use because the store came back from a copy whose
// record lacks them.
func TestStreamsBeginWhileAnOlderCopyIsMended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.New()
		registry, stop := observed(store, true, 0, "v1")
		defer stop()
		keepSeeing(time.Second, registry, "v1")
		older := store.Copy()
		keepSeeing(2*time.Second, registry, "v1", "v2")
		store.Restore(older)
		registry.BeginFollowing(time.Now())
		for range 1000 {
			time.Sleep(time.Millisecond)
			see(registry, "v1", "v2")
			for _, v := range []string{"v1", "v2"} {
				if !registry.IsRecorded(streamorigin.Origin{Service: service, Version: v}) {
					t.Fatalf("%s is not taken for recorded though the record is not whole", v)
				}
			}
		}
		if got, want := stored(store), []string{"v1", "v2"}; !slices.Equal(got, want) {
			t.Errorf("got stored versions %v, want %v", got, want)
		}
	})
}

// TestChangedRoutesAreNotSettled guards against a process that has just started and takes the routes in force for those by which all
// streams began, and against a process with an older configuration that undoes what others have recorded.
func TestChangedRoutesAreNotSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.New()
		begin := func(isFirst bool, rank int, targets *atomic.Pointer[StreamTargets]) (stop func()) {
			registry := streamorigin.NewRegistry()
			recorder := &Recorder{
				Store: store, Origins: registry, IsFirstStart: isFirst, Rank: func() int { return rank }, Log: zap.NewNop(), Metrics: metrics.NewRegistry(),
				StreamTargets: func() StreamTargets { return *targets.Load() },
			}
			registry.BeginFollowing(time.Now())
			registry.ObserveVersions([]streamorigin.Origin{{Service: service, Version: "v1"}}, time.Now())
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				defer close(done)
				recorder.Run(ctx)
			}()
			return func() {
				cancel()
				<-done
			}
		}
		check := func(when string, want uint64) {
			t.Helper()
			got, err := ReadAll(t.Context(), store)
			if err != nil || got.StreamTargets != want {
				t.Errorf("%s: got %d, error %v; want %d", when, got.StreamTargets, err, want)
			}
		}
		first, behind, started := &atomic.Pointer[StreamTargets]{}, &atomic.Pointer[StreamTargets]{}, &atomic.Pointer[StreamTargets]{}
		lead := func(p *atomic.Pointer[StreamTargets], fingerprint, version uint64) {
			p.Store(&StreamTargets{Fingerprint: fingerprint, ConfigVersion: version, Since: time.Now()})
		}
		first.Store(&StreamTargets{})
		stopFirst := begin(true, 0, first)
		time.Sleep(time.Second)
		lead(first, 1, 1)
		time.Sleep(time.Second)
		check("at the first start", 1)
		behind.Store(first.Load())
		stopBehind := begin(false, 1, behind)
		time.Sleep(2 * streamorigin.Retention)
		lead(first, 2, 2)
		time.Sleep(2 * checkInterval)
		check("after a change, beside a process that has not heard of it", 0)
		lead(first, 1, 3)
		time.Sleep(2 * checkInterval)
		check("after a change back", 0)
		stopFirst()
		stopBehind()
		lead(started, 1, 3)
		stop := begin(false, 0, started)
		defer stop()
		time.Sleep(streamorigin.Retention - time.Second)
		check("under a minute after all have started anew", 0)
		time.Sleep(time.Second + 2*checkInterval)
		check("over a minute after", 1)
	})
}
